/**
 * Budgets: a share of traffic for retries, and a rate for calls to the store.
 */

const MIN_TOKENS = 3
const MAX_TOKENS = 100

export interface RetryBudget {
	/** Counts a first try, which earns a share of a retry. */
	earn(): void
	/** Takes one retry; false when the budget is spent. */
	spend(): boolean
}

/**
 * A retry budget that is a share of traffic, so that retries cannot multiply load when most first
 * tries fail.
 */
export function createRetryBudget(ratio: () => number): RetryBudget {
	let tokens = MIN_TOKENS
	return {
		earn() {
			tokens = Math.min(MAX_TOKENS, tokens + ratio())
		},
		spend() {
			if (tokens < 1) return false
			tokens--
			return true
		},
	}
}

const MS_PER_SECOND = 1_000

/** Milliseconds between two writes of one instance so that the fleet stays within a rate. */
export function writeSpacingMs(fleetWritesPerSecond: number, instances: number): number {
	return (MS_PER_SECOND * Math.max(1, instances)) / fleetWritesPerSecond
}
