/**
 * How long a placer may be silent before another instance replaces it.
 *
 * Under overload both heartbeats and answers are late, which looks like a crash. Replacing a live
 * placer discards its runs and leaves a new one that is late at once, so the limits include the
 * lateness that the placer reported and that of this instance.
 */
import type {Member} from "../types/fleet.js"
import type {FleetView} from "./members.js"

/** Five heartbeats. */
export const PLACER_SILENT_MS = 1_000
/**
 * Three heartbeats; for a placer that a call could not reach either, and that reported no lateness.
 */
const UNREACHABLE_SILENT_MS = 600
/** A process later than this may not have come round to accepting a connection. */
const ON_TIME_MS = 50
/**
 * A late process sends a heartbeat, reads a question and answers it, each in a late turn of its
 * event loop; plus one spare.
 */
const LATE_TURNS = 4
/** A placer that stands still for longer is of no use. */
const MAX_ALLOWANCE_MS = 2_000

/** Sources of the lateness of members and of this instance. */
export interface Lateness {
	readonly view: Pick<FleetView, "lateMs" | "isUnreachable">
	/** How late this instance's own timers recently fired, in milliseconds. */
	readonly ownLateMs: () => number
}

/** How much longer than usual a member is waited for because of lateness, in milliseconds. */
export function latenessAllowanceMs({view, ownLateMs}: Lateness, {session}: Member): number {
	return Math.min(MAX_ALLOWANCE_MS, LATE_TURNS * (view.lateMs(session) + ownLateMs()))
}

/** How long a placer must be silent before it is replaced, in milliseconds. */
export function silenceLimitMs(lateness: Lateness, placer: Member): number {
	const {view} = lateness
	const wasInTime = view.lateMs(placer.session) <= ON_TIME_MS
	if (wasInTime && view.isUnreachable(placer.session)) return UNREACHABLE_SILENT_MS
	return PLACER_SILENT_MS + latenessAllowanceMs(lateness, placer)
}
