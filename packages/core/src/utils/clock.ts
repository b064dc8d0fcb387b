/**
 * The clock that the core is given, and the real one.
 */

export interface Clock {
	/** Monotonic milliseconds. */
	now(): number
	/** Wall-clock milliseconds since 1970; never used to decide who may start work. */
	wallNow(): number
	sleep(ms: number): Promise<void>
	/** Calls back once after `ms`; returns the function that cancels it. */
	schedule(ms: number, callback: () => void): () => void
}

/** The clock of the process. */
export const systemClock: Clock = Object.freeze({
	now: () => performance.now(),
	wallNow: () => Date.now(),
	sleep: (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms)),
	schedule(ms: number, callback: () => void) {
		const timer = setTimeout(callback, ms)
		return () => clearTimeout(timer)
	},
})
