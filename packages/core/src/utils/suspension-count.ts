/**
 * For how long the machine has been suspended since the process began.
 *
 * The steady clock does not count that time, while all that others believe of this process grows older. A clock that
 * counts it (since the machine began) tells a suspension from a mere jump of the time of day, but is dearer to read than the
 * time of day; so it is asked when the time of day has moved against the steady clock, and now and then besides.
 */

/** Neither clock is corrected by so much between two readings; a shorter suspension is found by the next look. */
const STEP_MS = 20
/** A suspension under which the time of day jumped back by as much is found after this. */
const LOOK_MS = 50

export interface SuspensionReadings {
	/** All in milliseconds: a clock that stands still during a suspension, */
	readonly steady: () => number
	/** the time of day, */
	readonly wall: () => number
	/** and a clock that goes on during a suspension and never jumps. */
	readonly sinceBoot: () => number
	/** Hears of each suspension, in milliseconds. */
	readonly onSuspension: (ms: number) => void
}

export interface SuspensionCount {
	/** The time that all suspensions until now have taken, in milliseconds; `steady` is a reading of now. */
	suspendedMs(steady: number): number
}

export function createSuspensionCount(readings: SuspensionReadings): SuspensionCount {
	const {steady, wall, sinceBoot, onSuspension} = readings
	let lookedAt = steady()
	/** How far the time of day is ahead of the steady clock. */
	let wallAhead = wall() - lookedAt
	/** How far the clock since boot is ahead of the steady clock: it grows by suspensions alone. */
	let bootAhead = sinceBoot() - lookedAt
	let suspendedMs = 0

	function look(at: number) {
		lookedAt = at
		const ahead = sinceBoot() - at
		const ms = ahead - bootAhead
		if (ms < STEP_MS) return
		bootAhead = ahead
		suspendedMs += ms
		onSuspension(ms)
	}

	return {
		suspendedMs(at) {
			const ahead = wall() - at
			const hasMoved = Math.abs(ahead - wallAhead) > STEP_MS
			wallAhead = ahead
			if (hasMoved || at - lookedAt > LOOK_MS) look(at)
			return suspendedMs
		},
	}
}
