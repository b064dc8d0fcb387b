/**
 * Estimates of run times per kind of work, learned from observed runs. Declared run times are
 * unreliable.
 */

const SMOOTHING = 0.1
const MAX_KINDS = 2_000
const UNKNOWN_MS = 300

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
			const known = kinds.get(kind)
			if (!known) {
				if (kinds.size >= MAX_KINDS) kinds.delete(kinds.keys().next().value!)
				kinds.set(kind, {meanMs: runMs, deviationMs: runMs / 2})
				return
			}
			const error = runMs - known.meanMs
			known.meanMs += SMOOTHING * error
			known.deviationMs += SMOOTHING * (Math.abs(error) - known.deviationMs)
		},
		expectedMs: kind => kinds.get(kind)?.meanMs ?? UNKNOWN_MS,
		lateMs(kind) {
			const known = kinds.get(kind)
			return known && known.meanMs + 4 * known.deviationMs
		},
	}
}
