/**
 * Chooses the placers that the dispatcher offers a job to, and their order: this instance's failure domain first, evacuated
 * ones never. In a sliced domain the jobs are spread over its slices.
 */
import {failureDomainOf} from "../decide/slices.js"
import type {FleetView} from "../fleet/members.js"
import {latenessAllowanceMs} from "../fleet/silence-limits.js"
import type {Peers} from "../fleet/peers.js"
import type {Claim, Member} from "../types/fleet.js"
import type {HostedPlacers} from "./hosted-placers.js"

/** A placer that has been silent this long gets no new jobs: three heartbeats. */
const PLACER_SILENT_MS = 650
/**
 * A placer with open calls confirms them every 100 ms. After three missed confirmations new jobs go to others: a job sent
 * to a lost machine may not be tried again, and its domain's callers may send a hundred of them a second.
 */
const STREAM_QUIET_MS = 300

export interface CandidatesDeps {
	readonly view: FleetView
	readonly self: Member
	readonly hosts: Pick<HostedPlacers, "of" | "lastReportedRoom">
	readonly peers: Pick<Peers, "unansweredMs">
	/** Recent lateness of this instance's timers, in milliseconds. */
	readonly ownLateMs: () => number
	/** Whether operators are evacuating a failure domain. */
	readonly isEvacuated: (failureDomain: string) => boolean
}

export interface Candidates {
	/** Claims of the placers that a new job would ask, in that order. */
	candidates(): readonly Claim[]
	/** Whether there is any candidate; doesn't advance the rotation. */
	hasCandidates(): boolean
	/** Whether nothing is known of the placer's state. It may be cut off, so it is asked last. */
	isStateUnknown(claim: Claim): boolean
	/** Whether every failure domain that has a placer is being evacuated. */
	areAllEvacuated(): boolean
}

export function createCandidates(deps: CandidatesDeps): Candidates {
	const {view, self, hosts, peers, isEvacuated} = deps
	/** Rotates the failure domain that is asked first. */
	let turn = 0
	/** Rotates the two slices of the own failure domain that are compared. */
	let sliceTurn = 0

	const isOwn = ({placer}: Claim) => placer.session === self.session
	const isUsable = ({failureDomain}: Claim) => !isEvacuated(failureDomain)
	const isOwnDomainEvacuated = () => isEvacuated(self.failureDomain)

	function isResponding({session}: Member): boolean {
		return view.silentMs(session) < PLACER_SILENT_MS && !view.isUnreachable(session)
	}

	function isAvailable(claim: Claim): boolean {
		if (!isOwn(claim)) return isResponding(claim.placer) && !view.isLeaving(claim.placer.session)
		const host = hosts.of(claim.failureDomain)
		return host !== undefined && (host.placer.canServe() || host.placer.isStartingUp())
	}

	/** Whether the placer's connection is alive too, which shows a lost machine earlier than missing heartbeats do. */
	function isConnected(claim: Claim): boolean {
		const {placer} = claim
		if (isOwn(claim)) return isAvailable(claim)
		const isQuiet =
			peers.unansweredMs(placer.address) >= STREAM_QUIET_MS + latenessAllowanceMs(deps, placer)
		return isAvailable(claim) && !isQuiet
	}

	/** A leaving placer that hasn't found a successor yet; the only choice when nobody else is heard. */
	function isLeavingPlacer({placer}: Claim): boolean {
		return isResponding(placer) && view.isLeaving(placer.session)
	}

	/** Whether a newer session is known under the same instance name. */
	function isSuperseded({name, session}: Member): boolean {
		const isLater = (member: Member) => member.name === name && member.session !== session
		return isLater(self) || view.members().some(isLater)
	}

	function isStateUnknown(claim: Claim): boolean {
		const {placer} = claim
		return !isOwn(claim) && view.isUnknown(placer.session) && !isSuperseded(placer)
	}

	/** While the own failure domain is evacuated, placers of others are candidates before their first heartbeat. */
	function isEvacuationTarget(claim: Claim): boolean {
		const {placer} = claim
		if (!isOwnDomainEvacuated() || isOwn(claim)) return false
		return !view.isUnreachable(placer.session) && !isSuperseded(placer)
	}

	function ranked(claims: readonly Claim[]): readonly Claim[] {
		const order = (claim: Claim) => {
			if (isInOwnDomain(claim)) return 0
			return isOwn(claim) ? 1 : 2
		}
		return [...claims].sort((a, b) => order(a) - order(b) || waitingWork(a) - waitingWork(b))
	}

	const isInOwnDomain = ({failureDomain}: Claim) =>
		failureDomainOf(failureDomain) === self.failureDomain

	/**
	 * Compares two of the own domain's slices in rotation; if all jobs went to the least busy one, it would soon be the
	 * busiest.
	 */
	function withSliceFirst(claims: readonly Claim[]): readonly Claim[] {
		const slices = claims.filter(isInOwnDomain)
		const [one, two] = [slices[sliceTurn % slices.length], slices[(sliceTurn + 1) % slices.length]]
		if (!one || !two || one === two) return ranked(claims)
		sliceTurn++
		const first = sliceWork(two) < sliceWork(one) ? two : one
		return [first, ...ranked(claims.filter(claim => claim !== first))]
	}

	function sliceWork(claim: Claim): number {
		if (!isOwn(claim)) return waitingWork(claim)
		return hosts.lastReportedRoom(claim.failureDomain)?.waitingWork ?? 0
	}

	const waitingWork = ({failureDomain}: Claim) => view.roomOf(failureDomain)?.room.waitingWork ?? 0

	/** Kinds of candidates, best first. */
	const kinds = [isConnected, isAvailable, isLeavingPlacer, isStateUnknown, isEvacuationTarget]

	function hasCandidates(): boolean {
		const open = view.claims().filter(isUsable)
		return kinds.some(isWanted => open.some(isWanted))
	}

	/** The claims of the best kind that has any. */
	function bestClaims(): readonly Claim[] {
		const open = view.claims().filter(isUsable)
		for (const isWanted of kinds) {
			const found = open.filter(isWanted)
			if (found.length > 0) return found
		}
		return []
	}

	/** Spreads the callers of an evacuated domain over the others in rotation. */
	function rotated(claims: readonly Claim[]): readonly Claim[] {
		if (claims.length === 0 || !isOwnDomainEvacuated()) return claims
		turn = (turn + 1) % claims.length
		return [...claims.slice(turn), ...claims.slice(0, turn)]
	}

	return {
		candidates: () => rotated(withSliceFirst(bestClaims())),
		hasCandidates,
		isStateUnknown,
		areAllEvacuated: () => view.claims().length > 0 && !view.claims().some(isUsable),
	}
}
