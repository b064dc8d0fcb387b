/**
 * The placers hosted by this instance, one for each failure domain or slice whose claim it holds. Used by the dispatcher,
 * by handovers and by kept jobs.
 */
import type {Placer, PlacerCounts} from "../place/placer.js"
import type {PlacerDeps} from "../place/placer-state.js"
import {createPlacer} from "../place/placer.js"
import type {TaskRequest} from "../place/run.js"
import type {ExecutorRecord} from "../types/executor.js"
import type {Queue} from "../types/fleet-config.js"
import type {Claim, Member, Room} from "../types/fleet.js"
import type {Caller, Job, JobEnd} from "../types/job.js"
import {shortSession} from "../utils/log.js"
import type {SpeedStore} from "../fleet/speed-store.js"
import type {Keeper} from "../keep/keeper.js"
import {createAdmission, type Admission, type AdmissionDeps} from "./admission.js"
import type {WaitingTask} from "../place/task-queue.js"
import type {JobMove} from "../fleet/peers.js"
import type {JobMover, Placing} from "./job-mover.js"
import type {Overflow} from "./overflow.js"
import {createSliceMoves} from "./slice-moves.js"
import type {SliceRouting} from "./slice-routing.js"
import {latestStartOnTime, objectiveMsOf, startJobRun, type JobRun} from "./job-run.js"
import {parseDomainsTried} from "./moved-job.js"

/** Estimates are too inexact to refuse a job for a shorter wait. */
const SHORT_WAIT_MS = 30
/**
 * Without forecasts: the queued work with which a job is still admitted, as a multiple of its objective. Lower for all but
 * the highest priority, since their queued jobs would end late and delay urgent ones.
 */
const URGENT_BACKLOG_OBJECTIVES = 2
const BACKLOG_OBJECTIVES = 0.2
const HIGHEST_PRIORITY = 0
/**
 * After a handover's claim the runs of the previous placer are awaited this long. Until all are known no lease is renewed
 * beside them; the leases that the previous placer requested last longer.
 */
const HANDOVER_WAIT_MS = 500
/** An expected claim is written within this time, even when the store is slow. */
const CLAIM_WAIT_MS = 2_000
/** The fence of a failure domain's first claim: nobody has placed there before. */
const FIRST_FENCE = 1

export interface HostedPlacer {
	readonly claim: Claim
	/** The kept jobs owned by the failure domain. */
	readonly keeper: Keeper
	readonly placer: Placer
	/** Absent where jobs are judged by the backlog instead of forecasts. */
	readonly admission?: Admission
	readonly jobs: Set<JobRun>
	readonly speedStore?: SpeedStore
	/** Executors that obey a higher fence, possibly of a slice whose claim isn't known here yet. */
	readonly fenced: Set<string>
}

export interface HostedPlacersDeps extends Pick<
	PlacerDeps,
	| "clock"
	| "orders"
	| "advisor"
	| "log"
	| "metrics"
	| "leaseRule"
	| "stopGraceMs"
	| "handOver"
	| "onRoomChange"
> {
	readonly self: Member
	readonly createKeeper: (claim: Claim, onDeposed: () => void) => Keeper
	/** The failure domain's executors by the last list. */
	readonly executorsOf: (failureDomain: string) => readonly ExecutorRecord[]
	/** Whether operators are evacuating the failure domain. */
	readonly isEvacuated: (failureDomain: string) => boolean
	/** Starts storing the speeds learnt of a failure domain's executors. Absent: each placer learns for itself. */
	readonly openSpeedStore?: (claim: Claim) => SpeedStore
	/** Absent: no failure domain is sliced. */
	readonly slices?: SliceRouting
	/** Input of admission by forecast. Absent: jobs are judged by the backlog. */
	readonly forecasting?: Pick<AdmissionDeps, "borrowableCores" | "queues">
	/** Moves whole jobs that find no room here. Absent: only single tasks go to other failure domains. */
	readonly elsewhere?: JobMover
}

export interface HostedPlacers {
	of(failureDomain: string): HostedPlacer | undefined
	/** Starts or stops placing after a claim has changed. */
	noteClaim(claim: Claim): void
	/** Announces a claim of a failure domain of which no executor answers. */
	expectCutOff(claim: Pick<Claim, "failureDomain" | "fence">): void
	/** Announces a handover: the previous placer will hand over its runs on these executors. */
	expectHandover(
		claim: Pick<Claim, "failureDomain" | "fence">,
		executors: readonly ExecutorRecord[],
	): void
	/** From here on a higher fence means that the successor has taken over; runs are kept until the handover ends. */
	offerHandover(failureDomain: string): void
	withdrawHandover(failureDomain: string): void
	/** Hands a failure domain's runs and queue over to the placer that holds the claim now. */
	handOverTo(successor: Claim, overflow: Overflow): void
	/** Takes the platform's list of the executors of all failure domains. */
	setExecutors(records: readonly ExecutorRecord[]): void
	/**
	 * The executors of a failure domain placed here, with those in use that the list has dropped; empty when it isn't
	 * placed here.
	 */
	executorsOf(failureDomain: string): readonly ExecutorRecord[]
	/** Runs a job at a placer here and resolves with its end, a refusal, or the placer that should have it. */
	run(host: HostedPlacer, job: Job, queue: Queue, caller: Caller): Promise<JobEnd | JobMove>
	/** Lets all placers here try their queues again, since other placers may have room. */
	placeWaiting(): void
	/** Applies a change of the evacuated failure domains. */
	noteEvacuations(): void
	rooms(): Readonly<Record<string, Room>>
	/** The room of a failure domain placed here as last reported to others; a plain lookup. */
	lastReportedRoom(failureDomain: string): Room | undefined
	isPlacing(): boolean
	counts(): PlacerCounts & {readonly kept: number}
	close(): void
}

interface ExpectedHandover {
	readonly fence: number
	readonly until: number
	readonly executors: readonly ExecutorRecord[]
}

function maxBacklogMs(job: Job, queue: Queue): number {
	const isUrgent = queue.priority === HIGHEST_PRIORITY
	return objectiveMsOf(job, queue) * (isUrgent ? URGENT_BACKLOG_OBJECTIVES : BACKLOG_OBJECTIVES)
}

/** Whether the job finds room at once. Queued jobs may need more room at a time than is free. */
function canStartNow({steps}: Job, {service}: Queue, placer: Placer): boolean {
	const [first] = steps
	return first !== undefined && placer.hasRoomFor(first, service)
}

/** What a new placer presumes of the one before. */
function takeoverOf(
	{fence}: Claim,
	handover: ExpectedHandover | undefined,
	cutOffFence: number | undefined,
): Pick<PlacerDeps, "orphansWaitMs" | "knowsAllExecutors" | "isCutOff"> {
	return {
		orphansWaitMs: handover ? HANDOVER_WAIT_MS : 0,
		knowsAllExecutors: handover !== undefined || fence === FIRST_FENCE,
		isCutOff: fence === cutOffFence,
	}
}

export function createHostedPlacers(deps: HostedPlacersDeps): HostedPlacers {
	const {clock, log, metrics, self} = deps
	const hosts = new Map<string, HostedPlacer>()
	/** Announced handovers by failure domain. */
	const expectedHandovers = new Map<string, ExpectedHandover>()
	/** Announced claims without executors in reach, by failure domain. */
	const cutOffFences = new Map<string, number>()
	/** Failure domains being handed over, with the cause that would have ended their placing meanwhile. */
	const beingHandedOver = new Map<string, string | undefined>()
	let reportedRooms: Readonly<Record<string, Room>> = {}
	const sliceMoves = createSliceMoves({clock, log, hosts, slices: deps.slices, endPlacing})

	function beginPlacing(claim: Claim) {
		const {failureDomain, fence} = claim
		const onFenced = (executor: ExecutorRecord) => sliceMoves.noteFenced(claim, executor)
		const handover = takeExpected(claim)
		const takeover = takeoverOf(claim, handover, cutOffFences.get(failureDomain))
		const onDeposed = () => endPlacing(failureDomain, fence, "the store has another claim")
		const keeper = deps.createKeeper(claim, onDeposed)
		const isEvacuated = () => deps.isEvacuated(failureDomain)
		const speedStore = deps.openSpeedStore?.(claim)
		const handOver = (item: WaitingTask) => handOverFrom({claim, placer}, item)
		const own = {failureDomain, fence, onFenced, isEvacuated, kept: keeper, handOver}
		const placer: Placer = createPlacer({...deps, ...takeover, ...own, speeds: speedStore?.speeds})
		const {forecasting} = deps
		const admission = forecasting && createAdmission({clock, log, metrics, placer, ...forecasting})
		const host = {claim, keeper, placer, admission, jobs: new Set<JobRun>(), speedStore}
		hosts.set(failureDomain, {...host, fenced: new Set()})
		keeper.begin(placer)
		placer.setExecutors(handover?.executors ?? deps.executorsOf(failureDomain))
		const fields = {failureDomain, fence, outcome: handover ? "handed over" : "taken"}
		log.alarm("placer", "placing_begun", "placer: began placing a failure domain.", fields)
	}

	/** Moves the whole job while nothing of it has started, or else hands over the task alone. */
	function handOverFrom(placing: Placing, item: WaitingTask): boolean {
		const move = deps.elsewhere?.onNoRoom(placing, item) ?? "goes by tasks"
		return move === "goes by tasks" ? deps.handOver(item) : move === "moved"
	}

	function takeExpected({failureDomain, fence}: Claim): ExpectedHandover | undefined {
		const handover = expectedHandovers.get(failureDomain)
		expectedHandovers.delete(failureDomain)
		const isValid = handover?.fence === fence && handover.until > clock.now()
		return isValid ? handover : undefined
	}

	function endPlacing(failureDomain: string, fence: number, cause: string) {
		const host = hosts.get(failureDomain)
		if (!host || host.claim.fence !== fence) return
		if (beingHandedOver.has(failureDomain)) return void beingHandedOver.set(failureDomain, cause)
		hosts.delete(failureDomain)
		host.admission?.close()
		host.keeper.close()
		host.speedStore?.close()
		host.placer.relinquish()
		const fields = {failureDomain, fence, cause, count: host.jobs.size}
		log.alarm("placer", "placing_ended", "placer: stopped placing a failure domain.", fields)
		for (const job of host.jobs) job.abandon(cause)
	}

	/** Refuses a job that cannot start in time here, early enough for another placer to take it. */
	function backlogRefusal(job: Job, queue: Queue, placer: Placer): JobEnd | undefined {
		// A placer that has just begun gets its executors within milliseconds; a short wait beats a refusal.
		if (placer.isStartingUp()) return undefined
		const startBy = latestStartOnTime(job, queue)
		const waitMs = placer.expectedWaitMs(startBy)
		const isInTime = clock.now() + waitMs <= startBy || waitMs < SHORT_WAIT_MS
		const allMs = placer.expectedWaitMs(Infinity)
		if (isInTime && allMs <= maxBacklogMs(job, queue)) return undefined
		if (canStartNow(job, queue, placer)) return undefined
		const kind = waitMs === Infinity ? "no_capacity" : "overloaded"
		const cause = `${Math.round(waitMs)} ms of work go before it, ${Math.round(allMs)} ms wait`
		return {type: "refused", kind, cause}
	}

	return {
		of: failureDomain => hosts.get(failureDomain),
		noteClaim(claim) {
			const host = hosts.get(claim.failureDomain)
			if (host && host.claim.fence < claim.fence)
				endPlacing(claim.failureDomain, host.claim.fence, "another claim was written")
			if (claim.placer.session === self.session && !hosts.has(claim.failureDomain))
				beginPlacing(claim)
			sliceMoves.noteClaim(claim)
		},
		expectHandover({failureDomain, fence}, executors) {
			expectedHandovers.set(failureDomain, {fence, until: clock.now() + CLAIM_WAIT_MS, executors})
		},
		expectCutOff: ({failureDomain, fence}) => void cutOffFences.set(failureDomain, fence),
		offerHandover(failureDomain) {
			beingHandedOver.set(failureDomain, undefined)
		},
		withdrawHandover(failureDomain) {
			const cause = beingHandedOver.get(failureDomain)
			beingHandedOver.delete(failureDomain)
			const host = hosts.get(failureDomain)
			// Another placer has the claim by now, though not by this handover.
			if (host && cause !== undefined) endPlacing(failureDomain, host.claim.fence, cause)
		},
		handOverTo(successor, overflow) {
			const {failureDomain, fence} = successor
			const host = hosts.get(failureDomain)
			beingHandedOver.delete(failureDomain)
			if (!host) return
			hosts.delete(failureDomain)
			host.admission?.close()
			host.keeper.close()
			host.speedStore?.close()
			const count = host.placer.counts().running
			host.placer.handOverAll((item, from) => overflow.sendTo(successor, item, from))
			const {name, session} = successor.placer
			const fields = {failureDomain, fence, peer: name, session: shortSession(session), count}
			log.alarm("placer", "handed_over", "placer: handed over a failure domain.", fields)
		},
		setExecutors(records) {
			for (const [failureDomain, {placer}] of hosts)
				placer.setExecutors(sliceMoves.ownExecutors(failureDomain, records))
		},
		executorsOf: failureDomain => hosts.get(failureDomain)?.placer.executors() ?? [],
		async run(host, submitted, queue, {onCancel, confirmedAt}) {
			const {admission} = host
			const job = {...submitted, been: parseDomainsTried(submitted.been, deps)}
			const verdict = admission?.assess(job, queue) ?? backlogRefusal(job, queue, host.placer)
			const refusal = typeof verdict === "object" ? verdict : undefined
			const move = deps.elsewhere?.onArrival(host, job, queue, refusal !== undefined)
			if (move) return move
			if (refusal) return refusal
			const hasAdmission = admission !== undefined
			const isLate = verdict === "late"
			const submit = (
				req: TaskRequest,
				onEnd: Parameters<Placer["submit"]>[1],
				onStart: () => void,
			) => host.placer.submit(req, onEnd, onStart)
			const options = {hasAdmission, isLate}
			const run = startJobRun(job, queue, {clock, log, metrics, confirmedAt, submit, ...options})
			admission?.follow(job, queue, run, isLate)
			host.jobs.add(run)
			const endWatch = deps.elsewhere?.watch(job, queue, run)
			onCancel(() => run.cancel())
			const end = await run.ended
			host.jobs.delete(run)
			return endWatch?.() ?? end
		},
		placeWaiting() {
			for (const {placer} of hosts.values()) placer.placeWaiting()
		},
		noteEvacuations() {
			for (const {placer} of hosts.values()) placer.noteEvacuation()
		},
		rooms() {
			const rooms: Record<string, Room> = {}
			for (const [failureDomain, {placer}] of hosts) rooms[failureDomain] = placer.room()
			reportedRooms = rooms
			return rooms
		},
		lastReportedRoom: failureDomain => reportedRooms[failureDomain],
		isPlacing: () => hosts.size > 0,
		counts() {
			const sum = {waiting: 0, running: 0, usable: 0, kept: 0}
			for (const {placer, keeper} of hosts.values()) {
				sum.kept += keeper.jobCount()
				const counts = placer.counts()
				sum.waiting += counts.waiting
				sum.running += counts.running
				sum.usable += counts.usable
			}
			return sum
		},
		close() {
			for (const {placer, keeper, admission, speedStore} of hosts.values()) {
				admission?.close()
				keeper.close()
				speedStore?.close()
				placer.close()
			}
		},
	}
}
