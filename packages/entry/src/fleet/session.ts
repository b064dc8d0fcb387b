/**
 * This instance's session in the store: its lease, its published entry and its journal. A lapsed
 * session is never revived; a new one with a new journal replaces it.
 */
import {randomBytes} from "node:crypto"
import {
	openJournal,
	writeSpacingMs,
	type Clock,
	type Journal,
	type SessionId,
} from "@cottonwood/core"
import type {Log} from "../utils/log.js"
import type {Metrics} from "../utils/metrics.js"
import type {Store} from "@cottonwood/core"
import {createEntry, deleteSegment} from "./journals.js"
import {segmentOf, sessionKey} from "./keys.js"
import type {SessionInfo} from "./live-view.js"

export interface Session {
	/** Opens a session, and a new one whenever it is lost. */
	start(): void
	/** Returns undefined while no session is open. */
	id(): SessionId | undefined
	/** Returns the journal of the open session, or of the last one while none is open. */
	journal(): Journal
	/** Publishes that this instance is draining. */
	announceDraining(): Promise<void>
	/** Flushes the journal and revokes the lease, so that nobody waits for it to lapse. */
	end(): Promise<void>
}

export interface SessionDeps {
	readonly store: Store
	readonly clock: Clock
	readonly random: () => number
	readonly log: Log
	readonly metrics: Metrics
	readonly leaseTtlMs: number
	readonly describe: (session: SessionId) => SessionInfo
	readonly fleetWritesPerSecond: () => number
	readonly fleetSize: () => number
	readonly retentionMs: () => number
	/** Called when the session is lost; from then on its shards may have new owners. */
	readonly onLost: (session: SessionId) => void
	readonly onOpen: () => void
}

const LAZY_MS = 300
const OPEN_RETRY_MS = 500
const KEEPALIVES_PER_LEASE = 3
const TRIM_INTERVAL_MS = 30_000

interface OpenSession {
	readonly id: SessionId
	readonly lease: string
	readonly journal: Journal
	/** When each segment got its first entry, in milliseconds on the monotonic clock. */
	readonly segmentStarts: Map<number, number>
}

export function createSession(deps: SessionDeps): Session {
	const {store, clock} = deps
	let open: OpenSession | undefined
	let lastJournal: Journal | undefined
	let isEnded = false

	function newJournal(id: SessionId, segmentStarts: Map<number, number>): Journal {
		return openJournal({
			session: id,
			clock,
			random: deps.random,
			lazyMs: LAZY_MS,
			create: (seq, entry) => {
				const segment = segmentOf(seq)
				if (!segmentStarts.has(segment)) segmentStarts.set(segment, clock.now())
				return createEntry(store, id, seq, entry)
			},
			spacingMs: () => writeSpacingMs(deps.fleetWritesPerSecond(), deps.fleetSize()),
			onSealed: () => markLost(id, "its journal was sealed by a successor"),
			onWrite: (result, tookMs, records) => {
				deps.metrics.count(`journal.write.${result}`)
				if (result === "created") deps.metrics.count("journal.records", records)
				deps.metrics.gauge("journal.write_ms", tookMs)
			},
		})
	}

	async function openSession(): Promise<boolean> {
		const lease = await store.grantLease(deps.leaseTtlMs)
		if (lease === undefined) return false
		const info = deps.describe("")
		const id = `${info.instance}.${randomBytes(4).toString("hex")}`
		const put = await store.put(sessionKey(id), deps.describe(id), {lease})
		if (put.type !== "done") return false
		const segmentStarts = new Map<number, number>()
		const journal = newJournal(id, segmentStarts)
		open = {id, lease, journal, segmentStarts}
		lastJournal = journal
		deps.log.info(`Session ${id} is open.`)
		deps.onOpen()
		return true
	}

	function markLost(id: SessionId, cause: string) {
		if (open?.id !== id) return
		open = undefined
		deps.metrics.count("session.lost")
		deps.log.warn(`Session ${id} is lost: ${cause}.`)
		deps.onLost(id)
	}

	async function keepAlive(current: OpenSession) {
		const result = await store.keepAlive(current.lease)
		if (result === "gone") markLost(current.id, "its lease lapsed")
	}

	async function trim(current: OpenSession) {
		const newest = Math.max(-1, ...current.segmentStarts.keys())
		const oldest = clock.now() - 2 * deps.retentionMs()
		for (const [segment] of current.segmentStarts) {
			const endedAt = current.segmentStarts.get(segment + 1)
			if (segment === newest || endedAt === undefined || endedAt > oldest) continue
			if (!(await deleteSegment(store, current.id, segment))) return
			current.segmentStarts.delete(segment)
			deps.metrics.count("journal.trimmed")
		}
	}

	async function loop() {
		let trimmedAt = clock.now()
		while (!isEnded) {
			if (!open) {
				const isOpen = await openSession()
				if (!isOpen) await clock.sleep(OPEN_RETRY_MS * (1 + deps.random()))
				continue
			}
			await clock.sleep(deps.leaseTtlMs / KEEPALIVES_PER_LEASE)
			if (isEnded || !open) continue
			await keepAlive(open)
			if (!open || clock.now() - trimmedAt < TRIM_INTERVAL_MS) continue
			trimmedAt = clock.now()
			await trim(open)
		}
	}

	const idleJournal = newJournal("none", new Map())
	return {
		start: () => void loop(),
		id: () => open?.id,
		journal: () => open?.journal ?? lastJournal ?? idleJournal,
		async announceDraining() {
			if (open) await store.put(sessionKey(open.id), deps.describe(open.id), {lease: open.lease})
		},
		async end() {
			isEnded = true
			const last = open
			if (!last) return
			await Promise.race([last.journal.flush(), clock.sleep(deps.leaseTtlMs)])
			await store.revoke(last.lease)
		},
	}
}
