/** The load of a placer's executors, as input for forecasts: healthy cores, free cores, and the rate at which runs free cores. */
import type {ExecutorLink} from "../link/executor-link.js"
import type {ExecutorAssessment} from "../place/executor-assessment.js"
import type {Run} from "../place/run.js"

const MILLICORES = 1_000

export interface PlacerLoad {
	/** Cores, scaled by speed, of executors that are usable, or will be soon, and not set aside. */
	readonly healthyCores: number
	readonly freeCores: number
	/** Cores freed by the runs each millisecond, by their estimates and the executors' mean speed. */
	readonly freedCoresPerMs: number
}

/** Iterates over all runs, so callers cache the result instead of computing it for each job. */
export function loadOf(
	links: ReadonlyMap<string, ExecutorLink>,
	running: Iterable<Run>,
	{health, speeds}: ExecutorAssessment,
): PlacerLoad {
	let healthyCpu = 0
	let scaledCpu = 0
	let freeCpu = 0
	for (const link of links.values()) {
		const {id, capacity} = link.record
		if (!link.isUsableSoon() || !health.isUsable(id)) continue
		healthyCpu += capacity.cpu
		scaledCpu += capacity.cpu / speeds.expectedSlowness(id)
		if (link.isUsable()) freeCpu += Math.max(0, link.freeCpu())
	}
	let freedCpuPerMs = 0
	for (const {req} of running)
		if (!req.isFilling && !req.isLasting)
			freedCpuPerMs += req.need.cpu / Math.max(1, req.estimateMs)
	const meanSpeed = healthyCpu > 0 ? scaledCpu / healthyCpu : 1
	return {
		healthyCores: scaledCpu / MILLICORES,
		freeCores: freeCpu / MILLICORES,
		freedCoresPerMs: (freedCpuPerMs * meanSpeed) / MILLICORES,
	}
}
