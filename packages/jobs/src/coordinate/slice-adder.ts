/**
 * Slices a failure domain that has more executors than one placer should have: the placer of its first slice asks an
 * instance to place the next one.
 *
 * Slices are added one at a time, while all placers of the previous ones respond, since each hands over the runs on
 * executors that leave it. Slices are never removed: an executor would return to a placer with a lower fence. One instance
 * may place several slices.
 */
import type {Clock} from "@cottonwood/core"
import {
	executorsOfSlice,
	fenceFloorOf,
	placerCandidates,
	sliceName,
	sliceNames,
	targetSliceCount,
} from "../decide/slices.js"
import type {FleetView} from "../fleet/members.js"
import type {Peers, TakeOverMessage} from "../fleet/peers.js"
import type {ExecutorRecord} from "../types/executor.js"
import type {Claim, Member} from "../types/fleet.js"
import {shortSession, type EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import {keepGoing} from "../utils/keep-going.js"

/** Interval between checks for a further slice. */
const CHECK_INTERVAL_MS = 250
/**
 * Time allowed for a takeover, which includes a claim's write to a possibly slow store. No other instance is asked
 * meanwhile.
 */
const TAKEOVER_TIMEOUT_MS = 1_800
/** A placer that has been silent this long counts as not responding: three heartbeats. */
const PLACER_SILENT_MS = 650

export interface SliceAdderDeps {
	readonly clock: Clock
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly peers: Pick<Peers, "takeOver">
	readonly view: FleetView
	readonly self: Member
	/** Undefined: failure domains are never sliced. */
	readonly executorsPerPlacer: number | undefined
	/** Whether this instance places the failure domain's first slice. */
	readonly isPlacing: (failureDomain: string) => boolean
	/** All executors of a failure domain by the last list. */
	readonly executorsOf: (failureDomain: string) => readonly ExecutorRecord[]
	readonly isLeaving: () => boolean
}

export interface SliceAdder {
	close(): void
}

/** Number of executors that stay, by address: a restarted one may be listed twice for a while. */
function countStaying(records: readonly ExecutorRecord[]): number {
	return new Set(records.filter(({isLeaving}) => !isLeaving).map(({address}) => address)).size
}

export function createSliceAdder(deps: SliceAdderDeps): SliceAdder {
	const {clock, log, metrics, peers, view, self, executorsPerPlacer} = deps
	let isClosed = false

	const isStaying = ({session}: Member) => !view.isLeaving(session) && !view.isStrained(session)

	function isResponding(claim: Claim | undefined): boolean {
		if (!claim) return false
		const {session} = claim.placer
		if (session === self.session) return true
		return view.silentMs(session) < PLACER_SILENT_MS && !view.isLeaving(session)
	}

	function isPlacing({session}: Member): boolean {
		return view.claims().some(({placer}) => placer.session === session)
	}

	/** The largest instance of the failure domain that places nothing yet. */
	function nextPlacer(failureDomain: string): Member | undefined {
		const able = placerCandidates(view.membersOf(failureDomain))
		return able.find(member => isStaying(member) && !isPlacing(member))
	}

	function needsSlice(failureDomain: string, perPlacer: number): boolean {
		const slices = view.sliceCount(failureDomain)
		const wanted = targetSliceCount({
			executors: countStaying(deps.executorsOf(failureDomain)),
			executorsPerPlacer: perPlacer,
			instances: placerCandidates(view.membersOf(failureDomain)).length,
			slices,
		})
		const areAllResponding = sliceNames(failureDomain, slices).every(name =>
			isResponding(view.claimOf(name)),
		)
		return slices < wanted && areAllResponding
	}

	async function add(failureDomain: string, member: Member) {
		const count = view.sliceCount(failureDomain)
		const name = sliceName(failureDomain, count)
		const all = deps.executorsOf(failureDomain)
		const fence = fenceFloorOf(name)
		const executors = executorsOfSlice(name, count + 1, all)
		const message: TakeOverMessage = {failureDomain: name, fence, executors, from: self.session}
		const reply = await peers.takeOver(member.address, message, TAKEOVER_TIMEOUT_MS).reply
		const outcome = reply?.isTaken ? "taken" : reply ? "declined" : "silent"
		metrics.count("slices_added", outcome)
		const cause = `${all.length} executors`
		log.alarm("placer", "slice_added", "placer: asked an instance to place one more slice.", {
			failureDomain: name,
			peer: member.name,
			session: shortSession(member.session),
			count: count + 1,
			cause,
			outcome,
		})
		if (!reply?.isTaken) return
		view.noteHeard(member.session)
		view.noteClaim({failureDomain: name, fence: fence + 1, placer: member})
	}

	async function check(perPlacer: number) {
		const {failureDomain} = self
		if (!deps.isPlacing(failureDomain) || !needsSlice(failureDomain, perPlacer)) return
		const member = nextPlacer(failureDomain)
		if (member) await add(failureDomain, member)
	}

	async function loop(perPlacer: number) {
		while (!isClosed) {
			await clock.sleep(CHECK_INTERVAL_MS)
			if (!isClosed && !deps.isLeaving()) await check(perPlacer)
		}
	}

	if (executorsPerPlacer !== undefined)
		void keepGoing("slices", () => loop(executorsPerPlacer), deps)
	return {
		close() {
			isClosed = true
		},
	}
}
