/** Which executors could run a task if they were idle: those of its service, with its label, and large enough. */
import type {ExecutorRecord} from "../types/executor.js"
import type {Step, TaskNeed} from "../types/job.js"

/** What a task requires of its executor. */
export interface TaskRequirements {
	readonly service: string
	readonly need: TaskNeed
	readonly label?: string
}

export function couldRun(
	{service, capacity, labels}: Pick<ExecutorRecord, "service" | "capacity" | "labels">,
	req: TaskRequirements,
): boolean {
	if (service !== req.service) return false
	if (req.label !== undefined && !labels.includes(req.label)) return false
	const {cpu, memoryMb, accelerators} = req.need
	return (
		cpu <= capacity.cpu && memoryMb <= capacity.memoryMb && accelerators <= capacity.accelerators
	)
}

/** Whether one of the executors could run a step's tasks and is not leaving. */
export function couldRunStep(
	executors: readonly ExecutorRecord[],
	{need, label}: Step,
	service: string,
): boolean {
	return executors.some(
		executor => !executor.isLeaving && couldRun(executor, {service, need, label}),
	)
}
