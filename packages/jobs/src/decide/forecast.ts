/**
 * Forecasts when a job could start and end at its placer, for admission: from the work ahead of it, the running tasks and the
 * cores of the healthy executors.
 *
 * In a burst all room is taken within a tenth of a second. A job that is refused only after it has waited for room in vain has
 * lost the time in which another domain would have taken it, so admission relies on the forecast. Run time estimates are rough,
 * so the forecast is scaled by a correction learnt from the waits of earlier jobs.
 */
import type {PlacerLoad} from "./load.js"

/** The share of an executor that whole tasks fill, for executors of two or three times the tasks' size. */
const PACKING_RATIO = 0.8
/** How far one wait moves the correction; a burst brings hundreds of waits. */
const CORRECTION_STEP = 0.03
const MIN_CORRECTION = 0.5
const MAX_CORRECTION = 4
/** Added to both waits, so that waits of a round trip hardly affect the correction. */
const NEGLIGIBLE_WAIT_MS = 10

export interface Demand {
	/** Cores required by the tasks of the first steps. */
	readonly cores: number
	/** The longest chain of dependent steps, by the estimates, in milliseconds. */
	readonly chainMs: number
}

export interface ForecastState {
	readonly load: PlacerLoad
	/** Core-milliseconds queued ahead of the job. */
	readonly workBefore: number
	/** Free cores in other domains that this placer may count on. */
	readonly borrowableCores: number
	readonly correction: number
}

export interface Forecast {
	/** Infinity without a healthy executor. */
	readonly startInMs: number
	readonly endInMs: number
}

/** How long the healthy executors take for the work, in milliseconds; Infinity without any. */
export function drainMs(work: number, {healthyCores}: PlacerLoad): number {
	return healthyCores === 0 ? Infinity : work / (healthyCores * PACKING_RATIO)
}

/** Core-milliseconds that the healthy executors can do in the time. */
export const capacityOver = (ms: number, {healthyCores}: PlacerLoad) =>
	ms * healthyCores * PACKING_RATIO

export function forecastOf({cores, chainMs}: Demand, state: ForecastState): Forecast {
	const {load, workBefore, borrowableCores, correction} = state
	const startInMs = correction * uncorrectedStartInMs(cores, load, workBefore, borrowableCores)
	return {startInMs, endInMs: startInMs + chainMs}
}

function uncorrectedStartInMs(
	cores: number,
	load: PlacerLoad,
	workBefore: number,
	borrowableCores: number,
): number {
	if (load.healthyCores === 0) return borrowableCores >= cores ? 0 : Infinity
	const missingCores = cores - load.freeCores - borrowableCores
	const roomInMs = missingCores <= 0 ? 0 : missingCores / freedCoresRate(load)
	return drainMs(workBefore, load) + roomInMs
}

/** Tasks without an estimate free nothing, so the rate is at least that of all cores in a second. */
function freedCoresRate({freedCoresPerMs, healthyCores}: PlacerLoad): number {
	return Math.max(freedCoresPerMs, healthyCores / 1_000)
}

/** The new correction, from a job's forecast and actual wait. */
export function updateCorrection(before: number, forecastMs: number, waitedMs: number): number {
	if (!Number.isFinite(forecastMs) || !Number.isFinite(waitedMs)) return before
	const uncorrectedMs = forecastMs / before
	const ratio = (Math.max(0, waitedMs) + NEGLIGIBLE_WAIT_MS) / (uncorrectedMs + NEGLIGIBLE_WAIT_MS)
	const bounded = Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, ratio))
	const next = before + CORRECTION_STEP * (bounded - before)
	return Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, next))
}
