/**
 * The queue of a placer: waiting tasks in groups, ordered by rank and then by latest useful start.
 *
 * A group has the tasks of a job with the same requirements, so if one does not fit, neither do the others.
 */
import type {OnTaskEnd, TaskRequest} from "./run.js"

/** The part of a task's name before its index. */
export function stepNameOf(task: string): string {
	return task.slice(0, task.lastIndexOf("."))
}

export interface WaitingTask {
	readonly req: TaskRequest
	readonly since: number
	readonly onEnd: OnTaskEnd
	/** Called when the task is started and has left the queue, with a function that stops its run. */
	readonly onStart: (stop: () => void) => void
}

export interface TaskGroup {
	readonly key: string
	readonly startBy: number
	readonly waiting: WaitingTask[]
	readonly uselessAt: number
	/** Whether tasks of the job have started. */
	isBegun: boolean
}

export interface TaskQueue {
	push(item: WaitingTask): void
	/** Returns whether the task was in the queue. */
	remove(item: WaitingTask): boolean
	/** The groups in the order in which they should start. */
	inOrder(now: number): readonly TaskGroup[]
	/** Removes and returns the first task of a group. */
	take(group: TaskGroup): WaitingTask | undefined
	all(): readonly WaitingTask[]
	size(): number
	/** Millicores of the smallest waiting task; Infinity if none waits. */
	minCpu(): number
	/** Core-milliseconds of waiting work. */
	work(): number
	/** Core-milliseconds queued ahead of a task with this latest useful start. */
	workBefore(startBy: number, now: number): number
	expired(now: number): readonly WaitingTask[]
}

const workOf = ({need, estimateMs}: TaskRequest) => (need.cpu / 1_000) * estimateMs

function groupKeyOf(req: TaskRequest): string {
	const {job, task, need, label, rack, avoid, gang} = req
	const shape = [
		need.cpu,
		need.memoryMb,
		need.accelerators,
		label,
		rack,
		avoid.join(),
		gang && stepNameOf(task),
	]
	return [job, ...shape].join("|")
}

function newGroup(key: string, {startBy, uselessAt, isBegun}: TaskRequest): TaskGroup {
	return {key, startBy, uselessAt, waiting: [], isBegun}
}

/** Begun jobs first, since their finished work would be lost with them; then jobs in time, late jobs, and useless ones. */
function rankOf({isBegun, startBy, uselessAt}: TaskGroup, now: number): number {
	if (now >= uselessAt) return 3
	if (isBegun) return 0
	return startBy < now ? 2 : 1
}

export function createTaskQueue(): TaskQueue {
	const groups = new Map<string, TaskGroup>()
	let size = 0
	let work = 0

	function forget(item: WaitingTask) {
		size--
		work -= workOf(item.req)
	}

	return {
		push(item) {
			const key = groupKeyOf(item.req)
			let group = groups.get(key)
			if (!group) groups.set(key, (group = newGroup(key, item.req)))
			group.waiting.push(item)
			size++
			work += workOf(item.req)
		},
		remove(item) {
			const group = groups.get(groupKeyOf(item.req))
			const index = group?.waiting.indexOf(item) ?? -1
			if (!group || index < 0) return false
			group.waiting.splice(index, 1)
			forget(item)
			if (group.waiting.length === 0) groups.delete(group.key)
			return true
		},
		inOrder(now) {
			return [...groups.values()].sort(
				(a, b) => rankOf(a, now) - rankOf(b, now) || a.startBy - b.startBy,
			)
		},
		take(group) {
			const item = group.waiting.shift()
			if (item) forget(item)
			group.isBegun = true
			if (group.waiting.length === 0) groups.delete(group.key)
			return item
		},
		all: () => [...groups.values()].flatMap(({waiting}) => waiting),
		size: () => size,
		minCpu() {
			let least = Infinity
			for (const {waiting} of groups.values())
				least = Math.min(least, waiting[0]?.req.need.cpu ?? Infinity)
			return least
		},
		work: () => Math.max(0, work),
		workBefore(startBy, now) {
			let before = 0
			for (const group of groups.values()) {
				if (group.startBy < now || group.startBy > startBy) continue
				for (const item of group.waiting) before += workOf(item.req)
			}
			return before
		},
		expired(now) {
			const expired: WaitingTask[] = []
			for (const group of groups.values())
				for (const item of group.waiting) if (item.req.deadlineAt <= now) expired.push(item)
			return expired
		},
	}
}
