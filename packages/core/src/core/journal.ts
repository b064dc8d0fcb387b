/**
 * The journal of a session: the durable record of the submissions that its owner may have started.
 *
 * A journal is a sequence of immutable values in the store, numbered from 0, each written by
 * create-if-absent. The owner appends by creating the next number. A successor seals by creating
 * the same number: the store accepts only one of the two, so the next append of a paused or
 * partitioned owner fails, and exclusion needs no clock. A create whose answer was lost is repeated
 * with the same content; the nonce in the value tells whether the first one took effect.
 *
 * Records that arrive during a write join the next one. A minimum spacing of writes keeps the fleet
 * within the store's rate.
 */
import {err, ok, type Result} from "neverthrow"
import {DispatchError} from "../utils/errors.js"
import {backoffMs} from "../utils/backoff.js"
import type {Clock} from "../utils/clock.js"
import type {JournalEntry, JournalRecord} from "../types/types-internal.js"

/** Entries per segment; a segment is trimmed by one call. */
export const SEGMENT_LENGTH = 256
const MAX_RECORDS_PER_ENTRY = 4_000
const MAX_PENDING_RECORDS = 20_000
const RETRY_BASE_MS = 20
const RETRY_CAP_MS = 1_000

/** The result of a create-if-absent; `unknown` when no answer arrived. */
export type CreateResult =
	| {readonly type: "created"}
	| {readonly type: "exists"; readonly entry: JournalEntry}
	| {readonly type: "unknown"}

export interface JournalDeps {
	readonly session: string
	readonly create: (seq: number, entry: JournalEntry) => Promise<CreateResult>
	readonly clock: Clock
	/** Minimum milliseconds between two writes; changes with the number of instances. */
	readonly spacingMs: () => number
	/** How long a lazily appended record may wait for another write, in milliseconds. */
	readonly lazyMs: number
	readonly random: () => number
	readonly onSealed: () => void
	/** Called after each attempt to write. */
	readonly onWrite?: (result: CreateResult["type"], tookMs: number, records: number) => void
	/** Test hook: with `false`, a write without an answer counts as done and is not repeated. */
	readonly guards?: {readonly readBack: boolean}
}

export interface Journal {
	/**
	 * Resolves once the record is durable; fails when the journal is sealed or its buffer is full.
	 */
	append(record: JournalRecord): Promise<Result<void, DispatchError>>
	/** Adds a record to the next write without waiting for it. */
	appendLazily(record: JournalRecord): void
	/** Resolves once everything appended so far is durable or the journal is sealed. */
	flush(): Promise<void>
	/** Milliseconds for which the current write has had no definite answer; 0 when idle. */
	stalledMs(): number
	isSealed(): boolean
}

interface Pending {
	readonly record: JournalRecord
	readonly settle?: (result: Result<void, DispatchError>) => void
}

export function isSeal(
	entry: JournalEntry,
): entry is Extract<JournalEntry, {readonly sealedBy: string}> {
	return "sealedBy" in entry
}

/**
 * Opens the journal of a new session.
 *
 * @example
 * const journal = openJournal({session: "e1.7f", create, clock, ...})
 * const durable = await journal.append({type: "intent", key, digest})
 */
export function openJournal(deps: JournalDeps): Journal {
	const {clock} = deps
	let seq = 0
	let pending: Pending[] = []
	let isWriting = false
	let isSealed = false
	let lastWriteAt = -Infinity
	let stalledSince: number | undefined
	let cancelLazy: (() => void) | undefined
	let idleWaiters: (() => void)[] = []

	function sealedError(): Result<void, DispatchError> {
		return err(new DispatchError("moved", `journal of ${deps.session} is sealed`))
	}

	function markSealed(batch: readonly Pending[]) {
		isSealed = true
		const unwritten = [...batch, ...pending]
		pending = []
		for (const item of unwritten) item.settle?.(sealedError())
		deps.onSealed()
	}

	/** Repeats a create until the store's answer is definite. */
	async function writeEntry(entry: JournalEntry, records: number): Promise<"durable" | "sealed"> {
		for (let attempt = 0; ; attempt++) {
			const startedAt = clock.now()
			stalledSince ??= startedAt
			const result = await deps.create(seq, entry)
			deps.onWrite?.(result.type, clock.now() - startedAt, records)
			if (result.type === "created") return "durable"
			if (result.type === "exists") {
				return result.entry.nonce === entry.nonce ? "durable" : "sealed"
			}
			if (deps.guards?.readBack === false) return "durable"
			await clock.sleep(backoffMs(attempt, RETRY_BASE_MS, RETRY_CAP_MS, deps.random))
		}
	}

	async function writeLoop() {
		while (pending.length > 0 && !isSealed) {
			const waitMs = lastWriteAt + deps.spacingMs() - clock.now()
			if (waitMs > 0) await clock.sleep(waitMs)
			lastWriteAt = clock.now()
			const batch = pending.slice(0, MAX_RECORDS_PER_ENTRY)
			pending = pending.slice(MAX_RECORDS_PER_ENTRY)
			const entry: JournalEntry = {
				nonce: `${deps.session}:${seq}`,
				at: clock.wallNow(),
				records: batch.map(item => item.record),
			}
			const written = await writeEntry(entry, batch.length)
			stalledSince = undefined
			if (written === "sealed") return markSealed(batch)
			seq++
			for (const item of batch) item.settle?.(ok(undefined))
		}
	}

	function startWriting() {
		cancelLazy?.()
		cancelLazy = undefined
		if (isWriting || isSealed) return
		isWriting = true
		void writeLoop().finally(() => {
			isWriting = false
			const waiters = idleWaiters
			idleWaiters = []
			for (const wake of waiters) wake()
		})
	}

	return {
		append(record) {
			if (isSealed) return Promise.resolve(sealedError())
			if (pending.length >= MAX_PENDING_RECORDS) {
				const full = new DispatchError("store_unavailable", "the journal's buffer is full")
				return Promise.resolve(err(full))
			}
			return new Promise(resolve => {
				pending.push({record, settle: resolve})
				startWriting()
			})
		},
		appendLazily(record) {
			if (isSealed || pending.length >= MAX_PENDING_RECORDS) return
			pending.push({record})
			if (!isWriting) cancelLazy ??= clock.schedule(deps.lazyMs, startWriting)
		},
		async flush() {
			while ((pending.length > 0 || isWriting) && !isSealed) {
				startWriting()
				await new Promise<void>(resolve => idleWaiters.push(resolve))
			}
		},
		stalledMs: () => (stalledSince === undefined ? 0 : clock.now() - stalledSince),
		isSealed: () => isSealed,
	}
}

export interface SealDeps {
	/** Returns the stored entries of a journal by ascending number; undefined without an answer. */
	readonly list: (
		session: string,
	) => Promise<readonly {readonly seq: number; readonly entry: JournalEntry}[] | undefined>
	readonly create: (session: string, seq: number, entry: JournalEntry) => Promise<CreateResult>
	readonly clock: Clock
	readonly nonce: () => string
}

const MAX_SEAL_TRIES = 50

/**
 * Seals the journal of another session and returns all of its records. Once it returns, the sealed
 * owner can never append again. Returns undefined when the store gave no definite answer.
 */
export async function sealJournal(
	session: string,
	by: string,
	deps: SealDeps,
): Promise<readonly JournalRecord[] | undefined> {
	for (let attempt = 0; attempt < MAX_SEAL_TRIES; attempt++) {
		const listed = await deps.list(session)
		if (listed === undefined) return undefined
		const last = listed.at(-1)
		if (last && isSeal(last.entry)) return recordsOf(listed.map(item => item.entry))
		const seq = last ? last.seq + 1 : 0
		const seal: JournalEntry = {nonce: deps.nonce(), at: deps.clock.wallNow(), sealedBy: by}
		const result = await deps.create(session, seq, seal)
		if (result.type === "unknown") return undefined
		if (result.type === "created") return recordsOf(listed.map(item => item.entry))
		// The owner or another successor created this number first, so look at the new tail.
	}
	return undefined
}

function recordsOf(entries: readonly JournalEntry[]): readonly JournalRecord[] {
	return entries.flatMap(entry => (isSeal(entry) ? [] : entry.records))
}
