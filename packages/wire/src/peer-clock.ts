/**
 * What one side of a stream knows of the other's steady clock: a reading that is never ahead of it.
 *
 * The peer sends readings of its clock; each was taken before it arrived here. So the peer's clock shows at least
 * that reading plus the time since. Whatever lay on the way or unread only makes the estimate lower: a time that is told
 * to the peer on its own clock is never later than the moment that was meant.
 */

/** Two steady clocks may drift apart by so much of the time that has passed: twice what a clock may be slewed. */
const DRIFT = 0.001

export interface PeerClock {
	/** Notes a reading of the peer's clock that has just been read, both in milliseconds. */
	observe(reading: number, now: number): void
	/** Whether any reading has come. */
	isKnown(): boolean
	/** The latest time on the peer's clock that is certainly not after the own time `at`. */
	toPeer(at: number): number
}

export function createPeerClock(): PeerClock {
	let known: {readonly reading: number; readonly at: number} | undefined

	function toPeer(at: number): number {
		if (!known) return -Infinity
		const passed = at - known.at
		return known.reading + passed - Math.abs(passed) * DRIFT
	}

	return {
		observe(reading, now) {
			if (reading >= toPeer(now)) known = {reading, at: now}
		},
		isKnown: () => known !== undefined,
		toPeer,
	}
}
