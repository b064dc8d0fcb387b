/**
 * Free capacity of one executor, and which tasks may share it.
 */
import type {ExecutorRecord} from "../types/executor.js"
import {countIn} from "../decide/suitability.js"
import type {TaskRequest} from "../place/run.js"
import {stepNameOf} from "../place/task-queue.js"
import type {RunCounts, Tally} from "./run-counts.js"

/** How long a lasting task that may crash its executor keeps others away: it would have done so by then. */
const ISOLATION_MS = 3_000

/** The part of a link's state that determines its free capacity. */
export interface LinkRoom {
	readonly record: ExecutorRecord
	readonly counts: RunCounts
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
function hasIsolatedRun({counts: {alone, youngAlone}}: LinkRoom, now: () => number): boolean {
	if (alone > 0) return true
	for (const run of youngAlone) {
		if (now() - run.startedAt < ISOLATION_MS) return true
		youngAlone.delete(run)
	}
	return false
}

/**
 * Whether a task that should run alone would share the executor, or another would share it with
 * such a task.
 */
export function isShared({counts}: LinkRoom, {isolation}: TaskRequest): boolean {
	return (isolation ? counts.all.runs : counts.isolated) > 0
}

/**
 * Whether the task may share the executor with the runs there. Filling tasks disturb serving ones
 * to an unknown degree, so the two never share an executor.
 */
export function isCompatible(link: LinkRoom, req: TaskRequest, now: () => number): boolean {
	const {all} = link.counts
	if (hasIsolatedRun(link, now) || (req.isolation === "required" && all.runs > 0)) return false
	return !isDisturbing(all, req)
}

type Sharing = Pick<TaskRequest, "isFilling" | "isServing">

/** Whether one of the runs fills beside the task, which serves, or the other way round. */
const isDisturbing = ({filling, serving}: Tally, {isFilling, isServing}: Sharing) =>
	(isServing === true && filling > 0) || (isFilling === true && serving > 0)

/** Which tasks an executor could hold, by size and by tasks of their step. */
export type TaskShape = Pick<TaskRequest, "task" | "need" | "maxPerExecutor">

/**
 * How many tasks of a kind an executor would hold if only the lasting runs there were left, which do not end by themselves.
 */
export function countFittingBesideLasting(link: LinkRoom, req: TaskShape): number {
	const {capacity} = link.record
	const {lasting} = link.counts
	const {need, maxPerExecutor = Infinity} = req
	const fitting = Math.min(
		countIn(capacity.cpu - lasting.need.cpu, need.cpu),
		countIn(capacity.memoryMb - lasting.need.memoryMb, need.memoryMb),
		countIn(capacity.accelerators - lasting.need.accelerators, need.accelerators),
	)
	const siblings = lasting.steps.get(stepNameOf(req.task)) ?? 0
	return Math.max(0, Math.min(fitting, maxPerExecutor - siblings))
}

/** Whether lasting runs there leave a task no room or must not share the executor with it. */
export function isKeptOffByLasting(link: LinkRoom, req: TaskRequest): boolean {
	const {lasting} = link.counts
	if (lasting.runs === 0) return false
	if (countFittingBesideLasting(link, req) === 0 || req.isolation === "required") return true
	return isDisturbing(lasting, req)
}

/** Reserves a task's capacity (1) or frees it (-1). */
export function occupy({used}: LinkRoom, {need}: TaskRequest, sign: 1 | -1) {
	used.cpu += sign * need.cpu
	used.memoryMb += sign * need.memoryMb
	used.accelerators += sign * need.accelerators
}
