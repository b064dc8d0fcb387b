/**
 * Kept tasks that no executor of the domain could run now. They wait apart from the queue, so that they hold up no other task and
 * count neither as work ahead of others nor as a need for free room.
 */
import {couldRun, type TaskRequirements} from "../decide/suitability.js"
import type {Links} from "./placer-state.js"
import type {TaskGroup, TaskQueue, WaitingTask} from "./task-queue.js"

export interface ParkedTasks {
	/** Takes a group's tasks out of the queue if they are kept and no executor could run them now; returns whether it did. */
	park(group: TaskGroup): boolean
	/** Puts the tasks back into the queue that an executor could run now. */
	unpark(): void
	/** Returns whether the task was parked. */
	remove(item: WaitingTask): boolean
	size(): number
}

interface ParkedGroup {
	readonly req: TaskRequirements
	readonly items: Set<WaitingTask>
}

function keyOf({service, label, need}: TaskRequirements): string {
	return [service, label, need.cpu, need.memoryMb, need.accelerators].join("|")
}

export function createParkedTasks(links: Links, queue: TaskQueue): ParkedTasks {
	/** By requirements, so that each is compared with the executors once. */
	const groups = new Map<string, ParkedGroup>()

	function isRunnable(req: TaskRequirements): boolean {
		for (const link of links.values())
			if (link.isUsableSoon() && couldRun(link.record, req)) return true
		return false
	}

	return {
		park(group) {
			const req = group.waiting[0]?.req
			if (!req?.isKept || isRunnable(req)) return false
			const key = keyOf(req)
			const {items} = groups.get(key) ?? {items: new Set()}
			groups.set(key, {req, items})
			for (let item = queue.take(group); item; item = queue.take(group)) items.add(item)
			return true
		},
		unpark() {
			for (const [key, {req, items}] of groups) {
				if (!isRunnable(req)) continue
				groups.delete(key)
				for (const item of items) queue.push(item)
			}
		},
		remove(item) {
			const key = keyOf(item.req)
			const group = groups.get(key)
			if (!group?.items.delete(item)) return false
			if (group.items.size === 0) groups.delete(key)
			return true
		},
		size() {
			let size = 0
			for (const {items} of groups.values()) size += items.size
			return size
		},
	}
}
