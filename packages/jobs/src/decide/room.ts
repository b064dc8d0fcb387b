/** The capacity of a placer's executors: free now, reported to other placers, and expected soon. */
import type {Room} from "../types/fleet.js"
import type {Step} from "../types/job.js"
import type {ExecutorLink} from "../link/executor-link.js"
import type {ExecutorAssessment} from "../place/executor-assessment.js"
import type {Speeds} from "../place/executor-speeds.js"
import type {TaskQueue} from "../place/task-queue.js"

/** The share of an executor that whole tasks fill, for executors of two or three times the tasks' size. */
const PACKING_RATIO = 0.8
/** How many of the freest executors are reported to other placers. */
const REPORTED_EXECUTORS = 6
const MILLICORES = 1_000

type Links = ReadonlyMap<string, ExecutorLink>

export const usableLinks = (links: Links): readonly ExecutorLink[] =>
	[...links.values()].filter(link => link.isUsable())

/** Executors that are usable, or will be soon. */
export const soonUsableLinks = (links: Links): readonly ExecutorLink[] =>
	[...links.values()].filter(link => link.isUsableSoon())

/** How many tasks of a step the executors have room for now. */
export function countThatFit(links: readonly ExecutorLink[], {need, label}: Step): number {
	return links
		.filter(link => link.hasRoom({need}))
		.filter(({record}) => label === undefined || record.labels.includes(label))
		.reduce((sum, link) => sum + Math.floor(link.freeCpu() / Math.max(1, need.cpu)), 0)
}

/** Millicores scaled by speed: an executor that takes twice as long counts half. */
function scaledCpuOf(links: readonly ExecutorLink[], speeds: Speeds): number {
	return links.reduce(
		(sum, {record}) => sum + record.capacity.cpu / speeds.expectedSlowness(record.id),
		0,
	)
}

/** The room reported to other placers, without the executors that a task waiting here could use. */
export function reportedRoom(
	links: Links,
	queue: TaskQueue,
	{health, speeds}: ExecutorAssessment,
): Room {
	const minCpu = queue.minCpu()
	const freeCpu: number[] = []
	const labels = new Set<string>()
	let scaledCpu = 0
	for (const link of links.values()) {
		const {id, capacity} = link.record
		if (!link.isUsable() || !health.isUsable(id)) continue
		scaledCpu += capacity.cpu / speeds.expectedSlowness(id)
		for (const label of link.record.labels) labels.add(label)
		const free = link.freeCpu()
		if (free >= 0 && free < minCpu) insertIfLargest(freeCpu, free)
	}
	const waitingWork = Math.round(queue.work())
	return {freeCpu, totalCpu: Math.round(scaledCpu), waitingWork, labels: [...labels]}
}

/** Inserts a value into the descending list of the largest ones, if it is one of them. */
function insertIfLargest(largest: number[], value: number) {
	if (largest.length === REPORTED_EXECUTORS && value <= (largest.at(-1) ?? 0)) return
	const at = largest.findIndex(entry => entry < value)
	largest.splice(at < 0 ? largest.length : at, 0, value)
	if (largest.length > REPORTED_EXECUTORS) largest.pop()
}

/** Whether any executor is usable, or will be soon. */
export function hasSoonUsable(links: Links): boolean {
	for (const link of links.values()) if (link.isUsableSoon()) return true
	return false
}

/** How long the work queued ahead of a start takes, in milliseconds; Infinity without executors. */
export function waitBeforeMs(
	links: Links,
	queue: TaskQueue,
	speeds: Speeds,
	startBy: number,
	now: number,
): number {
	const cpu = scaledCpuOf(soonUsableLinks(links), speeds)
	if (cpu === 0) return Infinity
	return queue.workBefore(startBy, now) / ((cpu / MILLICORES) * PACKING_RATIO)
}
