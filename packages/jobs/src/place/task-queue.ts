/**
 * The queue of a placer: waiting tasks in groups, ordered by rank and then by latest useful start.
 *
 * A group has the tasks of a job with the same requirements, so if one does not fit, neither do the others. Where a source supplies
 * the tasks, only the next one is made, so that a group of any size takes the memory of one task.
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
	/** The group of a supplied task; others are grouped by their requests. */
	readonly groupKey?: string
}

/** Waiting tasks of one group that are made one by one. */
export interface TaskSource {
	readonly groupKey: string
	/** A request like those of its tasks. */
	readonly req: TaskRequest
	/** The number of tasks that are still to be made. */
	size(): number
	/** Makes the next task; undefined when none is left. */
	next(): WaitingTask | undefined
}

export interface TaskGroup {
	readonly key: string
	readonly startBy: number
	/** Not empty while a source has tasks. */
	readonly waiting: WaitingTask[]
	/** In the order in which their tasks follow those that wait. */
	readonly sources: TaskSource[]
	readonly uselessAt: number
	/** Whether tasks of the job have started. */
	isBegun: boolean
}

export interface TaskQueue {
	push(item: WaitingTask): void
	pushSource(source: TaskSource): void
	has(group: TaskGroup): boolean
	/** Takes a whole group out. */
	detach(group: TaskGroup): void
	/** Puts a detached group back. */
	attach(group: TaskGroup): void
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

/** The group of a source's tasks: apart from tasks that are submitted one by one, such as retries. */
export const sourceKeyOf = (req: TaskRequest) => `${groupKeyOf(req)}|supplied`

/** The group of a waiting task. */
export const keyOf = ({groupKey, req}: WaitingTask) => groupKey ?? groupKeyOf(req)

function newGroup(key: string, {startBy, uselessAt, isBegun}: TaskRequest): TaskGroup {
	return {key, startBy, uselessAt, waiting: [], sources: [], isBegun}
}

/** The number of a group's tasks, made or not. */
export function sizeOf({waiting, sources}: TaskGroup): number {
	return sources.reduce((sum, source) => sum + source.size(), waiting.length)
}

/** Makes the next task of a group in which none waits. */
export function fillGroup({waiting, sources}: TaskGroup) {
	while (waiting.length === 0 && sources[0]) {
		const item = sources[0].next()
		if (item) waiting.push(item)
		else sources.shift()
	}
}

/** Adds the tasks of a group to another of the same key. */
export function mergeGroup(group: TaskGroup, {waiting, sources}: TaskGroup) {
	group.waiting.push(...waiting)
	group.sources.push(...sources)
}

/** Removes a task from a group; returns whether it was there. */
export function removeFromGroup(group: TaskGroup, item: WaitingTask): boolean {
	const index = group.waiting.indexOf(item)
	if (index < 0) return false
	group.waiting.splice(index, 1)
	fillGroup(group)
	return true
}

/** Core-milliseconds of a group's tasks. */
function groupWorkOf({waiting, sources}: TaskGroup): number {
	const made = waiting.reduce((sum, {req}) => sum + workOf(req), 0)
	return sources.reduce((sum, source) => sum + source.size() * workOf(source.req), made)
}

/** Begun jobs first, since their finished work would be lost with them; then jobs in time, late jobs, and useless ones. */
function rankOf({isBegun, startBy, uselessAt}: TaskGroup, now: number): number {
	if (now >= uselessAt) return 3
	if (isBegun) return 0
	return startBy < now ? 2 : 1
}

export function createTaskQueue(): TaskQueue {
	const groups = new Map<string, TaskGroup>()
	/** The groups with sources, which change without notice. */
	const supplied = new Set<TaskGroup>()
	/** Of the tasks that are made. */
	let size = 0
	let work = 0

	function forget(item: WaitingTask) {
		size--
		work -= workOf(item.req)
	}

	function groupOf(key: string, req: TaskRequest): TaskGroup {
		let group = groups.get(key)
		if (!group) groups.set(key, (group = newGroup(key, req)))
		return group
	}

	function drop(group: TaskGroup) {
		groups.delete(group.key)
		supplied.delete(group)
	}

	/** Counts a group in (1) or out (-1). */
	function count(group: TaskGroup, sign: 1 | -1) {
		size += sign * group.waiting.length
		work += sign * group.waiting.reduce((sum, {req}) => sum + workOf(req), 0)
	}

	function attach(group: TaskGroup) {
		const known = groups.get(group.key)
		if (known) mergeGroup(known, group)
		else groups.set(group.key, group)
		const target = known ?? group
		if (target.sources.length > 0) supplied.add(target)
		count(group, 1)
	}

	/** Makes the next task of a group, or drops the group. */
	function refill(group: TaskGroup) {
		if (group.waiting.length > 0) return
		fillGroup(group)
		count(group, 1)
		if (group.waiting.length === 0) drop(group)
	}

	return {
		push(item) {
			groupOf(keyOf(item), item.req).waiting.push(item)
			size++
			work += workOf(item.req)
		},
		pushSource(source) {
			const group = groupOf(source.groupKey, source.req)
			group.sources.push(source)
			supplied.add(group)
			// Behind another source it waits; that one may be making a task just now.
			if (group.sources.length === 1) refill(group)
		},
		has: group => groups.get(group.key) === group,
		attach,
		detach(group) {
			if (groups.get(group.key) !== group) return
			drop(group)
			count(group, -1)
		},
		remove(item) {
			const group = groups.get(keyOf(item))
			const index = group?.waiting.indexOf(item) ?? -1
			if (!group || index < 0) return false
			group.waiting.splice(index, 1)
			forget(item)
			refill(group)
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
			refill(group)
			return item
		},
		all: () => [...groups.values()].flatMap(({waiting}) => waiting),
		size() {
			let sum = size
			for (const group of supplied) sum += sizeOf(group) - group.waiting.length
			return sum
		},
		minCpu() {
			let least = Infinity
			for (const {waiting} of groups.values())
				least = Math.min(least, waiting[0]?.req.need.cpu ?? Infinity)
			return least
		},
		work() {
			let sum = work
			for (const {sources} of supplied)
				for (const source of sources) sum += source.size() * workOf(source.req)
			return Math.max(0, sum)
		},
		workBefore(startBy, now) {
			let before = 0
			for (const group of groups.values()) {
				if (group.startBy < now || group.startBy > startBy) continue
				before += groupWorkOf(group)
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
