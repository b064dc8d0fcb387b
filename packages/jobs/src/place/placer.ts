/**
 * The placer of a failure domain: it alone starts tasks on that domain's executors.
 *
 * Tasks wait in one queue. Whenever room may have appeared the queue is walked in order; a task that
 * fits nowhere here may go to another domain's placer that has room, and blocks nobody behind it.
 */
import type {ExecutorRecord} from "../types/executor.js"
import type {Room} from "../types/fleet.js"
import type {Step} from "../types/job.js"
import {lifeOf} from "../utils/log.js"
import {createExecutorLink, type ExecutorLink} from "./executor-link.js"
import {createJudgement} from "./judgement.js"
import {certainEndAt} from "./lease-rule.js"
import {createLosses} from "./losses.js"
import type {PlacerDeps, PlacerState, RunningAt} from "./placer-state.js"
import {startPulse} from "./pulse.js"
import {countThatFit, promisingLinks, roomFor, usableLinks, waitBeforeMs} from "./room.js"
import type {OnTaskEnd, Run, TaskRequest} from "./run.js"
import {createTaskQueue, type Waiting} from "./task-queue.js"
import {createTickets} from "./tickets.js"
import {walkSoon} from "./walk.js"

/** A task from another placer that found no room is given back after this. */
const FOREIGN_WAIT_MS = 40
/**
 * For executors that nobody here can ask, since the list does not name them: the leases that the placer before asked for
 * until it handed over are over after half of this. One that does not know that it was replaced learns it at any executor
 * that obeys the new fence, within a hold (400 ms), and then its leases end.
 */
const SETTLED_MS = 2_000
/** The list has been read and executors have answered by then, also in a process that has just started. */
const BEGINNING_MS = 400
/** Deadlines are looked at this often. */
const SWEEP_MS = 25

export interface TaskHandle {
	/** Ends the task wherever it is; its end follows. */
	cancel(): void
}

export interface Placer {
	submit(req: TaskRequest, onEnd: OnTaskEnd, onStart: () => void): TaskHandle
	/** Takes over the platform's list of this domain's executors. */
	setExecutors(records: readonly ExecutorRecord[]): void
	/** Its executors; those that the list has dropped count as leaving. */
	executors(): readonly ExecutorRecord[]
	room(): Room
	counts(): PlacerCounts
	/** Whether any executor is, or will soon be, usable. */
	canServe(): boolean
	/** Whether it has only just begun, and no executor has answered yet. */
	isBeginning(): boolean
	/** Whether every executor obeys this placer, or has certainly ended what the one before started. */
	isSettled(): boolean
	/**
	 * How long a task with this latest useful start will wait at the pace of the estimates, in
	 * milliseconds; Infinity without an executor that is or will soon be usable.
	 */
	expectedWaitMs(startBy: number): number
	/** Whether all tasks of a step could start now, whatever waits for more room than that. */
	hasRoomFor(step: Step, service: string): boolean
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
	/** As `close`, when somebody else places now: tells those that handed tasks over as soon as it is certain that they run no more. */
	giveUp(): void
	/** Starts nothing more here; what runs is left to the next fence. */
	close(): void
}

export interface PlacerCounts {
	readonly waiting: number
	readonly running: number
	readonly usable: number
}

export function createPlacer(deps: PlacerDeps): Placer {
	const state: PlacerState = {
		deps,
		createdAt: deps.clock.now(),
		queue: createTaskQueue(),
		links: new Map(),
		judgement: createJudgement(deps),
		losses: createLosses(deps.clock),
		tickets: createTickets({...deps, onTickets: () => walkSoon(state)}),
		pulse: startPulse(deps.clock),
		started: new Map(),
		successor: undefined,
		isWalkDue: false,
		isHeldBack: false,
		isSweepDue: false,
		isClosed: false,
	}
	return {
		submit: (req, onEnd, onStart) => submit(state, req, onEnd, onStart),
		setExecutors: records => setExecutors(state, records),
		executors: () => [...state.links.values()].filter(link => !link.isClosed()).map(recordOf),
		room: () => roomFor(state.links, state.queue, state.judgement.health),
		counts: () => countsOf(state),
		canServe: () => promisingLinks(state.links).length > 0,
		isBeginning: () => isBeginning(state),
		isSettled: () => isSettled(state),
		expectedWaitMs: startBy => waitBeforeMs(state.links, state.queue, startBy, deps.clock.now()),
		hasRoomFor: (step, service) => hasRoomFor(state, step, service),
		offerOrphans() {
			for (const link of state.links.values()) if (!link.isClosed()) link.offerOrphans()
		},
		walk() {
			if (state.queue.size() > 0) walkSoon(state)
		},
		adopt: (req, from, onEnd) => adopt(state, req, from, onEnd),
		giveAll: send => giveAll(state, send),
		giveUp: () => giveUp(state),
		close: () => close(state),
	}
}

const recordOf = (link: ExecutorLink): ExecutorRecord =>
	link.isRetired() ? {...link.record, isLeaving: true} : link.record

function close(state: PlacerState) {
	state.isClosed = true
	state.pulse.close()
	for (const link of state.links.values()) link.close()
}

/** The jobs here are given up by whoever has them; what other placers handed over is known to nobody else. */
function giveUp(state: PlacerState) {
	close(state)
	for (const link of state.links.values())
		for (const {run} of link.runs()) if (run.req.isForeign) tellWhenOver(state, link, run)
}

/** Nobody renews its lease any more: neither this placer nor a successor, which knows nothing of it. */
function tellWhenOver({deps}: PlacerState, {record}: ExecutorLink, {req, onEnd}: Run) {
	const now = deps.clock.now()
	const endAt = certainEndAt(deps.leaseRule, Math.min(now, req.confirmedAt()))
	const cause = "its placer lost the domain"
	const end = {type: "lost", executor: record.id, cause} as const
	deps.clock.schedule(Math.max(0, endAt - now), () => void onEnd(end))
}

function adopt(
	state: PlacerState,
	req: TaskRequest,
	{executor, record, isStarted, stopCause}: RunningAt,
	onEnd: OnTaskEnd,
): TaskHandle {
	const known = state.links.get(executor)
	if (known?.isReplaced()) return tellReplaced(state, executor, onEnd)
	const link = known && !known.isClosed() ? known : record && addUnlisted(state, record)
	if (!link) return presumeEnded(state, req, executor, onEnd)
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
	if (!hasEnded) {
		state.started.set(run, item)
		if (stopCause) link.cancel(run, stopCause)
	}
	stop = () => link.cancel(run)
	return {cancel: () => stop()}
}

/** An executor that the list lacks is watched for what runs there; it gets nothing new until the list has it. */
function addUnlisted(state: PlacerState, record: ExecutorRecord): ExecutorLink {
	const link = addLink(state, record)
	link.retire()
	return link
}

/** Whatever ran in the executor's life before is gone. */
function tellReplaced({deps}: PlacerState, executor: string, onEnd: OnTaskEnd): TaskHandle {
	deps.clock.schedule(0, () => void onEnd({type: "lost", executor, cause: "replaced"}))
	return {cancel: () => undefined}
}

/** Nobody here can ask the executor, but its lease is over by then. */
function presumeEnded(
	{deps}: PlacerState,
	{job, task, run, askedBy}: TaskRequest,
	executor: string,
	onEnd: OnTaskEnd,
): TaskHandle {
	const whose = {fence: deps.fence, askedBy: lifeOf(askedBy)}
	const fields = {job, task, run, executor, ...whose, outcome: "executor unknown"}
	deps.log.alarm("placer", "run_adopted", "placer: took over a run of the placer before.", fields)
	const end = {type: "lost", executor, cause: "its executor is unknown here"} as const
	deps.clock.schedule(SETTLED_MS, () => void onEnd(end))
	return {cancel: () => undefined}
}

function giveAll(state: PlacerState, send: (item: Waiting, from?: RunningAt) => void) {
	state.successor = send
	// Kept jobs are not sent: the successor reads them from the store, and finds their runs by itself.
	for (const group of state.queue.inOrder(state.deps.clock.now()))
		for (let item = state.queue.take(group); item; item = state.queue.take(group))
			if (!item.req.isKept) send(item)
	const running = [...state.links.values()].flatMap(link =>
		link.runs().map(({run, isStarted}) => ({run, isStarted, record: link.record})),
	)
	close(state)
	for (const {run, isStarted, record} of running) {
		const item = state.started.get(run)
		const {stopCause} = run
		if (item && !item.req.isKept) send(item, {executor: record.id, record, isStarted, stopCause})
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
		if (state.isHeldBack) walkSoon(state)
		sweepSoon(state)
	})
}

function setExecutors(state: PlacerState, records: readonly ExecutorRecord[]) {
	const listed = new Set(records.map(record => record.id))
	for (const record of records) {
		const link = state.links.get(record.id)
		if (!link || (link.isClosed() && !link.isReplaced())) addLink(state, record)
		else link.update(record)
	}
	for (const [id, link] of state.links) if (!listed.has(id)) retireLink(state, id, link)
	walkSoon(state)
}

function addLink(state: PlacerState, record: ExecutorRecord): ExecutorLink {
	const {clock, orders, log, metrics, fence, leaseRule, stopGraceMs, onFenced} = state.deps
	const orphansWaitUntil = state.createdAt + state.deps.orphansWaitMs
	const link = createExecutorLink(record, {
		clock,
		orders,
		log,
		metrics,
		fence,
		leaseRule,
		stopGraceMs,
		orphansWaitUntil,
		kept: state.deps.kept,
		tickets: state.tickets,
		losses: state.losses,
		onRoom: () => walkSoon(state),
		onFenced,
		onRunEnd: state.judgement.observe,
	})
	state.links.set(record.id, link)
	const fields = {executor: record.id, address: record.address, freeCpu: record.capacity.cpu}
	log.event("placer", "executor_added", "placer: has a new executor.", fields)
	return link
}

function retireLink(state: PlacerState, id: string, link: ExecutorLink) {
	link.retire()
	if (!link.isIdle()) return
	link.close()
	state.links.delete(id)
	state.judgement.forget(id)
	const fields = {executor: id, failureDomain: state.deps.failureDomain}
	state.deps.log.event("placer", "executor_dropped", "placer: the list has it no more.", fields)
}

/**
 * A placer that was replaced and does not know it goes on renewing leases wherever the new fence was not seen, for as long as
 * that may be; so each executor that is known here must obey, or be gone. Executors that the list has
 * dropped may still run something for it, and are not asked here unless it named them.
 */
function isSettled({links, deps, createdAt}: PlacerState): boolean {
	const isOld = deps.clock.now() - createdAt >= SETTLED_MS
	const areAllKnown = deps.knowsAllExecutors && links.size > 0
	return (isOld || areAllKnown) && [...links.values()].every(link => link.isFenceTaken())
}

function isBeginning({links, deps, createdAt}: PlacerState): boolean {
	if (deps.clock.now() - createdAt >= BEGINNING_MS) return false
	return [...links.values()].every(link => !link.isFenceTaken())
}

function hasRoomFor({links, judgement}: PlacerState, step: Step, service: string): boolean {
	const open = usableLinks(links).filter(
		({record}) => record.service === service && judgement.health.isUsable(record.id),
	)
	return countThatFit(open, step) >= step.count
}

function countsOf({queue, links}: PlacerState): PlacerCounts {
	let running = 0
	for (const link of links.values()) running += link.runCount()
	return {waiting: queue.size(), running, usable: usableLinks(links).length}
}
