/**
 * Whether a job is taken by its placer when it comes, and whether one that waits is still worth its wait.
 *
 * It answers more work than there is room for. What cannot be in time is refused at once, while another domain may take
 * it and its caller has time to come back. The work that may wait is bounded, since behind a long backlog everybody is
 * late; a queue that has had more than its due meets a lower bound than one that has had less, so that no kind of
 * request pays for all. What cannot be in time but is of use until its deadline waits behind all that can be, as long as
 * the room is forecast to carry more than what is asked for.
 */
import type {Forecast} from "./forecast.js"
import type {Share} from "./shares.js"

/** Estimates are not good enough to refuse for a wait shorter than this. */
export const SHORT_WAIT_MS = 30
/** The work that may wait, as a share of the time that a job can wait and be in time. */
const BACKLOG_SLACKS = 0.5
/** A lead by this share of what a queue asked for halves its bound, or doubles it when it is behind. */
const LEAD_HALF = 0.02
const LEAST_FACTOR = 0.1
const MOST_FACTOR = 4
/** Late work is taken while less than this share of the room is asked for. */
const LATE_ROOM_SHARE = 0.5
/** Queues nearer to each other than this stand alike. */
const PUSH_LEAD = 0.02

/** Why a job was refused: one of a bounded set of words. */
export type RefusalReason = "no_executor" | "not_in_time" | "backlog" | "pushed_out" | "turned_bad"

export type Verdict =
	| {readonly type: "admitted"}
	/** It is of use until its deadline, and goes behind all that is in time. */
	| {readonly type: "late"}
	| {readonly type: "refused"; readonly reason: RefusalReason; readonly roomInMs: number}

export interface AdmissionInput {
	readonly forecast: Forecast
	/** What waits in all, as time on the sound executors, in milliseconds. */
	readonly backlogMs: number
	/** How long it can wait and be in time, in milliseconds; below 0 when it is late already. */
	readonly slackMs: number
	/** How long it can wait and end while it is of use, in milliseconds. */
	readonly usefulMs: number
	readonly share: Share
	/** Work asked for of late, as a share of what the sound executors carry. */
	readonly requestedRatio: number
	/** Late work that waits already, as time on the sound executors, in milliseconds. */
	readonly lateBacklogMs: number
}

const ADMITTED: Verdict = Object.freeze({type: "admitted"})
const LATE: Verdict = Object.freeze({type: "late"})

/** How long the backlog may be for a job, by its slack and by how its queue stands. */
export function longestBacklogMs(slackMs: number, {excess: lead}: Share): number {
	const factor = Math.min(MOST_FACTOR, Math.max(LEAST_FACTOR, 2 ** (-lead / LEAD_HALF)))
	return Math.max(0, slackMs) * BACKLOG_SLACKS * factor
}

export function isInTime({startInMs}: Forecast, slackMs: number): boolean {
	return startInMs <= Math.max(slackMs, SHORT_WAIT_MS)
}

export function decideAdmission(asked: AdmissionInput): Verdict {
	const {forecast, backlogMs, slackMs, share} = asked
	const boundMs = longestBacklogMs(slackMs, share)
	const canBeInTime = isInTime(forecast, slackMs)
	if (canBeInTime && backlogMs <= boundMs) return ADMITTED
	if (!canBeInTime && mayBeLate(asked)) return LATE
	const roomInMs = Math.max(0, backlogMs - boundMs)
	if (forecast.startInMs === Infinity) return {type: "refused", reason: "no_executor", roomInMs}
	return {type: "refused", reason: canBeInTime ? "backlog" : "not_in_time", roomInMs}
}

/** Whether a job of which nothing has started should go on waiting. */
export function shouldKeepWaiting(asked: AdmissionInput): boolean {
	const {forecast, slackMs} = asked
	return (slackMs > 0 && isInTime(forecast, slackMs)) || mayBeLate(asked)
}

/** For a caller who still wants it a late answer beats none, while it costs nobody else theirs. */
function mayBeLate({
	forecast,
	usefulMs,
	requestedRatio: askedOfRoom,
	lateBacklogMs,
	backlogMs,
}: AdmissionInput): boolean {
	if (askedOfRoom >= LATE_ROOM_SHARE) return false
	const spare = 1 - askedOfRoom
	// What is in time goes first all the while, so late work gets only what that leaves of the room.
	const startInMs = Math.max(forecast.startInMs, (backlogMs + lateBacklogMs) / spare)
	return startInMs <= usefulMs
}

export interface WaitingJob {
	readonly slackMs: number
	readonly share: Share
	/** Core-milliseconds. */
	readonly work: number
}

/** Which of the last that wait is refused in the newcomer's place: one of a queue that has had more than its due. */
export function chooseJobToEvict<T extends WaitingJob>(
	newcomer: WaitingJob,
	lastWaiting: readonly T[],
): T | undefined {
	let best: T | undefined
	for (const waiting of lastWaiting) {
		if (waiting.slackMs <= newcomer.slackMs || waiting.work < newcomer.work) continue
		if (waiting.share.excess - newcomer.share.excess <= PUSH_LEAD) continue
		if (!best || waiting.share.excess > best.share.excess) best = waiting
	}
	return best
}

/** Those that are refused together come back over this long. */
const RETRY_SPREAD_MS = 2_000
const LONGEST_RETRY_MS = 10_000

/** When a caller should come back: once there is forecast to be room, not all at the same moment. */
export function retryAfterMsOf(id: string, roomInMs: number): number {
	const waitMs = Number.isFinite(roomInMs) ? Math.max(0, Math.round(roomInMs)) : 0
	return Math.min(waitMs, LONGEST_RETRY_MS) + 1 + (hashOf(id) % RETRY_SPREAD_MS)
}

/** Whether another instance's word on when to come back can be true. */
export function isRetryAfter(ms: unknown): ms is number {
	return typeof ms === "number" && ms > 0 && ms <= LONGEST_RETRY_MS + RETRY_SPREAD_MS
}

const HASH_FACTOR = 31

function hashOf(id: string): number {
	let hash = 7
	for (let at = 0; at < id.length; at++) hash = (hash * HASH_FACTOR + id.charCodeAt(at)) >>> 0
	return hash
}
