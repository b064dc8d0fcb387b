/**
 * Admission control at one placer: judges arriving jobs by a start forecast, and refuses queued jobs whose forecast gets
 * worse. Created by hosted placers.
 *
 * The sums of requested and served work, the forecast corrections and the list of unstarted jobs live as long as the
 * placer. They are not shared, and a successor starts without them.
 */
import type {Clock} from "@cottonwood/core"
import {
	chooseJobToEvict,
	shouldKeepWaiting,
	decideAdmission,
	type AdmissionInput,
	type RefusalReason,
} from "../decide/admission.js"
import {
	updateCorrection,
	drainMs,
	forecastOf,
	capacityOver,
	type Forecast,
} from "../decide/forecast.js"
import type {PlacerLoad} from "../decide/load.js"
import {
	addWork,
	EVEN_SHARE,
	DECAY_MS,
	decayed,
	NO_WORK,
	setBounded,
	sharesOf,
	type Share,
	type ShareRule,
	type QueueWork,
} from "../decide/shares.js"
import type {Placer} from "../place/placer.js"
import type {Queue} from "../types/fleet-config.js"
import type {Job, JobEnd} from "../types/job.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import {demandOf, latestUsefulStart, jobWork} from "./demand.js"
import {latestStartOnTime, objectiveMsOf, type JobRun} from "./job-run.js"
import {createRefusal, type Refusal} from "./refusals.js"
import {createUnstartedJobs, type UnstartedJob} from "./unstarted-jobs.js"

/** A reading of load and shares is reused for this long. */
const READING_VALID_MS = 10
/** Interval between checks of unstarted jobs, which start at the end of their order. */
const CHECK_INTERVAL_MS = 25
const MAX_CHECKED = 16

export interface AdmissionDeps {
	readonly clock: Clock
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly placer: Pick<Placer, "load" | "work" | "workBefore" | "isStartingUp" | "hasRoomFor">
	/** Free cores of other failure domains that this placer may count on. */
	readonly borrowableCores: () => number
	/** The queues of the configuration in force. */
	readonly queues: () => readonly ShareRule[]
}

export interface Admission {
	/** Decides on an arriving job: a refusal, or admission in time or late (behind all jobs that can be on time). */
	assess(job: Job, queue: Queue): Refusal | "in time" | "late"
	/** Tracks an admitted job until all its first tasks have started, or the job has ended. */
	follow(job: Job, queue: Queue, run: JobRun, isLate: boolean): void
	close(): void
}

interface Reading {
	readonly at: number
	readonly load: PlacerLoad
	readonly shares: ReadonlyMap<string, Share>
	/** Recently requested work divided by what the usable executors can do. */
	readonly requestedRatio: number
}

export function createAdmission(deps: AdmissionDeps): Admission {
	const {clock, metrics, placer} = deps
	const work = new Map<string, QueueWork>()
	/** Forecast correction by queue. Jobs with many tasks wait longer until the last task has room. */
	const corrections = new Map<string, number>()
	const unstarted = createUnstartedJobs()
	let reading: Reading | undefined
	let cancelCheck: (() => void) | undefined

	function read(): Reading {
		const now = clock.now()
		if (reading && now - reading.at < READING_VALID_MS) return reading
		const load = placer.load()
		const shares = sharesOf(deps.queues(), work, now)
		let requested = 0
		for (const one of work.values()) requested += decayed(one, now).requested
		const room = capacityOver(DECAY_MS, load)
		reading = {at: now, load, shares, requestedRatio: room === 0 ? Infinity : requested / room}
		return reading
	}

	const shareOf = ({name}: Queue) => read().shares.get(name) ?? EVEN_SHARE

	function count({name}: Queue, requested: number, served: number) {
		setBounded(work, name, addWork(work.get(name) ?? NO_WORK, clock.now(), requested, served))
	}

	/** `ownWork`: the part of the job's own work that is already queued, in core-milliseconds. */
	function forecast(job: Job, startBy: number, ownWork: number): Forecast {
		return forecastOf(demandOf(job), {
			load: read().load,
			workBefore: Math.max(0, placer.workBefore(startBy) - ownWork),
			borrowableCores: deps.borrowableCores(),
			correction: corrections.get(job.queue) ?? 1,
		})
	}

	function inputFor(job: Job, queue: Queue, told: Forecast, startBy: number): AdmissionInput {
		const {load, requestedRatio} = read()
		const now = clock.now()
		const lateWork = unstarted.lateWork()
		return {
			forecast: told,
			backlogMs: drainMs(Math.max(0, placer.work() - lateWork), load),
			slackMs: startBy - now,
			usefulMs: latestUsefulStart(job, queue) - now,
			share: shareOf(queue),
			requestedRatio,
			lateBacklogMs: drainMs(lateWork, load),
		}
	}

	/**
	 * Whether the job finds room at once. Queued jobs may need more room at a time than is free, so this job delays none of
	 * them.
	 */
	function hasRoomNow(job: Job, {service}: Queue): boolean {
		const [first] = job.steps
		if (!first || read().load.freeCores < demandOf(job).cores) return false
		return placer.hasRoomFor(first, service)
	}

	function refusal(
		job: Job,
		queue: Queue,
		reason: RefusalReason,
		told: Forecast,
		roomInMs: number,
	): Refusal {
		const waitedMs = clock.now() - job.receivedAt
		return createRefusal(job, {reason, share: shareOf(queue), told, roomInMs, waitedMs}, deps)
	}

	function refuse(item: UnstartedJob, reason: RefusalReason, told: Forecast) {
		const {job, queue, run} = item
		unstarted.remove(item)
		count(queue, 0, item.isLate ? 0 : -item.work)
		run.refuse(refusal(job, queue, reason, told, drainMs(placer.work(), read().load)))
	}

	/** Refuses a queued job of a queue above its share, so that the newcomer can be admitted. */
	function makeRoomFor(job: Job, queue: Queue, {slackMs, share}: AdmissionInput): boolean {
		const now = clock.now()
		const newcomer = {slackMs, share, work: jobWork(job)}
		const waiting = unstarted
			.last(MAX_CHECKED)
			.filter(({isLate}) => !isLate)
			.map(item => ({
				item,
				work: item.work,
				slackMs: item.startBy - now,
				share: shareOf(item.queue),
			}))
		const chosen = chooseJobToEvict(newcomer, waiting)?.item
		if (!chosen) return false
		refuse(chosen, "pushed_out", forecast(chosen.job, chosen.startBy, chosen.work))
		return true
	}

	function checkUnstarted() {
		cancelCheck = undefined
		if (!placer.isStartingUp()) refuseWorsened()
		scheduleCheck()
	}

	function refuseWorsened() {
		for (const item of [...unstarted.last(MAX_CHECKED)].reverse()) {
			const {job, queue, startBy, isLate} = item
			const told = forecast(job, isLate ? Infinity : startBy, item.work)
			if (shouldKeepWaiting(inputFor(job, queue, told, startBy))) continue
			recordWait(item)
			refuse(item, told.startInMs === Infinity ? "no_executor" : "turned_bad", told)
		}
	}

	function scheduleCheck() {
		if (cancelCheck || unstarted.size() === 0) return
		cancelCheck = clock.schedule(CHECK_INTERVAL_MS, checkUnstarted)
	}

	/**
	 * Records the forecast error once all first tasks have started or the job is refused, and corrects later forecasts of
	 * the queue.
	 */
	function recordWait({queue, takenAt, told, isLate}: UnstartedJob) {
		const waitedMs = clock.now() - takenAt
		const errorMs = waitedMs - told.startInMs
		if (!Number.isFinite(errorMs)) return
		metrics.observe(errorMs < 0 ? "forecast_early_ms" : "forecast_late_ms", Math.abs(errorMs))
		if (isLate) return
		const before = corrections.get(queue.name) ?? 1
		setBounded(corrections, queue.name, updateCorrection(before, told.startInMs, waitedMs))
	}

	/** Takes back the job's served work when its answer is late or not a success. */
	function noteEnd(item: UnstartedJob, end: JobEnd) {
		const {job, queue, isLate} = item
		unstarted.remove(item)
		if (end.type === "refused" || isLate) return
		const isInTime = clock.now() <= job.receivedAt + objectiveMsOf(job, queue)
		if (end.type !== "completed" || !isInTime) count(queue, 0, -item.work)
	}

	function admit(job: Job, queue: Queue): "in time" {
		const size = jobWork(job)
		count(queue, size, size)
		return "in time"
	}

	return {
		assess(job, queue) {
			// A placer that has just begun gets its executors within milliseconds; a short wait beats a refusal.
			if (placer.isStartingUp()) return admit(job, queue)
			const startBy = latestStartOnTime(job, queue)
			const told = forecast(job, startBy, 0)
			const input = inputFor(job, queue, told, startBy)
			const verdict = decideAdmission(input)
			if (verdict.type === "admitted" || hasRoomNow(job, queue)) return admit(job, queue)
			if (verdict.type === "refused" && makeRoomFor(job, queue, input)) return admit(job, queue)
			count(queue, jobWork(job), 0)
			if (verdict.type === "late") return "late"
			return refusal(job, queue, verdict.reason, told, verdict.roomInMs)
		},
		follow(job, queue, run, isLate) {
			const startBy = isLate ? latestUsefulStart(job, queue) : latestStartOnTime(job, queue)
			const size = jobWork(job)
			const told = forecast(job, startBy, size)
			const takenAt = clock.now()
			const item: UnstartedJob = {job, queue, run, startBy, isLate, takenAt, told, work: size}
			unstarted.add(item)
			scheduleCheck()
			run.onStart(
				() => void unstarted.remove(item),
				() => recordWait(item),
			)
			void run.ended.then(end => noteEnd(item, end))
		},
		close: () => cancelCheck?.(),
	}
}
