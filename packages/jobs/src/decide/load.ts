/**
 * What a placer's executors carry when a job comes, in figures that a forecast can be made of: how many cores are sound,
 * how many are free, and how fast what runs frees them.
 */
import type {ExecutorLink} from "../link/executor-link.js"
import type {Judgement} from "../place/judgement.js"
import type {Run} from "../place/run.js"

const MILLICORES = 1_000

export interface PlacerLoad {
	/** Cores, as work counts them, of executors that are, or will soon be, usable and are not set aside. */
	readonly healthyCores: number
	readonly freeCores: number
	/** Cores that what runs frees in a millisecond, by the estimates and the usual pace of the executors. */
	readonly freedCoresPerMs: number
}

/** A walk over all that runs: made now and then, never for each job. */
export function loadOf(
	links: ReadonlyMap<string, ExecutorLink>,
	running: Iterable<Run>,
	{health, speeds}: Judgement,
): PlacerLoad {
	let sound = 0
	let pace = 0
	let free = 0
	for (const link of links.values()) {
		const {id, capacity} = link.record
		if (!link.isUsableSoon() || !health.isUsable(id)) continue
		sound += capacity.cpu
		pace += capacity.cpu / speeds.expectedSlowness(id)
		if (link.isUsable()) free += Math.max(0, link.freeCpu())
	}
	let freedPerMs = 0
	for (const {req} of running)
		if (!req.isFilling && !req.isLasting) freedPerMs += req.need.cpu / Math.max(1, req.estimateMs)
	const usualPace = sound > 0 ? pace / sound : 1
	return {
		healthyCores: pace / MILLICORES,
		freeCores: free / MILLICORES,
		freedCoresPerMs: (freedPerMs * usualPace) / MILLICORES,
	}
}
