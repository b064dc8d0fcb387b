/**
 * The environment of a rough soak: instances with an address and network paths of their own, a failure domain with few
 * executors, and some executors with slow clocks.
 */
import {openLink, type Link} from "../fleet/link.js"
import {startEdges} from "../leased/edges.js"
import {openNetwork, type Network} from "../leased/network.js"
import {startLeasedPlatform} from "../leased/platform.js"
import type {LeasedWorld} from "./leased-faults.js"
import {SUSPENDABLE} from "./machine-faults.js"
import {deployed} from "./process-faults.js"

export interface RoughWorld extends LeasedWorld {
	readonly network: Network
	readonly failureDomains: readonly string[]
	/** Failure domain that gets extra faults, so that they coincide. */
	readonly focus: string
	/** Failure domain of each instance, by instance name. */
	readonly instances: ReadonlyMap<string, string>
}

export interface RoughWorldPlan {
	readonly failureDomains: readonly string[]
	readonly instancesPerDomain: number
	readonly executorsPerDomain: number
	/** Path of another build's program to run instead. */
	readonly program: string | undefined
	/** Whether the instances run as deployed unless `program` is given. */
	readonly isDeployed?: boolean
	readonly random: () => number
	readonly record: (line: Readonly<Record<string, unknown>>) => void
}

const PRELOAD = new URL("../leased/reroute.js", import.meta.url).href
const PRELOADS = ["--import", PRELOAD, "--import", SUSPENDABLE]
/** Share of executors in the first failure domain, so that tasks must move to other domains. */
const SHORT_DOMAIN_SHARE = 0.34
const SLOW_CLOCK_SHARE = 0.3
/** Contract limit: executors' clocks are at most 2% slow. */
const SLOW_CLOCK_RATE = 0.98
/** Different sizes, so that a domain is handed over when a larger instance returns. */
const CPU_SHARES = [0.25, 0.5, 1] as const
const CAPACITY_CPU = 64_000
const READY_MS = 60_000
/** Loopback networks 127.16 to 127.215, chosen by process id so that concurrent soaks do not collide. */
const FIRST_SUBNET = 16
const SUBNETS = 200
const HOSTS_PER_SUBNET = 200

const portOf = (address: string) => Number(address.split(":")[1])
const LINKS_SUBNET = 255
const LINK_HOST = [127, FIRST_SUBNET + (process.pid % SUBNETS), LINKS_SUBNET, 1].join(".")
const ipAt = (at: number) =>
	[
		127,
		FIRST_SUBNET + (process.pid % SUBNETS),
		Math.floor(at / HOSTS_PER_SUBNET),
		1 + (at % HOSTS_PER_SUBNET),
	].join(".")

/** Returns the network's name for a failure domain's executors. */
export const executorsPlace = (failureDomain: string) => `executors of ${failureDomain}`

/** The second failure domain has one instance: when that is lost, other domains place there. */
const instancesIn = (
	{failureDomains, instancesPerDomain}: RoughWorldPlan,
	failureDomain: string,
) => (failureDomain === failureDomains[1] ? 1 : instancesPerDomain)

export async function startRoughWorld(plan: RoughWorldPlan): Promise<RoughWorld> {
	const {failureDomains, executorsPerDomain, random} = plan
	const executorLinks = new Map<string, Link>()
	const storeLinks = new Map<string, Link>()
	const shortOf = Math.max(1, Math.floor(executorsPerDomain * SHORT_DOMAIN_SHARE))
	const platform = await startLeasedPlatform({
		failureDomains,
		executorsPerDomain,
		executorsOf: domain => (domain === failureDomains[0] ? shortOf : executorsPerDomain),
		clockRateOf: () => (random() < SLOW_CLOCK_SHARE ? SLOW_CLOCK_RATE : 1),
		capacityCpu: CAPACITY_CPU,
		onRecord: plan.record,
		async through(address, name) {
			const link = await openLink(() => portOf(address))
			executorLinks.set(name, link)
			return `127.0.0.1:${link.port}`
		},
	})
	platform.putConfig(1)
	const names = failureDomains.flatMap(domain =>
		Array.from(
			{length: instancesIn(plan, domain)},
			(_, at) => [`${domain}-${at}`, domain] as const,
		),
	)
	const shares = new Map<string, number>(
		names.map(([name]) => [name, CPU_SHARES[Math.floor(random() * CPU_SHARES.length)] as number]),
	)
	const ips = new Map<string, string>(names.map(([name], at) => [name, ipAt(at)]))
	for (const [name] of names)
		storeLinks.set(name, await openLink(() => portOf(platform.storeAddress)))

	const peers = new Map<string, string>()
	const network = await openNetwork({
		host: LINK_HOST,
		instances: [...ips].map(([name, ip]) => ({name, ip})),
		executors: platform.executors.map(({failureDomain, address}) => ({
			place: executorsPlace(failureDomain),
			address,
		})),
		peerOf: name => peers.get(name),
	})
	const fleet = await startEdges(platform, names, {
		storeAddressOf: name => `127.0.0.1:${storeLinks.get(name)?.port}`,
		cpuShareOf: name => shares.get(name) ?? 1,
		ipOf: name => ips.get(name) ?? "127.0.0.1",
		envOf: name => ({COTTONWOOD_ROUTES: JSON.stringify(network.routesOf(name))}),
		nodeArgs: PRELOADS,
		program: plan.program,
		...(plan.isDeployed && !plan.program && deployed(PRELOADS)),
		readyMs: READY_MS,
		restartsEnded: true,
		onLaunch: edge => void peers.set(edge.name, edge.peers),
	})
	return {
		platform,
		fleet,
		network,
		failureDomains,
		focus: failureDomains[Math.floor(random() * failureDomains.length)] as string,
		instances: new Map(names),
		executorLinks,
		storeLinks,
		random,
		durationMs: 0,
		silencePeers: network.hush,
		waitsForReadiness: false,
		configVersion: 1,
	}
}

export async function closeRoughWorld({platform, fleet, network, ...world}: RoughWorld) {
	await fleet.close()
	network.close()
	for (const link of [...world.executorLinks.values(), ...world.storeLinks.values()]) link.close()
	await platform.close()
}
