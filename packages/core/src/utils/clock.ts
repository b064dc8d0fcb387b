/**
 * The clock that the core is given, and the real one.
 */
import {createSuspensionCount, type SuspensionCount} from "./suspension-count.js"

export interface Clock {
	/** Monotonic milliseconds. */
	now(): number
	/** Wall-clock milliseconds since 1970; never used to decide who may start work. */
	wallNow(): number
	sleep(ms: number): Promise<void>
	/** Calls back once after `ms`; returns the function that cancels it. */
	schedule(ms: number, callback: () => void): () => void
}

/** The clock of the process; it counts the time for which the machine was suspended, once it has a clock that shows it. */
export interface SystemClock extends Clock {
	/**
	 * From now on the time of suspensions counts, by a clock that goes on meanwhile: milliseconds since the machine began.
	 * `onSuspension` hears of each, in milliseconds.
	 */
	countSuspensions(sinceBoot: () => number, onSuspension: (ms: number) => void): void
}

/** A timer that is due by this clock, whatever the runtime's own has counted. */
interface Timer {
	readonly dueAt: number
	readonly fire: () => void
}

/** Creates the clock of the process. */
export function createSystemClock(): SystemClock {
	let count: SuspensionCount | undefined
	const timers = new Set<Timer>()

	function now(): number {
		const steady = performance.now()
		return count ? steady + count.suspendedMs(steady) : steady
	}

	/** The runtime's timers stand still during a suspension; what fell due meanwhile fires as after a standstill. */
	function fireDue() {
		const at = now()
		const due = [...timers].filter(({dueAt}) => dueAt <= at)
		// One that fires may cancel another that is due as well.
		for (const timer of due.sort((a, b) => a.dueAt - b.dueAt)) if (timers.has(timer)) timer.fire()
	}

	function schedule(ms: number, callback: () => void): () => void {
		const timer: Timer = {
			dueAt: now() + ms,
			fire() {
				cancel()
				callback()
			},
		}
		const handle = setTimeout(timer.fire, ms)
		function cancel() {
			clearTimeout(handle)
			timers.delete(timer)
		}
		timers.add(timer)
		return cancel
	}

	return Object.freeze({
		now,
		wallNow: () => Date.now(),
		sleep: (ms: number) => new Promise<void>(resolve => void schedule(ms, resolve)),
		schedule,
		countSuspensions(sinceBoot: () => number, onSuspension: (ms: number) => void) {
			count = createSuspensionCount({
				steady: () => performance.now(),
				wall: () => Date.now(),
				sinceBoot,
				onSuspension(ms) {
					setImmediate(fireDue)
					onSuspension(ms)
				},
			})
		},
	})
}

/** The clock of the process. */
export const systemClock: SystemClock = createSystemClock()
