/**
 * Measures how long an accepted configuration takes to reach every entry instance and the store calls per change, with
 * all failure domains connected and with one cut off from the store.
 */
import {startFleet, type Fleet} from "../fleet/fleet.js"
import {getJson, putJson} from "../fleet/json-http.js"
import {sleep} from "../utils/sleep.js"

export interface SpreadFigures {
	readonly situation: string
	readonly changes: number
	readonly medianMs: number
	readonly worstMs: number
	readonly storeCallsPerChange: number
}

const CHANGES = 15
const POLL_MS = 10

interface VersionedConfig {
	readonly version: number
	readonly config: object
}

const readConfig = (url: string) => getJson<VersionedConfig>(`${url}/v1/config`)

async function waitForVersion(url: string, version: number) {
	while ((await readConfig(url)).version < version) await sleep(POLL_MS)
}

/** Makes one change. Returns the milliseconds until all entry instances have it; throws when it is refused. */
async function measureChange(fleet: Fleet): Promise<number> {
	const [first] = fleet.entries
	const {version, config} = await readConfig(first!.url)
	const put = await putJson(`${first!.url}/v1/config`, config, {"if-match": String(version)})
	if (put.status !== 200)
		throw new Error("the configuration change was refused, expected status 200")
	const acceptedAt = performance.now()
	await Promise.all(fleet.entries.map(entry => waitForVersion(entry.url, version + 1)))
	return performance.now() - acceptedAt
}

const totalCalls = async (fleet: Fleet) =>
	Object.values(await fleet.storeCalls()).reduce((sum, calls) => sum + calls, 0)

async function measure(fleet: Fleet, situation: string): Promise<SpreadFigures> {
	const before = await totalCalls(fleet)
	const times: number[] = []
	for (let i = 0; i < CHANGES; i++) times.push(await measureChange(fleet))
	const storeCallsPerChange = ((await totalCalls(fleet)) - before) / CHANGES
	times.sort((a, b) => a - b)
	const medianMs = times[Math.floor(CHANGES / 2)]!
	return {situation, changes: CHANGES, medianMs, worstMs: times.at(-1)!, storeCallsPerChange}
}

/** Measures both situations on a fleet of four failure domains, which is always stopped. */
export async function measureSpread(): Promise<readonly SpreadFigures[]> {
	const fleet = await startFleet({
		failureDomains: ["fd1", "fd2", "fd3", "fd4"],
		executorsPerDomain: 1,
		workersPerDomain: 1,
		hasLinks: true,
		logLevel: "error",
	})
	try {
		const whole = await measure(fleet, "all failure domains reach the store")
		fleet.cut("fd4", ["platform"])
		return [whole, await measure(fleet, "one failure domain is cut from the store")]
	} finally {
		await fleet.stop()
	}
}
