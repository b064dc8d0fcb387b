/**
 * Walks a placer's queue in order and starts what finds room, here or at another domain's placer.
 */
import {shortSession} from "../utils/log.js"
import type {ExecutorLink} from "../link/executor-link.js"
import {chooseGang, wouldFitEmpty} from "./gang.js"
import type {Links, PlacerState} from "./placer-state.js"
import type {TaskRequest} from "./run.js"
import {chooseExecutor} from "../decide/selection.js"
import {stepNameOf, type Group, type WaitingTask} from "./task-queue.js"

/** Groups that are tried in one walk; what stands further behind finds no room either as a rule. */
const MAX_GROUPS_PER_WALK = 24
/** A gang that has waited so long for room for all its members gets what becomes free. */
const GANG_PATIENCE_MS = 400
/** After a standstill the loop has read what lay in its connections by then: it goes round in a millisecond. */
const NEWS_MS = 10
/** Confirmations come every 100 ms. */
const HEARD_LATE_MS = 200

/** Several ends in one turn of the loop need one walk. */
export function walkSoon(state: PlacerState) {
	if (state.isWalkDue) return
	state.isWalkDue = true
	setImmediate(() => walk(state))
}

function walk(state: PlacerState) {
	if (state.pulse.hasStoodStill()) state.deps.clock.schedule(NEWS_MS, () => placeAll(state))
	else placeAll(state)
}

function placeAll(state: PlacerState) {
	state.isWalkDue = false
	if (state.isClosed) return
	state.isHeldBack = false
	if (state.queue.size() > 0) placeInOrder(state)
	state.deps.onRoomChange()
}

function placeInOrder(state: PlacerState) {
	const groups = state.queue.inOrder(state.deps.clock.now())
	const freest = createFreest(state.links)
	for (const group of groups.slice(0, MAX_GROUPS_PER_WALK))
		if (placeGroup(state, group, freest) === "hold back") break
}

/** The executors that may run a group's step; where advice is needed and missing, it is asked for. */
function allowedLinks({links, tickets}: PlacerState, {waiting}: Group): Links {
	const req = waiting[0]?.req
	if (!req?.advice) return links
	const step = stepNameOf(req.task)
	const allowed = new Map([...links].filter(([id]) => tickets.ticketOf(step, id) !== undefined))
	const hasEnough = [...allowed.values()].some(link => link.isUsable() && link.hasRoom(req))
	if (!hasEnough) tickets.want(step, askedFirst(links, req), req.advice)
	return allowed
}

/** The freest first: an executor that is full when its ticket comes is of no use. */
function askedFirst(links: Links, {service}: TaskRequest): readonly string[] {
	return [...links.values()]
		.filter(link => link.record.service === service && link.isUsable())
		.sort((a, b) => b.freeCpu() - a.freeCpu())
		.map(link => link.record.id)
}

/** Starts what it can of a group; `hold back` asks to leave the room to it that others would take. */
function placeGroup(state: PlacerState, group: Group, freest: Freest): "hold back" | undefined {
	const {queue, judgement, deps} = state
	const links = allowedLinks(state, group)
	if (group.waiting[0]?.req.gang) {
		freest.noteStart()
		return placeGang(state, group, links)
	}
	for (;;) {
		const next = group.waiting[0]
		if (!next) return
		// The same task may come anew while its run before is being stopped, and must not run beside it.
		if (hasRunOf(state, next.req.task)) return
		const mayFit = next.req.need.cpu <= freest.cpu()
		const link = mayFit && chooseExecutor(links, next.req, judgement.health, judgement.speeds)
		if (link) {
			queue.take(group)
			startOn(state, link, next)
			freest.noteStart()
		} else {
			state.isHeldBack ||= isHeardLate(state, next.req)
			const staysHere = next.req.isForeign || next.req.isKept || next.req.advice
			if (staysHere || !deps.handOver(next)) return
			queue.take(group)
		}
	}
}

/** Whether its confirmation is older than two readings of the clock, so that a later one may make a difference. */
function isHeardLate({deps}: PlacerState, {confirmedAt}: TaskRequest): boolean {
	return deps.clock.now() - confirmedAt() > HEARD_LATE_MS
}

/** The most room that one executor has, for as long as nothing starts. */
interface Freest {
	/** Thousandths of a core. */
	cpu(): number
	noteStart(): void
}

/** Most of what waits under load fits nowhere; this tells so without weighing each executor for each group. */
function createFreest(links: Links): Freest {
	let known: number | undefined
	return {
		cpu: () => (known ??= freestCpu(links)),
		noteStart() {
			known = undefined
		},
	}
}

function freestCpu(links: Links): number {
	let most = 0
	for (const link of links.values()) most = Math.max(most, link.freeCpu())
	return most
}

function hasRunOf({links, runCounts}: PlacerState, task: string): boolean {
	if (runCounts.has(task)) return true
	for (const link of links.values()) if (link.hasOrphanOf(task)) return true
	return false
}

/** Starts a gang once there is room for all its members, and none of it before. */
function placeGang(state: PlacerState, group: Group, links: Links): "hold back" | undefined {
	const {queue, judgement, deps} = state
	const [first] = group.waiting
	const gang = first?.req.gang
	if (!first || !gang || group.waiting.length < gang.size) return undefined
	const members = group.waiting.slice(0, gang.size)
	const places = chooseGang(links, members, judgement)
	if (!places) {
		const isPatient = deps.clock.now() - first.since < GANG_PATIENCE_MS
		return isPatient || !wouldFitEmpty(links, first.req, gang.size) ? undefined : "hold back"
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
	// What is tried again may still run where it was: such lines are never sampled.
	const write = number > 1 ? log.alarm : log.event
	write("placer", "task_started", "placer: starts a task.", () => ({
		job,
		task,
		run: number,
		executor,
		fence,
		askedBy: shortSession(item.req.askedBy),
		freeCpu: link.freeCpu(),
		needCpu: need.cpu,
		estimateMs,
		slowness: Math.round(100 * state.judgement.speeds.expectedSlowness(executor)) / 100,
		waitedMs: Math.round(waitedMs),
		waitingTasks: state.queue.size(),
	}))
	state.judgement.health.beginProbe(executor)
	const run = link.start(item.req, end => {
		state.started.delete(run)
		return item.onEnd(end)
	})
	state.started.set(run, item)
	item.onStart(() => link.cancel(run))
}
