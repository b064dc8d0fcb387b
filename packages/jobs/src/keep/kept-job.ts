/**
 * One kept job at its placer: its record, and its occurrences, of which a scheduled job has
 * several.
 */
import type {Clock} from "@cottonwood/core"
import type {Placer} from "../place/placer.js"
import type {TaskEnd, EndRecorded} from "../place/run.js"
import type {Queue} from "../types/fleet-config.js"
import type {EndedState, JobRecord, JobState} from "../types/kept-job.js"
import type {Step} from "../types/job.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import type {WallClock} from "../utils/wall-clock.js"
import {shortName, startOccurrence, type JobOccurrence} from "./job-occurrence.js"
import type {WriteOutcome} from "./ledger.js"
import {endedTimesOf, hasProgress, isLongRecord, shortenRecord} from "./record-size.js"

/** Maximum delay between checks of a scheduled time, since the time of day may be corrected. */
const MAX_DUE_CHECK_MS = 1_000
/** Delay before the queue is looked up again when the configuration does not name it. */
const QUEUE_RETRY_MS = 250

export interface KeptJobDeps {
	readonly clock: Clock
	readonly wall: WallClock
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly queueOf: (name: string) => Queue | undefined
	readonly runBase: number
	/** The confirmation of the job's runs, in milliseconds on the monotonic clock; it may lie ahead. */
	readonly confirmedAt: () => number
	readonly placer: () => Placer
	/** Writes the record; resolves when it is in the store. */
	readonly save: (record: JobRecord) => Promise<WriteOutcome>
	readonly onEnd: (state: EndedState, cause: string) => void
}

export interface KeptJob {
	record(): JobRecord
	/** The queue's settings, or those of the job's acceptance while the configuration lacks the queue; undefined without either. */
	queue(): Queue | undefined
	state(): JobState
	/** Starts the occurrences that are due. */
	begin(): void
	adopt(task: string, run: number, executor: string): boolean
	noteUnclaimedEnd(task: string, run: number, end: TaskEnd): EndRecorded
	/** How long tasks have been due while none was on an executor, in milliseconds. */
	idleMs(): number
	/** The steps of which tasks are due and not on an executor, each once. */
	waitingSteps(): readonly Step[]
	/** Moves to other homes since a task of the job last started. */
	fruitlessMoves(): number
	/** Cancels all runs, since the job is over. */
	stop(): void
	/** Leaves the runs to the next placer. */
	abandon(): void
}

export function startKeptJob(first: JobRecord, deps: KeptJobDeps): KeptJob {
	const {clock, wall, log, metrics} = deps
	const occurrences = first.schedule?.times ?? 1
	const active = new Map<number, JobOccurrence>()
	const endedOccurrences = new Set(endedTimesOf(first))
	/** Writes of failed attempts that are under way, by task and run. */
	const failureWrites = new Map<string, Promise<void>>()
	let record = first
	let hasBegun = false
	let hasStarted = hasProgress(first)
	let hasStartedHere = false
	let idleSince: number | undefined
	let isOver = false
	let isQueueDropped = false

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

	function queueNow(): Queue | undefined {
		const queue = deps.queueOf(record.queue)
		if (!queue && record.settings && !isQueueDropped) {
			const fields = {job: record.id, queue: record.queue}
			const message =
				"job: the configuration has no such queue; it goes on under its first settings."
			log.event("job", "queue_dropped", message, fields)
		}
		isQueueDropped = !queue
		return queue ?? record.settings
	}

	function occurrenceOf(index: number): JobOccurrence | undefined {
		const known = active.get(index)
		if (known || index >= occurrences || endedOccurrences.has(index)) return known
		const queue = queueNow()
		if (!queue) return undefined
		const occurrence = startOccurrence(record, index, dueAtMonotonic(index), queue, {
			clock,
			log,
			metrics,
			runBase: deps.runBase,
			confirmedAt: deps.confirmedAt,
			submit: (req, onEnd, onStart) => deps.placer().submit(req, onEnd, onStart),
			adopt: (req, from, onEnd) => deps.placer().adopt(req, from, onEnd),
			recordDone: tasks => save({done: [...record.done, ...tasks]}),
			recordFailure,
			recordCrash: (task, known) => save({crashes: {...record.crashes, [task]: known}}),
			onStart() {
				hasStarted = true
				hasStartedHere = true
			},
			onEnd: (state, cause) => handleOccurrenceEnd(index, state, cause),
		})
		active.set(index, occurrence)
		return occurrence
	}

	/** Counts a run once: until its executor may forget the end, it lists it to the next placer too. */
	function recordFailure(task: string, run: number) {
		const name = `${task}/${run}`
		const runs = record.failedRuns?.[task] ?? []
		const counted = record.failures[task] ?? 0
		if (runs.includes(run)) return {count: counted, recorded: failureWrites.get(name)}
		const count = counted + 1
		const recorded = save({
			failures: {...record.failures, [task]: count},
			failedRuns: {...record.failedRuns, [task]: [...runs, run]},
		})
		failureWrites.set(name, recorded)
		void recorded.then(() => failureWrites.delete(name))
		return {count, recorded}
	}

	function handleOccurrenceEnd(index: number, state: "completed" | "failed", cause: string) {
		active.delete(index)
		endedOccurrences.add(index)
		// Written with the next change.
		if (isLongRecord(record)) record = shortenRecord(record, endedOccurrences)
		if (state === "failed") return finish(state, cause)
		if (endedOccurrences.size === occurrences) finish("completed", cause)
	}

	function finish(state: EndedState, cause: string) {
		if (isOver) return
		stop()
		deps.onEnd(state, cause)
	}

	/** When an occurrence is due, in milliseconds since 1970. */
	function dueAtWall(index: number): number {
		const {schedule} = record
		return schedule ? schedule.firstDueMs + index * schedule.periodMs : record.acceptedAtMs
	}

	const dueAtMonotonic = (index: number) => clock.now() + (dueAtWall(index) - wall.now())

	function beginOccurrences() {
		if (isOver) return
		for (let index = 0; index < occurrences; index++) {
			if (endedOccurrences.has(index)) continue
			const dueInMs = record.schedule ? dueAtWall(index) - wall.now() : 0
			if (dueInMs > 0)
				return void clock.schedule(Math.min(dueInMs, MAX_DUE_CHECK_MS), beginOccurrences)
			const occurrence = occurrenceOf(index)
			if (!occurrence) return retryQueueLookup()
			occurrence.begin()
		}
	}

	function retryQueueLookup() {
		const fields = {job: record.id, queue: record.queue}
		log.event("job", "queue_unknown", "job: the configuration has no such queue.", fields)
		clock.schedule(QUEUE_RETRY_MS, beginOccurrences)
	}

	function stop() {
		isOver = true
		for (const run of active.values()) run.stop()
	}

	/** Finds the occurrence of a task, whose name is ID.OCCURRENCE.STEP.INDEX. */
	const occurrenceOfTask = (task: string) => occurrenceOf(Number(shortName(task).split(".")[0]))

	/** Records an end while the queue's settings are not known, so that the task does not run again once they are. */
	function recordWithoutQueue(task: string, run: number, end: TaskEnd): EndRecorded {
		const name = shortName(task)
		const [index = NaN, at = NaN] = name.split(".").map(Number)
		const step = record.steps[at]
		const isPast = index >= occurrences || endedOccurrences.has(index) || record.done.includes(name)
		if (!step || step.isLasting || isPast) return undefined
		// A gang ends as a whole, and counts its failures at its first member.
		const members = Array.from({length: step.count}, (_, member) => `${index}.${at}.${member}`)
		const ended = step.isGang ? members : [name]
		if (end.type === "done") return save({done: [...record.done, ...ended]})
		return end.type === "failed" ? recordFailure(ended[0] as string, run).recorded : undefined
	}

	function markEndedOccurrences() {
		const countOf = new Map<number, number>()
		for (const name of record.done) {
			const index = Number(name.split(".")[0])
			countOf.set(index, (countOf.get(index) ?? 0) + 1)
		}
		const tasks = record.steps.reduce((sum, {count}) => sum + count, 0)
		if (occurrences === 1) return
		for (const [time, count] of countOf) if (count === tasks) endedOccurrences.add(time)
	}

	markEndedOccurrences()
	return {
		record: () => record,
		queue: queueNow,
		state: () => (hasStarted ? "running" : "pending"),
		begin() {
			if (hasBegun) return
			hasBegun = true
			if (endedOccurrences.size === occurrences) finish("completed", "all its times are done")
			else beginOccurrences()
		},
		adopt(task, run, executor) {
			return !isOver && (occurrenceOfTask(task)?.adopt(task, run, executor) ?? false)
		},
		noteUnclaimedEnd(task, run, end) {
			if (isOver) return undefined
			const occurrence = occurrenceOfTask(task)
			if (!occurrence) return recordWithoutQueue(task, run, end)
			return occurrence.noteUnclaimedEnd(task, run, end)
		},
		idleMs() {
			const isIdle = active.size > 0 && [...active.values()].every(run => run.isIdle())
			if (!isIdle || isOver) idleSince = undefined
			else idleSince ??= clock.now()
			return idleSince === undefined ? 0 : clock.now() - idleSince
		},
		waitingSteps: () => [...new Set([...active.values()].flatMap(run => run.waitingSteps()))],
		fruitlessMoves: () => (hasStartedHere ? 0 : (record.fruitlessMoves ?? 0)),
		stop,
		abandon() {
			isOver = true
			for (const run of active.values()) run.abandon()
		},
	}
}
