/**
 * The table of the submissions that an owner knows, kept until their retention time ends.
 */
import type {Outcome, SessionId, SubmissionKey} from "../types/types-external.js"
import {createCancellation, type CancellationSource} from "../utils/cancellation.js"

/** `parked`: the intent is durable, but no caller waits and nothing has started. */
export type EntryState = "pending" | "parked" | "running" | "done" | "closed" | "inherited"

export interface Entry {
	/** Empty when only the outcome was inherited. */
	readonly digest: string
	/** When the entry was added, in milliseconds on the monotonic clock. */
	readonly at: number
	readonly cancellation: CancellationSource
	state: EntryState
	/** Calls that wait for the outcome. */
	waiters: number
	outcome?: Outcome
	readonly settled: Promise<Outcome>
	readonly settle: (outcome: Outcome) => void
	/** The session whose journal had the intent. */
	past?: SessionId
}

export interface SubmissionTable {
	get(key: SubmissionKey): Entry | undefined
	add(key: SubmissionKey, digest: string, state: EntryState): Entry
	/** Removes a key whose record is certainly not in the journal, and settles its entry. */
	drop(key: SubmissionKey, entry: Entry, outcome: Outcome): void
	/** Removes the keys that are older than the retention time. */
	evict(retentionMs: number): void
	size(): number
	newest(limit: number): readonly {readonly key: SubmissionKey; readonly state: EntryState}[]
}

/** Sets the final state of an entry and settles its promise. */
export function finish(entry: Entry, state: EntryState, outcome: Outcome) {
	entry.state = state
	entry.outcome = outcome
	entry.settle(outcome)
}

export function createSubmissionTable(now: () => number): SubmissionTable {
	/** In order of age, since a map keeps the order of insertion. */
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
