/**
 * A stand-in of the platform's metadata store, written from PROTOCOL.md: revisions, transactions, leases, long-polling
 * watches, rates. `isDown` makes it answer 503 to every call ("On 503, nothing was done").
 */
/* global setTimeout, clearTimeout, setInterval, clearInterval, performance, Buffer */
import {createServer} from "node:http"

const ANSWER_MS = 4
const PAGE_ITEMS = 500
const PAGE_BYTES = 1_000_000
const MAX_ENTRIES = 32
const MAX_KEY_BYTES = 200
const MIN_TTL_MS = 1_000
const LEASE_CHECK_MS = 50

const encode = value => Buffer.from(JSON.stringify(value)).toString("base64")
const decode = text => JSON.parse(Buffer.from(text, "base64").toString("utf8"))

export class Store {
	constructor({writesPerS = 400, readsPerS = 2_000, valueBytes = 1_048_576} = {}) {
		Object.assign(this, {writesPerS, readsPerS, valueBytes})
		this.isDown = false
		this.items = new Map()
		this.changes = []
		this.rev = 1
		this.leases = new Map()
		this.leaseSerial = 0
		this.waiting = new Set()
		this.used = {second: 0, writes: 0, reads: 0}
		/** Called with each write of the system that was done: the keys, the values put, and when. */
		this.onWrite = () => undefined
		/** Called before a call of the system under a condition is answered; may keep the answer back. */
		this.turnedAway = 0
	}

	async begin() {
		this.server = createServer((req, res) => {
			const chunks = []
			req.on("data", chunk => chunks.push(chunk))
			req.on("end", () => this.handle(req, Buffer.concat(chunks).toString("utf8"), res))
			req.on("error", () => undefined)
		})
		this.server.keepAliveTimeout = 120_000
		await new Promise(resolve => this.server.listen(0, "127.0.0.1", resolve))
		this.address = `127.0.0.1:${this.server.address().port}`
		this.timer = setInterval(() => this.expire(), LEASE_CHECK_MS)
	}

	close() {
		clearInterval(this.timer)
		for (const wake of [...this.waiting]) wake()
		this.server.close()
		this.server.closeAllConnections()
	}

	/** Writes as the operator or an executor does. */
	write(key, value) {
		this.set(key, encode(value), 0)
		this.wake()
	}

	remove(key) {
		this.unset(key)
		this.wake()
	}

	read(key) {
		const item = this.items.get(key)
		return item && decode(item.value)
	}

	set(key, value, lease) {
		const rev = ++this.rev
		const item = {key, value, rev, created: this.items.get(key)?.created ?? rev, lease}
		this.items.set(key, item)
		this.changes.push({rev, key, item})
	}

	unset(key) {
		if (this.items.delete(key)) this.changes.push({rev: ++this.rev, key, item: undefined})
	}

	wake() {
		for (const wake of [...this.waiting]) wake()
	}

	/** Leases wait while the store is down. */
	expire() {
		const now = performance.now()
		const isStopped = this.isDown
		for (const [id, lease] of this.leases) {
			if (isStopped) lease.until += LEASE_CHECK_MS
			else if (lease.until < now) this.endLease(id)
		}
	}

	endLease(id) {
		this.leases.delete(id)
		for (const item of [...this.items.values()]) if (item.lease === id) this.unset(item.key)
		this.wake()
	}

	answer(res, status, body) {
		setTimeout(() => {
			if (res.destroyed) return
			res.writeHead(status, {"content-type": "application/json"})
			res.end(JSON.stringify(body))
		}, ANSWER_MS)
	}

	/** Whether the call is within the rate of its kind. */
	admit(kind) {
		const second = Math.floor(performance.now() / 1_000)
		if (this.used.second !== second) this.used = {second, writes: 0, reads: 0}
		const limit = kind === "writes" ? this.writesPerS : this.readsPerS
		return ++this.used[kind] <= limit
	}

	handle(req, text, res) {
		if (this.isDown) {
			this.turnedAway++
			return this.answer(res, 503, {})
		}
		const url = new URL(req.url, "http://store")
		const [, call, id] = url.pathname.split("/")
		const query = url.searchParams
		const isWrite = ["kv-txn", "kv-lease", "kv-lease-end"].includes(call)
		if (!this.admit(isWrite ? "writes" : "reads")) return this.answer(res, 429, {})
		switch (call) {
			case "kv-key":
				return this.answerKey(res, query.get("key"))
			case "kv-range":
				return this.answerRange(res, query.get("path-prefix") ?? "", query.get("after-rev") ?? "")
			case "kv-watch":
				return void this.answerWatch(res, query)
			case "kv-txn":
				return this.answerTxn(res, JSON.parse(text))
			case "kv-lease":
				return this.answerLease(res, JSON.parse(text)["ttl-ms"])
			case "kv-keep":
				return this.answerKeep(res, Number(id))
			case "kv-lease-end":
				if (!this.leases.has(Number(id))) return this.answer(res, 404, {})
				this.endLease(Number(id))
				return this.answer(res, 200, {})
			default:
				return this.answer(res, 404, {})
		}
	}

	answerKey(res, key) {
		const item = this.items.get(key)
		const at = {"at-rev": this.rev}
		return item ? this.answer(res, 200, {...item, ...at}) : this.answer(res, 404, at)
	}

	answerRange(res, prefix, after) {
		const found = [...this.items.values()]
			.filter(({key}) => key.startsWith(prefix) && key > after)
			.sort((a, b) => (a.key < b.key ? -1 : 1))
		const items = []
		let bytes = 0
		for (const item of found) {
			if (items.length === PAGE_ITEMS || (bytes > 0 && bytes + item.value.length > PAGE_BYTES))
				break
			items.push(item)
			bytes += item.value.length
		}
		this.answer(res, 200, {items, "has-more": items.length < found.length, "at-rev": this.rev})
	}

	async answerWatch(res, query) {
		const prefix = query.get("path-prefix") ?? ""
		const after = Number(query.get("after-rev"))
		const until = performance.now() + Math.min(30_000, Number(query.get("wait-ms")))
		for (;;) {
			if (this.isDown) return this.answer(res, 503, {})
			const seen = this.changes.filter(({rev, key}) => rev > after && key.startsWith(prefix))
			const leftMs = until - performance.now()
			if (seen.length > 0 || leftMs <= 0) {
				const events = seen.map(({rev, key, item}) => item ?? {key, rev, deleted: true})
				return this.answer(res, 200, {events, "at-rev": this.rev})
			}
			await this.nextChange(leftMs)
			if (res.destroyed) return undefined
		}
	}

	answerTxn(res, {"expected-rev": expected = [], puts = [], remove = []}) {
		if (expected.length + puts.length + remove.length > MAX_ENTRIES)
			return this.answer(res, 400, {})
		const keys = [...puts.map(({key}) => key), ...remove]
		if (keys.some(key => key.startsWith("op/") || key.startsWith("servers/")))
			return this.answer(res, 403, {})
		const isTooLong = ({key, value}) =>
			Buffer.byteLength(key) > MAX_KEY_BYTES || (value.length * 3) / 4 > this.valueBytes
		if (puts.some(isTooLong)) return this.answer(res, 400, {})
		if (expected.some(({key, rev}) => (this.items.get(key)?.rev ?? 0) !== rev)) {
			const items = expected.map(({key}) => this.items.get(key)).filter(item => item)
			return this.answer(res, 412, {items, "at-rev": this.rev})
		}
		if (puts.some(({lease}) => lease && !this.leases.has(lease))) return this.answer(res, 404, {})
		for (const {key, value, lease} of puts) this.set(key, value, lease ?? 0)
		for (const key of remove) this.unset(key)
		this.onWrite(
			puts.map(({key, value}) => ({key, value: decode(value)})),
			remove,
			expected.length > 0,
		)
		this.wake()
		return this.answer(res, 200, {rev: this.rev})
	}

	answerLease(res, ttl) {
		const ttlMs = Math.max(MIN_TTL_MS, Math.min(600_000, ttl))
		const lease = ++this.leaseSerial
		this.leases.set(lease, {ttlMs, until: performance.now() + ttlMs})
		this.answer(res, 200, {lease, "ttl-ms": ttlMs})
	}

	answerKeep(res, id) {
		const lease = this.leases.get(id)
		if (!lease) return this.answer(res, 404, {})
		lease.until = performance.now() + lease.ttlMs
		return this.answer(res, 200, {lease: id, "ttl-ms": lease.ttlMs})
	}

	nextChange(ms) {
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
