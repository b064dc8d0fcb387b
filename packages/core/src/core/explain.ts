/**
 * A bounded in-memory log of the decisions taken for each submission, written by the owner and the
 * runs of submissions and read by `explain`.
 */
import type {SubmissionKey} from "../types/types-external.js"

/** The steps that `explain` reports. */
export type StepName =
	| "received"
	| "forwarded"
	| "admitted"
	| "joined"
	| "intended"
	| "queued"
	| "placed"
	| "retried"
	| "hedged"
	| "refused"
	| "failed"
	| "cancelled"
	| "answered"

export interface Step {
	/** Wall-clock milliseconds. */
	readonly at: number
	readonly step: StepName
	readonly cause: string
}

export interface Explainer {
	add(key: SubmissionKey, step: StepName, cause: string): void
	explain(key: SubmissionKey): readonly Step[]
}

const MAX_SUBMISSIONS = 5_000
const MAX_STEPS = 60

/** Keeps the newest submissions, and of each the first and the newest steps. */
export function createExplainer(wallNow: () => number): Explainer {
	const submissions = new Map<SubmissionKey, Step[]>()
	return {
		add(key, step, cause) {
			let list = submissions.get(key)
			if (!list) {
				if (submissions.size >= MAX_SUBMISSIONS)
					submissions.delete(submissions.keys().next().value!)
				list = []
				submissions.set(key, list)
			}
			if (list.length >= MAX_STEPS) list.splice(MAX_STEPS / 2, 1)
			list.push({at: wallNow(), step, cause})
		},
		explain: key => submissions.get(key) ?? [],
	}
}
