/**
 * Estimates a peer's monotonic clock from its readings, as a lower bound.
 *
 * A reading was taken before it arrived, so the peer's clock shows at least that reading plus the
 * time since. Delays only lower the estimate: a converted time is never later than the exact one.
 */

/** Relative drift between two monotonic clocks: twice the maximum slew rate. */
const MAX_DRIFT = 0.001

export interface PeerClock {
	/** Adds a reading of the peer's clock that has just arrived, both in milliseconds. */
	observe(reading: number, now: number): void
	/** Whether there is any reading. */
	isKnown(): boolean
	/**
	 * Returns the latest time on the peer's clock that is certainly not after the local time `at`.
	 */
	toPeer(at: number): number
}

export function createPeerClock(): PeerClock {
	let latest: {readonly reading: number; readonly at: number} | undefined

	function toPeer(at: number): number {
		if (!latest) return -Infinity
		const passed = at - latest.at
		return latest.reading + passed - Math.abs(passed) * MAX_DRIFT
	}

	return {
		observe(reading, now) {
			if (reading >= toPeer(now)) latest = {reading, at: now}
		},
		isKnown: () => latest !== undefined,
		toPeer,
	}
}
