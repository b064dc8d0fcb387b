/** Executor speeds: the interface that placers use, and the default that each placer learns for itself. */
import type {ExecutorRecord} from "../types/executor.js"
import type {TaskRequest} from "./run.js"

/** The cost of an executor for each multiple of its tasks' estimates. */
const SLOWNESS_WEIGHT = 1
/** Smoothing factor of one run. */
const SPEED_STEP = 0.15
/** Caps a run's time over its estimate. */
const MAX_SLOWNESS = 4

export interface Speeds {
	/** Adds an executor that may run tasks from now on. */
	add(executor: Pick<ExecutorRecord, "id" | "labels">): void
	/** Records a run's time over its estimate. */
	observe(executor: string, slowness: number): void
	/** Whether a run's progress shows its speed, after it has run for `ranEstimates` times its estimate. */
	isOverdue(executor: string, ranEstimates: number): boolean
	/** A run's slowness as it counts for its executor's health. */
	cappedSlowness(executor: string, slowness: number): number
	/** The cost of an executor's speed for a task. */
	costOf(executor: string, req: TaskRequest): number
	/** The expected run time over the estimate; 1 where it is not known well enough to plan by. */
	expectedSlowness(executor: string): number
	forget(executor: string): void
}

/** Exponentially smoothed speeds that are lost with their placer. */
export function createSmoothedSpeeds(): Speeds {
	const speeds = new Map<string, number>()
	return {
		add: () => undefined,
		observe(executor, slowness) {
			const speed = speeds.get(executor) ?? 1
			speeds.set(executor, speed + SPEED_STEP * (Math.min(MAX_SLOWNESS, slowness) - speed))
		},
		isOverdue: () => false,
		cappedSlowness: (_, slowness) => slowness,
		costOf: executor => SLOWNESS_WEIGHT * (speeds.get(executor) ?? 1),
		expectedSlowness: () => 1,
		forget: executor => void speeds.delete(executor),
	}
}
