/**
 * Admission control: refuses attempts when the queue is full, the team is at its quota or the
 * deadline cannot be met. The retry-after time grows with the queue and has jitter.
 */
import {ok, type Result} from "neverthrow"
import {addJitterMs} from "../../utils/backoff.js"
import type {Clock} from "../../utils/clock.js"
import {fail, type DispatchError} from "../../utils/errors.js"
import type {Estimates} from "../estimates.js"

/** The attempts that a submission would queue. */
export interface AdmissionQuery {
	readonly pool: string
	readonly team: string
	readonly attempts: number
	readonly deadlineAt: number
	readonly kind: string
}

/** The current load of this instance. */
export interface Backlog {
	readonly total: number
	readonly inPool: number
	/** Queued and running attempts of the team. */
	readonly ofTeam: number
	/** Expected wait of a new attempt, in milliseconds. */
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

/** Returns an error with a retry-after time when the attempts must not be queued. */
export function checkAdmission(
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
