/**
 * One kept job at its placer: its record, and its occurrences, of which a scheduled job has
 * several.
 */
import type {Clock} from "@cottonwood/core"
import type {Placer} from "../place/placer.js"
import type {TaskEnd, EndRecorded} from "../place/run.js"
import type {Queue} from "../types/fleet-config.js"
import type {EndedState, JobRecord, JobState} from "../types/kept-job.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import type {WallClock} from "../utils/wall-clock.js"
import {shortName, startKeptRun, type KeptRun} from "./kept-run.js"
import type {Written} from "./ledger.js"

/** Maximum delay between checks of a scheduled time, since the time of day may be corrected. */
const DUE_CHECK_MS = 1_000
/** Delay before the queue is looked up again when the configuration does not name it. */
const QUEUE_RETRY_MS = 250

export interface KeptJobDeps {
	readonly clock: Clock
	readonly wall: WallClock
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly queueOf: (name: string) => Queue | undefined
	readonly runBase: number
	readonly placer: () => Placer
	/** Writes the record; resolves when it is in the store. */
	readonly save: (record: JobRecord) => Promise<Written>
	readonly onEnd: (state: EndedState, cause: string) => void
}

export interface KeptJob {
	record(): JobRecord
	state(): JobState
	/** Starts the occurrences that are due. */
	begin(): void
	adopt(task: string, run: number, executor: string): boolean
	noteStrayEnd(task: string, end: TaskEnd): EndRecorded
	/** How long tasks have been due while none was on an executor, in milliseconds. */
	idleMs(): number
	/** Thousandths of a core that the largest task needs. */
	largestNeedCpu(): number
	/** Cancels all runs, since the job is over. */
	stop(): void
	/** Leaves the runs to the next placer. */
	abandon(): void
}

export function startKeptJob(first: JobRecord, deps: KeptJobDeps): KeptJob {
	const {clock, wall, log, metrics} = deps
	const times = first.schedule?.times ?? 1
	const runs = new Map<number, KeptRun>()
	const endedTimes = new Set<number>()
	let record = first
	let hasBegun = false
	let hasStarted = first.done.length > 0
	let idleSince: number | undefined
	let isOver = false

	/**
	 * Resolves when the change is in the store, and never once another placer has the claim: the
	 * executor then goes on listing the end, so that the next placer learns of it.
	 */
	function save(change: Partial<JobRecord>): Promise<void> {
		record = {...record, ...change}
		return new Promise(resolve => {
			void deps.save(record).then(written => {
				if (written !== "deposed") resolve()
			})
		})
	}

	function runOf(time: number): KeptRun | undefined {
		const known = runs.get(time)
		if (known || time >= times || endedTimes.has(time)) return known
		const queue = deps.queueOf(record.queue)
		if (!queue) return undefined
		const run = startKeptRun(record, time, dueAtSteady(time), queue, {
			clock,
			log,
			metrics,
			runBase: deps.runBase,
			submit: (req, onEnd, onStart) => deps.placer().submit(req, onEnd, onStart),
			adopt: (req, from, onEnd) => deps.placer().adopt(req, from, onEnd),
			noteDone: tasks => save({done: [...record.done, ...tasks]}),
			noteFailure: task => noteFailure(task),
			noteCrash: (task, known) => save({crashes: {...record.crashes, [task]: known}}),
			onStart: () => void (hasStarted = true),
			onEnd: (state, cause) => noteRunEnd(time, state, cause),
		})
		runs.set(time, run)
		return run
	}

	function noteFailure(task: string) {
		const count = (record.failures[task] ?? 0) + 1
		return {count, noted: save({failures: {...record.failures, [task]: count}})}
	}

	function noteRunEnd(time: number, state: "completed" | "failed", cause: string) {
		runs.delete(time)
		endedTimes.add(time)
		if (state === "failed") return over(state, cause)
		if (endedTimes.size === times) over("completed", cause)
	}

	function over(state: EndedState, cause: string) {
		if (isOver) return
		stop()
		deps.onEnd(state, cause)
	}

	/** When an occurrence is due, in milliseconds since 1970. */
	function dueAtWall(time: number): number {
		const {schedule} = record
		return schedule ? schedule.firstDueMs + time * schedule.periodMs : record.acceptedAtMs
	}

	const dueAtSteady = (time: number) => clock.now() + (dueAtWall(time) - wall.now())

	function beginTimes() {
		if (isOver) return
		for (let time = 0; time < times; time++) {
			if (endedTimes.has(time)) continue
			const dueInMs = record.schedule ? dueAtWall(time) - wall.now() : 0
			if (dueInMs > 0) return void clock.schedule(Math.min(dueInMs, DUE_CHECK_MS), beginTimes)
			const run = runOf(time)
			if (!run) return noteNoQueue()
			run.begin()
		}
	}

	function noteNoQueue() {
		const fields = {job: record.id, queue: record.queue}
		log.event("job", "queue_unknown", "job: the configuration has no such queue.", fields)
		clock.schedule(QUEUE_RETRY_MS, beginTimes)
	}

	function stop() {
		isOver = true
		for (const run of runs.values()) run.stop()
	}

	/** Finds the occurrence of a task, whose name is ID.OCCURRENCE.STEP.INDEX. */
	const runOfTask = (task: string) => runOf(Number(shortName(task).split(".")[0]))

	function noteTimesDone() {
		const countOf = new Map<number, number>()
		for (const name of record.done) {
			const time = Number(name.split(".")[0])
			countOf.set(time, (countOf.get(time) ?? 0) + 1)
		}
		const tasks = record.steps.reduce((sum, {count}) => sum + count, 0)
		if (times === 1) return
		for (const [time, count] of countOf) if (count === tasks) endedTimes.add(time)
	}

	noteTimesDone()
	return {
		record: () => record,
		state: () => (hasStarted ? "running" : "pending"),
		begin() {
			if (hasBegun) return
			hasBegun = true
			if (endedTimes.size === times) over("completed", "all its times are done")
			else beginTimes()
		},
		adopt(task, run, executor) {
			return !isOver && (runOfTask(task)?.adopt(task, run, executor) ?? false)
		},
		noteStrayEnd: (task, end) => (isOver ? undefined : runOfTask(task)?.noteStrayEnd(task, end)),
		idleMs() {
			const isIdle = runs.size > 0 && [...runs.values()].every(run => run.isIdle())
			if (!isIdle || isOver) idleSince = undefined
			else idleSince ??= clock.now()
			return idleSince === undefined ? 0 : clock.now() - idleSince
		},
		largestNeedCpu: () => Math.max(...record.steps.map(({need}) => need.cpu)),
		stop,
		abandon() {
			isOver = true
			for (const run of runs.values()) run.abandon()
		},
	}
}
