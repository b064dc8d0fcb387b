/**
 * Writes the records of kept jobs to the store in batches; used by the keeper of one claim.
 *
 * Each transaction is conditional on the revisions of the claim and of each record. So a placer
 * that was replaced writes nothing, and a delayed transaction has no effect after its retry.
 * Transactions without an answer are retried until their outcome is known; a record names its
 * writer, which identifies own writes.
 *
 * A write that the store never takes is tried again record by record, so that it holds up no other record. A record that it
 * does not take waits for its next change; the job's end replaces it.
 */
import type {Clock, StoreItem, Transaction, TransactionalStore} from "@cottonwood/core"
import {
	endedJobKey,
	openJobKey,
	type EndedState,
	type EndRecord,
	type JobRecord,
} from "../types/kept-job.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import {isJobRecord} from "./record-validation.js"
import {endOnFailure} from "../utils/keep-going.js"

/** Maximum number of conditions, puts and removes in one transaction of the store. */
const MAX_ENTRIES = 32
/** The condition on the claim. */
const CLAIM_ENTRIES = 1
/** Two conditions and a put, or a condition, a put and a remove. */
const ENTRIES_PER_JOB = 3
const MAX_JOBS_PER_TRANSACTION = Math.floor((MAX_ENTRIES - CLAIM_ENTRIES) / ENTRIES_PER_JOB)
/** Allows 130 jobs/s when the store takes 300 ms to answer. */
const MAX_IN_FLIGHT = 4
/** Delay after a failed transaction, doubled up to the maximum. */
const MIN_RETRY_DELAY_MS = 40
const MAX_RETRY_DELAY_MS = 320

/** The key and revision of the claim on which all writes are conditional. */
export interface ClaimRevision {
	readonly key: string
	readonly revision: number
}

/** The result of a write. */
export type WriteOutcome =
	| "written"
	| "exists"
	| "withdrawn"
	| "ended elsewhere"
	| "deposed"
	/** The store does not take the record of a new job. */
	| "rejected"

export interface LedgerDeps {
	readonly clock: Clock
	readonly store: TransactionalStore
	readonly log: EventLog
	readonly metrics: JobMetrics
	/** Differs between placers, and between sessions of one instance. */
	readonly writer: string
	readonly claimRevision: ClaimRevision
	/** Minimum interval between transactions, from this placer's share of the store's write rate. */
	readonly spacingMs: () => number
	/** Called with the time of its sending when a transaction was done, and the claim thus in force. */
	readonly onClaimConfirmed: (sentAt: number) => void
	/** Called when the claim belongs to another placer; nothing more is written. */
	readonly onDeposed: () => void
	/** Called when another writer has marked the record as cancelled. */
	readonly onCancelAsked: (id: string) => void
	/** Called when the job has ended or was moved to another home. */
	readonly onGone: (id: string) => void
}

export interface Ledger {
	/** Writes a new job's record; resolves to `exists` when there is one already. */
	create(record: JobRecord): Promise<WriteOutcome>
	/** Abandons a creation; false if it may have been done or may still be done. */
	withdraw(id: string): boolean
	/** Registers a record that is already in the store. */
	adopt(record: JobRecord, revision: number): void
	/** Writes the changed record. */
	update(record: JobRecord): Promise<WriteOutcome>
	/** Replaces the record by the job's end. */
	finish(id: string, state: EndedState, endedAtMs: number): Promise<WriteOutcome>
	/** Writes the record with its new home and stops tracking the job. */
	release(record: JobRecord): Promise<WriteOutcome>
	close(): void
}

interface Waiter {
	readonly version: number
	readonly resolve: (written: WriteOutcome) => void
}

interface Entry {
	readonly id: string
	/** Identifies this entry in written records; a job that returns gets another. */
	readonly writerId: string
	record: JobRecord
	end: EndRecord | undefined
	isReleased: boolean
	/** 0 until the record is in the store. */
	revision: number
	/** Number of the latest requested change. */
	version: number
	/** Number of the latest change in the store. */
	written: number
	isInFlight: boolean
	/** A write without an answer may have been done or may still be done. */
	isOutcomeUnknown: boolean
	/** A missing record may then be the effect of an own write. */
	isEndSent: boolean
	/** A transaction with this record was rejected, maybe because of it. */
	goesAlone: boolean
	/** The change that the store does not take. */
	rejectedVersion: number | undefined
	readonly waiters: Waiter[]
}

/** Creates the ledger of one placer. */
export function createLedger(deps: LedgerDeps): Ledger {
	const {clock, store, log, metrics, claimRevision} = deps
	const entries = new Map<string, Entry>()
	let serial = 0
	let inFlight = 0
	let nextAt = -Infinity
	let retryDelayMs = 0
	let cancelFlush: (() => void) | undefined
	let isClosed = false

	function addEntry(record: JobRecord, revision: number): Entry {
		const entry = createEntry(record, revision, `${deps.writer}#${++serial}`)
		entries.set(record.id, entry)
		return entry
	}

	function requestWrite(entry: Entry | undefined): Promise<WriteOutcome> {
		if (isClosed) return Promise.resolve("deposed")
		if (!entry) return Promise.resolve("ended elsewhere")
		entry.version++
		scheduleFlush()
		return new Promise(resolve => entry.waiters.push({version: entry.version, resolve}))
	}

	function scheduleFlush() {
		if (cancelFlush || isClosed) return
		cancelFlush = clock.schedule(Math.max(0, nextAt - clock.now()), () => {
			cancelFlush = undefined
			flush()
		})
	}

	function flush() {
		if (isClosed || inFlight >= MAX_IN_FLIGHT) return
		const due = [...entries.values()].filter(isDue)
		if (due.length === 0) return
		nextAt = clock.now() + Math.max(retryDelayMs, deps.spacingMs())
		const batch = firstBatch(due)
		endOnFailure(send(batch))
		if (due.length > batch.length) scheduleFlush()
	}

	async function send(batch: readonly Entry[]) {
		inFlight++
		const versions = batch.map(sentVersion)
		for (const entry of batch) {
			entry.isInFlight = true
			entry.isEndSent ||= entry.end !== undefined && entry.revision > 0
		}
		const sentAt = clock.now()
		const result = await store.transact(buildTransaction(batch, deps))
		inFlight--
		for (const entry of batch) {
			entry.isInFlight = false
			entry.isOutcomeUnknown ||= result.type === "unknown"
		}
		metrics.count("ledger_writes", result.type)
		if (isClosed) return
		if (result.type === "done") {
			retryDelayMs = 0
			deps.onClaimConfirmed(sentAt)
			batch.forEach((entry, at) => handleDone(entry, versions[at] as number, result.revision))
		} else if (result.type === "conflict") handleConflict(batch, result.current)
		else if (result.type === "rejected") handleRejected(batch, versions)
		else handleFailure(result.type, batch.length)
		scheduleFlush()
	}

	function handleFailure(outcome: string, count: number) {
		retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, Math.max(MIN_RETRY_DELAY_MS, retryDelayMs * 2))
		log.event("store", "ledger_write_failed", "store: retrying a failed write.", {outcome, count})
	}

	function handleRejected(batch: readonly Entry[], versions: readonly number[]) {
		if (batch.length > 1) return batch.forEach(entry => void (entry.goesAlone = true))
		const [entry] = batch as [Entry]
		entry.rejectedVersion = versions[0]
		const fields = {job: entry.id, count: entry.record.done.length}
		log.alarm("store", "record_rejected", "store: does not take a job's record.", fields)
		if (entry.revision === 0 && !entry.isOutcomeUnknown) drop(entry, "rejected")
	}

	function handleDone(entry: Entry, version: number, revision: number) {
		const hasEnded = entry.isEndSent
		entry.goesAlone = false
		entry.revision = revision
		entry.written = version
		resolveWaiters(entry, entry.written, "written")
		if (hasEnded || (entry.isReleased && entry.written === entry.version)) drop(entry, "written")
	}

	function resolveWaiters(entry: Entry, version: number, written: WriteOutcome) {
		while (entry.waiters[0] && entry.waiters[0].version <= version)
			entry.waiters.shift()?.resolve(written)
	}

	function handleConflict(batch: readonly Entry[], current: readonly StoreItem[]) {
		const byKey = new Map(current.map(item => [item.key, item]))
		if (byKey.get(claimRevision.key)?.revision !== claimRevision.revision) return depose()
		for (const entry of batch) {
			const open = byKey.get(openJobKey(entry.id))
			if (open?.revision === entry.revision) continue
			if (open) handleOtherRevision(entry, open)
			else if (entry.revision > 0) handleMissing(entry)
			else if (byKey.has(endedJobKey(entry.id))) drop(entry, "exists")
		}
	}

	/** The revision differs after an own write without an answer, or a write by another. */
	function handleOtherRevision(entry: Entry, open: StoreItem) {
		const stored = open.value
		if (!isJobRecord(stored)) return handleInvalid(entry, open)
		const [writer, version] = (stored.writer ?? "").split("/")
		if (writer === entry.writerId) {
			entry.revision = open.revision
			entry.written = Math.max(entry.written, Number(version))
			return resolveWaiters(entry, entry.written, "written")
		}
		if (entry.revision === 0) return drop(entry, "exists")
		if (hasMoved(entry, stored)) return handleMissing(entry)
		entry.revision = open.revision
		if (stored.isCancelled) deps.onCancelAsked(entry.id)
	}

	/** The entry under the job's key is no record: the next write replaces it, if the job was accepted, which the placer runs. */
	function handleInvalid(entry: Entry, {key, revision}: StoreItem) {
		metrics.count("broken_assumptions", "job_record")
		const message = "store: another program's entry stands under a job's key."
		log.alarm("store", "record_replaced", message, {job: entry.id, detail: key})
		if (entry.revision === 0) return drop(entry, "rejected")
		entry.revision = revision
	}

	function handleMissing(entry: Entry) {
		if (entry.isEndSent || entry.isReleased) return drop(entry, "written")
		drop(entry, "ended elsewhere")
		deps.onGone(entry.id)
	}

	function drop(entry: Entry, written: WriteOutcome) {
		entries.delete(entry.id)
		resolveWaiters(entry, Infinity, written)
	}

	function depose() {
		const fields = {count: entries.size}
		log.alarm("store", "ledger_deposed", "store: lost the claim; stopped writing.", fields)
		close()
		deps.onDeposed()
	}

	function close() {
		isClosed = true
		cancelFlush?.()
		for (const entry of [...entries.values()]) drop(entry, "deposed")
	}

	return {
		create(record) {
			const known = entries.get(record.id)
			if (!known) return requestWrite(addEntry(record, 0))
			if (known.revision > 0) return Promise.resolve("exists")
			// A repeated creation gets the result of the write in flight.
			return new Promise(resolve => known.waiters.push({version: known.version, resolve}))
		},
		withdraw(id) {
			const entry = entries.get(id)
			if (!entry || entry.revision > 0 || entry.isInFlight || entry.isOutcomeUnknown) return false
			drop(entry, "withdrawn")
			return true
		},
		adopt: (record, revision) => void addEntry(record, revision),
		update(record) {
			const entry = entries.get(record.id)
			if (entry) entry.record = record
			return requestWrite(entry)
		},
		finish(id, state, endedAtMs) {
			const entry = entries.get(id)
			if (entry) entry.end = {state, endedAtMs}
			return requestWrite(entry)
		},
		release(record) {
			const entry = entries.get(record.id)
			if (entry) Object.assign(entry, {record, isReleased: true})
			return requestWrite(entry)
		},
		close,
	}
}

function createEntry(record: JobRecord, revision: number, writerId: string): Entry {
	return {
		id: record.id,
		writerId,
		record,
		end: undefined,
		isReleased: false,
		revision,
		version: 0,
		written: 0,
		isInFlight: false,
		isOutcomeUnknown: false,
		isEndSent: false,
		goesAlone: false,
		rejectedVersion: undefined,
		waiters: [],
	}
}

/** Whether an entry has a change that can be written now; an end replaces a record that the store does not take. */
function isDue({isInFlight, written, version, rejectedVersion, end}: Entry): boolean {
	return !isInFlight && written < version && (rejectedVersion !== version || end !== undefined)
}

/** The records of the next transaction, in order; one that may be rejected goes alone. */
function firstBatch(due: readonly Entry[]): readonly Entry[] {
	const [first] = due
	if (first?.goesAlone) return [first]
	return due.filter(({goesAlone}) => !goesAlone).slice(0, MAX_JOBS_PER_TRANSACTION)
}

/**
 * Whether the job has another home than this ledger's. The record of a released entry has the new home, whose placer may have
 * written progress since an own write without an answer.
 */
function hasMoved({isReleased, record}: Entry, stored: JobRecord): boolean {
	return isReleased === (stored.home === record.home)
}

/** A creation writes only the record; a requested end follows in the next transaction. */
function sentVersion({revision, end, version}: Entry): number {
	return revision === 0 && end ? version - 1 : version
}

function buildTransaction(batch: readonly Entry[], {claimRevision}: LedgerDeps): Transaction {
	const expect = [{key: claimRevision.key, revision: claimRevision.revision}]
	const puts: {key: string; value: unknown}[] = []
	const removes: string[] = []
	for (const entry of batch) {
		const {id, record, end, revision} = entry
		expect.push({key: openJobKey(id), revision})
		if (revision === 0) expect.push({key: endedJobKey(id), revision: 0})
		if (end && revision > 0) {
			puts.push({key: endedJobKey(id), value: end})
			removes.push(openJobKey(id))
		} else {
			const value = {...record, writer: `${entry.writerId}/${sentVersion(entry)}`}
			puts.push({key: openJobKey(id), value})
		}
	}
	return {expect, puts, removes}
}
