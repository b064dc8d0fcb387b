/**
 * A time of day that follows the system's but ignores its short jumps.
 *
 * It adds an offset to the monotonic clock. A changed offset is adopted only when it lasts longer
 * than such a jump.
 */
import type {Clock} from "@cottonwood/core"

/** Tolerance for the small steps in which a machine's time of day is corrected. */
const TOLERANCE_MS = 150
/** A changed offset is adopted after this time; jumps last a few seconds. */
const SETTLE_MS = 15_000
const SAMPLE_INTERVAL_MS = 1_000

export interface WallClock {
	/** Milliseconds since 1970. */
	now(): number
}

/** Creates the clock; `read` returns the system's time of day in milliseconds since 1970. */
export function createWallClock(clock: Clock, read: () => number = clock.wallNow): WallClock {
	let offset = read() - clock.now()
	let candidate = offset
	let candidateSince = clock.now()

	function sample() {
		const seen = read() - clock.now()
		if (Math.abs(seen - candidate) > TOLERANCE_MS) candidateSince = clock.now()
		candidate = seen
		const isSmall = Math.abs(seen - offset) <= TOLERANCE_MS
		if (isSmall || clock.now() - candidateSince >= SETTLE_MS) offset = seen
		clock.schedule(SAMPLE_INTERVAL_MS, sample)
	}

	sample()
	return {now: () => Math.round(clock.now() + offset)}
}
