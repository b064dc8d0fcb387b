/**
 * The time of day, carried by the steady clock over jumps of the machine's time of day.
 *
 * A machine's time of day may jump by seconds and jump back. So the offset between both clocks is taken
 * over only once it has stayed the same for longer than such a jump lasts.
 */
import type {Clock} from "@cottonwood/core"

/** Readings that differ by less agree: a machine's time of day is corrected in small steps. */
const AGREE_MS = 150
/** A new offset counts once it has stayed for this long; jumps last some seconds. */
const SETTLE_MS = 15_000
const SAMPLE_MS = 1_000

export interface WallClock {
	/** Milliseconds from 1970. */
	now(): number
}

/** Follows the time of day; `read` gives the machine's own, in milliseconds from 1970. */
export function createWallClock(clock: Clock, read: () => number = clock.wallNow): WallClock {
	let offset = read() - clock.now()
	let candidate = offset
	let candidateSince = clock.now()

	function sample() {
		const seen = read() - clock.now()
		if (Math.abs(seen - candidate) > AGREE_MS) candidateSince = clock.now()
		candidate = seen
		const isSmall = Math.abs(seen - offset) <= AGREE_MS
		if (isSmall || clock.now() - candidateSince >= SETTLE_MS) offset = seen
		clock.schedule(SAMPLE_MS, sample)
	}

	sample()
	return {now: () => Math.round(clock.now() + offset)}
}
