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
import type {Links, PlacerState} from "./placer-state.js"
import type {TaskRequest} from "./run.js"
import {chooseExecutor} from "../decide/selection.js"
import {stepNameOf, type TaskGroup, type WaitingTask} from "./task-queue.js"

/** Groups tried in one pass; those behind rarely find room either. */
const MAX_GROUPS_PER_PASS = 24
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
	const isDone = placeInOrder(state)
	if (!isDone || turns.endPass()) scheduleTurn(state)
	state.deps.onRoomChange()
}

/** Places what one turn allows; returns whether the pass is done. */
function placeInOrder(state: PlacerState): boolean {
	const {turns, queue, parked} = state
	if (queue.size() === 0) return true
	const freest = createFreestExecutor(state.links)
	for (const group of queue.inOrder(state.deps.clock.now())) {
		if (turns.wasTried(group) || parked.park(group)) continue
		if (turns.isOver()) return false
		if (turns.triedCount() === MAX_GROUPS_PER_PASS) return true
		const outcome = placeGroup(state, group, freest)
		if (outcome === "hold back") return true
		if (outcome === "turn over") return false
		turns.noteTried(group)
	}
	return true
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

/**
 * Starts as many tasks of a group as possible; returns "hold back" to reserve the remaining room for the group, and "turn over" if
 * the rest of the group must wait for the next turn.
 */
function placeGroup(
	state: PlacerState,
	group: TaskGroup,
	freest: FreestExecutor,
): "hold back" | "turn over" | undefined {
	const {queue, assessment, deps, turns} = state
	const links = allowedLinks(state, group)
	if (group.waiting[0]?.req.gang) {
		freest.noteStart()
		return placeGang(state, group, links)
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
			startOn(state, link, next)
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

/** Starts a gang if there is room for all its members. */
function placeGang(state: PlacerState, group: TaskGroup, links: Links): "hold back" | undefined {
	const {queue, assessment, deps} = state
	const [first] = group.waiting
	const gang = first?.req.gang
	if (!first || !gang || group.waiting.length < gang.size) return undefined
	const members = group.waiting.slice(0, gang.size)
	const places = chooseGang(links, members, assessment)
	if (!places) {
		const isPatient = deps.clock.now() - first.since < GANG_PATIENCE_MS
		return isPatient || !wouldFitIdle(links, first.req, gang.size) ? undefined : "hold back"
	}
	for (const link of places) {
		const item = queue.take(group)
		if (item) startOn(state, link, item)
	}
	return undefined
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
	state.turns.noteStart()
	state.assessment.health.beginProbe(executor)
	const run = link.start(item.req, end => {
		state.started.delete(run)
		return item.onEnd(end)
	})
	state.started.set(run, item)
	item.onStart(() => link.cancel(run))
}
