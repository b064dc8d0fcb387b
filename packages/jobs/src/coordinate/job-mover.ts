/**
 * Sends whole jobs, of which nothing has started, from a placer without room to the domain that suits them better.
 *
 * The placer decides, since it alone hears the other placers. It does not pass the job on: it answers whoever handed it
 * in where to go, which at the same time says that nothing of it has started here. So the caller's confirmations go one way
 * only, to the placer that has the job, and the loss of this one does not touch it.
 */
import type {Clock} from "@cottonwood/core"
import type {FleetView} from "../fleet/members.js"
import type {JobMove, Peers} from "../fleet/peers.js"
import {
	chooseDomain,
	forecastLocalStartMs,
	moveAfterMs,
	mayMove,
	needOf,
	type DomainReport,
	type JobNeed,
	type OwnDomain,
} from "../decide/domain-choice.js"
import type {Placer} from "../place/placer.js"
import type {WaitingTask} from "../place/task-queue.js"
import type {Queue} from "../types/fleet-config.js"
import type {Claim, Member} from "../types/fleet.js"
import type {Job} from "../types/job.js"
import type {RoomEstimates} from "./room-estimates.js"
import {latestStartOnTime, type JobRun} from "./job-run.js"

/** The executors of a domain change seldom, and are summed at most so often. */
const TOTAL_AGE_MS = 200
/** Looks at the queue cost processor time; the ends of runs bring most of them sooner. */
const LOOK_AGAIN_MS = 15

export interface JobMoverDeps {
	readonly clock: Clock
	readonly view: FleetView
	readonly peers: Pick<Peers, "quietMs">
	readonly self: Member
	readonly rooms: RoomEstimates
	readonly isEvacuated: (failureDomain: string) => boolean
	/** By how much sooner a job must be forecast to start elsewhere. */
	readonly crossDomainMs: number
}

/** A placer here, with the domain that it places. */
export interface Placing {
	readonly claim: Claim
	readonly placer: Placer
}

/** What becomes of a job one of whose tasks finds no room here. */
export type NoRoomOutcome = "moved" | "stays" | "goes by tasks"

export interface JobMover {
	/** Where a job goes that has just come, and may be refused here; undefined: nowhere else. */
	onArrival(placing: Placing, job: Job, queue: Queue, isRefused: boolean): JobMove | undefined
	/** Watches a job while it runs here; the answer ends that, and says where the job was sent. */
	watch(job: Job, queue: Queue, run: JobRun): () => JobMove | undefined
	/** A task finds no room here. */
	onNoRoom(placing: Placing, item: WaitingTask): NoRoomOutcome
}

interface Watched {
	readonly need: JobNeed
	readonly run: JobRun
	move: JobMove | undefined
}

export function createJobMover(deps: JobMoverDeps): JobMover {
	const {clock, view, peers, self, rooms, crossDomainMs} = deps
	const watched = new Map<string, Watched>()
	/** Failure domains whose queue is looked at again soon. */
	const looksDue = new Set<string>()
	const totals = new Map<string, {readonly at: number; readonly cpu: number}>()

	/** Where no run ends meanwhile nothing else would look at what stays. */
	function stay({claim, placer}: Placing): NoRoomOutcome {
		const {failureDomain} = claim
		if (looksDue.has(failureDomain)) return "stays"
		looksDue.add(failureDomain)
		clock.schedule(Math.max(LOOK_AGAIN_MS, moveAfterMs(crossDomainMs)), () => {
			looksDue.delete(failureDomain)
			placer.placeWaiting()
		})
		return "stays"
	}

	function totalCpuOf({claim, placer}: Placing): number {
		const known = totals.get(claim.failureDomain)
		if (known && clock.now() - known.at < TOTAL_AGE_MS) return known.cpu
		const cpu = placer.room().totalCpu
		totals.set(claim.failureDomain, {at: clock.now(), cpu})
		return cpu
	}

	function newsOf({failureDomain, placer}: Claim): DomainReport | undefined {
		const counted = rooms.of(failureDomain)
		if (!counted) return undefined
		const {room, at} = counted.told
		return {
			failureDomain,
			reportedCpu: room.freeCpu,
			freeCpu: counted.freeCpu,
			sentCpu: counted.sentCpu,
			sentWork: counted.sentWork,
			totalCpu: room.totalCpu,
			waitingWork: room.waitingWork,
			labels: room.labels,
			ageMs: clock.now() - at,
			claimAgeMs: view.claimAgeMs(failureDomain),
			silentMs: view.silentMs(placer.session),
			quietMs: peers.quietMs(placer.address),
			isEvacuated: deps.isEvacuated(failureDomain),
			isLeaving: view.isLeaving(placer.session),
			isUnreachable: view.isUnreachable(placer.session),
			isStrained: view.isStrained(placer.session),
		}
	}

	/** Of the domains that others place; one that told nothing of late has no news, and may need room itself. */
	function allNews(): readonly DomainReport[] {
		const others = view.claims().filter(({placer}) => placer.session !== self.session)
		return others.map(claim => newsOf(claim) ?? untold(claim))
	}

	function choose(own: OwnDomain, need: JobNeed): JobMove | undefined {
		const choice = chooseDomain(own, allNews(), need, crossDomainMs)
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
		needOf(job, queue, latestStartOnTime(job, queue) - clock.now())

	return {
		onArrival(placing, job, queue, isRefused) {
			const {claim, placer} = placing
			const need = needHere(job, queue)
			const waitingWork = placer.work()
			// Where nothing waits the first look at the executors decides.
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

function untold({failureDomain}: Claim): DomainReport {
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
		quietMs: 0,
		isEvacuated: false,
		isLeaving: false,
		isUnreachable: false,
		isStrained: false,
	}
}
