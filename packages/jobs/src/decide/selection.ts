/** Chooses the executor for a task: the one with the lowest cost by speed, with a preference for tight packing. */
import type {Health} from "@cottonwood/core"
import type {ExecutorLink} from "../link/executor-link.js"
import type {Speeds} from "../place/executor-speeds.js"
import type {TaskRequest} from "../place/run.js"
import {stepNameOf} from "../place/task-queue.js"
import {suits} from "./suitability.js"

/** The weight of the capacity left over, relative to the cost of speed. */
const LEFTOVER_WEIGHT = 0.3
const OFF_RACK_PENALTY = 3
/** Keeps suspects of crashes apart from other tasks; exceeds any difference in speed. */
const SHARED_PENALTY = 5

/** The cost of running a task on an executor; incomplete once it reaches `most`, since the rest only adds to it. */
function costOf(link: ExecutorLink, req: TaskRequest, speeds: Speeds, limit: number): number {
	const {id, capacity, labels} = link.record
	const leftover = (link.freeCpu() - req.need.cpu) / capacity.cpu
	let cost = speeds.costOf(id, req) + LEFTOVER_WEIGHT * leftover
	if (cost >= limit) return cost
	if (req.rack !== undefined && !labels.includes(req.rack)) cost += OFF_RACK_PENALTY
	if (link.isShared(req)) cost += SHARED_PENALTY
	return cost
}

/** Whether an executor has the task's service and label, and room for it. */
function isSuitable(link: ExecutorLink, req: TaskRequest): boolean {
	return link.hasRoom(req) && suits(link.record, req)
}

/** Whether a suitable executor may take the task now; costs more, so it is checked last. */
function isAvailable(link: ExecutorLink, req: TaskRequest, health: Health): boolean {
	if (!link.mayStart(req) || !link.isCompatible(req)) return false
	if (req.maxPerExecutor && link.countOf(stepNameOf(req.task)) >= req.maxPerExecutor) return false
	return health.isUsable(link.record.id) && link.isConfirmed(req)
}

/**
 * Whether a usable executor that the task does not avoid has its service and label, with room now or once other runs have ended.
 * Lasting runs do not end.
 */
function hasAlternative(
	links: ReadonlyMap<string, ExecutorLink>,
	req: TaskRequest,
	health: Health,
): boolean {
	for (const link of links.values()) {
		const {id} = link.record
		if (req.avoid.includes(id) || !suits(link.record, req) || link.isKeptOffByLasting(req)) continue
		if (link.mayStart(req) && health.isUsable(id)) return true
	}
	return false
}

/**
 * The executor with the lowest cost for a task now; undefined when none may take it. A lasting task returns to an executor
 * that it avoids rather than wait, since its failures are not counted.
 */
export function chooseExecutor(
	links: ReadonlyMap<string, ExecutorLink>,
	req: TaskRequest,
	health: Health,
	speeds: Speeds,
): ExecutorLink | undefined {
	const best = chooseAmong("others", links, req, health, speeds)
	if (best || req.avoid.length === 0) return best
	const mayReturn = req.isLasting === true || !hasAlternative(links, req, health)
	return mayReturn ? chooseAmong("avoided", links, req, health, speeds) : undefined
}

function chooseAmong(
	which: "avoided" | "others",
	links: ReadonlyMap<string, ExecutorLink>,
	req: TaskRequest,
	health: Health,
	speeds: Speeds,
): ExecutorLink | undefined {
	let best: ExecutorLink | undefined
	let bestCost = Infinity
	const wantsAvoided = which === "avoided"
	for (const link of links.values()) {
		if (!isSuitable(link, req)) continue
		if (req.avoid.includes(link.record.id) !== wantsAvoided) continue
		const cost = costOf(link, req, speeds, bestCost)
		if (cost >= bestCost || !isAvailable(link, req, health)) continue
		best = link
		bestCost = cost
	}
	return best
}
