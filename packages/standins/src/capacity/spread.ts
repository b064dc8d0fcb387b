/**
 * How long an accepted configuration takes to be in force at every entry instance, and what the
 * store is asked meanwhile; once with all failure domains on the platform, once with one cut off.
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

interface InForce {
	readonly version: number
	readonly config: object
}

const readConfig = (url: string) => getJson<InForce>(`${url}/v1/config`)

async function waitForVersion(url: string, version: number) {
	while ((await readConfig(url)).version < version) await sleep(POLL_MS)
}

/** Makes one change and returns the milliseconds until all entry instances have it. */
async function changeOnce(fleet: Fleet): Promise<number> {
	const [first] = fleet.entries
	const {version, config} = await readConfig(first!.url)
	const put = await putJson(`${first!.url}/v1/config`, config, {"if-match": String(version)})
	if (put.status !== 200) throw new Error("a change was refused")
	const acceptedAt = performance.now()
	await Promise.all(fleet.entries.map(entry => waitForVersion(entry.url, version + 1)))
	return performance.now() - acceptedAt
}

const totalCalls = async (fleet: Fleet) =>
	Object.values(await fleet.storeCalls()).reduce((sum, calls) => sum + calls, 0)

async function measure(fleet: Fleet, situation: string): Promise<SpreadFigures> {
	const before = await totalCalls(fleet)
	const times: number[] = []
	for (let i = 0; i < CHANGES; i++) times.push(await changeOnce(fleet))
	const storeCallsPerChange = ((await totalCalls(fleet)) - before) / CHANGES
	times.sort((a, b) => a - b)
	const medianMs = times[Math.floor(CHANGES / 2)]!
	return {situation, changes: CHANGES, medianMs, worstMs: times.at(-1)!, storeCallsPerChange}
}

/** Measures both situations on eight entry instances in four failure domains. */
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
