/**
 * Which executor a task should start on: the one whose speed speaks least against it (see the speeds in force), packed tightly.
 */
import type {Health} from "@cottonwood/core"
import type {ExecutorLink} from "../link/executor-link.js"
import type {Speeds} from "../place/executor-speeds.js"
import type {TaskRequest} from "../place/run.js"
import {stepNameOf} from "../place/task-queue.js"

/** How much the room that would be left speaks against an executor, beside its speed. */
const LEFTOVER_WEIGHT = 0.3
const OFF_RACK_PENALTY = 3
/** A task under which an executor has crashed would take others with it; more than any difference in speed. */
const SHARED_PENALTY = 5

/** What speaks against an executor; a rest that can only add to it is left out where that is more than `most` already. */
function costOf(link: ExecutorLink, req: TaskRequest, speeds: Speeds, most: number): number {
	const {id, capacity, labels} = link.record
	const left = (link.freeCpu() - req.need.cpu) / capacity.cpu
	let cost = speeds.costOf(id, req) + LEFTOVER_WEIGHT * left
	if (cost >= most) return cost
	if (req.rack !== undefined && !labels.includes(req.rack)) cost += OFF_RACK_PENALTY
	if (link.isShared(req)) cost += SHARED_PENALTY
	return cost
}

/** Whether it is of the kind that the task asks for, and has room. */
function isSuitable(link: ExecutorLink, req: TaskRequest): boolean {
	if (!link.hasRoom(req)) return false
	const {service, labels} = link.record
	return service === req.service && (req.label === undefined || labels.includes(req.label))
}

/** Whether a suitable one may take the task now: dearer questions, asked only where the answer may decide. */
function isOpen(link: ExecutorLink, req: TaskRequest, health: Health): boolean {
	if (!link.isUsable() || !link.isCompatible(req)) return false
	if (req.maxPerExecutor && link.countOf(stepNameOf(req.task)) >= req.maxPerExecutor) return false
	return health.isUsable(link.record.id) && link.isConfirmed(req)
}

/** Whether any executor that is not avoided works for the service, with room now or later. */
function hasOther(
	links: ReadonlyMap<string, ExecutorLink>,
	req: TaskRequest,
	health: Health,
): boolean {
	for (const link of links.values()) {
		const {id, service} = link.record
		const isOther = service === req.service && !req.avoid.includes(id)
		if (isOther && link.isUsable() && health.isUsable(id)) return true
	}
	return false
}

/** The best executor for a task now; undefined when none may take it. */
export function chooseExecutor(
	links: ReadonlyMap<string, ExecutorLink>,
	req: TaskRequest,
	health: Health,
	speeds: Speeds,
): ExecutorLink | undefined {
	let best: ExecutorLink | undefined
	let bestCost = Infinity
	const mayGoBack = req.avoid.length > 0 && !hasOther(links, req, health)
	for (const link of links.values()) {
		if (!isSuitable(link, req)) continue
		if (!mayGoBack && req.avoid.includes(link.record.id)) continue
		const cost = costOf(link, req, speeds, bestCost)
		if (cost >= bestCost || !isOpen(link, req, health)) continue
		best = link
		bestCost = cost
	}
	return best
}
