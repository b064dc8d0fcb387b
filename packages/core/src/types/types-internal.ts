/**
 * The records of a journal, and the form in which the store holds them.
 */
import type {Outcome, SubmissionKey} from "./types-external.js"

/** An outcome as the journal keeps it, or the mark that it was too large to be kept. */
export type KeptOutcome = Outcome | "too large"

export type JournalRecord =
	| {readonly type: "intent"; readonly key: SubmissionKey; readonly digest: string}
	| {readonly type: "closed"; readonly key: SubmissionKey; readonly outcome: Outcome}
	| {readonly type: "done"; readonly key: SubmissionKey; readonly outcome: KeptOutcome}

/** One stored value of a journal: a batch of records, or the seal that ends it. */
export type JournalEntry =
	| {
			readonly nonce: string
			/** Wall-clock milliseconds of the writer; used only for trimming. */
			readonly at: number
			readonly records: readonly JournalRecord[]
	  }
	| {readonly nonce: string; readonly at: number; readonly sealedBy: string}
