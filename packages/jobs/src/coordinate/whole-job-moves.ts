/** All that an instance needs to move whole jobs to other failure domains, as placer and as coordinator. */
import type {Job} from "../types/job.js"
import type {PlacingSettings} from "../types/placing.js"
import {createRoomEstimates, type RoomEstimates} from "./room-estimates.js"
import {createJobMover, type JobMover, type JobMoverDeps} from "./job-mover.js"
import {followMoves, type MovedJob, type MovedJobDeps} from "./moved-job.js"

export type WholeJobMovesDeps = Omit<JobMoverDeps, "rooms" | "crossDomainMs"> & MovedJobDeps

export interface WholeJobMoves {
	readonly rooms: RoomEstimates
	/** Absent, as is `followMoves`, when jobs stay in their failure domain. */
	readonly elsewhere?: JobMover
	readonly followMoves?: (job: Job) => MovedJob
}

export function createWholeJobMoves(
	deps: WholeJobMovesDeps,
	{domainChoice, crossDomainMs}: Pick<PlacingSettings, "domainChoice" | "crossDomainMs">,
): WholeJobMoves {
	const {clock, view} = deps
	if (domainChoice === "own") return {rooms: createRoomEstimates(clock, view, false)}
	const rooms = createRoomEstimates(clock, view, true)
	return {
		rooms,
		elsewhere: createJobMover({...deps, rooms, crossDomainMs}),
		followMoves: job => followMoves(deps, job),
	}
}
