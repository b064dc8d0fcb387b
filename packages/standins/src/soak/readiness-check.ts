/**
 * Waits after a soak's faults until the newest process of each instance is ready.
 */
import {isReady, type EdgeFleet} from "../leased/edges.js"
import {sleep} from "../utils/sleep.js"
import {newestEdges} from "./leased-faults.js"

const READY_POLL_MS = 200

/** Returns the names of the instances that are not ready in time. */
export async function waitUntilReady(
	fleet: EdgeFleet,
	limitMs: number,
): Promise<readonly string[]> {
	const until = performance.now() + limitMs
	for (;;) {
		const edges = [...newestEdges(fleet).values()]
		const areReady = await Promise.all(edges.map(isReady))
		const unready = edges.filter((_, at) => !areReady[at]).map(({name}) => name)
		if (unready.length === 0 || performance.now() > until) return unready
		await sleep(READY_POLL_MS)
	}
}

/** Returns one line for each instance that was not ready in time after the last fault. */
export const lateLines = (unready: readonly string[], limitMs: number): readonly string[] =>
	unready.map(name => `FAULT: ${name} is not ready ${limitMs} ms after the last fault`)
