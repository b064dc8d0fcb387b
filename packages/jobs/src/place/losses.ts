/**
 * Whether orders or their answers get lost on the way to executors, and how long an answer takes: what a placer
 * saw of late, over all its executors.
 *
 * Where nothing gets lost, one call at a time to each executor is enough and the longest time-out does no harm.
 * Where some do, each one costs a short task its objective unless it is noticed within a fraction of that.
 */
import type {Clock} from "@cottonwood/core"

/** One lost order makes the next ones likely; troubles of this kind last seconds. */
const LOSSY_MS = 3_000
/** An answer is missed after so many times the slowest one of late. */
const MISSED_FACTOR = 3
/** How much of the slowest answer is forgotten with each faster one. */
const FORGET_SHARE = 0.02
/** Pauses of the garbage collector here and there. */
const LEAST_TIMEOUT_MS = 20

export interface Losses {
	/** An order stayed without an answer. */
	noteLost(): void
	/** An order's answer took so long. */
	noteAnswer(tookMs: number): void
	/** Whether an order was lost a short while ago. */
	isLossy(): boolean
	/** After this an order that is answered at once counts as lost; at most `longestMs`. */
	timeoutMs(longestMs: number): number
}

export function createLosses(clock: Clock): Losses {
	let lostAt = -Infinity
	let slowestMs = 0
	return {
		noteLost() {
			lostAt = clock.now()
		},
		noteAnswer(tookMs) {
			slowestMs = Math.max(tookMs, slowestMs + FORGET_SHARE * (tookMs - slowestMs))
		},
		isLossy: () => clock.now() - lostAt < LOSSY_MS,
		timeoutMs: longestMs =>
			Math.min(longestMs, Math.max(LEAST_TIMEOUT_MS, slowestMs * MISSED_FACTOR)),
	}
}
