/**
 * What is known of an executor's steady clock, and until when its lease can last.
 *
 * All lease times are on the executor's clock, which may run slow. Sending uses the likely reading;
 * judging that a lease has ended uses the lowest reading possible. A lease that another placer asked for is
 * not known here, so the longest one is presumed.
 */

/** The slowest that an executor's clock may run; from the platform's contract (2%). */
const SLOWEST_RATE = 0.98
/** What is being stopped at a lease's end takes up to 50 ms by the contract, and 10 ms for our timer. */
const END_MARGIN_MS = 60
/** Another placer may have gone by a reading that was half a second old: 2% of that, and its timers. */
const OTHERS_READING_MS = 20

export interface ExecutorClock {
	/** Notes a reading that has just arrived. */
	observe(clockMs: number, now: number): void
	/** How old the last reading is, in milliseconds; undefined before the first one. */
	readingAgeMs(now: number): number | undefined
	/** The likely reading now; undefined before the first one. */
	estimate(now: number): number | undefined
	/** Notes that an order asks for a lease until then. */
	extend(leaseUntilMs: number): void
	/** Notes that another placer may have asked for a lease of this length until now, both in milliseconds. */
	presume(leaseMs: number, now: number): void
	/** Whether everything under the leases asked for, here or by another placer, has certainly ended. */
	hasLapsed(now: number): boolean
}

export function createExecutorClock(): ExecutorClock {
	let reading: {readonly clockMs: number; readonly at: number} | undefined
	let leaseUntilMs = -Infinity
	/** On our clock, since an executor that has not answered has told no reading of its own. */
	let presumedUntil = -Infinity
	return {
		observe(clockMs, now) {
			reading = {clockMs, at: now}
		},
		readingAgeMs: now => reading && now - reading.at,
		estimate: now => reading && reading.clockMs + (now - reading.at),
		extend(untilMs) {
			leaseUntilMs = Math.max(leaseUntilMs, untilMs)
		},
		presume(leaseMs, now) {
			const longestMs = leaseMs / SLOWEST_RATE + END_MARGIN_MS + OTHERS_READING_MS
			presumedUntil = Math.max(presumedUntil, now + longestMs)
		},
		hasLapsed(now) {
			if (now <= presumedUntil) return false
			if (!reading) return leaseUntilMs === -Infinity
			const lowest = reading.clockMs + (now - reading.at) * SLOWEST_RATE
			return lowest > leaseUntilMs + END_MARGIN_MS
		},
	}
}
