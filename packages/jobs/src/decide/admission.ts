/**
 * Admission control under overload: decides whether a placer admits an arriving job, and whether a waiting job keeps waiting.
 *
 * A job that cannot meet its objective is refused at once, while another domain may still take it and its caller has time to
 * retry. The backlog is bounded, since behind a long one every job is late. The bound is lower for a queue that received more
 * than its fair share, so that no kind of request pays for all. A late job that is useful until its deadline waits
 * behind all others while there is spare capacity.
 */
import type {Forecast} from "./forecast.js"
import type {Share} from "./shares.js"

/** Estimates are too rough to refuse a job for a shorter wait. */
export const SHORT_WAIT_MS = 30
/** The longest backlog, as a share of the job's slack. */
const MAX_BACKLOG_SLACK_RATIO = 0.5
/** An excess of this much halves the queue's bound; a deficit of this much doubles it. */
const HALVING_EXCESS = 0.02
const MIN_FACTOR = 0.1
const MAX_FACTOR = 4
/** Late jobs are admitted while requested work is below this share of the capacity. */
const MAX_RATIO_FOR_LATE = 0.5
/** A smaller difference in excess does not justify an eviction. */
const MIN_EVICTION_EXCESS = 0.02

/** Why a job was refused; a metric label, so the set is bounded. */
export type RefusalReason = "no_executor" | "not_in_time" | "backlog" | "pushed_out" | "turned_bad"

export type AdmissionDecision =
	| {readonly type: "admitted"}
	/** Queued behind all jobs that can meet their objective. */
	| {readonly type: "late"}
	| {readonly type: "refused"; readonly reason: RefusalReason; readonly roomInMs: number}

export interface AdmissionInput {
	readonly forecast: Forecast
	/** All waiting work, as milliseconds on the healthy executors. */
	readonly backlogMs: number
	/** How long the job can wait and still meet its objective, in milliseconds; negative once it is late. */
	readonly slackMs: number
	/** How long the job can wait and still be useful, in milliseconds. */
	readonly usefulMs: number
	readonly share: Share
	/** Recently requested work over the capacity of the healthy executors. */
	readonly requestedRatio: number
	/** Waiting late work, as milliseconds on the healthy executors. */
	readonly lateBacklogMs: number
}

const ADMITTED: AdmissionDecision = Object.freeze({type: "admitted"})
const LATE: AdmissionDecision = Object.freeze({type: "late"})

/** The longest backlog behind which a job is admitted, in milliseconds. */
export function maxBacklogMs(slackMs: number, {excess}: Share): number {
	const factor = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, 2 ** (-excess / HALVING_EXCESS)))
	return Math.max(0, slackMs) * MAX_BACKLOG_SLACK_RATIO * factor
}

export function isInTime({startInMs}: Forecast, slackMs: number): boolean {
	return startInMs <= Math.max(slackMs, SHORT_WAIT_MS)
}

export function decideAdmission(input: AdmissionInput): AdmissionDecision {
	const {forecast, backlogMs, slackMs, share} = input
	const boundMs = maxBacklogMs(slackMs, share)
	const canBeInTime = isInTime(forecast, slackMs)
	if (canBeInTime && backlogMs <= boundMs) return ADMITTED
	if (!canBeInTime && mayAdmitLate(input)) return LATE
	const roomInMs = Math.max(0, backlogMs - boundMs)
	if (forecast.startInMs === Infinity) return {type: "refused", reason: "no_executor", roomInMs}
	return {type: "refused", reason: canBeInTime ? "backlog" : "not_in_time", roomInMs}
}

/** Whether a job of which no task has started should stay queued. */
export function shouldKeepWaiting(input: AdmissionInput): boolean {
	const {forecast, slackMs} = input
	return (slackMs > 0 && isInTime(forecast, slackMs)) || mayAdmitLate(input)
}

/** A late answer is better than none, as long as it delays no job that can be in time. */
function mayAdmitLate({
	forecast,
	usefulMs,
	requestedRatio,
	lateBacklogMs,
	backlogMs,
}: AdmissionInput): boolean {
	if (requestedRatio >= MAX_RATIO_FOR_LATE) return false
	const spare = 1 - requestedRatio
	// Jobs in time go first, so late jobs get only the spare capacity.
	const startInMs = Math.max(forecast.startInMs, (backlogMs + lateBacklogMs) / spare)
	return startInMs <= usefulMs
}

export interface WaitingJob {
	readonly slackMs: number
	readonly share: Share
	/** Core-milliseconds. */
	readonly work: number
}

/** The waiting job to refuse instead of the newcomer: less urgent, no smaller, and of a queue with a greater excess. */
export function chooseJobToEvict<T extends WaitingJob>(
	newcomer: WaitingJob,
	lastWaiting: readonly T[],
): T | undefined {
	let best: T | undefined
	for (const waiting of lastWaiting) {
		if (waiting.slackMs <= newcomer.slackMs || waiting.work < newcomer.work) continue
		if (waiting.share.excess - newcomer.share.excess <= MIN_EVICTION_EXCESS) continue
		if (!best || waiting.share.excess > best.share.excess) best = waiting
	}
	return best
}

/** Spreads the retries of jobs that were refused together. */
const RETRY_SPREAD_MS = 2_000
const MAX_RETRY_MS = 10_000

/** When the caller should retry, in milliseconds: once capacity is forecast, spread by the job's id. */
export function retryAfterMsOf(id: string, roomInMs: number): number {
	const waitMs = Number.isFinite(roomInMs) ? Math.max(0, Math.round(roomInMs)) : 0
	return Math.min(waitMs, MAX_RETRY_MS) + 1 + (hashOf(id) % RETRY_SPREAD_MS)
}

/** Whether a value received from another instance is a valid retry time. */
export function isRetryAfter(ms: unknown): ms is number {
	return typeof ms === "number" && ms > 0 && ms <= MAX_RETRY_MS + RETRY_SPREAD_MS
}

const HASH_FACTOR = 31

function hashOf(id: string): number {
	let hash = 7
	for (let at = 0; at < id.length; at++) hash = (hash * HASH_FACTOR + id.charCodeAt(at)) >>> 0
	return hash
}
