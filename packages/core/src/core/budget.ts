/**
 * Budgets: a share of traffic for retries, and a rate for calls to the store.
 */

const MS_PER_SECOND = 1_000
const MAX_TOKENS = 100
/** Retries that little traffic may use, so that a lost worker does not fail a small job. */
const RESERVE = 20
const RESERVE_PER_SECOND = 5

export interface RetryBudget {
	/** Counts a first try, which earns a share of a retry. */
	earn(): void
	/** Takes one retry; false when the budget is spent. */
	spend(): boolean
}

/**
 * A retry budget that is a share of traffic, so that retries cannot multiply load when most first
 * tries fail, with a small reserve that refills with time.
 */
export function createRetryBudget(ratio: () => number, now: () => number): RetryBudget {
	let tokens = 0
	let reserve = RESERVE
	let refilledAt = now()

	function refill() {
		const at = now()
		const refilled = ((at - refilledAt) * RESERVE_PER_SECOND) / MS_PER_SECOND
		reserve = Math.min(RESERVE, reserve + refilled)
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

/** Milliseconds between two writes of one instance so that the fleet stays within a rate. */
export function writeSpacingMs(fleetWritesPerSecond: number, instances: number): number {
	return (MS_PER_SECOND * Math.max(1, instances)) / fleetWritesPerSecond
}
