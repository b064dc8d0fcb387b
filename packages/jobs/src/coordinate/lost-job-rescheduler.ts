/**
 * Places jobs anew whose placer fell silent, once every run of them is certainly over.
 *
 * It has no word of anybody for it: the coordinator knows the last time as of which it told the placer that a job is wanted, and
 * by the lease rule no run outlives that by much. Its caller waits on its open connection meanwhile.
 */
import type {Clock} from "@cottonwood/core"
import {rescheduleAt} from "../decide/rescheduling.js"
import type {LeaseRule} from "../decide/lease-rule.js"
import type {Queue} from "../types/fleet-config.js"
import type {Caller, Job, JobEnd} from "../types/job.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import {criticalPathMs, answerUsefulMs} from "./job-run.js"

/** What may have run at a placer that fell silent, and what came of the job as far as is known. */
export interface LostAtPlacer {
	readonly type: "lost"
	readonly cause: string
	/** The placer was told of no later time as of which the job was wanted, in steady milliseconds. */
	readonly lastConfirmedAt: number
}

/** A job as its caller handed it in. */
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

/** Brings a job to its end whose placer fell silent. */
export type RescheduleLostJob = (
	handedIn: SubmittedJob,
	lost: LostAtPlacer,
	tryPlacers: TryPlacers,
) => Promise<JobEnd>

/** Whether it ran is not known, so its caller may hand it in again. */
export function outcomeUnknown({cause}: LostAtPlacer): JobEnd {
	return {type: "given up", kind: "placer_lost", cause}
}

/** Whoever refuses a job after another placer had it can only say that it did not start it itself. */
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
	function placingTime(
		{job, queue}: SubmittedJob,
		{lastConfirmedAt: wantedAt}: LostAtPlacer,
	): number | undefined {
		const chainMs = criticalPathMs(job.steps)
		const usefulUntil = job.receivedAt + answerUsefulMs(job, queue)
		return rescheduleAt(leaseRule, {lastConfirmedAt: wantedAt, chainMs, usefulUntil}, clock.now())
	}

	/** Resolves at that time, with whether the caller still waits, or at once when it leaves. */
	function stillWantedAt({onCancel}: Caller, at: number): Promise<boolean> {
		return new Promise(resolve => {
			const stop = clock.schedule(at - clock.now(), () => resolve(true))
			onCancel(() => {
				stop()
				resolve(false)
			})
		})
	}

	function note(
		{id}: Job,
		{cause, lastConfirmedAt: wantedAt}: LostAtPlacer,
		outcome: string,
		waitedMs = 0,
	) {
		metrics.count("jobs_lost", outcome)
		const inputAgeMs = Number.isFinite(wantedAt) ? Math.round(clock.now() - wantedAt) : undefined
		const fields = {job: id, outcome, cause, inputAgeMs, waitedMs: Math.round(waitedMs)}
		log.alarm("job", "lost_at_placer", "job: its placer fell silent.", fields)
	}

	return async function placeAnew(handedIn, lost, tryPlacers): Promise<JobEnd> {
		const {job, queue, caller} = handedIn
		const lostAt = clock.now()
		const at = placingTime(handedIn, lost)
		if (at === undefined) {
			note(job, lost, "too late")
			return outcomeUnknown(lost)
		}
		if (!(await stillWantedAt(caller, at))) {
			note(job, lost, "cancelled")
			return {type: "given up", kind: "cancelled", cause: "its submitter left"}
		}
		const now = clock.now()
		note(job, lost, "placed anew", now - lostAt)
		// Judged as its caller's own return would be, and never beyond the caller's deadline.
		const end = await tryPlacers({...job, receivedAt: now}, queue, caller)
		return end.type === "lost" ? placeAnew(handedIn, end, tryPlacers) : endAfterLoss(lost, end)
	}
}
