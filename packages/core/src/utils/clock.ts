/**
 * The clock interface of the core, and the clock of the process.
 */
import {createSuspensionCount, type SuspensionCount} from "./suspension-count.js"

/** The longest time of a timer of the runtime, 24.8 days; a timer for a longer one fires at once. */
export const MAX_TIMER_MS = 2_147_483_647

export interface Clock {
	/** Milliseconds on the monotonic clock. */
	now(): number
	/** Wall-clock milliseconds since 1970; never used to decide who may start work. */
	wallNow(): number
	sleep(ms: number): Promise<void>
	/** Runs a callback once after `ms`, at most `MAX_TIMER_MS`; returns the function that cancels it. */
	schedule(ms: number, callback: () => void): () => void
}

/** The clock of the process, which includes suspensions of the machine after `countSuspensions`. */
export interface SystemClock extends Clock {
	/**
	 * Includes the time of suspensions from now on. `sinceBoot` reads a clock that goes on during
	 * suspensions, in milliseconds since boot; `onSuspension` gets the length of each suspension in
	 * milliseconds.
	 */
	countSuspensions(sinceBoot: () => number, onSuspension: (ms: number) => void): void
}

/** A timer on this clock, which may be due before the runtime's own timer fires. */
interface Timer {
	readonly dueAt: number
	readonly fire: () => void
}

/** Creates the clock of the process. */
export function createSystemClock(): SystemClock {
	let suspensionCount: SuspensionCount | undefined
	const timers = new Set<Timer>()

	function now(): number {
		const monotonicMs = performance.now()
		return suspensionCount ? monotonicMs + suspensionCount.suspendedMs(monotonicMs) : monotonicMs
	}

	/** Fires the timers that fell due during a suspension, while the runtime's timers stood still. */
	function fireDue() {
		const at = now()
		const due = [...timers].filter(({dueAt}) => dueAt <= at)
		// A callback may cancel another timer that is due.
		for (const timer of due.sort((a, b) => a.dueAt - b.dueAt)) if (timers.has(timer)) timer.fire()
	}

	function schedule(requestedMs: number, callback: () => void): () => void {
		const ms = Math.min(requestedMs, MAX_TIMER_MS)
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
			suspensionCount = createSuspensionCount({
				monotonic: () => performance.now(),
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
