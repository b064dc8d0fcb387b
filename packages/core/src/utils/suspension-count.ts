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
const MAX_CLOCK_CORRECTION_MS = 20
/** Finds suspensions that a backward jump of the wall clock hides. */
const CHECK_INTERVAL_MS = 50

export interface SuspensionClocks {
	/** Milliseconds on a clock that stands still during suspensions. */
	readonly monotonic: () => number
	/** Wall-clock milliseconds. */
	readonly wall: () => number
	/** Milliseconds on a clock that goes on during suspensions and never jumps. */
	readonly sinceBoot: () => number
	/** Called with the milliseconds of each suspension. */
	readonly onSuspension: (ms: number) => void
}

export interface SuspensionCount {
	/** Total milliseconds of all suspensions until now; `monotonicMs` is a current reading. */
	suspendedMs(monotonicMs: number): number
}

export function createSuspensionCount(clocks: SuspensionClocks): SuspensionCount {
	const {monotonic, wall, sinceBoot, onSuspension} = clocks
	let checkedAt = monotonic()
	/** How far the wall clock is ahead of the monotonic clock. */
	let wallOffsetMs = wall() - checkedAt
	/** How far the boot clock is ahead of the monotonic clock; changes only by suspensions. */
	let bootOffsetMs = sinceBoot() - checkedAt
	let suspendedMs = 0

	function check(at: number) {
		checkedAt = at
		const ahead = sinceBoot() - at
		const ms = ahead - bootOffsetMs
		if (ms < MAX_CLOCK_CORRECTION_MS) return
		bootOffsetMs = ahead
		suspendedMs += ms
		onSuspension(ms)
	}

	return {
		suspendedMs(at) {
			const ahead = wall() - at
			const hasMoved = Math.abs(ahead - wallOffsetMs) > MAX_CLOCK_CORRECTION_MS
			wallOffsetMs = ahead
			if (hasMoved || at - checkedAt > CHECK_INTERVAL_MS) check(at)
			return suspendedMs
		},
	}
}
