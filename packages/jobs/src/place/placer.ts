/**
 * The placer of a failure domain: it alone starts tasks on that domain's executors.
 *
 * Tasks wait in one queue. Whenever room may have appeared the queue is walked in order; a task that
 * fits nowhere here may go to another domain's placer that has room, and blocks nobody behind it.
 */
import type {ExecutorRecord} from "../types/executor.js"
import type {Room} from "../types/fleet.js"
import type {Step} from "../types/job.js"
import type {ExecutorLink} from "../link/executor-link.js"
import {createJudgement} from "./judgement.js"
import {createLossDetector} from "../link/loss-detector.js"
import type {PlacerDeps, PlacerState, RunLocation} from "./placer-state.js"
import {closeLinks, setExecutors} from "./placer-links.js"
import {startPulse} from "./pulse.js"
import {loadOf, type PlacerLoad} from "../decide/load.js"
import {countThatFit, hasPromising, roomFor, usableLinks, waitBeforeMs} from "../decide/room.js"
import type {OnTaskEnd, TaskHandle, TaskRequest} from "./run.js"
import {adopt, giveAll, giveExecutors, giveUp, isSettled} from "./succession.js"
import {createTaskQueue, type WaitingTask} from "./task-queue.js"
import {createTickets} from "./tickets.js"
import {walkSoon} from "./walk.js"

/** A task from another placer that found no room is given back after this. */
const FOREIGN_WAIT_MS = 40
/** The list has been read and executors have answered by then, also in a process that has just started. */
const BEGINNING_MS = 400
/** Deadlines are looked at this often. */
const SWEEP_MS = 25

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
	isStartingUp(): boolean
	/** Whether every executor obeys this placer, or has certainly ended what the one before started. */
	hasTakenOver(): boolean
	/**
	 * How long a task with this latest useful start will wait at the pace of the estimates, in
	 * milliseconds; Infinity without an executor that is or will soon be usable.
	 */
	expectedWaitMs(startBy: number): number
	/** What its executors carry; a walk over all that runs. */
	load(): PlacerLoad
	/** Core-milliseconds that wait. */
	work(): number
	/** Core-milliseconds that wait and go before a task with this latest useful start. */
	workBefore(startBy: number): number
	/** Whether all tasks of a step could start now, whatever waits for more room than that. */
	hasRoomFor(step: Step, service: string): boolean
	/** Offers what executors have listed so far to the kept jobs, which are known from now on. */
	offerOrphans(): void
	/** Tries the queue again soon: room may have appeared elsewhere. */
	placeWaiting(): void
	/** Nothing further may start here from now on, or it may again. */
	noteEvacuation(): void
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
	handOverAll(send: (item: WaitingTask, from?: RunLocation) => void): void
	/**
	 * Gives some of its executors to another placer, which has raised the fence there: what runs there goes along. Returns
	 * how many they were.
	 */
	handOverExecutors(
		isGiven: (record: ExecutorRecord) => boolean,
		send: (item: WaitingTask, from: RunLocation) => void,
	): number
	/** As `close`, when somebody else places now: tells those that handed tasks over as soon as it is certain that they run no more. */
	relinquish(): void
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
		losses: createLossDetector(deps.clock),
		tickets: createTickets({...deps, onTickets: () => walkSoon(state)}),
		pulse: startPulse(deps.clock),
		runCounts: new Map(),
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
		room: () => roomFor(state.links, state.queue, state.judgement),
		counts: () => countsOf(state),
		canServe: () => hasPromising(state.links),
		isStartingUp: () => isBeginning(state),
		hasTakenOver: () => isSettled(state),
		expectedWaitMs: startBy =>
			waitBeforeMs(state.links, state.queue, state.judgement.speeds, startBy, deps.clock.now()),
		load: () => loadOf(state.links, state.started.keys(), state.judgement),
		work: () => state.queue.work(),
		workBefore: startBy => state.queue.workBefore(startBy, deps.clock.now()),
		hasRoomFor: (step, service) => hasRoomFor(state, step, service),
		offerOrphans() {
			for (const link of state.links.values()) if (!link.isClosed()) link.offerOrphans()
		},
		placeWaiting() {
			if (state.queue.size() > 0) walkSoon(state)
		},
		noteEvacuation() {
			returnForeign(state)
			walkSoon(state)
		},
		adopt: (req, from, onEnd) => adopt(state, req, from, onEnd),
		handOverAll: send => giveAll(state, send),
		handOverExecutors: (isGiven, send) => giveExecutors(state, isGiven, send),
		relinquish: () => giveUp(state),
		close: () => closeLinks(state),
	}
}

const recordOf = (link: ExecutorLink): ExecutorRecord =>
	link.isRetired() ? {...link.record, isLeaving: true} : link.record

function submit(
	state: PlacerState,
	req: TaskRequest,
	onEnd: OnTaskEnd,
	onStart: () => void,
): TaskHandle {
	const {clock} = state.deps
	let stop: (() => void) | undefined
	let isCancelled = false
	const item: WaitingTask = {
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
	if (state.deps.isEvacuated()) clock.schedule(0, () => returnForeign(state))
	walkSoon(state)
	return handle
}

/** What other placers handed over finds nothing here while the domain is emptied, and goes elsewhere at once. */
function returnForeign(state: PlacerState) {
	if (!state.deps.isEvacuated()) return
	for (const item of state.queue.all()) if (item.req.isForeign) giveBack(state, item, "evacuated")
}

function giveBack({queue}: PlacerState, item: WaitingTask, cause: string) {
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
