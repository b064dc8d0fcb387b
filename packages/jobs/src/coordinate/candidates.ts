/**
 * Which placers a job is offered to, and in which order: the own domain's first, none of a domain that is emptied.
 * Where the own domain is divided, its callers' jobs are spread over its slices.
 */
import {failureDomainOf} from "../decide/slices.js"
import type {FleetView} from "../fleet/members.js"
import {latenessAllowanceMs} from "../fleet/silence-limits.js"
import type {Peers} from "../fleet/peers.js"
import type {Claim, Member} from "../types/fleet.js"
import type {HostedPlacers} from "./hosted-placers.js"

/** A placer that said nothing for so long gets no new jobs: three beats. */
const PLACER_QUIET_MS = 650
/**
 * With calls under way it is heard ten times a second; without three of these words new jobs go to others that are heard. When a
 * placer's machine is gone its domain's callers send it some 100 jobs a second, which may not be tried again.
 */
const STREAM_QUIET_MS = 300

export interface CandidatesDeps {
	readonly view: FleetView
	readonly self: Member
	readonly hosts: Pick<HostedPlacers, "of" | "lastReportedRoom">
	readonly peers: Pick<Peers, "quietMs">
	/** By how much this instance's own timers were late of late, in milliseconds. */
	readonly ownLateMs: () => number
	/** Whether operators are emptying a failure domain. */
	readonly isEvacuated: (failureDomain: string) => boolean
}

export interface Candidates {
	/** Placers in the order in which a job that comes now would ask them. */
	candidates(): readonly Claim[]
	/** Whether there is any; asking takes nobody's turn. */
	hasCandidates(): boolean
	/** A placer of which nothing is known either way; a last resort, since it may be cut off. */
	isUntold(claim: Claim): boolean
	/** Every domain that has a placer is being emptied. */
	areAllEmptied(): boolean
}

export function createCandidates(deps: CandidatesDeps): Candidates {
	const {view, self, hosts, peers, isEvacuated} = deps
	/** Which of several domains that suit alike is asked first. */
	let turn = 0
	/** Which two slices of the own domain are weighed next. */
	let sliceTurn = 0

	const isOwn = ({placer}: Claim) => placer.session === self.session
	const isOpen = ({failureDomain}: Claim) => !isEvacuated(failureDomain)
	const isOwnDomainEmptied = () => isEvacuated(self.failureDomain)

	function isNear({session}: Member): boolean {
		return view.silentMs(session) < PLACER_QUIET_MS && !view.isUnreachable(session)
	}

	function isHeard(claim: Claim): boolean {
		if (!isOwn(claim)) return isNear(claim.placer) && !view.isLeaving(claim.placer.session)
		const host = hosts.of(claim.failureDomain)
		return host !== undefined && (host.placer.canServe() || host.placer.isStartingUp())
	}

	/** Nothing says that its machine is gone, though its beats may still count. */
	function isAnswering(claim: Claim): boolean {
		const {placer} = claim
		if (isOwn(claim)) return isHeard(claim)
		const isQuiet =
			peers.quietMs(placer.address) >= STREAM_QUIET_MS + latenessAllowanceMs(deps, placer)
		return isHeard(claim) && !isQuiet
	}

	/** It has found nobody to hand over to yet, and nobody else is heard: cut off, it is all that there is. */
	function isLeavingPlacer({placer}: Claim): boolean {
		return isNear(placer) && view.isLeaving(placer.session)
	}

	/** Another life has begun since under its name: nobody places for the one before. */
	function isFollowed({name, session}: Member): boolean {
		const isLater = (member: Member) => member.name === name && member.session !== session
		return isLater(self) || view.members().some(isLater)
	}

	function isUntold(claim: Claim): boolean {
		const {placer} = claim
		return !isOwn(claim) && view.isUnknown(placer.session) && !isFollowed(placer)
	}

	/** Until their beats come, the other domains' placers count as there for the callers of a domain that is emptied. */
	function isRefuge(claim: Claim): boolean {
		const {placer} = claim
		if (!isOwnDomainEmptied() || isOwn(claim)) return false
		return !view.isUnreachable(placer.session) && !isFollowed(placer)
	}

	function ranked(claims: readonly Claim[]): readonly Claim[] {
		const order = (claim: Claim) => {
			if (isHome(claim)) return 0
			return isOwn(claim) ? 1 : 2
		}
		return [...claims].sort((a, b) => order(a) - order(b) || waitingWork(a) - waitingWork(b))
	}

	const isHome = ({failureDomain}: Claim) => failureDomainOf(failureDomain) === self.failureDomain

	/** Of the own domain's slices two in their turn are weighed: if all went to the least busy one, it would be that no more. */
	function sliceFirst(claims: readonly Claim[]): readonly Claim[] {
		const slices = claims.filter(isHome)
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

	/** Claims that jobs may be offered to, the best kind first. */
	const kinds = [isAnswering, isHeard, isLeavingPlacer, isUntold, isRefuge]

	function hasCandidates(): boolean {
		const open = view.claims().filter(isOpen)
		return kinds.some(isWanted => open.some(isWanted))
	}

	/** Those of the best kind that there is. */
	function bestClaims(): readonly Claim[] {
		const open = view.claims().filter(isOpen)
		for (const isWanted of kinds) {
			const found = open.filter(isWanted)
			if (found.length > 0) return found
		}
		return []
	}

	/** The callers of a domain that is emptied are spread over the others, each of which is asked first in its turn. */
	function inTurn(claims: readonly Claim[]): readonly Claim[] {
		if (claims.length === 0 || !isOwnDomainEmptied()) return claims
		turn = (turn + 1) % claims.length
		return [...claims.slice(turn), ...claims.slice(0, turn)]
	}

	return {
		candidates: () => inTurn(sliceFirst(bestClaims())),
		hasCandidates,
		isUntold,
		areAllEmptied: () => view.claims().length > 0 && !view.claims().some(isOpen),
	}
}
