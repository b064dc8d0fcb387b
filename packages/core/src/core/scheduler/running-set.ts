/**
 * The attempts that were sent and have no result yet, by id, team and submission.
 */
import type {SubmissionKey} from "../../types/types-external.js"
import type {Attempt, AttemptResult} from "./attempt.js"
import {allocate, release, type TargetState} from "./target-state.js"

/** Where an attempt was sent: the id of a peer, or a target of this instance. */
export type Place = TargetState | string

export interface Running {
	readonly attempt: Attempt
	readonly place: Place
	readonly sentAt: number
	readonly done: (result: AttemptResult) => void
}

export function isPeer(place: Place): place is string {
	return typeof place === "string"
}

export interface RunningSet {
	add(item: Running): void
	/** Removes and returns an attempt; undefined when the id is unknown. */
	take(id: string): Running | undefined
	size(): number
	sizeOf(team: string): number
	ofKey(key: SubmissionKey): readonly Running[]
	/** Running attempts of a submission by rack. */
	racksOf(key: SubmissionKey): ReadonlyMap<string, number>
}

export function createRunningSet(): RunningSet {
	const byId = new Map<string, Running>()
	const byKey = new Map<SubmissionKey, Map<string, Running>>()
	const byTeam = new Map<string, number>()

	return {
		add(item) {
			const {id, key, team, need} = item.attempt
			byId.set(id, item)
			byTeam.set(team, (byTeam.get(team) ?? 0) + 1)
			const ofKey = byKey.get(key) ?? new Map<string, Running>()
			byKey.set(key, ofKey.set(id, item))
			if (!isPeer(item.place)) allocate(item.place, need)
		},
		take(id) {
			const item = byId.get(id)
			if (!item) return undefined
			const {key, team, need} = item.attempt
			byId.delete(id)
			byTeam.set(team, byTeam.get(team)! - 1)
			const ofKey = byKey.get(key)
			ofKey?.delete(id)
			if (ofKey?.size === 0) byKey.delete(key)
			if (!isPeer(item.place)) release(item.place, need)
			return item
		},
		size: () => byId.size,
		sizeOf: team => byTeam.get(team) ?? 0,
		ofKey: key => [...(byKey.get(key)?.values() ?? [])],
		racksOf(key) {
			const racks = new Map<string, number>()
			for (const {place} of byKey.get(key)?.values() ?? []) {
				if (isPeer(place)) continue
				const {rack} = place.target
				racks.set(rack, (racks.get(rack) ?? 0) + 1)
			}
			return racks
		},
	}
}
