/**
 * Measures the control cost of an idle fleet: processor time and memory of its entry instances, loopback traffic and
 * store calls.
 */
import {readFileSync} from "node:fs"
import {readUsage} from "../bench/usage.js"
import {startFleet} from "../fleet/fleet.js"
import {sleep} from "../utils/sleep.js"

export interface IdleFigures {
	readonly entries: number
	readonly endpoints: number
	/** Mean share of a core used by one entry instance. */
	readonly cpuShare: number
	/** Largest resident memory of an entry instance. */
	readonly rssMb: number
	/** Mean bytes per second sent and received by one entry instance. */
	readonly bytesPerSecond: number
	readonly storeCallsPerSecond: number
}

const SETTLE_MS = 6_000
const MEASURE_MS = 15_000
const DOMAINS = 4

function loopbackBytes(): number {
	const line = readFileSync("/proc/net/dev", "utf8")
		.split("\n")
		.find(text => text.trim().startsWith("lo:"))
	return Number(line?.split(":")[1]?.trim().split(/\s+/)[0] ?? 0)
}

const total = (values: Readonly<Record<string, number>>) =>
	Object.values(values).reduce((sum, value) => sum + value, 0)

/** Starts a fleet without load and measures it for 15 seconds. The fleet is always stopped. */
export async function measureIdle(entriesPerDomain: number): Promise<IdleFigures> {
	const fleet = await startFleet({
		failureDomains: Array.from({length: DOMAINS}, (_, i) => `fd${i + 1}`),
		entriesPerDomain,
		executorsPerDomain: 1,
		workersPerDomain: 1,
		logLevel: "error",
	})
	try {
		await sleep(SETTLE_MS)
		const pids = fleet.entries.map(entry => entry.process.pid)
		const usage = () => pids.map(readUsage)
		const before = {usage: usage(), bytes: loopbackBytes(), calls: total(await fleet.storeCalls())}
		await sleep(MEASURE_MS)
		const after = {usage: usage(), bytes: loopbackBytes(), calls: total(await fleet.storeCalls())}
		const count = pids.length
		const cpuMs = after.usage.reduce((sum, one, i) => sum + one.cpuMs - before.usage[i]!.cpuMs, 0)
		const seconds = MEASURE_MS / 1_000
		return {
			entries: count,
			endpoints: 1,
			cpuShare: cpuMs / MEASURE_MS / count,
			rssMb: Math.max(...after.usage.map(one => one.rssMb)),
			// Each byte between two entry instances is sent by one and received by the other.
			bytesPerSecond: (2 * (after.bytes - before.bytes)) / seconds / count,
			storeCallsPerSecond: (after.calls - before.calls) / seconds,
		}
	} finally {
		await fleet.stop()
	}
}
