/**
 * Estimates an executor's monotonic clock and when the leases requested on it end.
 *
 * Lease times are on the executor's clock, which may run slow. Requesting a lease and judging that
 * it has ended both use the lowest possible reading, so no lease lasts longer than intended. A
 * lease that another placer requested is unknown here; the longest one is assumed.
 */
import {SLOWEST_RATE, type LeaseRule} from "../decide/lease-rule.js"

/** Another placer may use a reading half a second old: 2% drift of that, plus timer delays. */
const OTHER_PLACERS_READING_MS = 20

export interface ExecutorClock {
	/** Records a reading that has just arrived. */
	observe(clockMs: number, now: number): void
	/** Age of the last reading in milliseconds; undefined before the first one. */
	readingAgeMs(now: number): number | undefined
	/**
	 * The lowest possible reading of the executor's clock now; undefined before the first answer.
	 */
	lowestReading(now: number): number | undefined
	/** Records that an order requests a lease until then, on the executor's clock. */
	noteLease(leaseUntilMs: number): void
	/**
	 * Assumes that another placer may request leases until `now`, each ending up to `lastsMs` later
	 * on this process's clock.
	 */
	assumeLeases(lastsMs: number, now: number): void
	/**
	 * The time on this process's clock by which all leases, requested here or by another placer,
	 * have certainly ended.
	 */
	leasesEndAt(now: number): number
	/** Whether all leases have certainly ended. */
	haveLeasesEnded(now: number): boolean
}

export function createExecutorClock({endMarginMs}: Pick<LeaseRule, "endMarginMs">): ExecutorClock {
	let reading: {readonly clockMs: number; readonly at: number} | undefined
	let leaseUntilMs = -Infinity
	/** On this process's clock: an executor that has not answered has reported no reading. */
	let assumedUntil = -Infinity

	function lowestReading(now: number): number | undefined {
		return reading && reading.clockMs + (now - reading.at) * SLOWEST_RATE
	}

	function leasesEndAt(now: number): number {
		const clockMs = lowestReading(now)
		if (clockMs === undefined) return assumedUntil
		const ownEndAt = now + (leaseUntilMs - clockMs) / SLOWEST_RATE + endMarginMs
		return Math.max(assumedUntil, ownEndAt)
	}

	return {
		observe(clockMs, now) {
			// Answers may arrive out of order; a lower reading adds nothing.
			if (clockMs >= (lowestReading(now) ?? -Infinity)) reading = {clockMs, at: now}
		},
		readingAgeMs: now => reading && now - reading.at,
		lowestReading,
		noteLease(untilMs) {
			leaseUntilMs = Math.max(leaseUntilMs, untilMs)
		},
		assumeLeases(lastsMs, now) {
			assumedUntil = Math.max(assumedUntil, now + lastsMs + OTHER_PLACERS_READING_MS)
		},
		leasesEndAt,
		haveLeasesEnded: now => now > leasesEndAt(now),
	}
}
