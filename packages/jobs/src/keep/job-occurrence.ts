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
	type CrashCount,
} from "../decide/crashes.js"
import type {TaskEnd, EndRecorded, TaskHandle, TaskRequest} from "../place/run.js"
import {taskRequestBase} from "../coordinate/task-request.js"
import type {Queue} from "../types/fleet-config.js"
import type {Step} from "../types/job.js"
import type {JobRecord} from "../types/kept-job.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"

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

interface TaskState {
	readonly step: number
	readonly name: string
	run: number
	/** Consecutive short runs that ended without a result. */
	shortRuns: number
	startedAt: number
	crashes: CrashCount
	readonly avoid: string[]
	handle: TaskHandle | undefined
	isStarted: boolean
	/** Whether a run of the previous placer was taken over, so that none can be at an executor that has not answered yet. */
	isAdopted: boolean
	isDone: boolean
}

/** Returns a task's name without the job's id. */
export const shortName = (task: string) => task.slice(task.indexOf(".") + 1)

/** Starts an occurrence of a kept job, given by its index. */
export function startOccurrence(
	record: JobRecord,
	occurrence: number,
	dueAt: number,
	queue: Queue,
	deps: JobOccurrenceDeps,
): JobOccurrence {
	const {clock, log, metrics} = deps
	const done = new Set(record.done)
	const tasks = record.steps.map((_, at) => createTasks(record, occurrence, at, deps.runBase, done))
	const byName = new Map(tasks.flat().map(task => [task.name, task]))
	const begunSteps = new Set<number>()
	const slackMs = queue.stretch * criticalPathMs(record.steps) + queue.slackMs
	let hasBegun = false
	let isOver = false

	const slackOf = ({estimateMs}: Step) => slackMs - estimateMs
	function requestOf(task: TaskState): TaskRequest {
		const startBy = dueAt + slackOf(stepOf(task))
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
		task.isStarted = true
		task.startedAt = clock.now()
		if (stepOf(task).isLasting && task.crashes.known > 0) forgetCrashesOnceSound(task, task.run)
		deps.onStart()
	}

	function forgetCrashesOnceSound(task: TaskState, run: number) {
		clock.schedule(SOUND_RUN_MS, () => {
			if (isOver || !task.isStarted || task.run !== run) return
			task.crashes = NO_CRASHES
			void deps.recordCrash(shortName(task.name), task.crashes.known)
		})
	}

	const stepOf = ({step}: TaskState) => record.steps[step] as Step

	function handleEnd(task: TaskState, end: TaskEnd, endedRun = task.run): EndRecorded {
		const ranMs = clock.now() - task.startedAt
		task.handle = undefined
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
		if (step.isGang) return restartGang(task.step)
		clock.schedule(step.isLasting ? lastingRetryMs(task) : RETRY_MS, () => submitTask(task))
	}

	/** Cancels the rest of a gang that lost a member, then starts it under one run number. */
	function restartGang(step: number) {
		const members = tasks[step] as TaskState[]
		const running = members.filter(({handle}) => handle)
		if (running.length > 0) return running.forEach(({handle}) => handle?.cancel())
		const run = Math.max(...members.map(member => member.run))
		for (const member of members) member.run = run
		clock.schedule(RETRY_MS, () => members.forEach(submitTask))
	}

	function handleTaskDone(task: TaskState): EndRecorded {
		const finished = stepOf(task).isGang ? (tasks[task.step] as TaskState[]) : [task]
		// A gang ends as a whole, so one member's completion counts for all.
		for (const one of finished) one.isDone = true
		const recorded = deps.recordDone(finished.map(({name}) => shortName(name)))
		beginSteps()
		finishIfDone()
		return recorded
	}

	function handleTaskFailed(task: TaskState, run: number): EndRecorded {
		const counted = stepOf(task).isGang ? (tasks[task.step]?.[0] as TaskState) : task
		const {count, recorded} = deps.recordFailure(shortName(counted.name), run)
		if (count >= queue.maxAttempts) finish("failed", `${task.name} failed ${count} times`)
		return recorded
	}

	function finishIfDone() {
		if (tasks.flat().every(({isDone}) => isDone)) finish("completed", "all tasks are done")
	}

	function finish(state: "completed" | "failed", cause: string) {
		if (isOver) return
		stop()
		deps.onEnd(state, cause)
	}

	function stop() {
		isOver = true
		for (const task of byName.values()) if (!task.isDone) task.handle?.cancel()
	}

	function isStepDone(step: number): boolean {
		return (tasks[step] as TaskState[]).every(({isDone}) => isDone)
	}

	function beginSteps() {
		if (!hasBegun || isOver) return
		record.steps.forEach((step, at) => {
			if (begunSteps.has(at) || !step.after.every(isStepDone)) return
			begunSteps.add(at)
			for (const task of tasks[at] as TaskState[]) submitTask(task)
		})
	}

	/** Raises all members of a gang to the same run number. */
	function alignGang(step: number, run: number) {
		if (!record.steps[step]?.isGang) return
		for (const member of tasks[step] as TaskState[]) member.run = Math.max(member.run, run)
	}

	return {
		begin() {
			hasBegun = true
			beginSteps()
			finishIfDone()
		},
		adopt(name, run, executor) {
			const task = byName.get(name)
			if (!task || isOver || task.isDone || task.handle) return false
			// The next run needs a higher number than this one.
			task.run = Math.max(task.run, run)
			alignGang(task.step, task.run)
			const adopted = {...requestOf(task), run}
			const from = {executor, isStarted: true}
			task.isAdopted = true
			task.handle = deps.adopt(adopted, from, end => handleEnd(task, end))
			handleStart(task)
			return true
		},
		noteUnclaimedEnd(name, run, end) {
			const task = byName.get(name)
			const isCounted = end.type === "done" || end.type === "failed"
			if (!task || isOver || task.isDone || task.handle || !isCounted) return undefined
			return handleEnd(task, end, run)
		},
		isIdle: () => hasBegun && !isOver && [...byName.values()].every(({isStarted}) => !isStarted),
		waitingSteps() {
			const isWaiting = ({isDone, isStarted}: TaskState) => !isDone && !isStarted
			return record.steps.filter((_, at) => begunSteps.has(at) && tasks[at]?.some(isWaiting))
		},
		stop,
		abandon() {
			isOver = true
		},
	}
}

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
	step: number,
	runBase: number,
	done: ReadonlySet<string>,
): TaskState[] {
	const {count, isGang} = record.steps[step] as Step
	const shared: string[] = []
	return Array.from({length: count}, (_, index) => {
		const name = `${record.id}.${occurrence}.${step}.${index}`
		return {
			step,
			name,
			run: runBase + 1,
			shortRuns: 0,
			startedAt: -Infinity,
			crashes: {known: record.crashes?.[shortName(name)] ?? 0, possible: 0},
			// A gang is placed as a whole, so its members avoid the same executors.
			avoid: isGang ? shared : [],
			handle: undefined,
			isStarted: false,
			isAdopted: false,
			isDone: done.has(shortName(name)),
		}
	})
}
