/**
 * Types that the parts of the core share and that are not part of the public surface.
 */
import type {Outcome, SubmissionKey} from "./types-external.js"

/** An answer small enough to be kept in the journal, or only the mark that there was one. */
export type KeptOutcome = Outcome | "too large"

/** One record of a journal. */
export type JournalRecord =
	| {readonly type: "intent"; readonly key: SubmissionKey; readonly digest: string}
	| {readonly type: "closed"; readonly key: SubmissionKey; readonly outcome: Outcome}
	| {readonly type: "done"; readonly key: SubmissionKey; readonly outcome: KeptOutcome}

/** One value of a journal in the store: a batch of records, or the seal that ends it. */
export type JournalEntry =
	| {
			readonly nonce: string
			/** Wall-clock milliseconds of the writer; used only to trim. */
			readonly at: number
			readonly records: readonly JournalRecord[]
	  }
	| {readonly nonce: string; readonly at: number; readonly sealedBy: string}
