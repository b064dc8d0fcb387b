/** A scheduling pass of a placer: goes through the queue in order, and starts or hands over each task that finds room. */
import {shortSession} from "../utils/log.js"
import type {ExecutorLink} from "../link/executor-link.js"
import {chooseGang, wouldFitIdle} from "./gang.js"
import type {Links, PlacerState} from "./placer-state.js"
import type {TaskRequest} from "./run.js"
import {chooseExecutor} from "../decide/selection.js"
import {sizeOf, stepNameOf, type TaskGroup, type WaitingTask} from "./task-queue.js"

/** Groups of callers' tasks, and of kept tasks, tried in one pass; those behind rarely find room either. */
const MAX_GROUPS_PER_PASS = 24
/** How often the kept groups behind those of a pass are tried. */
const SWEEP_INTERVAL_MS = 250
/** After this wait a gang blocks the groups behind it, so that room for all its members accumulates. */
const GANG_PATIENCE_MS = 400
/** After a stall the event loop has read its sockets by then. */
const SOCKET_READ_MS = 10
/** Two intervals of confirmations. */
const RECENT_CONFIRMATION_MS = 200

/** Schedules a pass, once for all events in a turn of the event loop. */
export function schedulePass(state: PlacerState) {
	if (state.isPassDue) return
	state.isPassDue = true
	setImmediate(() => runPass(state))
}

function runPass(state: PlacerState) {
	if (state.stallDetector.hasStalled())
		state.deps.clock.schedule(SOCKET_READ_MS, () => placeAll(state))
	else placeAll(state)
}

function placeAll(state: PlacerState) {
	state.isPassDue = false
	state.passedAt = state.deps.clock.now()
	if (state.isClosed) return
	state.awaitsConfirmation = false
	state.parked.unpark()
	if (state.queue.size() > 0) placeAndSweep(state)
	state.deps.onRoomChange()
}

function placeAndSweep(state: PlacerState) {
	const now = state.deps.clock.now()
	const rest = placeInOrder(state, state.queue.inOrder(now))
	if (rest.length > 0 && now - state.sweptAt >= SWEEP_INTERVAL_MS) sweep(state, rest)
}

/**
 * Tries the kept groups behind those of a pass, some in each turn of the event loop, since no deadline ends their wait. Without
 * this they would wait for as long as enough groups before them find no room.
 */
function sweep(state: PlacerState, groups: readonly TaskGroup[]) {
	state.sweptAt = Infinity
	setImmediate(() => {
		const waiting = groups.filter(group => state.queue.has(group))
		const mayPlace = !state.isClosed && !state.stallDetector.hasStalled()
		const rest = mayPlace ? placeInOrder(state, waiting) : []
		if (rest.length > 0) sweep(state, rest)
		else state.sweptAt = state.deps.clock.now()
	})
}

/** Tries the first groups of callers' tasks and of kept tasks; returns the kept groups that were not tried. */
function placeInOrder(state: PlacerState, groups: readonly TaskGroup[]): readonly TaskGroup[] {
	const freest = createFreestExecutor(state.links)
	const rest: TaskGroup[] = []
	let triedKept = 0
	let triedOthers = 0
	for (const group of groups) {
		const isKept = group.waiting[0]?.req.isKept === true
		if (isKept && triedKept === MAX_GROUPS_PER_PASS) rest.push(group)
		else if (!isKept && triedOthers === MAX_GROUPS_PER_PASS) continue
		else if (!state.parked.park(group)) {
			if (isKept) triedKept++
			else triedOthers++
			if (placeGroup(state, group, freest) === "hold back") return []
		}
	}
	return rest
}

/** The executors that may run a group's step; asks for missing tickets. */
function allowedLinks({links, tickets}: PlacerState, {waiting}: TaskGroup): Links {
	const req = waiting[0]?.req
	if (!req?.advice) return links
	const step = stepNameOf(req.task)
	const allowed = new Map([...links].filter(([id]) => tickets.ticketOf(step, id) !== undefined))
	const hasEnough = [...allowed.values()].some(link => link.isUsable() && link.hasRoom(req))
	if (!hasEnough) tickets.request(step, freestFirst(links, req), req.advice)
	return allowed
}

/** The executors to ask tickets for, freest first, since they should still have room when the ticket arrives. */
function freestFirst(links: Links, {service}: TaskRequest): readonly string[] {
	return [...links.values()]
		.filter(link => link.record.service === service && link.isUsable())
		.sort((a, b) => b.freeCpu() - a.freeCpu())
		.map(link => link.record.id)
}

/** Starts as many tasks of a group as possible; returns "hold back" to reserve the remaining room for the group. */
function placeGroup(
	state: PlacerState,
	group: TaskGroup,
	freest: FreestExecutor,
): "hold back" | undefined {
	const {queue, assessment, deps} = state
	const links = allowedLinks(state, group)
	if (group.waiting[0]?.req.gang) {
		freest.noteStart()
		return placeGangs(state, group, links)
	}
	for (;;) {
		const next = group.waiting[0]
		if (!next) return
		// A retried task must not run while its previous run is being stopped.
		if (hasRunOf(state, next.req.task)) return
		const mayFit = next.req.need.cpu <= freest.cpu()
		const link = mayFit && chooseExecutor(links, next.req, assessment.health, assessment.speeds)
		if (link) {
			queue.take(group)
			startOn(state, link, next)
			freest.noteStart()
		} else {
			state.awaitsConfirmation ||= lacksConfirmation(state, next.req)
			const staysHere = next.req.isForeign || next.req.isKept || next.req.advice
			if (staysHere || !deps.handOver(next)) return
			queue.take(group)
		}
	}
}

/** Whether the task lacks a recent confirmation, so that the next one may allow its start. */
function lacksConfirmation({deps}: PlacerState, {confirmedAt}: TaskRequest): boolean {
	return deps.clock.now() - confirmedAt() > RECENT_CONFIRMATION_MS
}

/** The largest free capacity of one executor, cached until a task starts. */
interface FreestExecutor {
	/** Millicores. */
	cpu(): number
	noteStart(): void
}

/** Under load most tasks fit nowhere; this detects it without comparing all executors for each group. */
function createFreestExecutor(links: Links): FreestExecutor {
	let known: number | undefined
	return {
		cpu: () => (known ??= freestCpu(links)),
		noteStart() {
			known = undefined
		},
	}
}

function freestCpu(links: Links): number {
	let max = 0
	for (const link of links.values()) max = Math.max(max, link.freeCpu())
	return max
}

function hasRunOf({links, runCounts}: PlacerState, task: string): boolean {
	if (runCounts.has(task)) return true
	for (const link of links.values()) if (link.hasOrphanOf(task)) return true
	return false
}

/** Starts as many gangs of a group as there is room for. */
function placeGangs(state: PlacerState, group: TaskGroup, links: Links): "hold back" | undefined {
	for (;;) {
		const placed = placeGang(state, group, links)
		if (placed !== "placed") return placed
	}
}

/** Starts a gang if there is room for all its members. */
function placeGang(
	state: PlacerState,
	group: TaskGroup,
	links: Links,
): "placed" | "hold back" | undefined {
	const {queue, assessment, deps} = state
	const [first] = group.waiting
	const gang = first?.req.gang
	if (!first || !gang || sizeOf(group) < gang.size) return undefined
	const places = chooseGang(links, membersOf(group, gang.size), assessment)
	if (!places) {
		const isPatient = deps.clock.now() - first.since < GANG_PATIENCE_MS
		return isPatient || !wouldFitIdle(links, first.req, gang.size) ? undefined : "hold back"
	}
	// All are taken before one starts, so that an early end cannot change which tasks follow.
	const taken = places.map(() => queue.take(group))
	places.forEach((link, at) => {
		const item = taken[at]
		if (item) startOn(state, link, item)
	})
	return "placed"
}

/** The members to find room for; those still to be made are like the first. */
function membersOf({waiting, sources}: TaskGroup, size: number): readonly WaitingTask[] {
	if (sources.length === 0) return waiting.slice(0, size)
	return Array.from({length: size}, () => waiting[0] as WaitingTask)
}

function startOn(state: PlacerState, link: ExecutorLink, item: WaitingTask) {
	const {clock, metrics, log, fence} = state.deps
	const {job, task, run: number, need, estimateMs} = item.req
	const waitedMs = clock.now() - item.since
	const executor = link.record.id
	metrics.observe("queue_wait_ms", waitedMs)
	// A retried task may still run elsewhere, so its line is never sampled.
	const write = number > 1 ? log.alarm : log.event
	write("placer", "task_started", "placer: starting a task.", () => ({
		job,
		task,
		run: number,
		executor,
		fence,
		askedBy: shortSession(item.req.askedBy),
		freeCpu: link.freeCpu(),
		needCpu: need.cpu,
		estimateMs,
		slowness: Math.round(100 * state.assessment.speeds.expectedSlowness(executor)) / 100,
		waitedMs: Math.round(waitedMs),
		waitingTasks: state.queue.size(),
	}))
	state.assessment.health.beginProbe(executor)
	const run = link.start(item.req, end => {
		state.started.delete(run)
		return item.onEnd(end)
	})
	state.started.set(run, item)
	item.onStart(() => link.cancel(run))
}
