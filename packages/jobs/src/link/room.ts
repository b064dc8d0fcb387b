/**
 * Free capacity of one executor, and which tasks may share it.
 */
import type {ExecutorRecord} from "../types/executor.js"
import type {Run, TaskRequest} from "../place/run.js"

/** The part of a link's state that determines its free capacity. */
export interface LinkRoom {
	readonly record: ExecutorRecord
	readonly runs: ReadonlyMap<string, Run>
	readonly used: {cpu: number; memoryMb: number; accelerators: number}
}

export function freeCpu({record, used}: LinkRoom): number {
	return record.capacity.cpu - used.cpu
}

export function hasRoom({record, used}: LinkRoom, {need}: Pick<TaskRequest, "need">): boolean {
	const {capacity} = record
	return (
		used.cpu + need.cpu <= capacity.cpu &&
		used.memoryMb + need.memoryMb <= capacity.memoryMb &&
		used.accelerators + need.accelerators <= capacity.accelerators
	)
}

/** Whether a run there must have the executor to itself, since it may crash it. */
function hasIsolatedRun({runs}: LinkRoom): boolean {
	for (const {req} of runs.values()) if (req.isolation === "required") return true
	return false
}

/**
 * Whether a task that should run alone would share the executor, or another would share it with
 * such a task.
 */
export function isShared({runs}: LinkRoom, {isolation}: TaskRequest): boolean {
	if (isolation) return runs.size > 0
	for (const {req} of runs.values()) if (req.isolation) return true
	return false
}

/**
 * Whether the task may share the executor with the runs there. Filling tasks disturb serving ones
 * to an unknown degree, so the two never share an executor.
 */
export function isCompatible(
	link: LinkRoom,
	{isFilling, isServing, isolation}: TaskRequest,
): boolean {
	const {runs} = link
	if (hasIsolatedRun(link) || (isolation === "required" && runs.size > 0)) return false
	if (!isFilling && !isServing) return true
	for (const {req} of runs.values())
		if ((isFilling && req.isServing) || (isServing && req.isFilling)) return false
	return true
}

/** Reserves a task's capacity (1) or frees it (-1). */
export function occupy({used}: LinkRoom, {need}: TaskRequest, sign: 1 | -1) {
	used.cpu += sign * need.cpu
	used.memoryMb += sign * need.memoryMb
	used.accelerators += sign * need.accelerators
}
