/**
 * Counts the time for which the machine was suspended since the process began. Used by the system
 * clock.
 *
 * The monotonic clock stands still during a suspension. The boot clock does not, but costs more to
 * read than the wall clock. It is read when the wall clock has moved against the monotonic clock,
 * and at intervals.
 */

/**
 * More than any clock is corrected between two readings. Shorter suspensions add up until a check
 * finds them.
 */
const STEP_MS = 20
/** Finds suspensions that a backward jump of the wall clock hides. */
const LOOK_MS = 50

export interface SuspensionReadings {
	/** Milliseconds on a clock that stands still during suspensions. */
	readonly steady: () => number
	/** Wall-clock milliseconds. */
	readonly wall: () => number
	/** Milliseconds on a clock that goes on during suspensions and never jumps. */
	readonly sinceBoot: () => number
	/** Called with the milliseconds of each suspension. */
	readonly onSuspension: (ms: number) => void
}

export interface SuspensionCount {
	/** Total milliseconds of all suspensions until now; `steady` is a current reading. */
	suspendedMs(steady: number): number
}

export function createSuspensionCount(readings: SuspensionReadings): SuspensionCount {
	const {steady, wall, sinceBoot, onSuspension} = readings
	let lookedAt = steady()
	/** How far the wall clock is ahead of the monotonic clock. */
	let wallAhead = wall() - lookedAt
	/** How far the boot clock is ahead of the monotonic clock; changes only by suspensions. */
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
