/**
 * Moves whole jobs that haven't started from a placer without room to the failure domain that suits them better. Used by
 * hosted placers.
 *
 * The placer only answers where the job should go, which also says that nothing of it has started here. The coordinator
 * then asks the other placer itself, so the caller's confirmations don't depend on this placer.
 */
import type {Clock} from "@cottonwood/core"
import type {FleetView} from "../fleet/members.js"
import type {JobMove, Peers} from "../fleet/peers.js"
import {
	chooseDomain,
	forecastLocalStartMs,
	moveAfterMs,
	mayMove,
	moveRequirementsOf,
	type DomainReport,
	type MoveRequirements,
	type OwnDomain,
} from "../decide/domain-choice.js"
import type {Placer} from "../place/placer.js"
import type {WaitingTask} from "../place/task-queue.js"
import type {Queue} from "../types/fleet-config.js"
import type {Claim, Member} from "../types/fleet.js"
import type {Job} from "../types/job.js"
import type {RoomEstimates} from "./room-estimates.js"
import {latestStartOnTime, type JobRun} from "./job-run.js"

/** Total capacity is summed again after this; executors seldom change. */
const TOTAL_VALID_MS = 200
/** Queues are looked at again after this, unless the end of a run does it sooner. */
const RETRY_QUEUE_MS = 15

export interface JobMoverDeps {
	readonly clock: Clock
	readonly view: FleetView
	readonly peers: Pick<Peers, "unansweredMs">
	readonly self: Member
	readonly rooms: RoomEstimates
	readonly isEvacuated: (failureDomain: string) => boolean
	/** A job moves only for a forecast start that is earlier by this much, in milliseconds. */
	readonly crossDomainMs: number
}

/** A placer of this instance, with its claim. */
export interface Placing {
	readonly claim: Claim
	readonly placer: Placer
}

/** What happens to a job when one of its tasks finds no room here. */
export type NoRoomOutcome = "moved" | "stays" | "goes by tasks"

export interface JobMover {
	/** The target of a job that has just arrived; undefined when it should stay. `isRefused`: it would be refused here. */
	onArrival(placing: Placing, job: Job, queue: Queue, isRefused: boolean): JobMove | undefined
	/** Tracks a job while it runs here. The returned function ends that, and says where the job was moved. */
	watch(job: Job, queue: Queue, run: JobRun): () => JobMove | undefined
	/** Decides what happens to a job when one of its tasks finds no room here. */
	onNoRoom(placing: Placing, item: WaitingTask): NoRoomOutcome
}

interface Watched {
	readonly need: MoveRequirements
	readonly run: JobRun
	move: JobMove | undefined
}

export function createJobMover(deps: JobMoverDeps): JobMover {
	const {clock, view, peers, self, rooms, crossDomainMs} = deps
	const watched = new Map<string, Watched>()
	/** Failure domains for which another look at the queue is scheduled. */
	const retriesScheduled = new Set<string>()
	const totals = new Map<string, {readonly at: number; readonly cpu: number}>()

	/** Schedules another look at the queue, since no run may end meanwhile. */
	function stay({claim, placer}: Placing): NoRoomOutcome {
		const {failureDomain} = claim
		if (retriesScheduled.has(failureDomain)) return "stays"
		retriesScheduled.add(failureDomain)
		clock.schedule(Math.max(RETRY_QUEUE_MS, moveAfterMs(crossDomainMs)), () => {
			retriesScheduled.delete(failureDomain)
			placer.placeWaiting()
		})
		return "stays"
	}

	function totalCpuOf({claim, placer}: Placing): number {
		const known = totals.get(claim.failureDomain)
		if (known && clock.now() - known.at < TOTAL_VALID_MS) return known.cpu
		const cpu = placer.room().totalCpu
		totals.set(claim.failureDomain, {at: clock.now(), cpu})
		return cpu
	}

	function reportOf({failureDomain, placer}: Claim): DomainReport | undefined {
		const estimate = rooms.of(failureDomain)
		if (!estimate) return undefined
		const {room, at} = estimate.told
		return {
			failureDomain,
			reportedCpu: room.freeCpu,
			freeCpu: estimate.freeCpu,
			sentCpu: estimate.sentCpu,
			sentWork: estimate.sentWork,
			totalCpu: room.totalCpu,
			waitingWork: room.waitingWork,
			labels: room.labels,
			ageMs: clock.now() - at,
			claimAgeMs: view.claimAgeMs(failureDomain),
			silentMs: view.silentMs(placer.session),
			unansweredMs: peers.unansweredMs(placer.address),
			isEvacuated: deps.isEvacuated(failureDomain),
			isLeaving: view.isLeaving(placer.session),
			isUnreachable: view.isUnreachable(placer.session),
			isStrained: view.isStrained(placer.session),
		}
	}

	/** The state of the failure domains that others place. Those without a recent report count as without room. */
	function allReports(): readonly DomainReport[] {
		const others = view.claims().filter(({placer}) => placer.session !== self.session)
		return others.map(claim => reportOf(claim) ?? emptyReport(claim))
	}

	function choose(own: OwnDomain, need: MoveRequirements): JobMove | undefined {
		const choice = chooseDomain(own, allReports(), need, crossDomainMs)
		const claim = choice && view.claimOf(choice.failureDomain)
		if (!claim) return undefined
		rooms.deduct(choice.failureDomain, need)
		return {
			type: "elsewhere",
			claim,
			hereMs: Math.round(Math.min(choice.hereMs, Number.MAX_SAFE_INTEGER)),
			thereMs: Math.round(choice.thereMs),
			newsAgeMs: Math.round(choice.newsAgeMs),
		}
	}

	const needHere = (job: Job, queue: Queue) =>
		moveRequirementsOf(job, queue, latestStartOnTime(job, queue) - clock.now())

	return {
		onArrival(placing, job, queue, isRefused) {
			const {claim, placer} = placing
			const need = needHere(job, queue)
			const waitingWork = placer.work()
			// With an empty queue the attempt to place the job decides.
			if (!need || (waitingWork === 0 && !isRefused) || placer.isStartingUp()) return undefined
			const own: OwnDomain = {
				failureDomain: claim.failureDomain,
				totalCpu: totalCpuOf(placing),
				waitingWork,
				waitedMs: 0,
				wouldRefuse: isRefused,
			}
			if (!mayMove(forecastLocalStartMs(own, need), crossDomainMs)) return undefined
			const [first] = job.steps
			if (first && !isRefused && placer.hasRoomFor(first, queue.service)) return undefined
			return choose(own, need)
		},
		watch(job, queue, run) {
			const need = needHere(job, queue)
			if (!need) return () => undefined
			const one: Watched = {need, run, move: undefined}
			watched.set(job.id, one)
			return () => {
				if (watched.get(job.id) === one) watched.delete(job.id)
				return one.move
			}
		},
		onNoRoom(placing, {req, since}) {
			const one = watched.get(req.job)
			if (!one || req.isForeign) return "goes by tasks"
			const waitedMs = clock.now() - since
			if (one.run.isBegun()) return waitedMs < crossDomainMs ? stay(placing) : "goes by tasks"
			const {claim, placer} = placing
			const own: OwnDomain = {
				failureDomain: claim.failureDomain,
				totalCpu: totalCpuOf(placing),
				waitingWork: placer.work(),
				waitedMs,
				wouldRefuse: false,
			}
			if (!mayMove(forecastLocalStartMs(own, one.need), crossDomainMs)) return stay(placing)
			const startInMs = one.need.startInMs - waitedMs
			const move = choose(own, {...one.need, startInMs})
			if (!move) return "goes by tasks"
			one.move = move
			one.run.withdraw()
			return "moved"
		},
	}
}

function emptyReport({failureDomain}: Claim): DomainReport {
	return {
		failureDomain,
		reportedCpu: [],
		freeCpu: [],
		sentCpu: 0,
		sentWork: 0,
		totalCpu: 0,
		waitingWork: 0,
		labels: [],
		ageMs: Infinity,
		claimAgeMs: 0,
		silentMs: Infinity,
		unansweredMs: 0,
		isEvacuated: false,
		isLeaving: false,
		isUnreachable: false,
		isStrained: false,
	}
}
