/**
 * The parts that send whole jobs to other domains, joined: what an instance needs of them as placer and as coordinator.
 */
import type {Job} from "../types/job.js"
import type {PlacingSettings} from "../types/placing.js"
import {createCountedRooms, type CountedRooms} from "./counted-rooms.js"
import {createElsewhere, type Elsewhere, type ElsewhereDeps} from "./elsewhere.js"
import {followMoves, type MovedJob, type MovedJobDeps} from "./moved-job.js"

export type WholeJobsDeps = Omit<ElsewhereDeps, "rooms" | "crossDomainMs"> & MovedJobDeps

export interface WholeJobs {
	readonly rooms: CountedRooms
	/** Absent, as is `followMoves`, where jobs stay in their domain. */
	readonly elsewhere?: Elsewhere
	readonly followMoves?: (job: Job) => MovedJob
}

export function createWholeJobs(
	deps: WholeJobsDeps,
	{domainChoice, crossDomainMs}: Pick<PlacingSettings, "domainChoice" | "crossDomainMs">,
): WholeJobs {
	const {clock, view} = deps
	if (domainChoice === "own") return {rooms: createCountedRooms(clock, view, false)}
	const rooms = createCountedRooms(clock, view, true)
	return {
		rooms,
		elsewhere: createElsewhere({...deps, rooms, crossDomainMs}),
		followMoves: job => followMoves(deps, job),
	}
}
