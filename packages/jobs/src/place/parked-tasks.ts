/**
 * Kept tasks that no executor of the domain could run now, and gangs that would not fit on all of them together. They wait apart
 * from the queue, so that they hold up no other task and count neither as work ahead of others nor as a need for free room.
 *
 * A group moves as a whole, whatever its size, and is looked at again only when the usable executors have changed.
 */
import type {ExecutorRecord} from "../types/executor.js"
import {countThatCouldRun} from "../decide/suitability.js"
import type {Links} from "./placer-state.js"
import type {TaskRequest} from "./run.js"
import {
	keyOf,
	mergeGroup,
	removeFromGroup,
	sizeOf,
	type TaskGroup,
	type TaskQueue,
	type WaitingTask,
} from "./task-queue.js"

export interface ParkedTasks {
	/** Takes a group out of the queue if its tasks are kept and no executor could run them now; returns whether it did. */
	park(group: TaskGroup): boolean
	/** Puts the tasks back into the queue that an executor could run now. */
	unpark(): void
	/** Returns whether the task was parked. */
	remove(item: WaitingTask): boolean
	size(): number
}

interface ParkedGroups {
	readonly req: TaskRequest
	/** By their keys. */
	readonly groups: Map<string, TaskGroup>
}

function needKeyOf({service, label, need, gang, maxPerExecutor}: TaskRequest): string {
	const {cpu, memoryMb, accelerators} = need
	return [service, label, cpu, memoryMb, accelerators, gang?.size, gang && maxPerExecutor].join("|")
}

export function createParkedTasks(links: Links, queue: TaskQueue): ParkedTasks {
	/** By requirements, so that each is compared with the executors once. */
	const parked = new Map<string, ParkedGroups>()
	/** The executors with which all parked groups were compared; undefined when they were compared with different ones. */
	let compared: readonly ExecutorRecord[] | undefined = []

	function usableRecords(): readonly ExecutorRecord[] {
		const records: ExecutorRecord[] = []
		for (const link of links.values()) if (link.isUsableSoon()) records.push(link.record)
		return records
	}

	/** Whether one task could run, or all members of a gang at once. */
	function isRunnable(req: TaskRequest): boolean {
		const wanted = req.gang?.size ?? 1
		let count = 0
		for (const link of links.values()) {
			if (link.isUsableSoon()) count += countThatCouldRun(link.record, req)
			if (count >= wanted) return true
		}
		return false
	}

	return {
		park(group) {
			const req = group.waiting[0]?.req
			if (!req?.isKept || isRunnable(req)) return false
			const key = needKeyOf(req)
			const {groups} = parked.get(key) ?? {groups: new Map<string, TaskGroup>()}
			parked.set(key, {req, groups})
			queue.detach(group)
			// An executor may have been away for this group alone.
			if (compared && !isSame(usableRecords(), compared)) compared = undefined
			const known = groups.get(group.key)
			if (known) mergeGroup(known, group)
			else groups.set(group.key, group)
			return true
		},
		unpark() {
			const usable = parked.size > 0 ? usableRecords() : []
			if (compared && isSame(usable, compared)) return
			compared = usable
			for (const [key, {req, groups}] of parked) {
				if (!isRunnable(req)) continue
				parked.delete(key)
				for (const group of groups.values()) queue.attach(group)
			}
		},
		remove(item) {
			for (const [key, {groups}] of parked) {
				const group = groups.get(keyOf(item))
				if (!group || !removeFromGroup(group, item)) continue
				if (group.waiting.length === 0) groups.delete(group.key)
				if (groups.size === 0) parked.delete(key)
				return true
			}
			return false
		},
		size() {
			let size = 0
			for (const {groups} of parked.values())
				for (const group of groups.values()) size += sizeOf(group)
			return size
		},
	}
}

function isSame(some: readonly ExecutorRecord[], others: readonly ExecutorRecord[]): boolean {
	return some.length === others.length && some.every((record, at) => record === others[at])
}
