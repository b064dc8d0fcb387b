/**
 * Reschedules a job whose placer stopped responding, once every run of it has certainly ended. Used by the dispatcher.
 *
 * The coordinator knows the last time as of which it confirmed the job to the placer, and by the lease rule no run outlives
 * that for long. The caller waits on its open connection.
 */
import type {Clock} from "@cottonwood/core"
import {rescheduleAt} from "../decide/rescheduling.js"
import type {LeaseRule} from "../decide/lease-rule.js"
import type {Queue} from "../types/fleet-config.js"
import type {Caller, Job, JobEnd} from "../types/job.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import {criticalPathMs, answerUsefulMs} from "./job-run.js"

/** A job whose placer stopped responding; it may have run there. */
export interface LostAtPlacer {
	readonly type: "lost"
	readonly cause: string
	/**
	 * The last time as of which the placer was told that the job is wanted, in milliseconds on the monotonic clock.
	 * Infinity: unknown.
	 */
	readonly lastConfirmedAt: number
}

/** A job with its queue and caller, as submitted. */
export interface SubmittedJob {
	readonly job: Job
	readonly queue: Queue
	readonly caller: Caller
}

export interface LostJobReschedulerDeps {
	readonly clock: Clock
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly leaseRule: LeaseRule
}

export type TryPlacers = (job: Job, queue: Queue, caller: Caller) => Promise<JobEnd | LostAtPlacer>

/** Resolves with the end of a job whose placer stopped responding. */
export type RescheduleLostJob = (
	submitted: SubmittedJob,
	lost: LostAtPlacer,
	tryPlacers: TryPlacers,
) => Promise<JobEnd>

/** The end of a job of which it isn't known whether it ran; its caller may submit it again. */
export function outcomeUnknown({cause}: LostAtPlacer): JobEnd {
	return {type: "given up", kind: "placer_lost", cause}
}

/** A refusal after a loss only speaks for the last placer, so the outcome stays unknown. */
function endAfterLoss(lost: LostAtPlacer, end: JobEnd): JobEnd {
	if (end.type !== "refused") return end
	return outcomeUnknown({...lost, cause: `${lost.cause}; then ${end.cause}`})
}

export function createRescheduler({
	clock,
	log,
	metrics,
	leaseRule,
}: LostJobReschedulerDeps): RescheduleLostJob {
	function rescheduleTime(
		{job, queue}: SubmittedJob,
		{lastConfirmedAt}: LostAtPlacer,
	): number | undefined {
		const chainMs = criticalPathMs(job.steps)
		const usefulUntil = job.receivedAt + answerUsefulMs(job, queue)
		return rescheduleAt(leaseRule, {lastConfirmedAt, chainMs, usefulUntil}, clock.now())
	}

	/** Resolves with true at that time, or with false as soon as the caller leaves. */
	function waitUnlessCancelled({onCancel}: Caller, at: number): Promise<boolean> {
		return new Promise(resolve => {
			const stop = clock.schedule(at - clock.now(), () => resolve(true))
			onCancel(() => {
				stop()
				resolve(false)
			})
		})
	}

	function record(
		{id}: Job,
		{cause, lastConfirmedAt}: LostAtPlacer,
		outcome: string,
		waitedMs = 0,
	) {
		metrics.count("jobs_lost", outcome)
		const inputAgeMs = Number.isFinite(lastConfirmedAt)
			? Math.round(clock.now() - lastConfirmedAt)
			: undefined
		const fields = {job: id, outcome, cause, inputAgeMs, waitedMs: Math.round(waitedMs)}
		log.alarm("job", "lost_at_placer", "job: the placer stopped responding.", fields)
	}

	return async function reschedule(submitted, lost, tryPlacers): Promise<JobEnd> {
		const {job, queue, caller} = submitted
		const lostAt = clock.now()
		const at = rescheduleTime(submitted, lost)
		if (at === undefined) {
			record(job, lost, "too late")
			return outcomeUnknown(lost)
		}
		if (!(await waitUnlessCancelled(caller, at))) {
			record(job, lost, "cancelled")
			return {type: "given up", kind: "cancelled", cause: "its submitter left"}
		}
		const now = clock.now()
		record(job, lost, "placed anew", now - lostAt)
		// Counts as a new arrival, as if the caller had submitted it again, but within the original deadline.
		const end = await tryPlacers({...job, receivedAt: now}, queue, caller)
		return end.type === "lost" ? reschedule(submitted, end, tryPlacers) : endAfterLoss(lost, end)
	}
}
