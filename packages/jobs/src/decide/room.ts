/**
 * How much room a placer's executors have: now, for others, and in the near future.
 */
import type {Room} from "../types/fleet.js"
import type {Step} from "../types/job.js"
import type {ExecutorLink} from "../link/executor-link.js"
import type {Judgement} from "../place/judgement.js"
import type {Speeds} from "../place/executor-speeds.js"
import type {TaskQueue} from "../place/task-queue.js"

/** Whole tasks fill about this share of executors of two or three times their size. */
const PACKED_SHARE = 0.8
/** The freest executors that are told to other placers. */
const ROOM_ENTRIES = 6
const MILLICORES = 1_000

type Links = ReadonlyMap<string, ExecutorLink>

export const usableLinks = (links: Links): readonly ExecutorLink[] =>
	[...links.values()].filter(link => link.isUsable())

/** Executors that are, or will soon be, usable. */
export const promisingLinks = (links: Links): readonly ExecutorLink[] =>
	[...links.values()].filter(link => link.isUsableSoon())

/** How many tasks of a step the executors can take now, by their processors. */
export function countThatFit(links: readonly ExecutorLink[], {need, label}: Step): number {
	return links
		.filter(link => link.hasRoom({need}))
		.filter(({record}) => label === undefined || record.labels.includes(label))
		.reduce((sum, link) => sum + Math.floor(link.freeCpu() / Math.max(1, need.cpu)), 0)
}

/** Thousandths of a core as work counts them: an executor that takes twice as long does half as much. */
function paceOf(links: readonly ExecutorLink[], speeds: Speeds): number {
	return links.reduce(
		(sum, {record}) => sum + record.capacity.cpu / speeds.expectedSlowness(record.id),
		0,
	)
}

/** What others are told; what anything that waits here could use is not free for them. */
export function roomFor(links: Links, queue: TaskQueue, {health, speeds}: Judgement): Room {
	const leastCpu = queue.leastCpu()
	const freeCpu: number[] = []
	const labels = new Set<string>()
	let pace = 0
	for (const link of links.values()) {
		const {id, capacity} = link.record
		if (!link.isUsable() || !health.isUsable(id)) continue
		pace += capacity.cpu / speeds.expectedSlowness(id)
		for (const label of link.record.labels) labels.add(label)
		const free = link.freeCpu()
		if (free >= 0 && free < leastCpu) keepLargest(freeCpu, free)
	}
	const waitingWork = Math.round(queue.work())
	return {freeCpu, totalCpu: Math.round(pace), waitingWork, labels: [...labels]}
}

/** Adds an entry to the largest ones, which stand in falling order, if it is one of them. */
function keepLargest(largest: number[], value: number) {
	if (largest.length === ROOM_ENTRIES && value <= (largest.at(-1) ?? 0)) return
	const at = largest.findIndex(entry => entry < value)
	largest.splice(at < 0 ? largest.length : at, 0, value)
	if (largest.length > ROOM_ENTRIES) largest.pop()
}

/** Whether any executor is, or will soon be, usable. */
export function hasPromising(links: Links): boolean {
	for (const link of links.values()) if (link.isUsableSoon()) return true
	return false
}

/** How long the work that goes before a start will take, in milliseconds; Infinity without executors. */
export function waitBeforeMs(
	links: Links,
	queue: TaskQueue,
	speeds: Speeds,
	startBy: number,
	now: number,
): number {
	const cpu = paceOf(promisingLinks(links), speeds)
	if (cpu === 0) return Infinity
	return queue.workBefore(startBy, now) / ((cpu / MILLICORES) * PACKED_SHARE)
}
