/**
 * Executes one occurrence of a kept job: starts tasks whose predecessors are done, retries them,
 * and records their ends.
 *
 * An end is written to the store before the executor may forget it, so the next placer learns of it
 * from either.
 */
import type {Clock} from "@cottonwood/core"
import {criticalPathMs, RETRY_MS, RUN_NUMBER_STEP} from "../coordinate/job-run.js"
import type {RunLocation} from "../place/placer-state.js"
import {
	countCrash,
	isPoisonTask,
	NO_CRASHES,
	reportCrash,
	SOUND_RUN_MS,
	type Crash,
} from "../decide/crashes.js"
import type {TaskEnd, EndRecorded, SuppliedTask, TaskHandle, TaskRequest} from "../place/run.js"
import {taskRequestBase} from "../coordinate/task-request.js"
import type {Queue} from "../types/fleet-config.js"
import type {Step} from "../types/job.js"
import type {JobRecord} from "../types/kept-job.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import {createStepTasks, type StepTasks, type TaskState} from "./step-tasks.js"

/** Delay before a lasting task starts again, doubled with each short run. */
const MIN_LASTING_RETRY_MS = 50
const MAX_LASTING_RETRY_MS = 1_600
/** Runs of at least this length reset the delay. */
const LONG_RUN_MS = 10_000
/** Number of executors with failed or lost runs of a task that its next run avoids. */
const MAX_AVOIDED = 3

export interface JobOccurrenceDeps {
	readonly clock: Clock
	readonly log: EventLog
	readonly metrics: JobMetrics
	/** The first run has the number after this one. */
	readonly runBase: number
	/** The confirmation of the runs, in milliseconds on the monotonic clock; it may lie ahead. */
	readonly confirmedAt: () => number
	readonly submit: (
		req: TaskRequest,
		onEnd: (end: TaskEnd) => EndRecorded,
		onStart: () => void,
	) => TaskHandle
	/** Called when the tasks of a step may start that have not been made yet: they are to be taken with `next`. */
	readonly onStepBegun: (step: number) => void
	readonly adopt: (
		req: TaskRequest,
		from: RunLocation,
		onEnd: (end: TaskEnd) => EndRecorded,
	) => TaskHandle
	/** Records tasks as done, by their short names; resolves when it is in the store. */
	readonly recordDone: (tasks: readonly string[]) => Promise<void>
	/**
	 * Records a failed attempt, once for each run; returns their number; `recorded` resolves when it is in the store, and is
	 * absent when it was there before.
	 */
	readonly recordFailure: (
		task: string,
		run: number,
	) => {
		readonly count: number
		readonly recorded: Promise<void> | undefined
	}
	/** Records how many executors are known to have crashed under a task. */
	readonly recordCrash: (task: string, known: number) => Promise<void>
	readonly onStart: () => void
	/** All steps are done, or a task has failed as often as its queue allows. */
	readonly onEnd: (state: "completed" | "failed", cause: string) => void
}

export interface JobOccurrence {
	/** Starts the tasks that are due; before this call runs can only be adopted. */
	begin(): void
	/** Makes the next task of a step that has begun; undefined when none is left. */
	next(step: number): SuppliedTask | undefined
	/** A request like those of a step's tasks. */
	requestLike(step: number): TaskRequest
	/** Takes over a run that an executor lists; returns whether the run is still wanted. */
	adopt(task: string, run: number, executor: string): boolean
	/** Handles an end that an executor lists of a run that was not managed here. */
	noteUnclaimedEnd(task: string, run: number, end: TaskEnd): EndRecorded
	/** Whether the steps have begun and none of the tasks is on an executor. */
	isIdle(): boolean
	/** The steps of which tasks are due and not on an executor. */
	waitingSteps(): readonly Step[]
	/** Cancels all runs. */
	stop(): void
	/** Leaves the runs to the next placer. */
	abandon(): void
}

/** Returns a task's name without the job's id. */
export const shortName = (task: string) => task.slice(task.indexOf(".") + 1)

/** Starts an occurrence of a kept job, given by its index; `done` are the short names of its completed tasks. */
export function startOccurrence(
	record: JobRecord,
	occurrence: number,
	dueAt: number,
	queue: Queue,
	done: readonly string[],
	deps: JobOccurrenceDeps,
): JobOccurrence {
	const {clock, log, metrics} = deps
	const tasks = createTasks(record, occurrence, deps.runBase, done)
	let started = 0 // The number of tasks on executors.
	const begunSteps = new Set<number>()
	const slackMs = queue.stretch * criticalPathMs(record.steps) + queue.slackMs
	let hasBegun = false
	let isOver = false

	function requestOf(task: TaskState): TaskRequest {
		const startBy = dueAt + slackMs - stepOf(task).estimateMs
		return createRequest(task, record, queue, {startBy, confirmedAt: deps.confirmedAt})
	}

	/** Before the takeover is complete, members of a gang may still run where one of them does not. */
	const mayStart = (task: TaskState) => hasBegun || (task.isAdopted && !stepOf(task).isGang)

	function submitTask(task: TaskState) {
		if (!mayStart(task) || isOver || task.isDone || task.handle) return
		task.handle = deps.submit(
			requestOf(task),
			end => handleEnd(task, end),
			() => handleStart(task),
		)
	}

	function handleStart(task: TaskState) {
		if (!task.isStarted) started++
		task.isStarted = true
		task.startedAt = clock.now()
		if (stepOf(task).isLasting && task.crashes.known > 0) forgetCrashesOnceSound(task)
		deps.onStart()
	}

	function forgetCrashesOnceSound(task: TaskState, run = task.run) {
		clock.schedule(SOUND_RUN_MS, () => {
			if (isOver || !task.isStarted || task.run !== run) return
			task.crashes = NO_CRASHES
			void deps.recordCrash(shortName(task.name), task.crashes.known)
		})
	}

	const stepOf = ({step}: TaskState) => record.steps[step] as Step
	const tasksOf = (step: number) => tasks[step] as StepTasks

	function handleEnd(task: TaskState, end: TaskEnd, endedRun = task.run): EndRecorded {
		const ranMs = clock.now() - task.startedAt
		task.handle = undefined
		if (task.isStarted) started--
		task.isStarted = false
		if (isOver || task.isDone) return undefined
		const step = stepOf(task)
		task.shortRuns = ranMs > LONG_RUN_MS ? 0 : task.shortRuns + 1
		task.run += end.type === "outnumbered" ? RUN_NUMBER_STEP : 1
		if (end.type === "done" && !step.isLasting) return handleTaskDone(task)
		if ("executor" in end && end.type !== "done") avoid(task, end.executor)
		const recorded = handleMissingResult(task, end, endedRun)
		if (!isOver) retry(task, end)
		return recorded
	}

	function handleMissingResult(task: TaskState, end: TaskEnd, run: number): EndRecorded {
		if (end.type === "failed" && !stepOf(task).isLasting) return handleTaskFailed(task, run)
		return end.type === "lost" && end.crash ? handleTaskCrashed(task, end.crash) : undefined
	}

	/** Recorded so that the next placer does not start the task as often again. */
	function handleTaskCrashed(task: TaskState, crash: Crash): EndRecorded {
		task.crashes = countCrash(task.crashes, crash)
		reportCrash(deps, {job: record.id, task: task.name, run: task.run, outcome: crash})
		const {known} = task.crashes
		const recorded =
			crash === "possible" ? undefined : deps.recordCrash(shortName(task.name), known)
		if (isPoisonTask(task.crashes, crash))
			finish("failed", `${known} executors crashed under ${task.name}`)
		return recorded
	}

	function retry(task: TaskState, end: TaskEnd) {
		metrics.count("task_retries", end.type)
		const cause = "cause" in end ? end.cause : undefined
		const fields = {job: record.id, task: task.name, run: task.run, outcome: end.type, cause}
		log.event("job", "task_retry", "job: retrying a task.", fields)
		const step = stepOf(task)
		if (step.isGang) return restartGang(tasksOf(task.step).all(), clock, submitTask)
		clock.schedule(step.isLasting ? lastingRetryMs(task) : RETRY_MS, () => submitTask(task))
	}

	function handleTaskDone(task: TaskState): EndRecorded {
		const finished = stepOf(task).isGang ? tasksOf(task.step).all() : [task]
		// A gang ends as a whole, so one member's completion counts for all.
		for (const one of finished) tasksOf(task.step).noteDone(one)
		const recorded = deps.recordDone(finished.map(({name}) => shortName(name)))
		beginSteps()
		finishIfDone()
		return recorded
	}

	function handleTaskFailed(task: TaskState, run: number): EndRecorded {
		const counted = stepOf(task).isGang ? tasksOf(task.step).at(0) : task
		const {count, recorded} = deps.recordFailure(shortName(counted.name), run)
		if (count >= queue.maxAttempts) finish("failed", `${task.name} failed ${count} times`)
		return recorded
	}

	function finishIfDone() {
		if (tasks.every(step => step.isDone())) finish("completed", "all tasks are done")
	}

	function finish(state: "completed" | "failed", cause: string) {
		if (isOver) return
		stop()
		deps.onEnd(state, cause)
	}

	function stop() {
		isOver = true
		for (const task of tasks.flatMap(step => step.made())) if (!task.isDone) task.handle?.cancel()
	}

	const isStepDone = (step: number) => tasksOf(step).isDone()

	function beginSteps() {
		if (!hasBegun || isOver) return
		record.steps.forEach((step, at) => {
			if (begunSteps.has(at) || !step.after.every(isStepDone)) return
			begunSteps.add(at)
			for (const task of foundTasks(step, tasksOf(at))) submitTask(task)
			if (tasksOf(at).unmade() > 0) deps.onStepBegun(at)
		})
	}

	/** The task of this name, unless it is yet to be made and waits for its turn at the placer. */
	function findTask(name: string): TaskState | undefined {
		const [, step = NaN] = shortName(name).split(".").map(Number)
		return tasks[step]?.named(name, begunSteps.has(step))
	}

	return {
		begin() {
			hasBegun = true
			beginSteps()
			finishIfDone()
		},
		next(step) {
			const task = !isOver && begunSteps.has(step) ? tasksOf(step).next() : undefined
			if (!task) return undefined
			return {
				req: requestOf(task),
				dueAt,
				onEnd: end => handleEnd(task, end),
				onStart: () => handleStart(task),
				onQueued: handle => void (task.handle = handle),
			}
		},
		requestLike(step) {
			const like = createTasks(record, occurrence, deps.runBase, [])[step] as StepTasks
			return requestOf(like.at(0))
		},
		adopt(name, run, executor) {
			const task = findTask(name)
			if (!task || isOver || task.isDone || task.handle) return false
			// The next run needs a higher number than this one.
			task.run = Math.max(task.run, run)
			// All members of a gang have the same number.
			if (stepOf(task).isGang)
				for (const one of tasksOf(task.step).all()) one.run = Math.max(one.run, task.run)
			const from = {executor, isStarted: true}
			task.isAdopted = true
			task.handle = deps.adopt({...requestOf(task), run}, from, end => handleEnd(task, end))
			handleStart(task)
			return true
		},
		noteUnclaimedEnd(name, run, end) {
			const task = findTask(name)
			const isCounted = end.type === "done" || end.type === "failed"
			if (!task || isOver || task.isDone || task.handle || !isCounted) return undefined
			return handleEnd(task, end, run)
		},
		isIdle: () => hasBegun && !isOver && started === 0,
		waitingSteps: () =>
			record.steps.filter((_, at) => begunSteps.has(at) && hasWaiting(tasksOf(at))),
		stop,
		abandon() {
			isOver = true
		},
	}
}

/** Cancels the rest of a gang that lost a member, then starts it under one run number. */
function restartGang(
	members: readonly TaskState[],
	clock: Clock,
	submitTask: (task: TaskState) => void,
) {
	const running = members.filter(({handle}) => handle)
	if (running.length > 0) return running.forEach(({handle}) => handle?.cancel())
	const run = Math.max(...members.map(member => member.run))
	for (const member of members) member.run = run
	clock.schedule(RETRY_MS, () => members.forEach(submitTask))
}

/** The tasks of which a run or an end was found before their step began; of a gang it is found for all. */
const foundTasks = ({isGang}: Step, tasks: StepTasks) =>
	isGang && tasks.made().length > 0 ? tasks.all() : tasks.made()

const hasWaiting = (step: StepTasks) =>
	step.unmade() > 0 || step.made().some(({isDone, isStarted}) => !isDone && !isStarted)

function createRequest(
	task: TaskState,
	record: JobRecord,
	queue: Queue,
	times: Pick<TaskRequest, "startBy" | "confirmedAt">,
): TaskRequest {
	const step = record.steps[task.step] as Step
	return {
		...taskRequestBase(record, task, step, queue),
		...times,
		uselessAt: Infinity,
		deadlineAt: Infinity,
		isBegun: task.shortRuns > 0,
		isKept: true,
		isLasting: step.isLasting,
		isFilling: step.isFilling,
		isServing: step.isServing,
		...(step.isGang && {gang: {size: step.count, wantsOneRack: step.wantsOneRack ?? false}}),
	}
}

function avoid({avoid: avoided}: TaskState, executor: string) {
	avoided.push(executor)
	if (avoided.length > MAX_AVOIDED) avoided.shift()
}

function lastingRetryMs({shortRuns}: TaskState): number {
	return Math.min(MAX_LASTING_RETRY_MS, MIN_LASTING_RETRY_MS * 2 ** Math.min(shortRuns, 6))
}

function createTasks(
	record: JobRecord,
	occurrence: number,
	runBase: number,
	done: readonly string[],
): readonly StepTasks[] {
	const doneOf = record.steps.map(() => new Set<number>())
	for (const name of done) {
		const [, step = NaN, index = NaN] = name.split(".").map(Number)
		doneOf[step]?.add(index)
	}
	return record.steps.map((step, at) =>
		createStepTasks({
			step,
			at,
			name: `${record.id}.${occurrence}.${at}`,
			firstRun: runBase + 1,
			done: doneOf[at] as Set<number>,
			crashesOf: name => record.crashes?.[shortName(name)] ?? 0,
		}),
	)
}
