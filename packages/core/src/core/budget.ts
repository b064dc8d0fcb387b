/**
 * Rate limits: retry budgets for the runs of submissions, and the spacing of an instance's writes
 * to the store.
 */

const MS_PER_SECOND = 1_000
const MAX_TOKENS = 100
/** Retries that need no traffic, so that a lost worker does not fail a small job. */
const RESERVE_TOKENS = 20
const RESERVE_PER_SECOND = 5

export interface RetryBudget {
	/** Adds the share of a retry that one first try earns. */
	earn(): void
	/** Takes one retry; returns false when none is left. */
	spend(): boolean
}

/**
 * Creates a token bucket filled by first tries, so that retries cannot multiply the load when most
 * first tries fail. A small reserve refills with time.
 */
export function createRetryBudget(ratio: () => number, now: () => number): RetryBudget {
	let tokens = 0
	let reserve = RESERVE_TOKENS
	let refilledAt = now()

	function refill() {
		const at = now()
		const refilled = ((at - refilledAt) * RESERVE_PER_SECOND) / MS_PER_SECOND
		reserve = Math.min(RESERVE_TOKENS, reserve + refilled)
		refilledAt = at
	}

	return {
		earn() {
			tokens = Math.min(MAX_TOKENS, tokens + ratio())
		},
		spend() {
			refill()
			if (tokens >= 1) tokens--
			else if (reserve >= 1) reserve--
			else return false
			return true
		},
	}
}

/**
 * Returns the milliseconds between two writes of one instance that keep the fleet within a rate.
 */
export function writeSpacingMs(fleetWritesPerSecond: number, instances: number): number {
	return (MS_PER_SECOND * Math.max(1, instances)) / fleetWritesPerSecond
}
