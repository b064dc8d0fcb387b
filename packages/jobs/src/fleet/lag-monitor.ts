/**
 * Detects by the lag of its own timers that this instance cannot keep up.
 *
 * A slow placer is not silent, so nobody replaces it, but its results are late and calls to it time
 * out. Only a series of late timers counts: a single one may be garbage collection, code that runs
 * for the first time, or a suspended process.
 */
import type {Clock} from "@cottonwood/core"

const SAMPLE_MS = 100
/** Half the slack of a short task. */
const LATE_MS = 50
/** 0.6 s without a timer in time. */
const LATE_IN_A_ROW = 5
/** A new process runs slowly at first. */
const WARM_UP_MS = 3_000
/**
 * How long strain lasts after it was last detected: work sent elsewhere leaves timers in time
 * though the machine is as slow as before.
 */
const STRAIN_LASTS_MS = 2_000

/**
 * How long the worst lateness is reported: as long as a late process may take to show that it
 * lives.
 */
const LATENESS_REPORTED_MS = 2_000

export interface LagMonitor {
	isStrained(): boolean
	/** The worst recent lateness of a timer, in milliseconds. */
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
		scheduleSample()
	}

	function noteLateness(lateMs: number, now: number) {
		if (lateMs >= worst.lateMs || now - worst.at >= LATENESS_REPORTED_MS) worst = {lateMs, at: now}
	}

	function scheduleSample() {
		if (isClosed) return
		const dueAt = clock.now() + SAMPLE_MS
		clock.schedule(SAMPLE_MS, () => sample(dueAt))
	}

	scheduleSample()
	return {
		lateMs: () => worst.lateMs,
		isStrained: () => clock.now() - strainedAt < STRAIN_LASTS_MS,
		close() {
			isClosed = true
		},
	}
}
