/**
 * The placers that this instance hosts: one for each failure domain whose claim it holds.
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
import type {HostSlices} from "./slices.js"
import {latestStartOnTime, objectiveMsOf, startJobRun, type JobRun} from "./job-run.js"
import {beenOf} from "./moved-job.js"

/** Estimates are not good enough to refuse for a wait shorter than this. */
const SHORT_WAIT_MS = 30
/**
 * The work that may wait when a job is taken, as a share of its objective: what waits long in all starves whoever
 * can wait longest. Below the highest priority little may: those jobs would be served late, and make the urgent
 * ones late with them. At 1.5 times the load all kinds together earned 0.84 instead of 0.79 of their credit.
 */
const URGENT_BACKLOG_OBJECTIVES = 2
const BACKLOG_OBJECTIVES = 0.2
const HIGHEST_PRIORITY = 0
/**
 * Runs of the placer before are waited for this long from the claim on; a handover takes some ten round trips. Until all are
 * known no lease is renewed beside them; the leases that the placer before asked for last longer.
 */
const HANDOVER_WAIT_MS = 500
/** A claim that was asked for is written within this though the store is slow. */
const CLAIM_WAIT_MS = 2_000
/** Of the first claim that a failure domain ever has: nobody placed there before. */
const FIRST_FENCE = 1

export interface HostedPlacer {
	readonly claim: Claim
	/** The kept jobs whose home is the domain. */
	readonly keeper: Keeper
	readonly placer: Placer
	/** Absent where jobs are judged by the backlog. */
	readonly admission?: Admission
	readonly jobs: Set<JobRun>
	readonly speedKeeper?: SpeedStore
	/** Executors that obey a higher fence, perhaps of a slice of which nothing has been heard yet. */
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
	/** Whether operators are emptying the failure domain. */
	readonly isEvacuated: (failureDomain: string) => boolean
	/** Begins to keep what is learnt of a domain's executors; absent where each placer learns for itself. */
	readonly keepSpeeds?: (claim: Claim) => SpeedStore
	/** Undefined: no failure domain is divided. */
	readonly slices?: HostSlices
	/** What jobs are judged by forecasts with; absent where they are judged by the backlog. */
	readonly forecasting?: Pick<AdmissionDeps, "borrowableCores" | "queues">
	/** Where whole jobs go that find no room here; absent: only their tasks go elsewhere. */
	readonly elsewhere?: JobMover
}

export interface HostedPlacers {
	of(failureDomain: string): HostedPlacer | undefined
	/** Begins or ends placing after a claim changed. */
	noteClaim(claim: Claim): void
	/** Whoever has the claim before this one hands its runs over; they are waited for, on the executors that it has. */
	expectHandover(
		claim: Pick<Claim, "failureDomain" | "fence">,
		executors: readonly ExecutorRecord[],
	): void
	/** From now on a higher fence means that the successor has begun, not that all is lost. */
	offerHandover(failureDomain: string): void
	withdrawHandover(failureDomain: string): void
	/** Gives a domain's runs and queue to the placer that has the claim now. */
	handOverTo(successor: Claim, overflow: Overflow): void
	/** Takes the platform's list, of all failure domains. */
	setExecutors(records: readonly ExecutorRecord[]): void
	/** A hosted domain's executors, those that the list has dropped included; none without a host. */
	executorsOf(failureDomain: string): readonly ExecutorRecord[]
	/** Runs a job at a placer here, refuses it at once, or says where it should go. */
	run(host: HostedPlacer, job: Job, queue: Queue, caller: Caller): Promise<JobEnd | JobMove>
	/** Placers elsewhere may have room now. */
	placeWaiting(): void
	/** Operators empty other failure domains than before. */
	noteEvacuations(): void
	rooms(): Readonly<Record<string, Room>>
	/** What others were told of a hosted domain's room last; costs nothing. */
	lastReportedRoom(failureDomain: string): Room | undefined
	isPlacing(): boolean
	counts(): PlacerCounts & {readonly kept: number}
	close(): void
}

interface Expected {
	readonly fence: number
	readonly until: number
	readonly executors: readonly ExecutorRecord[]
}

function longestBacklogMs(job: Job, queue: Queue): number {
	const isUrgent = queue.priority === HIGHEST_PRIORITY
	return objectiveMsOf(job, queue) * (isUrgent ? URGENT_BACKLOG_OBJECTIVES : BACKLOG_OBJECTIVES)
}

/** What waits may want more room at once than there is, while this job would find enough. */
function canStartNow({steps}: Job, {service}: Queue, placer: Placer): boolean {
	const [first] = steps
	return first !== undefined && placer.hasRoomFor(first, service)
}

export function createHostedPlacers(deps: HostedPlacersDeps): HostedPlacers {
	const {clock, log, metrics, self} = deps
	const hosts = new Map<string, HostedPlacer>()
	/** Domains that the placer before hands over, until when the claim is waited for, and what it has there. */
	const expected = new Map<string, Expected>()
	/** Domains whose placing ends by a handover: another claim is expected. With what came of it meanwhile. */
	const givenUp = new Map<string, string | undefined>()
	let toldRooms: Readonly<Record<string, Room>> = {}
	const moves = createSliceMoves({clock, log, hosts, slices: deps.slices, endPlacing})

	function beginPlacing(claim: Claim) {
		const {failureDomain, fence} = claim
		const onFenced = (executor: ExecutorRecord) => moves.noteFenced(claim, executor)
		const handover = expectedAt(claim)
		const orphansWaitMs = handover ? HANDOVER_WAIT_MS : 0
		const knowsAllExecutors = handover !== undefined || fence === FIRST_FENCE
		const onDeposed = () => endPlacing(failureDomain, fence, "the store has another claim")
		const keeper = deps.createKeeper(claim, onDeposed)
		const fenced = {failureDomain, fence, onFenced, orphansWaitMs, knowsAllExecutors}
		const isEvacuated = () => deps.isEvacuated(failureDomain)
		const speedKeeper = deps.keepSpeeds?.(claim)
		const {speeds} = speedKeeper ?? {}
		const handOver = (item: WaitingTask) => handOverFrom({claim, placer}, item)
		const own = {isEvacuated, kept: keeper, speeds, handOver}
		const placer: Placer = createPlacer({...deps, ...fenced, ...own})
		const {forecasting} = deps
		const admission = forecasting && createAdmission({clock, log, metrics, placer, ...forecasting})
		const host = {claim, keeper, placer, admission, jobs: new Set<JobRun>(), speedKeeper}
		hosts.set(failureDomain, {...host, fenced: new Set()})
		keeper.begin(placer)
		placer.setExecutors(handover?.executors ?? deps.executorsOf(failureDomain))
		const fields = {failureDomain, fence, outcome: handover ? "handed over" : "taken"}
		log.alarm("placer", "placing_begun", "placer: places a failure domain now.", fields)
	}

	/** The whole job while nothing of it has started, or else the task alone. */
	function handOverFrom(placing: Placing, item: WaitingTask): boolean {
		const move = deps.elsewhere?.onNoRoom(placing, item) ?? "goes by tasks"
		return move === "goes by tasks" ? deps.handOver(item) : move === "moved"
	}

	function expectedAt({failureDomain, fence}: Claim): Expected | undefined {
		const handover = expected.get(failureDomain)
		expected.delete(failureDomain)
		const isMeant = handover?.fence === fence && handover.until > clock.now()
		return isMeant ? handover : undefined
	}

	function endPlacing(failureDomain: string, fence: number, cause: string) {
		const host = hosts.get(failureDomain)
		if (!host || host.claim.fence !== fence) return
		if (givenUp.has(failureDomain)) return void givenUp.set(failureDomain, cause)
		hosts.delete(failureDomain)
		host.admission?.close()
		host.keeper.close()
		host.speedKeeper?.close()
		host.placer.relinquish()
		const fields = {failureDomain, fence, cause, count: host.jobs.size}
		log.alarm("placer", "placing_ended", "placer: no longer places a failure domain.", fields)
		for (const job of host.jobs) job.abandon(cause)
	}

	/** A job that cannot start in time here is refused while another may still take it. */
	function refusalOf(job: Job, queue: Queue, placer: Placer): JobEnd | undefined {
		// Within a moment it has executors; what can start in time then is worth the wait.
		if (placer.isStartingUp()) return undefined
		const startBy = latestStartOnTime(job, queue)
		const waitMs = placer.expectedWaitMs(startBy)
		const isInTime = clock.now() + waitMs <= startBy || waitMs < SHORT_WAIT_MS
		const allMs = placer.expectedWaitMs(Infinity)
		if (isInTime && allMs <= longestBacklogMs(job, queue)) return undefined
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
			moves.noteClaim(claim)
		},
		expectHandover({failureDomain, fence}, executors) {
			expected.set(failureDomain, {fence, until: clock.now() + CLAIM_WAIT_MS, executors})
		},
		offerHandover(failureDomain) {
			givenUp.set(failureDomain, undefined)
		},
		withdrawHandover(failureDomain) {
			const cause = givenUp.get(failureDomain)
			givenUp.delete(failureDomain)
			const host = hosts.get(failureDomain)
			// Somebody else places there by now, though not by this handover.
			if (host && cause !== undefined) endPlacing(failureDomain, host.claim.fence, cause)
		},
		handOverTo(successor, overflow) {
			const {failureDomain, fence} = successor
			const host = hosts.get(failureDomain)
			givenUp.delete(failureDomain)
			if (!host) return
			hosts.delete(failureDomain)
			host.admission?.close()
			host.keeper.close()
			host.speedKeeper?.close()
			const count = host.placer.counts().running
			host.placer.handOverAll((item, from) => overflow.sendTo(successor, item, from))
			const {name, session} = successor.placer
			const fields = {failureDomain, fence, peer: name, session: shortSession(session), count}
			log.alarm("placer", "handed_over", "placer: gave its domain to a successor.", fields)
		},
		setExecutors(records) {
			for (const [failureDomain, {placer}] of hosts)
				placer.setExecutors(moves.ownOf(failureDomain, records))
		},
		executorsOf: failureDomain => hosts.get(failureDomain)?.placer.executors() ?? [],
		async run(host, handedIn, queue, {onCancel, confirmedAt}) {
			const {admission} = host
			const job = {...handedIn, been: beenOf(handedIn.been, deps)}
			const verdict = admission?.assess(job, queue) ?? refusalOf(job, queue, host.placer)
			const refusal = typeof verdict === "object" ? verdict : undefined
			const away = deps.elsewhere?.onArrival(host, job, queue, refusal !== undefined)
			if (away) return away
			if (refusal) return refusal
			const isWatched = admission !== undefined
			const isLate = verdict === "late"
			const submit = (
				req: TaskRequest,
				onEnd: Parameters<Placer["submit"]>[1],
				onStart: () => void,
			) => host.placer.submit(req, onEnd, onStart)
			const watching = {isWatched, isLate}
			const run = startJobRun(job, queue, {clock, log, metrics, confirmedAt, submit, ...watching})
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
			toldRooms = rooms
			return rooms
		},
		lastReportedRoom: failureDomain => toldRooms[failureDomain],
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
			for (const {placer, keeper, admission, speedKeeper} of hosts.values()) {
				admission?.close()
				keeper.close()
				speedKeeper?.close()
				placer.close()
			}
		},
	}
}
