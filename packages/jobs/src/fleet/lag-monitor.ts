/**
 * Notices that this instance cannot keep up: its machine is slow, or it has more to do than it can.
 *
 * A placer that is slow is not silent, so nobody relieves it; but what runs under it is told late, and calls to it
 * break off. It is the first to know: its own timers fire late, one after the other. A single late one is a
 * standstill, a pause of the garbage collector, or code that runs for the first time.
 */
import type {Clock} from "@cottonwood/core"

const SAMPLE_MS = 100
/** A timer that is so late has waited for other work; half the slack of a short task. */
const LATE_MS = 50
/** So many late timers in a row: 0.6 s without a pause. */
const LATE_IN_A_ROW = 5
/** The code of a new process runs slowly at first. */
const WARM_UP_MS = 3_000
/** Work that goes elsewhere leaves timers in time, though the machine is as slow as before. */
const LASTING_MS = 2_000

/** Lateness is told for so long: the time in which a late process would have told others that it lives. */
const LATE_TOLD_MS = 2_000

export interface LagMonitor {
	isStrained(): boolean
	/** By how much a timer was late at most a short while ago, in milliseconds. */
	lateMs(): number
	close(): void
}

export function createLagMonitor(clock: Clock): LagMonitor {
	const startedAt = clock.now()
	let lateInARow = 0
	let strainedAt = -Infinity
	let worst = {lateMs: 0, at: -Infinity}
	let isClosed = false

	function sample(dueAt: number) {
		const now = clock.now()
		noteLateness(now - dueAt, now)
		const isLate = now - dueAt >= LATE_MS && now - startedAt >= WARM_UP_MS
		lateInARow = isLate ? lateInARow + 1 : 0
		if (lateInARow >= LATE_IN_A_ROW) strainedAt = now
		next()
	}

	function noteLateness(lateMs: number, now: number) {
		if (lateMs >= worst.lateMs || now - worst.at >= LATE_TOLD_MS) worst = {lateMs, at: now}
	}

	function next() {
		if (isClosed) return
		const dueAt = clock.now() + SAMPLE_MS
		clock.schedule(SAMPLE_MS, () => sample(dueAt))
	}

	next()
	return {
		lateMs: () => worst.lateMs,
		isStrained: () => clock.now() - strainedAt < LASTING_MS,
		close() {
			isClosed = true
		},
	}
}
