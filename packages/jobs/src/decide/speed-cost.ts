/**
 * The cost of an executor's speed for one task, for the choice of an executor.
 *
 * A slow executor costs nothing for a task that still ends in time there, so fast executors stay free for urgent tasks.
 * Otherwise the cost is how late the task would be, so the fastest executor wins when the task would be late on all. The tasks of
 * a job are due together, so it matters little which of them gets which executor.
 */
import type {TaskRequest} from "../place/run.js"

/** Safety factor for estimates, which are off by 40%. */
const ESTIMATE_MARGIN = 1.5
/** Below the penalty for sharing an executor with a suspect of crashes. */
const MAX_COST = 4

type Due = Pick<TaskRequest, "estimateMs" | "startBy">

/** 0 if the task ends in time there, else how late it would be, in multiples of its estimate. */
export function speedCost(slowness: number, {estimateMs, startBy}: Due, now: number): number {
	const budget = Math.max(0, (startBy - now) / Math.max(1, estimateMs) + 1)
	return Math.max(0, Math.min(MAX_COST, slowness * ESTIMATE_MARGIN - budget))
}
