/**
 * Opens ports that another process may still hold for a moment, such as the one that this process replaces.
 */
import {setTimeout as sleep} from "node:timers/promises"
import type {EventLog} from "./log.js"
import type {JobMetrics} from "./metrics.js"

/** A process that is killed or stopped gives its ports back within a second; longer than a busy machine takes. */
const LIMIT_MS = 5_000
const PAUSE_MS = 50

export interface PortOpening {
	readonly log: EventLog
	readonly metrics: Pick<JobMetrics, "count">
	/** Ends the attempts early. */
	readonly isUnwanted: () => boolean
}

/** Whether an error says that a port is held by another process; libraries give it as text alone. */
export function isPortTaken(error: unknown): boolean {
	return (error as Error).message.includes("EADDRINUSE")
}

/**
 * Tries to open a port until it succeeds; rejects with the last error when the port stays taken, and with other errors at once.
 * `what` is a word for the port in the log and the metrics.
 */
export async function openOnceFree<T>(
	what: string,
	open: () => Promise<T>,
	{log, metrics, isUnwanted}: PortOpening,
): Promise<T> {
	const until = performance.now() + LIMIT_MS
	for (let isFirst = true; ; isFirst = false) {
		try {
			return await open()
		} catch (error) {
			if (!isPortTaken(error)) throw error
			metrics.count("ports_taken", what)
			const fields = {detail: what, cause: (error as Error).message}
			if (isFirst) log.alarm("instance", "port_taken", "instance: waits for a port.", fields)
			if (isUnwanted() || performance.now() > until) throw error
		}
		await sleep(PAUSE_MS)
	}
}
