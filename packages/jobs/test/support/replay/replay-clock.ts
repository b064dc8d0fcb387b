/** A virtual clock whose time jumps from one timer to the next. */
import type {Clock} from "@cottonwood/core"
import TinyQueue from "tinyqueue"

export interface ReplayClock extends Clock {
	/** Runs all timers due until that time. */
	runUntil(at: number): Promise<void>
}

interface Timer {
	readonly at: number
	readonly serial: number
	readonly callback: () => void
	isCancelled: boolean
}

/** Event loop rounds in which the effects of a timer at the same time are done. */
const SETTLE_ROUNDS = 2

async function settle() {
	for (let round = 0; round < SETTLE_ROUNDS; round++)
		await new Promise<void>(resolve => setImmediate(resolve))
}

export function createReplayClock(): ReplayClock {
	const timers = new TinyQueue<Timer>([], (a, b) => a.at - b.at || a.serial - b.serial)
	let now = 0
	let serial = 0

	function schedule(ms: number, callback: () => void) {
		const timer = {at: now + Math.max(0, ms), serial: ++serial, callback, isCancelled: false}
		timers.push(timer)
		return () => void (timer.isCancelled = true)
	}

	/** Runs all timers due at one time before their effects. */
	function runNext(at: number) {
		now = at
		for (let timer = timers.peek(); timer && timer.at <= at; timer = timers.peek()) {
			timers.pop()
			if (!timer.isCancelled) timer.callback()
		}
	}

	return {
		now: () => now,
		wallNow: () => now,
		schedule,
		sleep: ms => new Promise<void>(resolve => void schedule(ms, resolve)),
		async runUntil(until) {
			await settle()
			for (let next = timers.peek(); next && next.at <= until; next = timers.peek()) {
				if (next.isCancelled) {
					timers.pop()
					continue
				}
				runNext(next.at)
				await settle()
			}
			now = until
		},
	}
}
