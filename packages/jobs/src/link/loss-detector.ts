/**
 * Detects whether orders to executors or their answers get lost, from all executors of one placer,
 * and derives the time-out of an order.
 *
 * Without losses one call at a time to each executor and the longest time-out suffice. With losses,
 * each must be noticed within a fraction of a short task's slack.
 */
import type {Clock} from "@cottonwood/core"

/** How long the link counts as lossy after the last cluster of losses. */
const LOSSY_MS = 3_000
/**
 * This many losses within the window count as lossy; a single one may be a pause of either process.
 */
const LOSS_COUNT = 3
const LOSS_WINDOW_MS = 1_000
/**
 * Time-outs this close together count as one loss: a pause of this process makes all due ones fire
 * at once.
 */
const SAME_LOSS_MS = 20
/** The time-out is this multiple of the slowest recent answer. */
const TIMEOUT_FACTOR = 3
/** The share by which each faster answer lowers the slowest one. */
const DECAY_SHARE = 0.02
/** Allows for garbage collection on both sides. */
const MIN_TIMEOUT_MS = 25

export interface LossDetector {
	/** Records that an order got no answer, at an executor that was not silent before. */
	noteLost(): void
	/** Records how long an order's answer took. */
	noteAnswer(tookMs: number): void
	/** Whether orders were lost repeatedly in the last seconds. */
	isLossy(): boolean
	/**
	 * The time after which an order that is answered at once counts as lost, in milliseconds; at
	 * most `longestMs`.
	 */
	timeoutMs(longestMs: number): number
}

export function createLossDetector(clock: Clock): LossDetector {
	/** Times of the latest losses, oldest first. */
	let lostAt: readonly number[] = []
	let lossyAt = -Infinity
	let slowestMs = 0
	return {
		noteLost() {
			const now = clock.now()
			if (now - (lostAt.at(-1) ?? -Infinity) < SAME_LOSS_MS) return
			lostAt = [...lostAt, now].slice(-LOSS_COUNT)
			const [first = now] = lostAt
			if (lostAt.length === LOSS_COUNT && now - first <= LOSS_WINDOW_MS) lossyAt = now
		},
		noteAnswer(tookMs) {
			slowestMs = Math.max(tookMs, slowestMs + DECAY_SHARE * (tookMs - slowestMs))
		},
		isLossy: () => clock.now() - lossyAt < LOSSY_MS,
		timeoutMs: longestMs =>
			Math.min(longestMs, Math.max(MIN_TIMEOUT_MS, slowestMs * TIMEOUT_FACTOR)),
	}
}
