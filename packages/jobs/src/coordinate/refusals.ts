/** Builds, counts and logs the refusal of a job by admission. */
import {retryAfterMsOf, type RefusalReason} from "../decide/admission.js"
import type {Forecast} from "../decide/forecast.js"
import type {Share} from "../decide/shares.js"
import type {Job, JobEnd} from "../types/job.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"

/** Up to this difference from its share a queue counts as even. */
const EVEN_EXCESS = 0.02

export type Refusal = Extract<JobEnd, {type: "refused"}>

export interface RefusalDetails {
	readonly reason: RefusalReason
	readonly share: Share
	readonly told: Forecast
	/** Forecast time until there is enough room, in milliseconds. */
	readonly roomInMs: number
	/** Time from the job's arrival to the decision, in milliseconds. */
	readonly waitedMs: number
}

interface RefusalSinks {
	readonly log: EventLog
	readonly metrics: JobMetrics
}

function standingOf({excess}: Share): "above" | "even" | "below" {
	if (Math.abs(excess) <= EVEN_EXCESS) return "even"
	return excess > 0 ? "above" : "below"
}

const finiteMs = (ms: number) => (Number.isFinite(ms) ? Math.round(ms) : undefined)
const roundToHundredths = (ratio: number) => Math.round(ratio * 100) / 100

/** Counts and logs a refusal, and returns the answer for the caller. */
export function createRefusal(
	{id, queue}: Job,
	facts: RefusalDetails,
	{log, metrics}: RefusalSinks,
): Refusal {
	const {reason, share, told, roomInMs, waitedMs} = facts
	const retryAfterMs = retryAfterMsOf(id, roomInMs)
	metrics.count("admission_refusals", `${reason}_${standingOf(share)}`)
	log.alarm("job", "admission_refused", "job: refused by its placer's forecast.", {
		job: id,
		queue,
		outcome: reason,
		waitedMs: Math.round(waitedMs),
		startInMs: finiteMs(told.startInMs),
		endInMs: finiteMs(told.endInMs),
		servedRatio: roundToHundredths(share.servedRatio),
		dueRatio: roundToHundredths(share.dueRatio),
		retryAfterMs,
	})
	const startIn = finiteMs(told.startInMs)
	const forecast = startIn === undefined ? "no start is forecast" : `a start in ${startIn} ms`
	const kind = reason === "no_executor" ? "no_capacity" : "overloaded"
	return {type: "refused", kind, cause: `${reason}: ${forecast}`, retryAfterMs}
}
