/** Which executors could run a task if they were idle: those of its service, with its label, and large enough. */
import type {ExecutorRecord} from "../types/executor.js"
import type {Step, TaskNeed} from "../types/job.js"

/** What a task requires of its executor. */
export interface TaskRequirements {
	readonly service: string
	readonly label?: string
	readonly need: TaskNeed
}

type Executor = Pick<ExecutorRecord, "service" | "labels" | "capacity">

/** Whether an executor has the task's service and label, whatever its size. */
export function suits({service, labels}: Executor, req: TaskRequirements): boolean {
	return service === req.service && (req.label === undefined || labels.includes(req.label))
}

/** Whether an executor could run the task if it were idle. */
export function couldRun(executor: Executor, req: TaskRequirements): boolean {
	const {cpu, memoryMb, accelerators} = executor.capacity
	const {need} = req
	const isLargeEnough =
		need.cpu <= cpu && need.memoryMb <= memoryMb && need.accelerators <= accelerators
	return isLargeEnough && suits(executor, req)
}

/** How many of the tasks an executor could run at the same time if it were idle. */
export function countThatCouldRun(
	executor: Executor,
	req: TaskRequirements & {readonly maxPerExecutor?: number},
): number {
	if (!couldRun(executor, req)) return 0
	const {cpu, memoryMb, accelerators} = executor.capacity
	const {need, maxPerExecutor = Infinity} = req
	return Math.min(
		countIn(cpu, need.cpu),
		countIn(memoryMb, need.memoryMb),
		countIn(accelerators, need.accelerators),
		maxPerExecutor,
	)
}

/** How often a need goes into a capacity. */
export const countIn = (free: number, need: number) =>
	need === 0 ? Infinity : Math.floor(free / need)

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
