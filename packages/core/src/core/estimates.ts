/**
 * Estimates of run times per kind of work, learned from observed runs. Used for admission, hedging
 * and the detection of slow targets, since declared run times are unreliable.
 */

const SMOOTHING = 0.1
const MAX_KINDS = 2_000
const DEFAULT_RUN_MS = 300

interface Estimate {
	meanMs: number
	deviationMs: number
}

export interface Estimates {
	observe(kind: string, runMs: number): void
	/** The expected run time in milliseconds. */
	expectedMs(kind: string): number
	/**
	 * A run time that few runs of the kind exceed, in milliseconds; undefined before the first run.
	 */
	lateMs(kind: string): number | undefined
}

export function createEstimates(): Estimates {
	const kinds = new Map<string, Estimate>()
	return {
		observe(kind, runMs) {
			const estimate = kinds.get(kind)
			if (!estimate) {
				if (kinds.size >= MAX_KINDS) kinds.delete(kinds.keys().next().value!)
				kinds.set(kind, {meanMs: runMs, deviationMs: runMs / 2})
				return
			}
			const error = runMs - estimate.meanMs
			estimate.meanMs += SMOOTHING * error
			estimate.deviationMs += SMOOTHING * (Math.abs(error) - estimate.deviationMs)
		},
		expectedMs: kind => kinds.get(kind)?.meanMs ?? DEFAULT_RUN_MS,
		lateMs(kind) {
			const estimate = kinds.get(kind)
			return estimate && estimate.meanMs + 4 * estimate.deviationMs
		},
	}
}
