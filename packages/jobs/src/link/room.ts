/**
 * Free capacity of one executor, and which tasks may share it.
 */
import type {ExecutorRecord} from "../types/executor.js"
import {countIn} from "../decide/suitability.js"
import type {Run, TaskRequest} from "../place/run.js"
import {stepNameOf} from "../place/task-queue.js"

/** How long a lasting task that may crash its executor keeps others away: it would have done so by then. */
const ISOLATION_MS = 3_000

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

/** Whether a run there must have the executor to itself, since it may crash it; a lasting one only while it is young. */
function hasIsolatedRun({runs}: LinkRoom, now: () => number): boolean {
	for (const {req, startedAt} of runs.values())
		if (req.isolation === "required" && !(req.isLasting && now() - startedAt >= ISOLATION_MS))
			return true
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
	now: () => number,
): boolean {
	const {runs} = link
	if (hasIsolatedRun(link, now) || (isolation === "required" && runs.size > 0)) return false
	if (!isFilling && !isServing) return true
	for (const {req} of runs.values()) if (isDisturbing(req, {isFilling, isServing})) return false
	return true
}

type Sharing = Pick<TaskRequest, "isFilling" | "isServing">

/** Whether one of the tasks fills beside the other, which serves. */
const isDisturbing = (a: Sharing, b: Sharing) =>
	(a.isFilling && b.isServing) || (a.isServing && b.isFilling)

/** Which tasks an executor could hold, by size and by tasks of their step. */
export type TaskShape = Pick<TaskRequest, "task" | "need" | "maxPerExecutor">

/**
 * How many tasks of a kind an executor would hold if only the lasting runs there were left, which do not end by themselves.
 */
export function countFittingBesideLasting(link: LinkRoom, req: TaskShape): number {
	const {capacity} = link.record
	const lasting = lastingRunsOf(link)
	const free = {...capacity}
	for (const {need} of lasting) {
		free.cpu -= need.cpu
		free.memoryMb -= need.memoryMb
		free.accelerators -= need.accelerators
	}
	const {need, maxPerExecutor = Infinity} = req
	const fitting = Math.min(
		countIn(free.cpu, need.cpu),
		countIn(free.memoryMb, need.memoryMb),
		countIn(free.accelerators, need.accelerators),
	)
	const step = stepNameOf(req.task)
	const siblings = lasting.filter(({task}) => stepNameOf(task) === step).length
	return Math.max(0, Math.min(fitting, maxPerExecutor - siblings))
}

function lastingRunsOf({runs}: LinkRoom): readonly TaskRequest[] {
	return [...runs.values()].map(({req}) => req).filter(({isLasting}) => isLasting)
}

/** Whether lasting runs there leave a task no room or must not share the executor with it. */
export function isKeptOffByLasting(link: LinkRoom, req: TaskRequest): boolean {
	const lasting = lastingRunsOf(link)
	if (lasting.length === 0) return false
	if (countFittingBesideLasting(link, req) === 0 || req.isolation === "required") return true
	return lasting.some(other => isDisturbing(other, req))
}

/** Reserves a task's capacity (1) or frees it (-1). */
export function occupy({used}: LinkRoom, {need}: TaskRequest, sign: 1 | -1) {
	used.cpu += sign * need.cpu
	used.memoryMb += sign * need.memoryMb
	used.accelerators += sign * need.accelerators
}
