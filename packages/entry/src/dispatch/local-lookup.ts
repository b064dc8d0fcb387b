/**
 * Looks up submissions that this instance owns, for the router and the peer server.
 */
import {
	DispatchError,
	outcomeOf,
	type Clock,
	type Outcome,
	type Owner,
	type SubmissionKey,
} from "@cottonwood/core"

export type FindResult =
	| {readonly type: "outcome"; readonly outcome: Outcome}
	| {readonly type: "running"}
	| {readonly type: "unknown key"}

/** Returns the outcome, or `running` when there is none within `waitMs` milliseconds. */
export async function findLocally(
	owner: Owner,
	clock: Clock,
	key: SubmissionKey,
	waitMs: number,
): Promise<FindResult> {
	const known = owner.find(key)
	if (!known) return {type: "unknown key"}
	if (known.state === "inherited") {
		const error = new DispatchError("outcome_unknown", "an earlier owner may have run it")
		return {type: "outcome", outcome: outcomeOf(error)}
	}
	const outcome = await Promise.race([known.settled, clock.sleep(waitMs)])
	return outcome ? {type: "outcome", outcome} : {type: "running"}
}
