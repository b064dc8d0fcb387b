/**
 * How fast a placer's executors are, as one placer learns it for itself.
 */
import type {ExecutorRecord} from "../types/executor.js"
import type {TaskRequest} from "./run.js"

/** How much an executor's slowness speaks against it. */
const SLOWNESS_WEIGHT = 1
/** How much one run moves the smoothed speed of its executor. */
const SPEED_STEP = 0.15
/** One run counts as at most this many times slower than its estimate. */
const MAX_SLOWNESS = 4

export interface Speeds {
	/** Notes what is told of an executor; it may run tasks from now on. */
	add(executor: Pick<ExecutorRecord, "id" | "labels">): void
	/** Notes a run's time over its estimate. */
	observe(executor: string, slowness: number): void
	/** Whether a run that goes on after so many of its estimates tells something already. */
	isOverdue(executor: string, ranEstimates: number): boolean
	/** What of a run's slowness counts when its executor is judged. */
	judged(executor: string, slowness: number): number
	/** What its speed speaks against an executor when a task may go there. */
	costOf(executor: string, req: TaskRequest): number
	/** How many times its estimates work is expected to take there; 1 where that is not known well enough to plan by. */
	expectedSlowness(executor: string): number
	forget(executor: string): void
}

/** Speeds that begin anew with each placer, smoothed alike from the first run to the last. */
export function createSpeeds(): Speeds {
	const speeds = new Map<string, number>()
	return {
		add: () => undefined,
		observe(executor, slowness) {
			const speed = speeds.get(executor) ?? 1
			speeds.set(executor, speed + SPEED_STEP * (Math.min(MAX_SLOWNESS, slowness) - speed))
		},
		isOverdue: () => false,
		judged: (_, slowness) => slowness,
		costOf: executor => SLOWNESS_WEIGHT * (speeds.get(executor) ?? 1),
		expectedSlowness: () => 1,
		forget: executor => void speeds.delete(executor),
	}
}
