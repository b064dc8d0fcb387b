/**
 * The placer of a failure domain: it alone starts tasks on that domain's executors.
 *
 * Tasks wait in one queue. Whenever room may have appeared the queue is walked in order; a task that
 * fits nowhere here may go to another domain's placer that has room, and blocks nobody behind it.
 */
import type {Clock} from "@cottonwood/core"
import type {Advisor} from "../types/advisor.js"
import type {ExecutorOrders, ExecutorRecord} from "../types/executor.js"
import type {Room} from "../types/fleet.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import {createExecutorLink, type ExecutorLink} from "./executor-link.js"
import {createJudgement, type Judgement} from "./judgement.js"
import type {KeptRuns} from "./link-state.js"
import type {OnTaskEnd, Run, TaskRequest} from "./run.js"
import {promisingLinks, roomFor, usableLinks, waitBeforeMs} from "./room.js"
import {chooseGang, wouldFitEmpty} from "./gang.js"
import {chooseExecutor} from "./selection.js"
import {
	createTaskQueue,
	stepNameOf,
	type Group,
	type TaskQueue,
	type Waiting,
} from "./task-queue.js"
import {createTickets, type Tickets} from "./tickets.js"

/** Groups that are tried in one walk; what stands further behind finds no room either as a rule. */
const MAX_GROUPS_PER_WALK = 24
/** A task from another placer that found no room is given back after this. */
const FOREIGN_WAIT_MS = 40
/**
 * What the placer before started on an executor that does not answer us has ended after this: it learns of
 * the new fence at another executor within a hold (400 ms), then the lease ends (1,020 ms); and a margin.
 */
const SETTLED_MS = 2_000
/** A gang that has waited so long for room for all its members gets what becomes free. */
const GANG_PATIENCE_MS = 400
/** Deadlines are looked at this often. */
const SWEEP_MS = 25

export interface PlacerDeps {
	readonly clock: Clock
	readonly orders: ExecutorOrders
	readonly advisor: Advisor
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly failureDomain: string
	readonly fence: number
	readonly maxLeaseMs: number
	readonly stopGraceMs: number
	/** Runs left by the placer before wait this long to be handed over. */
	readonly orphansWaitMs: number
	readonly kept: KeptRuns
	/** Hands a task to another domain's placer; false when none has room. */
	readonly handOver: (item: Waiting) => boolean
	readonly onFenced: () => void
	/** Called when the room told to others may have changed. */
	readonly onRoomChange: () => void
}

export interface TaskHandle {
	/** Ends the task wherever it is; its end follows. */
	cancel(): void
}

export interface Placer {
	submit(req: TaskRequest, onEnd: OnTaskEnd, onStart: () => void): TaskHandle
	/** Takes over the platform's list of this domain's executors. */
	setExecutors(records: readonly ExecutorRecord[]): void
	room(): Room
	counts(): PlacerCounts
	/** Whether any executor is, or will soon be, usable. */
	canServe(): boolean
	/** Whether every executor obeys this placer, or has certainly ended what the one before started. */
	isSettled(): boolean
	/**
	 * How long a task with this latest useful start will wait at the pace of the estimates, in
	 * milliseconds; Infinity without an executor that is or will soon be usable.
	 */
	expectedWaitMs(startBy: number): number
	/** Offers what executors have listed so far to the kept jobs, which are known from now on. */
	offerOrphans(): void
	/** Tries the queue again soon: room may have appeared elsewhere. */
	walk(): void
	/** Takes over a run that the placer before had on an executor. */
	adopt(
		req: TaskRequest,
		from: {readonly executor: string; readonly isStarted: boolean},
		onEnd: OnTaskEnd,
	): TaskHandle
	/**
	 * Gives everything to a successor, which has raised the fence already: `send` takes what waits, and
	 * what runs with the executor that has it. What is submitted later goes there too.
	 */
	giveAll(send: (item: Waiting, from?: RunningAt) => void): void
	/** Starts nothing more here; what runs is left to the next fence. */
	close(): void
}

export interface RunningAt {
	readonly executor: string
	readonly isStarted: boolean
}

export interface PlacerCounts {
	readonly waiting: number
	readonly running: number
	readonly usable: number
}

type Links = ReadonlyMap<string, ExecutorLink>

interface PlacerState {
	readonly deps: PlacerDeps
	readonly createdAt: number
	readonly queue: TaskQueue
	readonly links: Map<string, ExecutorLink>
	readonly judgement: Judgement
	readonly tickets: Tickets
	/** What runs, by run; kept to be able to hand it over. */
	readonly started: Map<Run, Waiting>
	/** Takes everything once the placer has given all to a successor. */
	successor: ((item: Waiting, from?: RunningAt) => void) | undefined
	isWalkDue: boolean
	isSweepDue: boolean
	isClosed: boolean
}

export function createPlacer(deps: PlacerDeps): Placer {
	const state: PlacerState = {
		deps,
		createdAt: deps.clock.now(),
		queue: createTaskQueue(),
		links: new Map(),
		judgement: createJudgement(deps),
		tickets: createTickets({...deps, onTickets: () => walkSoon(state)}),
		started: new Map(),
		successor: undefined,
		isWalkDue: false,
		isSweepDue: false,
		isClosed: false,
	}
	return {
		submit: (req, onEnd, onStart) => submit(state, req, onEnd, onStart),
		setExecutors: records => setExecutors(state, records),
		room: () => roomFor(state.links, state.queue, state.judgement.health),
		counts: () => countsOf(state),
		canServe: () => promisingLinks(state.links).length > 0,
		isSettled: () => isSettled(state),
		expectedWaitMs: startBy => waitBeforeMs(state.links, state.queue, startBy, deps.clock.now()),
		offerOrphans() {
			for (const link of state.links.values()) link.offerOrphans()
		},
		walk() {
			if (state.queue.size() > 0) walkSoon(state)
		},
		adopt: (req, from, onEnd) => adopt(state, req, from, onEnd),
		giveAll: send => giveAll(state, send),
		close: () => close(state),
	}
}

function close(state: PlacerState) {
	state.isClosed = true
	for (const link of state.links.values()) link.close()
}

function adopt(
	state: PlacerState,
	req: TaskRequest,
	{executor, isStarted}: RunningAt,
	onEnd: OnTaskEnd,
): TaskHandle {
	const link = state.links.get(executor)
	if (!link) {
		onEnd({type: "lost", executor, cause: "its executor is not listed here"})
		return {cancel: () => undefined}
	}
	let stop = () => undefined as void
	const item: Waiting = {
		req,
		since: state.deps.clock.now(),
		onEnd,
		onStart: stopRun => void (stop = stopRun),
	}
	// eslint-disable-next-line prefer-const -- read by the callback before it is set
	let adopted: Run | undefined
	let hasEnded = false
	const run = link.adopt(req, isStarted, end => {
		// Its end may be known already; then it is told before the run is returned.
		hasEnded = true
		if (adopted) state.started.delete(adopted)
		return onEnd(end)
	})
	adopted = run
	if (!hasEnded) state.started.set(run, item)
	stop = () => link.cancel(run)
	return {cancel: () => stop()}
}

function giveAll(state: PlacerState, send: (item: Waiting, from?: RunningAt) => void) {
	state.successor = send
	// Kept jobs are not sent: the successor reads them from the store, and finds their runs by itself.
	for (const group of state.queue.inOrder(state.deps.clock.now()))
		for (let item = state.queue.take(group); item; item = state.queue.take(group))
			if (!item.req.isKept) send(item)
	const running = [...state.links.values()].flatMap(link =>
		link.runs().map(({run, isStarted}) => ({run, isStarted, executor: link.record.id})),
	)
	close(state)
	for (const {run, isStarted, executor} of running) {
		const item = state.started.get(run)
		if (item && !item.req.isKept) send(item, {executor, isStarted})
	}
}

function submit(
	state: PlacerState,
	req: TaskRequest,
	onEnd: OnTaskEnd,
	onStart: () => void,
): TaskHandle {
	const {clock} = state.deps
	let stop: (() => void) | undefined
	let isCancelled = false
	const item: Waiting = {
		req,
		since: clock.now(),
		onEnd,
		onStart(stopRun) {
			stop = stopRun
			onStart()
			if (isCancelled) stopRun()
		},
	}
	const handle: TaskHandle = {
		cancel() {
			isCancelled = true
			if (state.queue.remove(item)) onEnd({type: "stopped"})
			else stop?.()
		},
	}
	if (state.successor) {
		state.successor(item)
		return handle
	}
	state.queue.push(item)
	sweepSoon(state)
	if (req.isForeign) clock.schedule(FOREIGN_WAIT_MS, () => giveBack(state, item, "no room"))
	walkSoon(state)
	return handle
}

function giveBack({queue}: PlacerState, item: Waiting, cause: string) {
	if (queue.remove(item)) item.onEnd({type: "returned", cause})
}

/** Looks at deadlines for as long as something waits. */
function sweepSoon(state: PlacerState) {
	if (state.isSweepDue || state.isClosed || state.queue.size() === 0) return
	state.isSweepDue = true
	state.deps.clock.schedule(SWEEP_MS, () => {
		state.isSweepDue = false
		for (const item of state.queue.expired(state.deps.clock.now()))
			giveBack(state, item, "deadline")
		sweepSoon(state)
	})
}

/** Several ends in one turn of the loop need one walk. */
function walkSoon(state: PlacerState) {
	if (state.isWalkDue) return
	state.isWalkDue = true
	setImmediate(() => walk(state))
}

function walk(state: PlacerState) {
	state.isWalkDue = false
	if (state.isClosed) return
	const groups = state.queue.inOrder(state.deps.clock.now())
	for (const group of groups.slice(0, MAX_GROUPS_PER_WALK))
		if (placeGroup(state, group) === "hold back") break
	state.deps.onRoomChange()
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
function placeGroup(state: PlacerState, group: Group): "hold back" | undefined {
	const {queue, judgement, deps} = state
	const links = allowedLinks(state, group)
	if (group.waiting[0]?.req.gang) return placeGang(state, group, links)
	for (;;) {
		const next = group.waiting[0]
		if (!next) return
		const link = chooseExecutor(links, next.req, judgement.health, judgement.speeds)
		if (link) {
			queue.take(group)
			startOn(state, link, next)
		} else {
			const staysHere = next.req.isForeign || next.req.isKept || next.req.advice
			if (staysHere || !deps.handOver(next)) return
			queue.take(group)
		}
	}
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

function startOn(state: PlacerState, link: ExecutorLink, item: Waiting) {
	const {clock, metrics, log, fence} = state.deps
	const {job, task, run: number, need} = item.req
	const waitedMs = clock.now() - item.since
	const executor = link.record.id
	metrics.observe("queue_wait_ms", waitedMs)
	log.event("placer", "task_started", "placer: starts a task.", {
		job,
		task,
		run: number,
		executor,
		fence,
		freeCpu: link.freeCpu(),
		needCpu: need.cpu,
		waitedMs: Math.round(waitedMs),
		waitingTasks: state.queue.size(),
	})
	state.judgement.health.beginProbe(executor)
	const run = link.start(item.req, end => {
		state.started.delete(run)
		return item.onEnd(end)
	})
	state.started.set(run, item)
	item.onStart(() => link.cancel(run))
}

function setExecutors(state: PlacerState, records: readonly ExecutorRecord[]) {
	const listed = new Set(records.map(record => record.id))
	for (const record of records) {
		const link = state.links.get(record.id)
		if (link) link.update(record)
		else addLink(state, record)
	}
	for (const [id, link] of state.links) if (!listed.has(id)) retireLink(state, id, link)
	walkSoon(state)
}

function addLink(state: PlacerState, record: ExecutorRecord) {
	const {clock, orders, log, metrics, fence, maxLeaseMs, stopGraceMs, onFenced} = state.deps
	const orphansWaitUntil = state.createdAt + state.deps.orphansWaitMs
	const link = createExecutorLink(record, {
		clock,
		orders,
		log,
		metrics,
		fence,
		maxLeaseMs,
		stopGraceMs,
		orphansWaitUntil,
		kept: state.deps.kept,
		tickets: state.tickets,
		onRoom: () => walkSoon(state),
		onFenced,
		onRunEnd: state.judgement.observe,
	})
	state.links.set(record.id, link)
	const fields = {executor: record.id, address: record.address, freeCpu: record.capacity.cpu}
	log.event("placer", "executor_added", "placer: the list has a new executor.", fields)
}

function retireLink(state: PlacerState, id: string, link: ExecutorLink) {
	link.retire()
	if (link.runCount() > 0) return
	link.close()
	state.links.delete(id)
	state.judgement.forget(id)
	const fields = {executor: id, failureDomain: state.deps.failureDomain}
	state.deps.log.event("placer", "executor_dropped", "placer: the list has it no more.", fields)
}

/** A placer that does not know yet that it was replaced learns it at any executor, and its leases end. */
function isSettled({links, deps, createdAt}: PlacerState): boolean {
	if (deps.clock.now() - createdAt >= SETTLED_MS) return true
	return links.size > 0 && [...links.values()].every(link => link.isFenceTaken())
}

function countsOf({queue, links}: PlacerState): PlacerCounts {
	let running = 0
	for (const link of links.values()) running += link.runCount()
	return {waiting: queue.size(), running, usable: usableLinks(links).length}
}
