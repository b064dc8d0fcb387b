/**
 * When a job could start and end at its placer, from what waits before it, what runs and the cores that are sound.
 *
 * It answers bursts: room is gone within a tenth of a second then, and whoever is told only after a patience that nothing
 * could start has lost the time in which another domain would have taken the job. Estimates of run times are rough, and
 * executors differ, so the forecast is corrected by how long the jobs before it really waited.
 */
import type {PlacerLoad} from "./load.js"

/** Whole tasks fill about this share of executors of two or three times their size. */
const PACKED_SHARE = 0.8
/** How much one wait moves the correction; a burst brings hundreds of waits. */
const CORRECTION_STEP = 0.03
const LEAST_CORRECTION = 0.5
const MOST_CORRECTION = 4
/** Waits as short as a round trip to an executor say nothing of the load. */
const NO_WAIT_MS = 10

export interface Demand {
	/** Cores that the tasks of its first steps ask for. */
	readonly cores: number
	/** The longest chain of its work by the estimates, in milliseconds. */
	readonly chainMs: number
}

export interface Standing {
	readonly load: PlacerLoad
	/** Core-milliseconds that go before the job. */
	readonly workBefore: number
	/** Cores that other domains told of and that this placer may count on. */
	readonly borrowableCores: number
	readonly correction: number
}

export interface Forecast {
	/** Infinity where no executor is sound. */
	readonly startInMs: number
	readonly endInMs: number
}

/** How long work takes on all sound executors, in milliseconds; Infinity without any. */
export function drainMs(work: number, {healthyCores: soundCores}: PlacerLoad): number {
	return soundCores === 0 ? Infinity : work / (soundCores * PACKED_SHARE)
}

/** Core-milliseconds that the sound executors carry in a time. */
export const capacityOver = (ms: number, {healthyCores: soundCores}: PlacerLoad) =>
	ms * soundCores * PACKED_SHARE

export function forecastOf({cores, chainMs}: Demand, standing: Standing): Forecast {
	const {load, workBefore, borrowableCores: lentCores, correction} = standing
	const startInMs = correction * uncorrectedStartInMs(cores, load, workBefore, lentCores)
	return {startInMs, endInMs: startInMs + chainMs}
}

function uncorrectedStartInMs(
	cores: number,
	load: PlacerLoad,
	workBefore: number,
	lentCores: number,
): number {
	if (load.healthyCores === 0) return lentCores >= cores ? 0 : Infinity
	const missingCores = cores - load.freeCores - lentCores
	const roomInMs = missingCores <= 0 ? 0 : missingCores / freedPerMs(load)
	return drainMs(workBefore, load) + roomInMs
}

/** What runs by no estimate frees nothing; then the whole is taken to turn over in a second. */
function freedPerMs({freedCoresPerMs, healthyCores: soundCores}: PlacerLoad): number {
	return Math.max(freedCoresPerMs, soundCores / 1_000)
}

/** The correction after a job that was forecast to wait so long has waited so long. */
export function updateCorrection(before: number, forecastMs: number, waitedMs: number): number {
	if (!Number.isFinite(forecastMs) || !Number.isFinite(waitedMs)) return before
	const uncorrectedMs = forecastMs / before
	const ratio = (Math.max(0, waitedMs) + NO_WAIT_MS) / (uncorrectedMs + NO_WAIT_MS)
	const bounded = Math.min(MOST_CORRECTION, Math.max(LEAST_CORRECTION, ratio))
	const next = before + CORRECTION_STEP * (bounded - before)
	return Math.min(MOST_CORRECTION, Math.max(LEAST_CORRECTION, next))
}
