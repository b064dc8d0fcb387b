/**
 * A clock that advances only when a test says so.
 */
import type {Clock} from "@cottonwood/core"

export interface FakeClock extends Clock {
	/** Advances timer by timer, so that everything due in between runs in order. */
	advance(ms: number): Promise<void>
	/**
	 * Advances without running timers, as while a process is frozen; they run at the next
	 * `advance`.
	 */
	freeze(ms: number): void
}

interface Timer {
	readonly at: number
	readonly callback: () => void
}

const SETTLE_TURNS = 12

/** Lets due promises and immediates run. */
export async function settle(): Promise<void> {
	for (let turn = 0; turn < SETTLE_TURNS; turn++)
		await new Promise<void>(resolve => setImmediate(resolve))
}

export function createFakeClock(): FakeClock {
	let now = 1_000
	let timers: Timer[] = []

	function schedule(ms: number, callback: () => void) {
		const timer = {at: now + ms, callback}
		timers.push(timer)
		return () => void (timers = timers.filter(other => other !== timer))
	}

	return {
		now: () => now,
		wallNow: () => now,
		sleep: ms => new Promise<void>(resolve => void schedule(ms, resolve)),
		schedule,
		freeze(ms) {
			now += ms
		},
		async advance(ms) {
			const until = now + ms
			await settle()
			for (;;) {
				const due = timers.filter(({at}) => at <= until).sort((a, b) => a.at - b.at)[0]
				if (!due) break
				timers = timers.filter(timer => timer !== due)
				now = Math.max(now, due.at)
				due.callback()
				await settle()
			}
			now = until
			await settle()
		},
	}
}
