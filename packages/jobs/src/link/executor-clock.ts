/**
 * What is known of an executor's steady clock, and until when its lease can last.
 *
 * All lease times are on the executor's clock, which may run slow. Both asking for a lease and judging that it has ended go
 * by the lowest reading possible: no lease lasts longer than was meant. A lease that another placer asked for is
 * not known here, so the longest one is presumed.
 */
import {SLOWEST_RATE, type LeaseRule} from "../decide/lease-rule.js"

/** Another placer may have gone by a reading that was half a second old: 2% of that, and its timers. */
const OTHERS_READING_MS = 20

export interface ExecutorClock {
	/** Notes a reading that has just arrived. */
	observe(clockMs: number, now: number): void
	/** How old the last reading is, in milliseconds; undefined before the first one. */
	readingAgeMs(now: number): number | undefined
	/** The lowest reading possible now; undefined before the first one. */
	lowestReading(now: number): number | undefined
	/** Notes that an order asks for a lease until then. */
	noteLease(leaseUntilMs: number): void
	/** Notes that another placer may have asked for leases until now that last so long here, both in milliseconds. */
	assumeLeases(lastsMs: number, now: number): void
	/** By then everything under the leases asked for, here or by another placer, has certainly ended; on our clock. */
	leasesEndAt(now: number): number
	/** Whether it has. */
	haveLeasesEnded(now: number): boolean
}

export function createExecutorClock({endMarginMs}: Pick<LeaseRule, "endMarginMs">): ExecutorClock {
	let reading: {readonly clockMs: number; readonly at: number} | undefined
	let leaseUntilMs = -Infinity
	/** On our clock, since an executor that has not answered has told no reading of its own. */
	let presumedUntil = -Infinity

	function lowest(now: number): number | undefined {
		return reading && reading.clockMs + (now - reading.at) * SLOWEST_RATE
	}

	function leasesEndAt(now: number): number {
		const clockMs = lowest(now)
		if (clockMs === undefined) return presumedUntil
		const ownEndAt = now + (leaseUntilMs - clockMs) / SLOWEST_RATE + endMarginMs
		return Math.max(presumedUntil, ownEndAt)
	}

	return {
		observe(clockMs, now) {
			// Answers may pass each other; each reading says that it was so late at least.
			if (clockMs >= (lowest(now) ?? -Infinity)) reading = {clockMs, at: now}
		},
		readingAgeMs: now => reading && now - reading.at,
		lowestReading: lowest,
		noteLease(untilMs) {
			leaseUntilMs = Math.max(leaseUntilMs, untilMs)
		},
		assumeLeases(lastsMs, now) {
			presumedUntil = Math.max(presumedUntil, now + lastsMs + OTHERS_READING_MS)
		},
		leasesEndAt,
		haveLeasesEnded: now => now > leasesEndAt(now),
	}
}
