/**
 * The placer of a failure domain: it alone starts tasks on that domain's executors.
 *
 * Tasks wait in one queue. Whenever room may have appeared the queue is walked in order; a task that
 * fits nowhere here may go to another domain's placer that has room, and blocks nobody behind it.
 */
import {createHealth, type Clock, type Health} from "@cottonwood/core"
import type {ExecutorOrders, ExecutorRecord} from "../types/executor.js"
import type {Room} from "../types/fleet.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import {createExecutorLink, type ExecutorLink} from "./executor-link.js"
import type {Run, TaskEnd, TaskRequest} from "./run.js"
import {chooseExecutor, createSpeeds, type Speeds} from "./selection.js"
import {createTaskQueue, type Group, type TaskQueue, type Waiting} from "./task-queue.js"

/** Groups that are tried in one walk; what stands further behind finds no room either as a rule. */
const MAX_GROUPS_PER_WALK = 24
/** A task from another placer that found no room is given back after this. */
const FOREIGN_WAIT_MS = 40
/** Whole tasks fill about this share of executors of two or three times their size; measured on the sheets. */
const PACKED_SHARE = 0.8
/** Deadlines are looked at this often. */
const SWEEP_MS = 25
/** The freest executors that are told to other placers. */
const ROOM_ENTRIES = 6
/** At most this share of the executors is set aside. */
const MAX_ASIDE_SHARE = 0.4
/** A stuck run counts as so many failed ones: one is enough to judge by. */
const STUCK_WEIGHT = 3
/** Two waits of a busy executor's hold: an end that was not told within it was told late. */
const LATE_NEWS_MS = 320
/** An executor that was set aside gets a probe after this. */
const PROBE_AFTER_MS = 1_500

export interface PlacerDeps {
	readonly clock: Clock
	readonly orders: ExecutorOrders
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly failureDomain: string
	readonly fence: number
	readonly maxLeaseMs: number
	readonly stopGraceMs: number
	/** Runs left by the placer before wait this long to be handed over. */
	readonly orphansWaitMs: number
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
	submit(req: TaskRequest, onEnd: (end: TaskEnd) => void, onStart: () => void): TaskHandle
	/** Takes over the platform's list of this domain's executors. */
	setExecutors(records: readonly ExecutorRecord[]): void
	room(): Room
	counts(): PlacerCounts
	/** Whether any executor is, or will soon be, usable. */
	canServe(): boolean
	/**
	 * How long a task with this latest useful start will wait at the pace of the estimates, in
	 * milliseconds; Infinity without an executor that is or will soon be usable.
	 */
	expectedWaitMs(startBy: number): number
	/** Tries the queue again soon: room may have appeared elsewhere. */
	walk(): void
	/** Takes over a run that the placer before had on an executor. */
	adopt(
		req: TaskRequest,
		from: {readonly executor: string; readonly isStarted: boolean},
		onEnd: (end: TaskEnd) => void,
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

interface PlacerState {
	readonly deps: PlacerDeps
	readonly createdAt: number
	readonly queue: TaskQueue
	readonly links: Map<string, ExecutorLink>
	readonly speeds: Speeds
	readonly health: Health
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
		speeds: createSpeeds(),
		health: createPlacerHealth(deps),
		started: new Map(),
		successor: undefined,
		isWalkDue: false,
		isSweepDue: false,
		isClosed: false,
	}
	return {
		submit: (req, onEnd, onStart) => submit(state, req, onEnd, onStart),
		setExecutors: records => setExecutors(state, records),
		room: () => roomOf(state),
		counts: () => countsOf(state),
		canServe: () => [...state.links.values()].some(link => link.isPromising()),
		expectedWaitMs: startBy => expectedWaitMs(state, startBy),
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
	onEnd: (end: TaskEnd) => void,
): TaskHandle {
	const link = state.links.get(executor)
	if (!link) {
		onEnd({type: "lost", executor, cause: "its executor is not listed here"})
		return {cancel: () => undefined}
	}
	const run = link.adopt(req, isStarted, onEnd)
	return {cancel: () => link.cancel(run)}
}

function giveAll(state: PlacerState, send: (item: Waiting, from?: RunningAt) => void) {
	state.successor = send
	for (const group of state.queue.inOrder(state.deps.clock.now()))
		for (let item = state.queue.take(group); item; item = state.queue.take(group)) send(item)
	const running = [...state.links.values()].flatMap(link =>
		link.runs().map(({run, isStarted}) => ({run, isStarted, executor: link.record.id})),
	)
	close(state)
	for (const {run, isStarted, executor} of running) {
		const item = state.started.get(run)
		if (item) send(item, {executor, isStarted})
	}
}

function createPlacerHealth({clock, metrics, log, failureDomain}: PlacerDeps): Health {
	return createHealth({
		now: () => clock.now(),
		maxAsideShare: () => MAX_ASIDE_SHARE,
		probeAfterMs: () => PROBE_AFTER_MS,
		onChange(executor, outcome, cause) {
			metrics.count("executors_aside", outcome)
			const fields = {executor, outcome, cause, failureDomain}
			log.alarm("placer", "executor_aside", "placer: judged an executor.", fields)
		},
	})
}

function submit(
	state: PlacerState,
	req: TaskRequest,
	onEnd: (end: TaskEnd) => void,
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
	for (const group of groups.slice(0, MAX_GROUPS_PER_WALK)) placeGroup(state, group)
	state.deps.onRoomChange()
}

function placeGroup(state: PlacerState, group: Group) {
	const {queue, links, health, speeds, deps} = state
	for (;;) {
		const next = group.waiting[0]
		if (!next) return
		const link = chooseExecutor(links, next.req, health, speeds)
		if (link) {
			queue.take(group)
			startOn(state, link, next)
		} else {
			if (next.req.isForeign || !deps.handOver(next)) return
			queue.take(group)
		}
	}
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
	state.health.beginProbe(executor)
	const run = link.start(item.req, end => {
		state.started.delete(run)
		item.onEnd(end)
	})
	state.started.set(run, item)
	item.onStart(() => link.cancel(run))
}

function observeEnd(state: PlacerState, executor: string, run: Run, end: TaskEnd) {
	const {clock, log, metrics} = state.deps
	const tookMs = clock.now() - run.startedAt
	const {job, task, run: number, estimateMs} = run.req
	log.event("placer", "run_ended", "placer: a run ended.", {
		job,
		task,
		run: number,
		executor,
		estimateMs,
		tookMs: Math.round(tookMs),
		outcome: end.type,
		cause: "cause" in end ? end.cause : undefined,
	})
	// News of the end may be late; then only the time for which it was seen to run is certain.
	const isLateNews = clock.now() - run.seenAt > LATE_NEWS_MS
	const ranMs = isLateNews ? run.seenAt - run.startedAt : tookMs
	const slowness = ranMs / Math.max(1, estimateMs)
	if (run.stopCause === "stuck") return observeStuck(state, executor, slowness)
	if (end.type !== "done" && end.type !== "failed") return state.health.endProbe(executor)
	state.health.observe({target: executor, failed: end.type === "failed", slowness})
	if (end.type === "failed") return
	metrics.observe("run_ms", tookMs)
	if (!isLateNews) state.speeds.observe(executor, slowness)
}

/** A stuck run is the executor's doing, while a failed one may be the task's. */
function observeStuck({health}: PlacerState, target: string, slowness: number) {
	for (let times = 0; times < STUCK_WEIGHT; times++)
		health.observe({target, failed: true, slowness})
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
		onRoom: () => walkSoon(state),
		onFenced,
		onRunEnd: (executor, run, end) => observeEnd(state, executor, run, end),
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
	state.health.forget(id)
	state.speeds.forget(id)
	const fields = {executor: id, failureDomain: state.deps.failureDomain}
	state.deps.log.event("placer", "executor_dropped", "placer: the list has it no more.", fields)
}

const usableLinks = ({links}: PlacerState) => [...links.values()].filter(link => link.isUsable())

function roomOf(state: PlacerState): Room {
	const {queue, health} = state
	const open = usableLinks(state).filter(link => health.isUsable(link.record.id))
	const free = open.map(link => link.freeCpu()).sort((a, b) => b - a)
	return {
		freeCpu: queue.size() > 0 ? [] : free.slice(0, ROOM_ENTRIES),
		totalCpu: open.reduce((sum, link) => sum + link.record.capacity.cpu, 0),
		waitingWork: Math.round(queue.work()),
		labels: [...new Set(open.flatMap(link => link.record.labels))],
	}
}

function countsOf(state: PlacerState): PlacerCounts {
	let running = 0
	for (const link of state.links.values()) running += link.runCount()
	return {waiting: state.queue.size(), running, usable: usableLinks(state).length}
}

function expectedWaitMs(state: PlacerState, startBy: number): number {
	const promising = [...state.links.values()].filter(link => link.isPromising())
	const cpu = promising.reduce((sum, link) => sum + link.record.capacity.cpu, 0)
	if (cpu === 0) return Infinity
	const work = state.queue.workBefore(startBy, state.deps.clock.now())
	return work / ((cpu / 1_000) * PACKED_SHARE)
}
