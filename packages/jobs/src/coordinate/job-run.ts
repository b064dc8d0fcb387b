/**
 * Runs one job at its placer: submits the tasks whose earlier steps are done, retries them, and settles how the job ended.
 * Used by hosted placers.
 */
import type {Clock} from "@cottonwood/core"
import {
	countCrash,
	isPoisonTask,
	hasTooManyCrashes,
	reportCrash,
	NO_CRASHES,
	type Crash,
	type CrashCount,
} from "../decide/crashes.js"
import type {TaskEnd, TaskHandle, TaskRequest} from "../place/run.js"
import {taskRequestBase} from "./task-request.js"
import type {Queue} from "../types/fleet-config.js"
import type {Job, JobEnd, Step} from "../types/job.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"

/** Added to a run number that an executor has already seen. */
export const RUN_NUMBER_STEP = 16
/** Delay before a returned or lost task is retried. */
export const RETRY_MS = 15
/** An answer later than this many objectives is of no use to the caller. */
const USEFUL_OBJECTIVES = 3
/**
 * Without forecasts, a job is refused when nothing has started after this many objectives, or after this share of the time
 * to its deadline. By then it would be late, and delay the jobs behind it.
 */
const UNSTARTED_OBJECTIVES = 0.6
const UNSTARTED_SHARE = 0.4
/** Limit on runs of one task; lost runs don't count as failed attempts. */
const MAX_RUNS = 12

export interface JobRunDeps {
	readonly clock: Clock
	readonly log: EventLog
	readonly metrics: JobMetrics
	/** Milliseconds on the monotonic clock: the last time as of which the caller is known to want the job. */
	readonly confirmedAt: () => number
	/** Admission watches the waiting job, so the job itself waits as long as an answer can be of use. */
	readonly hasAdmission?: boolean
	/** The job was admitted late: its tasks go behind those of all jobs that can be on time. */
	readonly isLate?: boolean
	readonly submit: (
		req: TaskRequest,
		onEnd: (end: TaskEnd) => void,
		onStart: () => void,
	) => TaskHandle
}

export interface JobRun {
	readonly ended: Promise<JobEnd>
	/** Calls `first` when the first task has started, and `whole` when all tasks without predecessors have. */
	onStart(first: () => void, whole: () => void): void
	/** Ends the job with a refusal, unless a task has started. */
	refuse(end: JobEnd): void
	/** Ends the job because its caller has left. */
	cancel(): void
	/** Ends the job because its placer lost its claim. What is running is left to the placer with the next fence. */
	abandon(cause: string): void
	/** Whether a task may have started. */
	isBegun(): boolean
	/** Ends the job as not run, so that another placer may have it. Only before anything has started. */
	withdraw(): void
}

interface TaskState {
	readonly step: number
	readonly name: string
	run: number
	runs: number
	failures: number
	crashes: CrashCount
	readonly avoid: string[]
	handle: TaskHandle | undefined
	isOver: boolean
}

/** The longest chain of estimated run times through a job's steps, in milliseconds. */
export function criticalPathMs(steps: readonly Step[]): number {
	const ends: number[] = []
	for (const step of steps) {
		const start = step.after.reduce((latest, before) => Math.max(latest, ends[before] ?? 0), 0)
		ends.push(start + step.estimateMs)
	}
	return Math.max(0, ...ends)
}

/** The longest chain of estimated run times that waits for the end of a step, in milliseconds. */
function chainAfterMs(steps: readonly Step[], index: number): number {
	const following = steps
		.map((step, at) => ({step, at}))
		.filter(({step, at}) => at > index && step.after.includes(index))
	return Math.max(0, ...following.map(({step, at}) => step.estimateMs + chainAfterMs(steps, at)))
}

/** Number of tasks in steps without predecessors. */
const firstTaskCount = (steps: readonly Step[]) =>
	steps.filter(({after}) => after.length === 0).reduce((sum, {count}) => sum + count, 0)

/** The time from a job's arrival after which it is late, in milliseconds. */
export function objectiveMsOf(job: Job, queue: Queue): number {
	return queue.stretch * criticalPathMs(job.steps) + queue.slackMs
}

/** The time from a job's arrival during which an answer may be of use to the caller, in milliseconds. */
export function answerUsefulMs(job: Job, queue: Queue): number {
	return Math.min(job.deadlineAt - job.receivedAt, objectiveMsOf(job, queue) * USEFUL_OBJECTIVES)
}

/** The time from a job's arrival during which it may wait for its first start, in milliseconds. */
function maxUnstartedMs(job: Job, queue: Queue): number {
	const shareMs = (job.deadlineAt - job.receivedAt) * UNSTARTED_SHARE
	return Math.min(objectiveMsOf(job, queue) * UNSTARTED_OBJECTIVES, shareMs)
}

function newTask(step: number, name: string): TaskState {
	return {
		step,
		name,
		run: 1,
		runs: 0,
		failures: 0,
		crashes: NO_CRASHES,
		avoid: [],
		handle: undefined,
		isOver: false,
	}
}

/** The latest start with which the job can meet its objective, in milliseconds on the monotonic clock. */
export function latestStartOnTime(job: Job, queue: Queue): number {
	return job.receivedAt + objectiveMsOf(job, queue) - criticalPathMs(job.steps)
}

/** Runs a job's tasks step by step until all are done or one has finally failed. */
export function startJobRun(job: Job, queue: Queue, deps: JobRunDeps): JobRun {
	const {clock, log, metrics} = deps
	const objectiveMs = objectiveMsOf(job, queue)
	const dueAt = job.receivedAt + objectiveMs
	/** Already past at any placer, so that no job that can be on time waits for this one. */
	const lateSince = job.receivedAt - 1
	const remaining = job.steps.map(step => step.count)
	const startedSteps = new Set<number>()
	const tasks: TaskState[] = []
	let firstStartAt: number | undefined
	let onFirstStart: () => void = () => undefined
	let onAllStarted: () => void = () => undefined
	let startsLeft = firstTaskCount(job.steps)
	let isOver = false
	/** The last confirmation at the job's end; later ones say nothing about this job's runs. */
	let lastConfirmedAt = -Infinity
	let settle: (end: JobEnd) => void = () => undefined
	const ended = new Promise<JobEnd>(resolve => (settle = resolve))

	function finish(end: JobEnd) {
		if (isOver) return
		lastConfirmedAt = deps.confirmedAt()
		isOver = true
		cancelDeadline()
		cancelUnstarted()
		for (const task of tasks) if (!task.isOver) task.handle?.cancel()
		settle(end)
	}

	const confirmedAt = () => (isOver ? lastConfirmedAt : deps.confirmedAt())

	function requestOf(task: TaskState): TaskRequest {
		const step = job.steps[task.step] as Step
		return {
			...taskRequestBase(job, task, step, queue),
			startBy: deps.isLate
				? lateSince
				: dueAt - step.estimateMs - chainAfterMs(job.steps, task.step),
			uselessAt: deps.isLate ? lateSince : job.receivedAt + objectiveMs * USEFUL_OBJECTIVES,
			deadlineAt: job.deadlineAt,
			confirmedAt,
			isBegun: firstStartAt !== undefined,
			askedBy: job.askedBy,
			been: job.been,
		}
	}

	function noteTaskStart() {
		noteStart()
		startsLeft--
		if (startsLeft === 0) onAllStarted()
	}

	function noteStart() {
		if (firstStartAt !== undefined) return
		firstStartAt = clock.now()
		metrics.observe("first_start_ms", firstStartAt - job.receivedAt)
		onFirstStart()
	}

	function submitTask(task: TaskState) {
		if (isOver) return
		if (task.runs >= MAX_RUNS)
			return finish({type: "given up", kind: "placer_lost", cause: "its runs were lost too often"})
		task.runs++
		task.handle = deps.submit(requestOf(task), end => noteEnd(task, end), noteTaskStart)
	}

	function retry(task: TaskState, reason: string, cause: string) {
		metrics.count("task_retries", reason)
		const fields = {job: job.id, task: task.name, run: task.run, outcome: reason, cause}
		const write = reason === "lost" ? log.alarm : log.event
		write("job", "task_retry", "job: a task is tried again.", fields)
		clock.schedule(RETRY_MS, () => submitTask(task))
	}

	function noteEnd(task: TaskState, end: TaskEnd) {
		if (isOver || task.isOver) return
		if (end.type === "done") return noteDone(task)
		if (end.type === "stopped") return
		if (end.type === "returned") {
			task.runs--
			return retry(task, "returned", end.cause)
		}
		if (end.type === "outnumbered") {
			task.run += RUN_NUMBER_STEP
			return retry(task, "outnumbered", end.executor)
		}
		// Even without news of a start, the job must not be refused as not run from here on.
		noteStart()
		task.run++
		task.avoid.push(end.executor)
		if (end.type === "lost") {
			if (end.crash) recordCrash(task, end.executor, end.crash)
			return isOver ? undefined : retry(task, "lost", end.cause)
		}
		task.failures++
		if (task.failures < queue.maxAttempts) return retry(task, "failed", end.cause)
		finish({type: "failed", cause: `${task.name} failed ${task.failures} times`})
	}

	/** Counts an executor's crash while it ran the task: certainly, possibly or not caused by the task. */
	function recordCrash(task: TaskState, executor: string, crash: Crash) {
		task.crashes = countCrash(task.crashes, crash)
		reportCrash(deps, {job: job.id, task: task.name, run: task.run, executor, outcome: crash})
		const {known} = task.crashes
		if (isPoisonTask(task.crashes, crash))
			return finish({type: "failed", cause: `${known} executors crashed under ${task.name}`})
		if (!hasTooManyCrashes(task.crashes)) return
		const cause = `too many executors were lost under ${task.name}`
		finish({type: "given up", kind: "placer_lost", cause})
	}

	function noteDone(task: TaskState) {
		task.isOver = true
		const left = (remaining[task.step] as number) - 1
		remaining[task.step] = left
		if (left > 0) return
		if (remaining.every(count => count === 0)) return finish({type: "completed"})
		startReadySteps()
	}

	function startReadySteps() {
		job.steps.forEach((step, index) => {
			if (startedSteps.has(index) || step.after.some(before => remaining[before] !== 0)) return
			startedSteps.add(index)
			for (let at = 0; at < step.count; at++) {
				const task = newTask(index, `${job.id}.0.${index}.${at}`)
				tasks.push(task)
				submitTask(task)
			}
		})
	}

	function giveUp(kind: "deadline_exceeded" | "cancelled") {
		const cause = kind === "cancelled" ? "its submitter left" : "its deadline passed"
		if (firstStartAt !== undefined) return finish({type: "given up", kind, cause})
		finish({type: "refused", kind: "overloaded", cause: `${cause} before anything started`})
	}

	/** Refuses the job while its caller still has time to submit it again. */
	function refuseUnstarted() {
		if (firstStartAt !== undefined) return
		const cause = "nothing of it could start in time"
		finish({type: "refused", kind: "overloaded", cause})
	}

	/** Tasks that have started may go on under the next fence. A job without any may be submitted again. */
	function abandon(cause: string) {
		if (firstStartAt !== undefined) finish({type: "given up", kind: "placer_lost", cause})
		else
			finish({type: "refused", kind: "no_capacity", cause: `${cause}; nothing of it had started`})
	}

	const maxWaitMs = deps.hasAdmission ? answerUsefulMs(job, queue) : maxUnstartedMs(job, queue)
	const cancelUnstarted = clock.schedule(
		Math.max(0, job.receivedAt + maxWaitMs - clock.now()),
		refuseUnstarted,
	)
	const leftMs = Math.max(0, job.deadlineAt - clock.now())
	const cancelDeadline = clock.schedule(leftMs, () => giveUp("deadline_exceeded"))
	startReadySteps()
	return {
		ended,
		onStart(first, whole) {
			onFirstStart = first
			onAllStarted = whole
		},
		refuse(end) {
			if (firstStartAt === undefined) finish(end)
		},
		cancel: () => giveUp("cancelled"),
		abandon,
		isBegun: () => firstStartAt !== undefined,
		withdraw: () => abandon("sent elsewhere"),
	}
}
