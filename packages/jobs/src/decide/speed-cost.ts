/**
 * What an executor's speed speaks against it for one task.
 *
 * The load: executors several times as fast as others, urgent short tasks beside tasks with time to spare, and demand that rises
 * above what the fast ones can do. A slow executor is no worse than a fast one for a task that still ends in time there, so fast
 * ones stay free for what has none to lose; it is worse by as much as the task would be late. Where all would be late the fastest
 * wins. Tasks of one job are due together, so whatever executors they get, they end together as far as it matters.
 */
import type {TaskRequest} from "../place/run.js"

/** Estimates are off by 40%, so a task is expected to take this many times as long when its end is judged. */
const DOUBT = 1.5
/** At most as much as what else speaks against an executor; an executor that crashes under its tasks is worse than any slow one. */
const MOST_COST = 4

type Due = Pick<TaskRequest, "estimateMs" | "startBy">

/** 0 while the task ends in time there, then by how many of its estimates it would be late. */
export function speedCost(slowness: number, {estimateMs, startBy}: Due, now: number): number {
	const left = Math.max(0, (startBy - now) / Math.max(1, estimateMs) + 1)
	return Math.max(0, Math.min(MOST_COST, slowness * DOUBT - left))
}
