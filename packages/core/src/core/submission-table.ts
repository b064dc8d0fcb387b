/**
 * The submissions that an owner knows, for as long as their ids are kept.
 */
import type {Outcome, SessionId, SubmissionKey} from "../types/types-external.js"
import {createCancellation, type CancellationSource} from "../utils/cancellation.js"

/** `parked`: the intent is durable, nobody waited any more, and nothing has started. */
export type EntryState = "pending" | "parked" | "running" | "done" | "closed" | "inherited"

export interface Entry {
	/** Empty when only an answer was inherited. */
	readonly digest: string
	/** Monotonic milliseconds at which the key became known here. */
	readonly at: number
	readonly cancellation: CancellationSource
	state: EntryState
	/** Copies of the submission that still wait for an answer. */
	waiters: number
	outcome?: Outcome
	readonly settled: Promise<Outcome>
	readonly settle: (outcome: Outcome) => void
	/** The session whose journal listed the intent. */
	past?: SessionId
}

export interface SubmissionTable {
	get(key: SubmissionKey): Entry | undefined
	add(key: SubmissionKey, digest: string, state: EntryState): Entry
	/** Forgets a key whose record certainly did not reach the journal. */
	drop(key: SubmissionKey, entry: Entry, outcome: Outcome): void
	/** Forgets the keys that are older than the retention time. */
	evict(retentionMs: number): void
	size(): number
	newest(limit: number): readonly {readonly key: SubmissionKey; readonly state: EntryState}[]
}

/** Gives an entry its final state and wakes the copies that wait for it. */
export function finish(entry: Entry, state: EntryState, outcome: Outcome) {
	entry.state = state
	entry.outcome = outcome
	entry.settle(outcome)
}

export function createSubmissionTable(now: () => number): SubmissionTable {
	/** By age, since a map keeps the order of insertion. */
	const entries = new Map<SubmissionKey, Entry>()
	return {
		get: key => entries.get(key),
		add(key, digest, state) {
			let settle!: (outcome: Outcome) => void
			const settled = new Promise<Outcome>(resolve => (settle = resolve))
			const cancellation = createCancellation()
			const entry: Entry = {digest, at: now(), cancellation, state, waiters: 0, settled, settle}
			entries.set(key, entry)
			return entry
		},
		drop(key, entry, outcome) {
			entries.delete(key)
			finish(entry, "done", outcome)
		},
		evict(retentionMs) {
			const oldest = now() - retentionMs
			for (const [key, entry] of entries) {
				const isOpen = entry.state === "pending" || entry.state === "running"
				if (entry.at > oldest || isOpen) return
				entries.delete(key)
			}
		},
		size: () => entries.size,
		newest: limit => [...entries].slice(-limit).map(([key, {state}]) => ({key, state})),
	}
}
