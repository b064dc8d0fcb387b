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
	const leastCpu = queue.leastCpu()
	const freeCpu: number[] = []
	const labels = new Set<string>()
	let totalCpu = 0
	for (const link of links.values()) {
		if (!link.isUsable() || !health.isUsable(link.record.id)) continue
		totalCpu += link.record.capacity.cpu
		for (const label of link.record.labels) labels.add(label)
		const free = link.freeCpu()
		if (free < leastCpu) keepLargest(freeCpu, free)
	}
	return {freeCpu, totalCpu, waitingWork: Math.round(queue.work()), labels: [...labels]}
}

/** Adds an entry to the largest ones, which stand in falling order, if it is one of them. */
function keepLargest(largest: number[], value: number) {
	if (largest.length === ROOM_ENTRIES && value <= (largest.at(-1) ?? 0)) return
	const at = largest.findIndex(entry => entry < value)
	largest.splice(at < 0 ? largest.length : at, 0, value)
	if (largest.length > ROOM_ENTRIES) largest.pop()
}

/** How long the work that goes before a start will take, in milliseconds; Infinity without executors. */
export function waitBeforeMs(links: Links, queue: TaskQueue, startBy: number, now: number): number {
	const cpu = promisingLinks(links).reduce((sum, link) => sum + link.record.capacity.cpu, 0)
	if (cpu === 0) return Infinity
	return queue.workBefore(startBy, now) / ((cpu / MILLICORES) * PACKED_SHARE)
}
