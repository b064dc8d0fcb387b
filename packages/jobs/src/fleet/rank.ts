/**
 * Ranks this instance among the candidates for a failure domain or slice: how many try before it.
 */
import type {Member} from "../types/fleet.js"
import type {FleetView} from "./members.js"

export interface Rank {
	/**
	 * Number of candidates ahead of this instance: those with more cores; among equals the name
	 * decides.
	 */
	rankOf(candidates: readonly Member[]): number
	/** The same for a slice: candidates that place fewer domains or slices go first. */
	rankForSlice(candidates: readonly Member[]): number
}

export function createRank(view: FleetView, self: Member): Rank {
	const isStaying = ({session}: Member) => !view.isLeaving(session)

	function isBefore(member: Member): boolean {
		if (member.cpuShare !== self.cpuShare) return member.cpuShare > self.cpuShare
		return member.name < self.name
	}

	function claimCountOf({session}: Member): number {
		return view.claims().filter(({placer}) => placer.session === session).length
	}

	const rankOf = (candidates: readonly Member[]) =>
		candidates.filter(isStaying).filter(isBefore).length

	return {
		rankOf,
		rankForSlice(candidates) {
			const extraClaims = (member: Member) => claimCountOf(member) - claimCountOf(self)
			const freer = candidates.filter(isStaying).filter(member => extraClaims(member) < 0)
			return freer.length + rankOf(candidates.filter(member => extraClaims(member) === 0))
		},
	}
}
