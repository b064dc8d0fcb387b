/**
 * The progress of one job at the placer that has it: which tasks may start, what became of each, and
 * when the whole has ended.
 */
import type {Clock} from "@cottonwood/core"
import {
	countCrash,
	isPoisonTask,
	hasTooManyCrashes,
	noteCrash,
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

/** A run number that an executor has seen already is followed by one this much higher. */
export const RUN_NUMBER_STEP = 16
/** Tasks that were given back or lost are tried again after this, so that a full fleet is not asked in a loop. */
export const RETRY_MS = 15
/** An answer after so many objectives is of no use to its submitter; from the users' pages. */
const USELESS_OBJECTIVES = 3
/**
 * A job of which nothing has started is refused after so many objectives, or this share of its time: it would be
 * late by then, and whoever waits behind it too.
 */
const UNSTARTED_OBJECTIVES = 0.6
const UNSTARTED_SHARE = 0.4
/** Runs that were lost do not count as attempts, but there is an end to everything. */
const MAX_RUNS = 12

export interface JobRunDeps {
	readonly clock: Clock
	readonly log: EventLog
	readonly metrics: JobMetrics
	/** Steady milliseconds: as of when the job's caller is known to want it. */
	readonly confirmedAt: () => number
	/** Whoever admitted it looks at it while it waits; then its patience has no end before its deadline. */
	readonly isWatched?: boolean
	/** It was taken though it can't be in time: it goes behind all that can. */
	readonly isLate?: boolean
	readonly submit: (
		req: TaskRequest,
		onEnd: (end: TaskEnd) => void,
		onStart: () => void,
	) => TaskHandle
}

export interface JobRun {
	readonly ended: Promise<JobEnd>
	/** Calls back once when something of it has started, and once when all that had nothing before it has. */
	onStart(first: () => void, whole: () => void): void
	/** Ends it with a refusal, unless something of it has started. */
	refuse(end: JobEnd): void
	/** Its submitter has left. */
	cancel(): void
	/** Its placer may place no more; what runs is left to the next fence. */
	abandon(cause: string): void
	/** Whether anything of it may have started. */
	isBegun(): boolean
	/** Ends it as one that never ran, so that another placer may have it; only while nothing has begun. */
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

/** The longest chain of estimated work through a job's steps, in milliseconds. */
export function criticalPathMs(steps: readonly Step[]): number {
	const ends: number[] = []
	for (const step of steps) {
		const start = step.after.reduce((latest, before) => Math.max(latest, ends[before] ?? 0), 0)
		ends.push(start + step.estimateMs)
	}
	return Math.max(0, ...ends)
}

/** The longest chain of estimated work that waits for the end of a step, in milliseconds. */
function chainAfterMs(steps: readonly Step[], index: number): number {
	const following = steps
		.map((step, at) => ({step, at}))
		.filter(({step, at}) => at > index && step.after.includes(index))
	return Math.max(0, ...following.map(({step, at}) => step.estimateMs + chainAfterMs(steps, at)))
}

/** Tasks with nothing before them. */
const firstTaskCount = (steps: readonly Step[]) =>
	steps.filter(({after}) => after.length === 0).reduce((sum, {count}) => sum + count, 0)

/** When a job counts as late, in milliseconds from its arrival. */
export function objectiveMsOf(job: Job, queue: Queue): number {
	return queue.stretch * criticalPathMs(job.steps) + queue.slackMs
}

/** For so long after its arrival an answer may be of use to the submitter, and is waited for, in milliseconds. */
export function answerUsefulMs(job: Job, queue: Queue): number {
	return Math.min(job.deadlineAt - job.receivedAt, objectiveMsOf(job, queue) * USELESS_OBJECTIVES)
}

/** For so long after its arrival a job of which nothing has started is waited for, in milliseconds. */
function unstartedForMs(job: Job, queue: Queue): number {
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

/** The steady time after which a job cannot meet its objective any more. */
export function latestStartOnTime(job: Job, queue: Queue): number {
	return job.receivedAt + objectiveMsOf(job, queue) - criticalPathMs(job.steps)
}

/** Runs a job's tasks in the order of its steps until all are done or one has failed for good. */
export function startJobRun(job: Job, queue: Queue, deps: JobRunDeps): JobRun {
	const {clock, log, metrics} = deps
	const objectiveMs = objectiveMsOf(job, queue)
	const dueAt = job.receivedAt + objectiveMs
	/** Before now, at any placer: nothing that can be in time waits for it. */
	const lateSince = job.receivedAt - 1
	const remaining = job.steps.map(step => step.count)
	const begun = new Set<number>()
	const tasks: TaskState[] = []
	let firstStartAt: number | undefined
	let tellFirstStart: () => void = () => undefined
	let tellWholeStart: () => void = () => undefined
	let startsLeft = firstTaskCount(job.steps)
	let isOver = false
	/** As of when the caller wanted it, once it is over: what came after says nothing of this job's runs. */
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
			uselessAt: deps.isLate ? lateSince : job.receivedAt + objectiveMs * USELESS_OBJECTIVES,
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
		if (startsLeft === 0) tellWholeStart()
	}

	function noteStart() {
		if (firstStartAt !== undefined) return
		firstStartAt = clock.now()
		metrics.observe("first_start_ms", firstStartAt - job.receivedAt)
		tellFirstStart()
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
		// Whatever was heard of its start: the job must not be refused as one that never ran.
		noteStart()
		task.run++
		task.avoid.push(end.executor)
		if (end.type === "lost") {
			if (end.crash) takeCrash(task, end.executor, end.crash)
			return isOver ? undefined : retry(task, "lost", end.cause)
		}
		task.failures++
		if (task.failures < queue.maxAttempts) return retry(task, "failed", end.cause)
		finish({type: "failed", cause: `${task.name} failed ${task.failures} times`})
	}

	/** An executor has ended under the task: by its fault for certain, perhaps, or by chance. */
	function takeCrash(task: TaskState, executor: string, crash: Crash) {
		task.crashes = countCrash(task.crashes, crash)
		noteCrash(deps, {job: job.id, task: task.name, run: task.run, executor, outcome: crash})
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
		beginSteps()
	}

	function beginSteps() {
		job.steps.forEach((step, index) => {
			if (begun.has(index) || step.after.some(before => remaining[before] !== 0)) return
			begun.add(index)
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

	/** The caller is told while it still has time to come back. */
	function refuseUnstarted() {
		if (firstStartAt !== undefined) return
		const cause = "nothing of it could start in time"
		finish({type: "refused", kind: "overloaded", cause})
	}

	/** Only what has started may run on under the next fence; the rest may be said not to have run, and come again. */
	function abandon(cause: string) {
		if (firstStartAt !== undefined) finish({type: "given up", kind: "placer_lost", cause})
		else
			finish({type: "refused", kind: "no_capacity", cause: `${cause}; nothing of it had started`})
	}

	const patienceMs = deps.isWatched ? answerUsefulMs(job, queue) : unstartedForMs(job, queue)
	const cancelUnstarted = clock.schedule(
		Math.max(0, job.receivedAt + patienceMs - clock.now()),
		refuseUnstarted,
	)
	const leftMs = Math.max(0, job.deadlineAt - clock.now())
	const cancelDeadline = clock.schedule(leftMs, () => giveUp("deadline_exceeded"))
	beginSteps()
	return {
		ended,
		onStart(first, whole) {
			tellFirstStart = first
			tellWholeStart = whole
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
