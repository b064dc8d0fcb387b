/**
 * How long the word of a placer is waited for before somebody else places.
 *
 * Too much work makes words late on both sides, and looks like death to whoever does not allow for it: then each change of
 * the placer throws away what runs, which is done again, by a placer that is late at once. So the lateness that the
 * placer told of itself, and that of whoever judges, go into how long its word is waited for.
 */
import type {Member} from "../types/fleet.js"
import type {FleetView} from "./members.js"

/** A placer that said nothing for so long is replaced: five beats. */
export const PLACER_SILENT_MS = 1_000
/** The same for one that a call could not reach either, and that did not say that it is late: three beats. */
const UNREACHED_SILENT_MS = 600
/** By its own word a process that is later than this may not have come round to taking a connection. */
const IN_TIME_MS = 50
/** A late process sends a beat, reads a question and answers it, each in a late turn of its own; and one to spare. */
const LATE_TURNS = 4
/** However late it was: a placer that stands still for longer is of no use to anybody. */
const LONGEST_PATIENCE_MS = 2_000

/** What is known of lateness, of others and here. */
export interface Lateness {
	readonly view: Pick<FleetView, "lateMs" | "isUnreachable">
	/** By how much this instance's own timers were late of late, in milliseconds. */
	readonly ownLateMs: () => number
}

/** For how much longer than a process in time a member is waited for, in milliseconds. */
export function latenessAllowanceMs({view, ownLateMs}: Lateness, {session}: Member): number {
	return Math.min(LONGEST_PATIENCE_MS, LATE_TURNS * (view.lateMs(session) + ownLateMs()))
}

/** For how long a placer must have said nothing before it is replaced, in milliseconds. */
export function silenceLimitMs(lateness: Lateness, placer: Member): number {
	const {view} = lateness
	const wasInTime = view.lateMs(placer.session) <= IN_TIME_MS
	if (wasInTime && view.isUnreachable(placer.session)) return UNREACHED_SILENT_MS
	return PLACER_SILENT_MS + latenessAllowanceMs(lateness, placer)
}
