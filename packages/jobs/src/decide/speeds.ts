/**
 * What is known of how fast executors are, and how sure that is.
 *
 * The load: executors that differ several times in speed under tasks whose estimates are off by some 40% each, of which a few in
 * a hundred take many times as long. So one run says little, and a long tail says nothing; but an executor that turns slow
 * shows it in every run. Speeds are means of logarithms, in which twice as slow and twice as fast weigh alike. An executor
 * of which little is known is taken for one of its label, and that for an ordinary one.
 */

/** What runs have told of one executor, or of all with one label. */
export interface Speed {
	/** The mean of the logarithm of run time over estimate. */
	readonly mean: number
	/** The runs that it rests on; what is older than the most that count has faded. */
	readonly weight: number
	/** Runs of late that were too long (above 0) or too short (below 0) for what was known; each ordinary run takes one away. */
	readonly outliers: number
}

/** Beyond two and a half times what is expected a run is a tail, or a change: both are more than estimates are off by. */
const ODD_LOG = 0.9
/** So many odd runs with hardly an ordinary one between them are no tails any more. */
const CHANGED_RUNS = 3
/** The new speed begins with the last of them alone. */
const CHANGED_WEIGHT = 1
/** A speed rests on so many runs at most, so that it follows a drift; single runs then move it by a twentieth. */
const MAX_WEIGHT = 20
/** That of a label rests on runs of many executors. */
const MAX_LABEL_WEIGHT = 60
/** What is known of a label counts as much as so many runs: executors of a label differ by as much as single runs do. */
const LABEL_RUNS = 1
/** And so many runs speak for an ordinary speed while nothing is known of a label. */
const ORDINARY_RUNS = 4
/** No executor is so many times as fast or slow as its estimates say. */
export const MAX_SPEED_RATIO = 32

const NOTHING: Speed = {mean: 0, weight: 0, outliers: 0}

const clamp = (value: number, least: number, most: number) => Math.min(most, Math.max(least, value))

/** What is expected of an executor with a label, as a logarithm, before it has run anything. */
export function expectedOf(label: Speed = NOTHING): number {
	return (label.mean * label.weight) / (label.weight + ORDINARY_RUNS)
}

function expectedLog({mean, weight}: Speed, expected: number): number {
	return (mean * weight + expected * LABEL_RUNS) / (weight + LABEL_RUNS)
}

/** How many times its estimates a run takes there. */
export function slownessOf(speed: Speed = NOTHING, expected = 0): number {
	return Math.exp(expectedLog(speed, expected))
}

const logOf = (slowness: number) => Math.log(clamp(slowness, 1 / MAX_SPEED_RATIO, MAX_SPEED_RATIO))

function step(speed: Speed, log: number, maxWeight: number, odd: number): Speed {
	const weight = Math.min(maxWeight, speed.weight + 1)
	return {mean: speed.mean + (log - speed.mean) / weight, weight, outliers: odd}
}

/** Takes in that a run took `slowness` times its estimate on an executor. */
export function learnRun(speed: Speed = NOTHING, expected: number, slowness: number): Speed {
	const log = logOf(slowness)
	const known = expectedLog(speed, expected)
	const off = log - known
	if (Math.abs(off) <= ODD_LOG)
		return step(speed, log, MAX_WEIGHT, speed.outliers - Math.sign(speed.outliers))
	const side = Math.sign(off)
	const odd = Math.sign(speed.outliers) === side ? speed.outliers + side : side
	if (Math.abs(odd) >= CHANGED_RUNS) return {mean: log, weight: CHANGED_WEIGHT, outliers: 0}
	return step(speed, known + side * ODD_LOG, MAX_WEIGHT, odd)
}

/** Takes in a run on any executor with a label; these differ, so no run among them is a change. */
export function learnLabelRun(label: Speed = NOTHING, slowness: number): Speed {
	const log = logOf(slowness)
	const near = clamp(log, label.mean - ODD_LOG, label.mean + ODD_LOG)
	return step(label, near, MAX_LABEL_WEIGHT, 0)
}

/** Joins what two placers have learnt of one executor; the second is what is seen now. */
export function mergeSpeeds(before: Speed, {mean, weight, outliers: odd}: Speed): Speed {
	const sum = before.weight + weight
	if (sum === 0) return NOTHING
	return {
		mean: (before.mean * before.weight + mean * weight) / sum,
		weight: Math.min(MAX_WEIGHT, sum),
		outliers: odd,
	}
}

/** A run is not over though it has run for so many times what is expected there: its progress tells more than its end would. */
const OVERDUE_TIMES = 1.5

/** Whether a run that goes on after so many of its estimates should be judged by its progress now. */
export const isOverdue = (ranEstimates: number, known: number) =>
	ranEstimates > known * OVERDUE_TIMES

/** A run's slowness without what a single tail adds to it: to judge an executor's health by. */
export function withoutTail(
	slowness: number,
	known: number,
	{outliers: odd}: Speed = NOTHING,
): number {
	const isChanging = odd >= CHANGED_RUNS - 1
	return isChanging ? slowness : Math.min(slowness, known * Math.exp(ODD_LOG))
}
