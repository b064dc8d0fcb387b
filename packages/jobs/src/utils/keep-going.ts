/**
 * Runs the parts that last as long as an instance or a placer. One that ended by a failure would stop silently, while the instance goes on to
 * look alive: it would claim nothing, renew nothing or follow nothing for good.
 */
import type {Clock} from "@cottonwood/core"
import type {EventLog} from "./log.js"
import type {JobMetrics} from "./metrics.js"
import {causeOf} from "./process-end.js"

/** Bounds what a failure that comes back each time may cost. */
const PAUSE_MS = 500

export interface KeepGoingDeps {
	readonly clock: Pick<Clock, "sleep">
	readonly log: EventLog
	readonly metrics: Pick<JobMetrics, "count">
}

/** The name of a loop in the reason that counts its failures. */
export type LoopName =
	"claims" | "registration" | "follow" | "handover" | "slices" | "sweeper" | "moves"

/**
 * Runs a loop until it ends by itself. After a failure it is begun again, so it must keep nothing between its rounds that a failure
 * may leave half changed.
 */
export async function keepGoing(
	name: LoopName,
	loop: () => Promise<void>,
	{clock, log, metrics}: KeepGoingDeps,
): Promise<void> {
	for (;;) {
		try {
			return await loop()
		} catch (error) {
			metrics.count("broken_assumptions", `loop_${name}`)
			const fields = {detail: name, cause: causeOf(error)}
			log.alarm("instance", "loop_failed", "instance: begins a failed loop again.", fields)
		}
		await clock.sleep(PAUSE_MS)
	}
}

/**
 * Ends the process when a part fails that may leave its state half changed, so that it cannot be begun again: the failure is thrown
 * outside of any promise, where nobody catches it. Others take over from a process that ended, not from one that is half alive.
 */
export function endOnFailure(part: Promise<void>) {
	part.catch((error: unknown) =>
		setImmediate(() => {
			throw error
		}),
	)
}
