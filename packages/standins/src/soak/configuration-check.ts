/**
 * Checks at the end of a soak that a new configuration version takes effect on every instance in time.
 */
import {request} from "undici"
import {HOST} from "../leased/platform.js"
import type {Edge} from "../leased/edges.js"
import {probePrefixOf, putVersion} from "./connection-faults.js"
import {newestEdges, type LeasedWorld} from "./leased-faults.js"
import {sleep} from "../utils/sleep.js"

/** Contract limits: 3 s for an instance to recover plus 2 s for a version to take effect. */
const IN_FORCE_MS = 5_000
const POLL_MS = 100
const CALL_TIMEOUT_MS = 2_000
const UNKNOWN_QUEUE = 404

/** Whether the instance answers by an older version. An instance without an answer or a version does not count. */
async function isBehind({callers}: Edge, version: number): Promise<boolean> {
	try {
		const res = await request(`http://${callers}${probePrefixOf(version)}`, {
			headers: {host: HOST},
			signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
		})
		await res.body.dump()
		return res.statusCode === UNKNOWN_QUEUE
	} catch {
		return false
	}
}

/** Writes one more version and returns a violation for each instance on which it does not take effect in time. */
export async function checkConfiguration(world: LeasedWorld): Promise<readonly string[]> {
	const version = putVersion(world)
	const until = performance.now() + IN_FORCE_MS
	for (;;) {
		// Only answers to what is asked after the limit tell that an instance is late.
		const isOver = performance.now() > until
		const edges = [...newestEdges(world.fleet).values()]
		const areBehind = await Promise.all(edges.map(edge => isBehind(edge, version)))
		const behind = edges.filter((_, at) => areBehind[at]).map(({name}) => name)
		if (behind.length === 0) return []
		if (isOver) return behind.map(name => `CONFIG: ${name} does not go by version ${version}`)
		await sleep(POLL_MS)
	}
}
