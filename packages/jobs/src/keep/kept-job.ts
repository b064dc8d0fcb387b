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
import {endedTimesOf, hasProgress, isLongRecord, shortenRecord, timesOf} from "./record-size.js"
import {createJobSupplies} from "./task-supply.js"

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
	let record = first
	let hasBegun = false
	let hasStarted = hasProgress(first)
	let hasStartedHere = false
	let idleSince: number | undefined
	let isOver = false
	/** The number of occurrences that are due. */
	let due = 0
	/** The completed tasks of the record that was read, by occurrence. */
	const readDone = timesOf(first.done)
	/** Occurrences of which tasks have run before this placer. */
	const resumed = [...timesOf([...first.done, ...Object.keys(first.failures)]).keys()]
	const supplies = createJobSupplies(first.steps, {
		due: () => due,
		occurrenceOf,
		isOver: () => isOver,
		submit: supply => deps.placer().submitAll(supply),
	})
	const recordFailure = createFailureCount(() => record, save)
	const queues = createQueueLookup(first, deps)

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

	function occurrenceOf(index: number): JobOccurrence | undefined {
		const known = active.get(index)
		const isPast = !(index >= 0 && index < occurrences) || endedOccurrences.has(index)
		if (known || isPast) return known
		const queue = queues.now() ?? queues.last()
		if (!queue) return undefined
		const done = readDone.get(index) ?? []
		const occurrence = startOccurrence(record, index, dueAtMonotonic(index), queue, done, {
			clock,
			log,
			metrics,
			runBase: deps.runBase,
			confirmedAt: deps.confirmedAt,
			submit: (req, onEnd, onStart) => deps.placer().submit(req, onEnd, onStart),
			adopt: (req, from, onEnd) => deps.placer().adopt(req, from, onEnd),
			onStepBegun: step => supplies.submitStep(index, step),
			recordDone: tasks => save({done: [...record.done, ...tasks]}),
			recordFailure,
			recordCrash: (task, known) => save({crashes: {...record.crashes, [task]: known}}),
			onStart() {
				hasStarted = true
				hasStartedHere = true
			},
			onEnd: (state, cause) => handleOccurrenceEnd(index, state, cause),
		})
		readDone.delete(index)
		active.set(index, occurrence)
		if (hasBegun && index < due) occurrence.begin()
		return active.get(index)
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

	/** Only occurrences of which something has run begin at once; the others when the placer gets to them. */
	function beginOccurrences() {
		if (isOver) return
		if (!queues.now()) return retryQueueLookup()
		const before = due
		while (due < occurrences && dueInMs(due) <= 0) due++
		const isNew = (index: number) => index >= before && index < due
		for (const index of [...new Set([...resumed, ...active.keys()])].filter(isNew)) {
			const wasActive = active.get(index)
			if (wasActive) wasActive.begin()
			else occurrenceOf(index)
		}
		// An occurrence without tasks ends as it begins.
		if (supplies.isEmpty) for (let index = before; index < due; index++) occurrenceOf(index)
		supplies.submitDue()
		if (isOver || due === occurrences) return
		clock.schedule(Math.min(dueInMs(due), MAX_DUE_CHECK_MS), beginOccurrences)
	}

	const dueInMs = (index: number) => (record.schedule ? dueAtWall(index) - wall.now() : 0)

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
		if (end.type === "done") {
			readDone.set(index, [...(readDone.get(index) ?? []), ...ended])
			resumed.push(index)
			return save({done: [...record.done, ...ended]})
		}
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
		queue: queues.now,
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
			const hasTasks = active.size > 0 || supplies.waitingSteps().length > 0
			const isIdle = hasTasks && [...active.values()].every(run => run.isIdle())
			if (!isIdle || isOver) idleSince = undefined
			else idleSince ??= clock.now()
			return idleSince === undefined ? 0 : clock.now() - idleSince
		},
		waitingSteps() {
			const begun = [...active.values()].flatMap(run => run.waitingSteps())
			return [...new Set([...begun, ...supplies.waitingSteps()])]
		},
		fruitlessMoves: () => (hasStartedHere ? 0 : (record.fruitlessMoves ?? 0)),
		stop,
		abandon() {
			isOver = true
			for (const run of active.values()) run.abandon()
		},
	}
}

/** Looks the job's queue up in the configuration. */
function createQueueLookup(
	{id, queue: name, settings}: JobRecord,
	{log, queueOf}: Pick<KeptJobDeps, "log" | "queueOf">,
) {
	let isDropped = false
	let last: Queue | undefined

	/** The settings, or those of the job's acceptance while the configuration lacks the queue. */
	function now(): Queue | undefined {
		const queue = queueOf(name)
		if (!queue && settings && !isDropped) {
			const fields = {job: id, queue: name}
			const message =
				"job: the configuration has no such queue; it goes on under its first settings."
			log.event("job", "queue_dropped", message, fields)
		}
		isDropped = !queue
		last = queue ?? settings ?? last
		return queue ?? settings
	}

	return {now, last: () => last}
}

/** Counts the failed attempts of a job's tasks in its record. */
function createFailureCount(
	record: () => JobRecord,
	save: (change: Partial<JobRecord>) => Promise<void>,
) {
	/** Writes that are under way, by task and run. */
	const writes = new Map<string, Promise<void>>()

	/** Counts a run once: until its executor may forget the end, it lists it to the next placer too. */
	return (task: string, run: number) => {
		const {failures, failedRuns} = record()
		const name = `${task}/${run}`
		const runs = failedRuns?.[task] ?? []
		const counted = failures[task] ?? 0
		if (runs.includes(run)) return {count: counted, recorded: writes.get(name)}
		const count = counted + 1
		const recorded = save({
			failures: {...failures, [task]: count},
			failedRuns: {...failedRuns, [task]: [...runs, run]},
		})
		writes.set(name, recorded)
		void recorded.then(() => writes.delete(name))
		return {count, recorded}
	}
}
