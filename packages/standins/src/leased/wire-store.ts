/**
 * A stand-in of the users' key-value service: revisions, transactions, leases, long-polling watches, and injectable
 * faults. Part of the platform stand-in.
 */
import type {IncomingMessage, ServerResponse} from "node:http"
import {sleep} from "../utils/sleep.js"

interface Item {
	readonly key: string
	readonly value: string
	readonly rev: number
	readonly created: number
	readonly lease: number
}

interface Change {
	readonly rev: number
	readonly key: string
	readonly item: Item | undefined
}

interface Lease {
	readonly ttlMs: number
	expiresAt: number
}

export interface StoreFaults {
	/** `silent` leaves every call unanswered, `busy` answers 503. */
	down?: "silent" | "busy"
	/** Delay of each answer in milliseconds. */
	slowMs?: number
	/** The number of next writes that take effect unanswered; no call on their connections is answered afterwards. */
	loseAnswers?: number
}

interface TxnBody {
	readonly "expected-rev"?: readonly {readonly key: string; readonly rev: number}[]
	readonly puts?: readonly {readonly key: string; readonly value: string; readonly lease?: number}[]
	readonly remove?: readonly string[]
}

const MAX_PAGE_ITEMS = 500
const MAX_PAGE_BYTES = 1_000_000
const EXPIRY_CHECK_MS = 50
const MAX_TXN_ENTRIES = 32
const MAX_KEY_BYTES = 200
const MAX_VALUE_BYTES = 1_048_576
const MAX_WATCH_MS = 30_000
const MIN_TTL_MS = 1_000
const MAX_TTL_MS = 600_000
/** Keys that only the operator and the executors write. */
const FOREIGN_PREFIXES = ["op/", "servers/"]

const isWhole = (value: number, min: number, max: number) =>
	Number.isInteger(value) && value >= min && value <= max

/** The status by which the service refuses keys and values of a write; undefined if it takes them. */
function refusalOf({puts = [], remove = []}: TxnBody): number | undefined {
	const keys = [...puts.map(({key}) => key), ...remove]
	if (keys.some(key => FOREIGN_PREFIXES.some(prefix => key.startsWith(prefix)))) return 403
	const isTooLong = puts.some(
		({key, value}) =>
			Buffer.byteLength(key) > MAX_KEY_BYTES ||
			Buffer.byteLength(value, "base64") > MAX_VALUE_BYTES,
	)
	return isTooLong ? 400 : undefined
}

/** The longest beginning of sorted items that one page holds; at least one item. */
function pageOf(items: readonly Item[]): readonly Item[] {
	let bytes = 0
	const isWithin = ({key, value}: Item) => (bytes += key.length + value.length) <= MAX_PAGE_BYTES
	const end = items.slice(0, MAX_PAGE_ITEMS).findIndex((item, at) => !isWithin(item) && at > 0)
	return items.slice(0, end === -1 ? MAX_PAGE_ITEMS : end)
}

export class WireStore {
	readonly faults: StoreFaults = {}
	/** Called for each write, with undefined for a removal. */
	onWrite: (key: string, value: unknown) => void = () => undefined
	/** The number of calls by path. */
	readonly calls = new Map<string, number>()
	private readonly items = new Map<string, Item>()
	private readonly leases = new Map<number, Lease>()
	private changes: Change[] = []
	private compactedRevision = 0
	private revision = 0
	private leaseSerial = 0
	private readonly waiting = new Set<() => void>()
	/** Connections with a lost answer. */
	private readonly mutedSockets = new WeakSet<object>()
	private readonly expiryTimer = setInterval(() => this.expireLeases(), EXPIRY_CHECK_MS)

	/** Writes a key without lease, as the operator or an executor does. */
	write(key: string, value: unknown) {
		this.set(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0)
		this.wake()
	}

	remove(key: string) {
		this.unset(key)
		this.wake()
	}

	read(key: string): unknown {
		const item = this.items.get(key)
		return item && JSON.parse(Buffer.from(item.value, "base64").toString("utf8"))
	}

	/** Drops the change history, as a compaction does; watches from before get 410. */
	forgetHistory() {
		this.changes = []
		this.compactedRevision = this.revision
		this.wake()
	}

	close() {
		clearInterval(this.expiryTimer)
		this.wake()
	}

	async handle(req: IncomingMessage, body: string, res: ServerResponse) {
		const url = new URL(req.url ?? "/", "http://store")
		const [, call = "", id = ""] = url.pathname.split("/")
		this.calls.set(call, (this.calls.get(call) ?? 0) + 1)
		if (this.faults.down === "silent" || this.mutedSockets.has(req.socket)) return
		if (this.faults.down === "busy") return void this.answer(res, 503, {error: "down"})
		if (this.faults.slowMs) await sleep(this.faults.slowMs)
		const query = url.searchParams
		switch (call) {
			case "kv-key":
				return this.answerKey(res, query.get("key") ?? "")
			case "kv-range":
				return this.answerRange(res, query)
			case "kv-watch":
				return this.answerWatch(res, query)
			case "kv-txn":
				return this.answerTxn(res, JSON.parse(body) as TxnBody)
			case "kv-lease":
				return this.answerLease(res, (JSON.parse(body) as {"ttl-ms": number})["ttl-ms"])
			case "kv-keep":
				return this.answerKeep(res, Number(id))
			case "kv-lease-end":
				this.endLease(Number(id))
				return this.answer(res, 200, {})
			default:
				return this.answer(res, 404, {error: "no such call"})
		}
	}

	private answer(res: ServerResponse, status: number, body: object) {
		res.writeHead(status, {"content-type": "application/json"})
		res.end(JSON.stringify(body))
	}

	private answerKey(res: ServerResponse, key: string) {
		const item = this.items.get(key)
		if (item) this.answer(res, 200, {...item, "at-rev": this.revision})
		else this.answer(res, 404, {"at-rev": this.revision})
	}

	private answerRange(res: ServerResponse, query: URLSearchParams) {
		const prefix = query.get("path-prefix") ?? ""
		const after = query.get("after-rev") ?? ""
		const found = [...this.items.values()]
			.filter(({key}) => key.startsWith(prefix) && key > after)
			.sort((a, b) => (a.key < b.key ? -1 : 1))
		const items = pageOf(found)
		this.answer(res, 200, {
			items,
			"has-more": found.length > items.length,
			"at-rev": this.revision,
		})
	}

	private async answerWatch(res: ServerResponse, query: URLSearchParams) {
		const prefix = query.get("path-prefix") ?? ""
		const after = Number(query.get("after-rev"))
		const waitMs = Number(query.get("wait-ms"))
		if (!isWhole(waitMs, 0, MAX_WATCH_MS)) return this.answer(res, 400, {error: "wait-ms"})
		const until = performance.now() + waitMs
		for (;;) {
			if (after < this.compactedRevision) return this.answer(res, 410, {})
			const seen = this.changes.filter(({rev, key}) => rev > after && key.startsWith(prefix))
			const leftMs = until - performance.now()
			if (seen.length > 0 || leftMs <= 0) {
				const events = seen.map(({key, rev, item}) => item ?? {key, rev, deleted: true})
				return this.answer(res, 200, {events, "at-rev": this.revision})
			}
			await this.nextChange(leftMs)
			if (res.destroyed) return
		}
	}

	private answerTxn(res: ServerResponse, body: TxnBody) {
		const conditions = body["expected-rev"] ?? []
		const puts = body.puts ?? []
		const removed = body.remove ?? []
		if (conditions.length + puts.length + removed.length > MAX_TXN_ENTRIES)
			return this.answer(res, 400, {error: "more than 32 entries"})
		const refusal = refusalOf(body)
		if (refusal !== undefined) return this.answer(res, refusal, {error: "key or value"})
		const isMet = conditions.every(({key, rev}) => (this.items.get(key)?.rev ?? 0) === rev)
		if (!isMet) {
			const items = conditions.map(({key}) => this.items.get(key)).filter(Boolean)
			return this.answer(res, 412, {items, "at-rev": this.revision})
		}
		const leases = puts.map(({lease}) => lease ?? 0)
		if (leases.some(lease => lease !== 0 && !this.leases.has(lease)))
			return this.answer(res, 404, {error: "no lease"})
		for (const {key, value, lease} of puts) this.set(key, value, lease ?? 0)
		for (const key of removed) this.unset(key)
		this.wake()
		if (this.faults.loseAnswers) {
			this.faults.loseAnswers--
			if (res.socket) this.mutedSockets.add(res.socket)
			return
		}
		this.answer(res, 200, {rev: this.revision})
	}

	private answerLease(res: ServerResponse, ttlMs: number) {
		if (!isWhole(ttlMs, MIN_TTL_MS, MAX_TTL_MS)) return this.answer(res, 400, {error: "ttl-ms"})
		const lease = ++this.leaseSerial
		this.leases.set(lease, {ttlMs, expiresAt: performance.now() + ttlMs})
		this.answer(res, 200, {lease, "ttl-ms": ttlMs})
	}

	private answerKeep(res: ServerResponse, id: number) {
		const lease = this.leases.get(id)
		if (!lease) return this.answer(res, 404, {})
		lease.expiresAt = performance.now() + lease.ttlMs
		this.answer(res, 200, {lease: id, "ttl-ms": lease.ttlMs})
	}

	private set(key: string, value: string, lease: number) {
		const rev = ++this.revision
		const created = this.items.get(key)?.created ?? rev
		const item = {key, value, rev, created, lease}
		this.items.set(key, item)
		this.changes.push({rev, key, item})
		this.onWrite(key, this.read(key))
	}

	private unset(key: string) {
		if (!this.items.delete(key)) return
		this.changes.push({rev: ++this.revision, key, item: undefined})
		this.onWrite(key, undefined)
	}

	private endLease(id: number) {
		this.leases.delete(id)
		for (const item of [...this.items.values()]) if (item.lease === id) this.unset(item.key)
		this.wake()
	}

	private expireLeases() {
		const now = performance.now()
		for (const [id, {expiresAt}] of this.leases) if (expiresAt < now) this.endLease(id)
	}

	private wake() {
		for (const resolve of this.waiting) resolve()
		this.waiting.clear()
	}

	private nextChange(ms: number): Promise<void> {
		return new Promise(resolve => {
			const wake = () => {
				clearTimeout(timer)
				this.waiting.delete(wake)
				resolve()
			}
			const timer = setTimeout(wake, ms)
			this.waiting.add(wake)
		})
	}
}
