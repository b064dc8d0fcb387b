/**
 * The refusal of what cannot be queued now: a full queue, a team over its quota, or a deadline that
 * cannot be met. The time to come back grows with the queue and spreads the callers.
 */
import {ok, type Result} from "neverthrow"
import {addJitterMs} from "../../utils/backoff.js"
import type {Clock} from "../../utils/clock.js"
import {fail, type DispatchError} from "../../utils/errors.js"
import type {Estimates} from "../estimates.js"

/** What is asked before a submission is queued. */
export interface AdmissionQuery {
	readonly pool: string
	readonly team: string
	readonly attempts: number
	readonly deadlineAt: number
	readonly kind: string
}

/** What waits and runs here now. */
export interface Backlog {
	readonly total: number
	readonly inPool: number
	/** Of the team: waiting and running. */
	readonly ofTeam: number
	/** Milliseconds for which a new attempt would wait. */
	readonly waitMs: number
}

export interface AdmissionDeps {
	readonly clock: Clock
	readonly random: () => number
	readonly estimates: Estimates
	readonly maxQueued: (team: string) => number
	readonly maxQueuedTotal: () => number
}

const MIN_RETRY_AFTER_MS = 200
const MAX_RETRY_AFTER_MS = 10_000

function retryAfterMs(waitMs: number, random: () => number): number {
	return addJitterMs(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)), random)
}

/** Says whether attempts of a team could be queued now and end in time. */
export function admitTo(
	query: AdmissionQuery,
	deps: AdmissionDeps,
	backlog: Backlog,
): Result<void, DispatchError> {
	const {team, attempts, deadlineAt, kind} = query
	const {total, inPool, ofTeam, waitMs} = backlog
	const refuse = (
		reason: "overloaded" | "quota_exceeded" | "deadline_unreachable",
		detail: string,
	) => fail(reason, detail, {retryAfterMs: retryAfterMs(waitMs, deps.random)})
	if (total + attempts > deps.maxQueuedTotal()) {
		return refuse("overloaded", `${total} attempts wait here`)
	}
	if (ofTeam + attempts > deps.maxQueued(team)) {
		return refuse("quota_exceeded", `team ${team} has ${ofTeam} attempts here`)
	}
	const leftMs = deadlineAt - deps.clock.now()
	const neededMs = waitMs + deps.estimates.expectedMs(kind)
	if (inPool > 0 && neededMs > leftMs) {
		const detail = `about ${Math.round(neededMs)} ms needed, ${Math.round(leftMs)} ms left`
		return refuse("deadline_unreachable", detail)
	}
	return ok(undefined)
}
