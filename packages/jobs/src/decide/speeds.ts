/**
 * Learns executors' speeds from run times, robustly against noisy estimates and long-tailed runs.
 *
 * Estimates are off by some 40%, and a few runs in a hundred take many times as long, so a single run says little; an executor
 * that turns slow shows it in every run. A speed is a weighted mean of the logarithm of run time over estimate, so that twice as
 * slow and twice as fast weigh alike. An executor with few runs is expected to be like others with its label, and a label with
 * few runs to be ordinary.
 */

/** The speed of one executor, or of all executors with one label. */
export interface Speed {
	/** The mean of the logarithm of run time over estimate. */
	readonly mean: number
	/** How many runs the mean is based on, up to a maximum. */
	readonly weight: number
	/** Recent outliers: positive for runs that were too long, negative for too short ones; each ordinary run takes one away. */
	readonly outliers: number
}

/**
 * The deviation, as a logarithm, beyond which a run is an outlier: two and a half times the expected, which is more than
 * estimates are off by.
 */
const OUTLIER_LOG = 0.9
/** Outliers in a row that show a changed speed. */
const CHANGE_OUTLIERS = 3
/** A changed speed is based on the latest run only. */
const CHANGED_WEIGHT = 1
/** Bounded so that a speed follows a drift; a single run then moves it by a twentieth. */
const MAX_WEIGHT = 20
/** Higher, since a label has the runs of many executors. */
const MAX_LABEL_WEIGHT = 60
/** The weight of a label's speed as a prior for its executors, in runs: these differ by as much as single runs do. */
const LABEL_PRIOR_RUNS = 1
/** The weight of an ordinary speed as a prior for labels, in runs. */
const ORDINARY_PRIOR_RUNS = 4
/** Bounds the ratio of run time over estimate, and its inverse. */
export const MAX_SPEED_RATIO = 32

const UNKNOWN_SPEED: Speed = {mean: 0, weight: 0, outliers: 0}

const clamp = (value: number, min: number, max: number) => Math.min(max, Math.max(min, value))

/** The expected speed of an executor with a label, as a logarithm, before its first run. */
export function priorLog(label: Speed = UNKNOWN_SPEED): number {
	return (label.mean * label.weight) / (label.weight + ORDINARY_PRIOR_RUNS)
}

function shrunkLog({mean, weight}: Speed, expected: number): number {
	return (mean * weight + expected * LABEL_PRIOR_RUNS) / (weight + LABEL_PRIOR_RUNS)
}

/** The expected run time over the estimate. */
export function slownessOf(speed: Speed = UNKNOWN_SPEED, expected = 0): number {
	return Math.exp(shrunkLog(speed, expected))
}

const logOf = (slowness: number) => Math.log(clamp(slowness, 1 / MAX_SPEED_RATIO, MAX_SPEED_RATIO))

function addRun(speed: Speed, log: number, maxWeight: number, outliers: number): Speed {
	const weight = Math.min(maxWeight, speed.weight + 1)
	return {mean: speed.mean + (log - speed.mean) / weight, weight, outliers}
}

/** The speed of an executor after a run that took `slowness` times its estimate. */
export function learnRun(speed: Speed = UNKNOWN_SPEED, expected: number, slowness: number): Speed {
	const log = logOf(slowness)
	const known = shrunkLog(speed, expected)
	const deviation = log - known
	if (Math.abs(deviation) <= OUTLIER_LOG)
		return addRun(speed, log, MAX_WEIGHT, speed.outliers - Math.sign(speed.outliers))
	const side = Math.sign(deviation)
	const outliers = Math.sign(speed.outliers) === side ? speed.outliers + side : side
	if (Math.abs(outliers) >= CHANGE_OUTLIERS) return {mean: log, weight: CHANGED_WEIGHT, outliers: 0}
	return addRun(speed, known + side * OUTLIER_LOG, MAX_WEIGHT, outliers)
}

/** The speed of a label after a run; executors with a label differ, so a label has no changes of speed. */
export function learnLabelRun(label: Speed = UNKNOWN_SPEED, slowness: number): Speed {
	const log = logOf(slowness)
	const near = clamp(log, label.mean - OUTLIER_LOG, label.mean + OUTLIER_LOG)
	return addRun(label, near, MAX_LABEL_WEIGHT, 0)
}

/** Merges the speeds of one executor learnt by an earlier placer and by this one. */
export function mergeSpeeds(before: Speed, {mean, weight, outliers}: Speed): Speed {
	const sum = before.weight + weight
	if (sum === 0) return UNKNOWN_SPEED
	return {
		mean: (before.mean * before.weight + mean * weight) / sum,
		weight: Math.min(MAX_WEIGHT, sum),
		outliers,
	}
}

/** The run time, relative to the expected, from which a run's progress shows its speed. */
const OVERDUE_RATIO = 1.5

/** Whether a run's speed should be taken from its progress, after it has run for `ranEstimates` times its estimate. */
export const isOverdue = (ranEstimates: number, known: number) =>
	ranEstimates > known * OVERDUE_RATIO

/** A run's slowness for the executor's health: a single outlier is capped. */
export function capOutlier(
	slowness: number,
	known: number,
	{outliers}: Speed = UNKNOWN_SPEED,
): number {
	const isChanging = outliers >= CHANGE_OUTLIERS - 1
	return isChanging ? slowness : Math.min(slowness, known * Math.exp(OUTLIER_LOG))
}
