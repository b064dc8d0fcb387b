/**
 * The placer of a failure domain, the only one that starts tasks on the domain's executors.
 *
 * Tasks wait in one queue. Whenever room may have appeared, a pass goes through the queue in order. A task that does not fit may
 * be handed over to another domain's placer, and does not block those behind it.
 */
import type {ExecutorRecord} from "../types/executor.js"
import type {Room} from "../types/fleet.js"
import type {Step} from "../types/job.js"
import type {ExecutorLink} from "../link/executor-link.js"
import {createAssessment} from "./executor-assessment.js"
import {createLossDetector} from "../link/loss-detector.js"
import type {PlacerDeps, PlacerState, RunLocation} from "./placer-state.js"
import {closeLinks, setExecutors} from "./placer-links.js"
import {startStallDetector} from "./stall-detector.js"
import {loadOf, type PlacerLoad} from "../decide/load.js"
import {
	countThatFit,
	hasSoonUsable,
	reportedRoom,
	usableLinks,
	waitBeforeMs,
} from "../decide/room.js"
import {createPassTurns} from "./pass-turns.js"
import {createParkedTasks} from "./parked-tasks.js"
import type {OnTaskEnd, TaskHandle, TaskRequest, TaskSupply} from "./run.js"
import {adopt, handOverAll, handOverExecutors, relinquish, hasTakenOver} from "./succession.js"
import {createTaskQueue, sourceKeyOf, type TaskSource, type WaitingTask} from "./task-queue.js"
import {createTickets} from "./tickets.js"
import {schedulePass} from "./scheduling-pass.js"

/** When a task from another placer is returned if it found no room. */
const FOREIGN_WAIT_MS = 40
/** By then the list was read and executors have answered, even in a process that has just started. */
const STARTUP_MS = 400
/** The interval of deadline checks. */
const DEADLINE_CHECK_MS = 25
/** A silent, paused or set-aside executor becomes usable with time, without an event that would start a pass. */
const MAX_PASS_INTERVAL_MS = 250

export interface Placer {
	submit(req: TaskRequest, onEnd: OnTaskEnd, onStart: () => void): TaskHandle
	/** Submits tasks that are made when their turn comes; they are cancelled one by one, and the supply by having no more. */
	submitAll(supply: TaskSupply): void
	/** Replaces the list of this domain's executors. */
	setExecutors(records: readonly ExecutorRecord[]): void
	/** The linked executors; those no longer listed are marked as leaving. */
	executors(): readonly ExecutorRecord[]
	room(): Room
	counts(): PlacerCounts
	/** Whether any executor is usable, or will be soon. */
	canServe(): boolean
	/** Whether the failure domain was cut off or lost when it was taken over, and still has no usable executor. */
	isStranded(): boolean
	/** Whether the placer was created just now and no executor has answered yet. */
	isStartingUp(): boolean
	/** Whether every executor obeys this placer, or has certainly ended the previous placer's runs. */
	hasTakenOver(): boolean
	/**
	 * Whether the failure domain may go to a successor. It would presume that this placer knows all runs there, which is not so
	 * while the one before may be cut off and at work.
	 */
	mayHandOver(): boolean
	/**
	 * The expected wait of a task with this latest useful start by the estimates, in milliseconds; Infinity if no executor is
	 * usable, or will be soon.
	 */
	expectedWaitMs(startBy: number): number
	/** The load of its executors; iterates over all runs. */
	load(): PlacerLoad
	/** Core-milliseconds of waiting work. */
	work(): number
	/** Core-milliseconds of work queued ahead of a task with this latest useful start. */
	workBefore(startBy: number): number
	/** Whether all tasks of a step could start now, regardless of the queue. */
	hasRoomFor(step: Step, service: string): boolean
	/** Offers the unknown runs listed by executors to the kept jobs, once these have been loaded. */
	offerOrphans(): void
	/** Schedules a pass over the queue, since room may have appeared elsewhere. */
	placeWaiting(): void
	/** Called when an evacuation of the domain begins or ends. */
	noteEvacuation(): void
	/** Takes over a run that the previous placer had on an executor. */
	adopt(
		req: TaskRequest,
		from: {readonly executor: string; readonly isStarted: boolean},
		onEnd: OnTaskEnd,
	): TaskHandle
	/**
	 * Transfers all tasks to a successor, which has raised the fence already: `send` receives waiting tasks, running tasks with
	 * their executor, and tasks submitted later.
	 */
	handOverAll(send: (item: WaitingTask, from?: RunLocation) => void): void
	/** Transfers executors with their runs to another placer, which has raised the fence there already. Returns their number. */
	handOverExecutors(
		isHandedOver: (record: ExecutorRecord) => boolean,
		send: (item: WaitingTask, from: RunLocation) => void,
	): number
	/** As `close`, after another placer took over: reports handed-over tasks as lost once their runs have certainly ended. */
	relinquish(): void
	/** Starts nothing more; the runs are left to the next placer. */
	close(): void
}

export interface PlacerCounts {
	readonly waiting: number
	readonly running: number
	readonly usable: number
}

export function createPlacer(deps: PlacerDeps): Placer {
	const queue = createTaskQueue()
	const links: PlacerState["links"] = new Map()
	const state: PlacerState = {
		deps,
		createdAt: deps.clock.now(),
		queue,
		parked: createParkedTasks(links, queue),
		links,
		assessment: createAssessment(deps),
		losses: createLossDetector(deps.clock),
		tickets: createTickets({...deps, onTickets: () => schedulePass(state)}),
		stallDetector: startStallDetector(deps.clock),
		runCounts: new Map(),
		started: new Map(),
		successor: undefined,
		turns: createPassTurns(deps.clock),
		sweepTurns: createPassTurns(deps.clock),
		isPassDue: false,
		passedAt: -Infinity,
		sweptAt: -Infinity,
		awaitsConfirmation: false,
		isDeadlineCheckDue: false,
		isClosed: false,
	}
	return {
		submit: (req, onEnd, onStart) => submit(state, req, onEnd, onStart),
		submitAll: supply => submitAll(state, supply),
		setExecutors: records => setExecutors(state, records),
		executors: () => [...state.links.values()].filter(link => !link.isClosed()).map(recordOf),
		room: () => reportedRoom(state.links, state.queue, state.assessment),
		counts: () => countsOf(state),
		canServe: () => hasSoonUsable(state.links),
		isStranded: () => deps.isCutOff && !hasSoonUsable(state.links),
		isStartingUp: () => isStartingUp(state),
		hasTakenOver: () => hasTakenOver(state),
		mayHandOver: () => !deps.isCutOff || hasTakenOver(state),
		expectedWaitMs: startBy =>
			waitBeforeMs(state.links, state.queue, state.assessment.speeds, startBy, deps.clock.now()),
		load: () => loadOf(state.links, state.started.keys(), state.assessment),
		work: () => state.queue.work(),
		workBefore: startBy => state.queue.workBefore(startBy, deps.clock.now()),
		hasRoomFor: (step, service) => hasRoomFor(state, step, service),
		offerOrphans() {
			for (const link of state.links.values()) if (!link.isClosed()) link.offerOrphans()
		},
		placeWaiting() {
			if (state.queue.size() + state.parked.size() > 0) schedulePass(state)
		},
		noteEvacuation() {
			returnForeignTasks(state)
			schedulePass(state)
		},
		adopt: (req, from, onEnd) => adopt(state, req, from, onEnd),
		handOverAll: send => handOverAll(state, send),
		handOverExecutors: (isHandedOver, send) => handOverExecutors(state, isHandedOver, send),
		relinquish: () => relinquish(state),
		close: () => closeLinks(state),
	}
}

const recordOf = (link: ExecutorLink): ExecutorRecord =>
	link.isRetired() ? {...link.record, isLeaving: true} : link.record

/** A task for the queue, and the handle of its submitter. */
function newWaiting(
	state: PlacerState,
	{req, since, onEnd, onStart, groupKey}: Omit<WaitingTask, "onStart"> & {onStart: () => void},
): {readonly item: WaitingTask; readonly handle: TaskHandle} {
	let stop: (() => void) | undefined
	let isCancelled = false
	const item: WaitingTask = {
		req,
		since,
		onEnd,
		onStart(stopRun) {
			stop = stopRun
			onStart()
			if (isCancelled) stopRun()
		},
		...(groupKey !== undefined && {groupKey}),
	}
	const handle: TaskHandle = {
		cancel() {
			isCancelled = true
			if (state.queue.remove(item) || state.parked.remove(item)) onEnd({type: "stopped"})
			else stop?.()
		},
	}
	return {item, handle}
}

function submit(
	state: PlacerState,
	req: TaskRequest,
	onEnd: OnTaskEnd,
	onStart: () => void,
): TaskHandle {
	const {clock} = state.deps
	const {item, handle} = newWaiting(state, {req, since: clock.now(), onEnd, onStart})
	if (state.successor) {
		state.successor(item)
		return handle
	}
	state.queue.push(item)
	scheduleDeadlineCheck(state)
	if (req.isForeign) clock.schedule(FOREIGN_WAIT_MS, () => returnTask(state, item, "no room"))
	if (state.deps.isEvacuated()) clock.schedule(0, () => returnForeignTasks(state))
	schedulePass(state)
	return handle
}

/** The successor of a placer reads the kept jobs from the store, so nothing is sent there. */
function submitAll(state: PlacerState, supply: TaskSupply) {
	if (state.successor) return
	state.queue.pushSource(sourceOf(state, supply))
	scheduleDeadlineCheck(state)
	schedulePass(state)
}

function sourceOf(state: PlacerState, supply: TaskSupply): TaskSource {
	const submittedAt = state.deps.clock.now()
	const groupKey = sourceKeyOf(supply.req)
	return {
		groupKey,
		req: supply.req,
		size: () => supply.size(),
		next() {
			const task = supply.next()
			if (!task) return undefined
			const since = Math.max(submittedAt, task.dueAt)
			const {item, handle} = newWaiting(state, {...task, since, groupKey})
			task.onQueued(handle)
			return item
		},
	}
}

/** Returns the tasks of other placers at once while the domain is evacuated. */
function returnForeignTasks(state: PlacerState) {
	if (!state.deps.isEvacuated()) return
	for (const item of state.queue.all()) if (item.req.isForeign) returnTask(state, item, "evacuated")
}

function returnTask({queue}: PlacerState, item: WaitingTask, cause: string) {
	if (queue.remove(item)) item.onEnd({type: "returned", cause})
}

/** Checks deadlines while a task waits, and looks at the queue now and then. */
function scheduleDeadlineCheck(state: PlacerState) {
	const {queue, parked} = state
	if (state.isDeadlineCheckDue || state.isClosed || queue.size() + parked.size() === 0) return
	state.isDeadlineCheckDue = true
	state.deps.clock.schedule(DEADLINE_CHECK_MS, () => {
		state.isDeadlineCheckDue = false
		for (const item of state.queue.expired(state.deps.clock.now()))
			returnTask(state, item, "deadline")
		const passAgeMs = state.deps.clock.now() - state.passedAt
		if (state.awaitsConfirmation || passAgeMs >= MAX_PASS_INTERVAL_MS) schedulePass(state)
		scheduleDeadlineCheck(state)
	})
}

function isStartingUp({links, deps, createdAt}: PlacerState): boolean {
	if (deps.clock.now() - createdAt >= STARTUP_MS) return false
	return [...links.values()].every(link => !link.isFenceTaken())
}

function hasRoomFor({links, assessment}: PlacerState, step: Step, service: string): boolean {
	const available = usableLinks(links).filter(
		({record}) => record.service === service && assessment.health.isUsable(record.id),
	)
	return countThatFit(available, step) >= step.count
}

function countsOf({queue, parked, links}: PlacerState): PlacerCounts {
	let running = 0
	for (const link of links.values()) running += link.runCount()
	return {waiting: queue.size() + parked.size(), running, usable: usableLinks(links).length}
}
