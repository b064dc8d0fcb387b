/**
 * A scheduling pass of a placer: goes through the queue in order, and starts or hands over each task that finds room.
 *
 * A long pass takes several turns of the event loop. Between two of them a job may be seen with a part of a step's tasks started,
 * but never with a part of a gang; tasks may be submitted, cancelled or end, and executors come or go. Each turn reads the queue
 * and the executors anew and keeps neither: more urgent work that came meanwhile goes first, cancelled tasks are gone, and nothing
 * is chosen that has fallen silent or filled up. A stall between two turns is treated like one before the pass.
 */
import {shortSession} from "../utils/log.js"
import type {ExecutorLink} from "../link/executor-link.js"
import {chooseGang, wouldFitIdle} from "./gang.js"
import type {PassTurns} from "./pass-turns.js"
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
	state.turns.noteChange()
	scheduleTurn(state)
}

function scheduleTurn(state: PlacerState) {
	if (state.isPassDue) return
	state.isPassDue = true
	setImmediate(() => runTurn(state))
}

function runTurn(state: PlacerState) {
	if (state.stallDetector.hasStalled())
		state.deps.clock.schedule(SOCKET_READ_MS, () => placeAll(state))
	else placeAll(state)
}

function placeAll(state: PlacerState) {
	const {turns} = state
	state.isPassDue = false
	state.passedAt = state.deps.clock.now()
	if (state.isClosed) return
	state.parked.unpark()
	turns.begin()
	if (turns.isFirst()) state.awaitsConfirmation = false
	const behind = state.queue.size() > 0 ? placeInOrder(state) : []
	if (!behind || turns.endPass()) scheduleTurn(state)
	if (behind) sweepIfDue(state, behind)
	state.deps.onRoomChange()
}

const isKeptGroup = ({waiting}: TaskGroup) => waiting[0]?.req.isKept === true

/**
 * Tries the first groups of callers' tasks and of kept tasks, as many as one turn allows. Returns the kept groups behind them;
 * undefined when the pass goes on in the next turn.
 */
function placeInOrder(state: PlacerState): readonly TaskGroup[] | undefined {
	const {turns, parked} = state
	const freest = createFreestExecutor(state.links)
	const behind: TaskGroup[] = []
	for (const group of state.queue.inOrder(state.deps.clock.now())) {
		if (turns.wasTried(group)) continue
		const isKept = isKeptGroup(group)
		if (turns.triedCount(isKept) === MAX_GROUPS_PER_PASS) {
			if (isKept) behind.push(group)
			continue
		}
		if (parked.park(group)) continue
		if (turns.isOver()) return undefined
		const outcome = placeGroup(state, turns, group, freest)
		if (outcome === "hold back") return []
		if (outcome === "turn over") return undefined
		turns.noteTried(group, isKept)
	}
	return behind
}

function sweepIfDue(state: PlacerState, groups: readonly TaskGroup[]) {
	const sinceMs = state.deps.clock.now() - state.sweptAt
	if (groups.length > 0 && sinceMs >= SWEEP_INTERVAL_MS) sweep(state, groups)
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
		const rest = mayPlace ? placeSwept(state, waiting) : []
		if (rest.length > 0) sweep(state, rest)
		else state.sweptAt = state.deps.clock.now()
	})
}

/** Tries as many groups as one turn of a sweep allows; returns those for the next turn. */
function placeSwept(state: PlacerState, groups: readonly TaskGroup[]): readonly TaskGroup[] {
	const {sweepTurns: turns, parked} = state
	const freest = createFreestExecutor(state.links)
	turns.endPass()
	turns.begin()
	for (const [at, group] of groups.entries()) {
		if (turns.isOver() || turns.triedCount(true) === MAX_GROUPS_PER_PASS) return groups.slice(at)
		if (parked.park(group)) continue
		const outcome = placeGroup(state, turns, group, freest)
		if (outcome === "hold back") return []
		if (outcome === "turn over") return groups.slice(at)
		turns.noteTried(group, true)
	}
	return []
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

/** Why a group is left with tasks that may have found room; undefined when all that can be done now is done. */
type PlaceOutcome = "hold back" | "turn over" | undefined

/**
 * Starts as many tasks of a group as possible; returns "hold back" to reserve the remaining room for the group, and "turn over" if
 * the rest of the group must wait for the next turn.
 */
function placeGroup(
	state: PlacerState,
	turns: PassTurns,
	group: TaskGroup,
	freest: FreestExecutor,
): PlaceOutcome {
	const {queue, assessment, deps} = state
	const links = allowedLinks(state, group)
	if (group.waiting[0]?.req.gang) {
		freest.noteStart()
		return placeGangs(state, turns, group, links)
	}
	for (;;) {
		const next = group.waiting[0]
		if (!next) return
		if (turns.isOver()) return "turn over"
		// A retried task must not run while its previous run is being stopped.
		if (hasRunOf(state, next.req.task)) return
		const mayFit = next.req.need.cpu <= freest.cpu()
		const link = mayFit && chooseExecutor(links, next.req, assessment.health, assessment.speeds)
		if (link) {
			queue.take(group)
			startOn(state, turns, link, next)
			freest.noteStart()
		} else {
			state.awaitsConfirmation ||= lacksConfirmation(state, next.req)
			const staysHere = next.req.isForeign || next.req.isKept || next.req.advice
			if (staysHere || !deps.handOver(next)) return
			queue.take(group)
			turns.noteStart()
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
function placeGangs(
	state: PlacerState,
	turns: PassTurns,
	group: TaskGroup,
	links: Links,
): PlaceOutcome {
	for (;;) {
		if (turns.isOver()) return "turn over"
		const placed = placeGang(state, turns, group, links)
		if (placed !== "placed") return placed
	}
}

/** Starts a gang if there is room for all its members. */
function placeGang(
	state: PlacerState,
	turns: PassTurns,
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
		if (item) startOn(state, turns, link, item)
	})
	return "placed"
}

/** The members to find room for; those still to be made are like the first. */
function membersOf({waiting, sources}: TaskGroup, size: number): readonly WaitingTask[] {
	if (sources.length === 0) return waiting.slice(0, size)
	return Array.from({length: size}, () => waiting[0] as WaitingTask)
}

function startOn(state: PlacerState, turns: PassTurns, link: ExecutorLink, item: WaitingTask) {
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
	turns.noteStart()
	state.assessment.health.beginProbe(executor)
	const run = link.start(item.req, end => {
		state.started.delete(run)
		return item.onEnd(end)
	})
	state.started.set(run, item)
	item.onStart(() => link.cancel(run))
}
