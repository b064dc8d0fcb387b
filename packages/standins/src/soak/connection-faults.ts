/**
 * Soak faults in which existing connections go permanently silent while new ones work, with rapid configuration changes
 * meanwhile.
 */
import {routesFor} from "../leased/platform.js"
import {pick, seededRandom} from "../utils/random.js"
import {planFaultsOf, type PlannedFaultOf} from "./fault-plan.js"
import type {LeasedWorld} from "./leased-faults.js"
import {sleep} from "../utils/sleep.js"

export const CONNECTION_FAULTS = Object.freeze([
	"silence connections to store",
	"silence all connections to store",
	"silence connections to executor",
	"silence all connections",
	"versions in quick succession",
] as const)
export type ConnectionFault = (typeof CONNECTION_FAULTS)[number]

export type PlannedConnectionFault = PlannedFaultOf<ConnectionFault>

const PLAN_SEED = 3_000_017
const MAX_PAUSE_MS = 5_000
const MAX_VERSIONS = 4
const MAX_VERSION_PAUSE_MS = 300

export const planConnectionFaults = (seed: number, count: number) =>
	planFaultsOf(seed + PLAN_SEED, CONNECTION_FAULTS, count, MAX_PAUSE_MS)

export const isConnectionFault = (fault: {
	readonly name: string
}): fault is PlannedConnectionFault => (CONNECTION_FAULTS as readonly string[]).includes(fault.name)

/** Writes the next configuration version, which alone has its probe queue, and returns its number. */
export function putVersion(world: LeasedWorld): number {
	world.configVersion += 1
	const version = world.configVersion
	world.platform.putConfig(version, {routes: routesFor([probePrefixOf(version)])})
	return version
}

/** Path prefix of the probe queue. An instance without the version answers it with 404. */
export const probePrefixOf = (version: number) => `/version-${version}/`

async function putVersions(world: LeasedWorld, random: () => number) {
	const count = 2 + Math.floor(random() * (MAX_VERSIONS - 1))
	for (let at = 0; at < count; at++) {
		putVersion(world)
		await sleep(random() * MAX_VERSION_PAUSE_MS)
	}
}

/** Injects one fault and reports its name. Silenced connections stay silent. */
export async function runConnectionFault(
	world: LeasedWorld,
	{name, seed}: PlannedConnectionFault,
	onFault: (text: string) => void,
): Promise<void> {
	const random = seededRandom(seed)
	const storeLinks = [...world.storeLinks.values()]
	const executorLinks = [...world.executorLinks.values()]
	onFault(name)
	switch (name) {
		case "silence connections to store":
			return pick(storeLinks, random).hush()
		case "silence all connections to store":
			for (const link of storeLinks) link.hush()
			break
		case "silence connections to executor":
			return pick(executorLinks, random).hush()
		case "silence all connections":
			for (const link of [...storeLinks, ...executorLinks]) link.hush()
			world.silencePeers()
			break
		case "versions in quick succession":
			break
	}
	return putVersions(world, random)
}
