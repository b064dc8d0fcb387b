/**
 * Whether orders or their answers get lost on the way to executors, and how long an answer takes: what a placer
 * saw of late, over all its executors.
 *
 * Where nothing gets lost, one call at a time to each executor is enough and the longest time-out does no harm.
 * Where some do, each one costs a short task its objective unless it is noticed within a fraction of that.
 */
import type {Clock} from "@cottonwood/core"

/** Troubles of this kind last seconds. */
const LOSSY_MS = 3_000
/** So many losses, one after the other, within so long: a single one is a pause of a process, here or there. */
const LOSSES = 3
const LOSSES_WITHIN_MS = 1_000
/** What is missed at one moment is one loss: a pause here makes all time-outs that are due fire at once. */
const ONE_MOMENT_MS = 20
/** An answer is missed after so many times the slowest one of late. */
const MISSED_FACTOR = 3
/** How much of the slowest answer is forgotten with each faster one. */
const FORGET_SHARE = 0.02
/** Pauses of the garbage collector here and there. */
const LEAST_TIMEOUT_MS = 25

export interface LossDetector {
	/** An order stayed without an answer, at an executor that was not silent before. */
	noteLost(): void
	/** An order's answer took so long. */
	noteAnswer(tookMs: number): void
	/** Whether orders were lost again and again a short while ago. */
	isLossy(): boolean
	/** After this an order that is answered at once counts as lost; at most `longestMs`. */
	timeoutMs(longestMs: number): number
}

export function createLossDetector(clock: Clock): LossDetector {
	/** When orders were lost of late, the last one last. */
	let lostAt: readonly number[] = []
	let lossyAt = -Infinity
	let slowestMs = 0
	return {
		noteLost() {
			const now = clock.now()
			if (now - (lostAt.at(-1) ?? -Infinity) < ONE_MOMENT_MS) return
			lostAt = [...lostAt, now].slice(-LOSSES)
			const [first = now] = lostAt
			if (lostAt.length === LOSSES && now - first <= LOSSES_WITHIN_MS) lossyAt = now
		},
		noteAnswer(tookMs) {
			slowestMs = Math.max(tookMs, slowestMs + FORGET_SHARE * (tookMs - slowestMs))
		},
		isLossy: () => clock.now() - lossyAt < LOSSY_MS,
		timeoutMs: longestMs =>
			Math.min(longestMs, Math.max(LEAST_TIMEOUT_MS, slowestMs * MISSED_FACTOR)),
	}
}
