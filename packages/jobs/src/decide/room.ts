/**
 * How much room a placer's executors have: now, for others, and in the near future.
 */
import type {Health} from "@cottonwood/core"
import type {Room} from "../types/fleet.js"
import type {Step} from "../types/job.js"
import type {ExecutorLink} from "../link/executor-link.js"
import type {TaskQueue} from "../place/task-queue.js"

/** Whole tasks fill about this share of executors of two or three times their size; measured on the sheets. */
const PACKED_SHARE = 0.8
/** The freest executors that are told to other placers. */
const ROOM_ENTRIES = 6
const MILLICORES = 1_000

type Links = ReadonlyMap<string, ExecutorLink>

export const usableLinks = (links: Links): readonly ExecutorLink[] =>
	[...links.values()].filter(link => link.isUsable())

/** Executors that are, or will soon be, usable. */
export const promisingLinks = (links: Links): readonly ExecutorLink[] =>
	[...links.values()].filter(link => link.isPromising())

/** How many tasks of a step the executors can take now, by their processors. */
export function countThatFit(links: readonly ExecutorLink[], {need, label}: Step): number {
	return links
		.filter(link => link.hasRoom({need}))
		.filter(({record}) => label === undefined || record.labels.includes(label))
		.reduce((sum, link) => sum + Math.floor(link.freeCpu() / Math.max(1, need.cpu)), 0)
}

/** What others are told; what anything that waits here could use is not free for them. */
export function roomFor(links: Links, queue: TaskQueue, health: Health): Room {
	const open = usableLinks(links).filter(link => health.isUsable(link.record.id))
	const free = open.map(link => link.freeCpu()).sort((a, b) => b - a)
	return {
		freeCpu: free.filter(cpu => cpu >= 0 && cpu < queue.leastCpu()).slice(0, ROOM_ENTRIES),
		totalCpu: open.reduce((sum, link) => sum + link.record.capacity.cpu, 0),
		waitingWork: Math.round(queue.work()),
		labels: [...new Set(open.flatMap(link => link.record.labels))],
	}
}

/** How long the work that goes before a start will take, in milliseconds; Infinity without executors. */
export function waitBeforeMs(links: Links, queue: TaskQueue, startBy: number, now: number): number {
	const cpu = promisingLinks(links).reduce((sum, link) => sum + link.record.capacity.cpu, 0)
	if (cpu === 0) return Infinity
	return queue.workBefore(startBy, now) / ((cpu / MILLICORES) * PACKED_SHARE)
}
