/**
 * Faults of the rough soak between instances and of whole failure domains: network paths that are cut, slow or reset,
 * processes that are paused, and simultaneous or repeated losses. Faults overlap.
 */
import type {CutScope, Mending} from "../fleet/path.js"
import type {Edge} from "../leased/edges.js"
import {livingEdges, newestEdges, replace} from "./leased-faults.js"
import {executorsPlace, type RoughWorld} from "./rough-world.js"
import {sleep} from "../utils/sleep.js"
import {pick} from "../utils/random.js"

export const ROUGH_FAULTS = Object.freeze([
	"cut between instances",
	"silence between instances",
	"slow link between instances",
	"reset between instances",
	"reset between instances for one side",
	"cut instance off",
	"cut instance off one way",
	"cut failure domain off",
	"cut failure domain off one way",
	"cut instance from executors",
	"lose failure domain",
	"lose failure domain twice",
	"lose all instances twice",
	"run instance by turns",
	"stand still",
	"stand still and be cut off",
	"run by turns and be cut off",
	"stop and be cut off",
	"be lost without a word",
] as const)
export type RoughFault = (typeof ROUGH_FAULTS)[number]

/** Durations of lasting faults, on both sides of a takeover's one to two seconds. */
const SHORTEST_MS = 300
const LONGEST_MS = 3_500
const SHORTEST_DELAY_MS = 50
const LONGEST_DELAY_MS = 900
/** Delay of the second loss, so that it falls into the recovery from the first. */
const SECOND_LOSS_MS = 1_000
const SECOND_LOSS_SPREAD_MS = 500
/** Pauses below the 400 ms at which an instance detects that it was paused. */
const LEAST_STOPPED_MS = 100
const MOST_STOPPED_MS = 350
const LEAST_RUNNING_MS = 5
const MOST_RUNNING_MS = 30
const SHORTEST_TURNS_MS = 1_500
const LONGEST_TURNS_MS = 6_000
const SHORTEST_STANDSTILL_MS = 500
const LONGEST_STANDSTILL_MS = 3_000
const SHARE_AT_PLACERS = 0.5
const SHARE_IN_FOCUS = 0.5
/** Share of silences that affect connections only; the others affect datagrams only. */
const SHARE_STREAMS = 0.7
/** Share of cuts after which buffered connection data is delivered; the others break the connections. */
const SHARE_DELIVERED = 0.75

/** How long before or after another fault of the instance the cut begins, and its longest duration. */
const CUT_LEAD_MS = 300
const CUT_LAG_MS = 600
const CUT_LONGEST_MS = 4_500
const SHARE_EXECUTORS_TOO = 0.4
const EXECUTORS_LAG_MS = 1_500
/** Time within which peers detect a broken connection. */
const NOTICE_MS = 600

type Way = readonly [from: string, to: string]

const between = (least: number, most: number, random: () => number) =>
	Math.round(least + random() * (most - least))

/** Returns the name of the failure domain's placer, from its claim in the store. */
function placerOf({platform}: RoughWorld, failureDomain: string): string | undefined {
	const claim = platform.store.read(`fleet/claim/${failureDomain}`) as
		{readonly placer: {readonly name: string}} | undefined
	return claim?.placer.name
}

function pickDomain({failureDomains, focus}: RoughWorld, random: () => number): string {
	return random() < SHARE_IN_FOCUS ? focus : pick(failureDomains, random)
}

/** Picks an instance, with preference for placers. */
function pickInstance(world: RoughWorld, random: () => number): string {
	const isAtPlacer = random() < SHARE_AT_PLACERS
	const placer = placerOf(world, pickDomain(world, random))
	const other = pick([...world.instances.keys()], random)
	return (isAtPlacer && placer) || other
}

function membersOf({instances}: RoughWorld, failureDomain: string): readonly string[] {
	return [...instances].filter(([, domain]) => domain === failureDomain).map(([name]) => name)
}

const waysBetween = (here: readonly string[], there: readonly string[]): readonly Way[] =>
	here.flatMap(from => there.map(to => [from, to] as const))

const turned = (ways: readonly Way[]): readonly Way[] => ways.map(([from, to]) => [to, from])

/** Picks one of the two directions. */
const oneWay = (ways: readonly Way[], random: () => number) =>
	random() < 0.5 ? ways : turned(ways)

const someWays = (ways: readonly Way[], random: () => number) =>
	random() < 0.5 ? bothWays(ways) : oneWay(ways, random)

const bothWays = (ways: readonly Way[]) => [...ways, ...turned(ways)]

function waysOffInstance(world: RoughWorld, name: string): readonly Way[] {
	return waysBetween(
		[name],
		[...world.instances.keys()].filter(other => other !== name),
	)
}

/** Paths between a failure domain and the instances and executors outside. */
function waysOffDomain(world: RoughWorld, failureDomain: string): readonly Way[] {
	const inside = membersOf(world, failureDomain)
	const outside = [...world.instances.keys()].filter(name => !inside.includes(name))
	const others = world.failureDomains.filter(domain => domain !== failureDomain)
	return [
		...waysBetween(inside, [...outside, ...others.map(executorsPlace)]),
		...waysBetween([executorsPlace(failureDomain)], outside),
	]
}

function waysToExecutors(world: RoughWorld, name: string): readonly Way[] {
	const placed = world.failureDomains.filter(domain => placerOf(world, domain) === name)
	const domains = placed.length > 0 ? placed : [world.instances.get(name) ?? ""]
	return waysBetween([name], domains.map(executorsPlace))
}

async function cutFor(
	{network}: RoughWorld,
	ways: readonly Way[],
	scope: CutScope,
	random: () => number,
	lastsMs = between(SHORTEST_MS, LONGEST_MS, random),
) {
	const mending: Mending =
		random() < SHARE_DELIVERED
			? {type: "deliver", lagMs: () => random() * lastsMs}
			: {type: "break"}
	for (const [from, to] of ways) network.path(from, to).cut(scope)
	await sleep(lastsMs)
	for (const [from, to] of ways) network.path(from, to).mend(mending)
}

async function slowDown({network}: RoughWorld, ways: readonly Way[], random: () => number) {
	const ms = between(SHORTEST_DELAY_MS, LONGEST_DELAY_MS, random)
	for (const [from, to] of ways) network.path(from, to).delay(ms)
	await sleep(between(SHORTEST_MS, LONGEST_MS, random))
	for (const [from, to] of ways) network.path(from, to).delay(0)
}

const lose = (world: RoughWorld, edges: readonly Edge[]) =>
	Promise.all(edges.map(edge => replace(world, edge, "SIGKILL")))

async function loseTwice(world: RoughWorld, edges: () => readonly Edge[], random: () => number) {
	const first = lose(world, edges())
	await sleep(SECOND_LOSS_MS + random() * SECOND_LOSS_SPREAD_MS)
	await first
	await lose(world, edges())
}

async function runByTurns({child}: Edge, random: () => number) {
	const stoppedMs = between(LEAST_STOPPED_MS, MOST_STOPPED_MS, random)
	const runningMs = between(LEAST_RUNNING_MS, MOST_RUNNING_MS, random)
	const until = performance.now() + between(SHORTEST_TURNS_MS, LONGEST_TURNS_MS, random)
	while (performance.now() < until) {
		child.kill("SIGSTOP")
		await sleep(stoppedMs)
		child.kill("SIGCONT")
		await sleep(runningMs)
	}
}

async function standStill({child}: Edge, random: () => number) {
	child.kill("SIGSTOP")
	await sleep(between(SHORTEST_STANDSTILL_MS, LONGEST_STANDSTILL_MS, random))
	child.kill("SIGCONT")
}

interface Blow {
	readonly world: RoughWorld
	readonly random: () => number
	readonly tell: (where: string) => void
}

/** Runs a fault of the paths between two instances. */
async function strikePair({world, random, tell}: Blow, name: RoughFault, instance: string) {
	const others = [...world.instances.keys()].filter(other => other !== instance)
	const peer = pick(others, random)
	const isBoth = random() < 0.5
	const pair = [[instance, peer] as const]
	const ways = isBoth ? bothWays(pair) : pair
	const where = `${instance} ${isBoth ? "and" : "to"} ${peer}`
	if (name === "reset between instances") {
		tell(where)
		world.network.reset(instance, peer)
		return world.network.reset(peer, instance)
	}
	if (name === "reset between instances for one side") {
		tell(where)
		const cut = cutFor(world, bothWays(pair), "all", random)
		world.network.resetNear(instance, peer)
		return cut
	}
	if (name === "silence between instances") {
		const scope = random() < SHARE_STREAMS ? "streams" : "datagrams"
		tell(`${where}, ${scope}`)
		return cutFor(world, ways, scope, random)
	}
	tell(where)
	if (name === "slow link between instances") return slowDown(world, ways, random)
	return cutFor(world, ways, "all", random)
}

/** Cuts an instance off from its peers around the time of another fault, and at times from executors too. */
async function cutOffAround(
	{world, random}: Blow,
	instance: string,
	befall: () => Promise<unknown>,
) {
	const lead = between(-CUT_LAG_MS, CUT_LEAD_MS, random)
	const lastsMs = between(LONGEST_MS / 2, CUT_LONGEST_MS, random)
	const isAlsoFromExecutors = random() < SHARE_EXECUTORS_TOO
	const lagMs = random() * EXECUTORS_LAG_MS
	const ways = bothWays(waysOffInstance(world, instance))
	const later = async () => {
		await sleep(lagMs)
		await cutFor(world, bothWays(waysToExecutors(world, instance)), "all", random)
	}
	const trouble = sleep(Math.max(0, lead)).then(befall)
	const cut = sleep(Math.max(0, -lead)).then(() => cutFor(world, ways, "all", random, lastsMs))
	await Promise.all([trouble, cut, isAlsoFromExecutors ? later() : undefined])
}

/**
 * Kills an instance whose paths are cut, so that no peer sees a closed connection. At times a placer is cut off from its
 * executors shortly after.
 */
async function loseSilently({world, random}: Blow, instance: string, edge: Edge) {
	const {network} = world
	const ways = bothWays(waysOffInstance(world, instance))
	const isAlsoFromExecutors = random() < SHARE_EXECUTORS_TOO
	const other = pickInstance(world, random)
	const lagMs = random() * NOTICE_MS
	const downMs = between(LONGEST_MS / 2, LONGEST_MS, random)
	const later = async () => {
		await sleep(lagMs)
		await cutFor(world, bothWays(waysToExecutors(world, other)), "all", random)
	}
	for (const [from, to] of ways) network.path(from, to).cut("all")
	const lost = replace(world, edge, "SIGKILL")
	await Promise.all([lost, sleep(downMs), isAlsoFromExecutors ? later() : undefined])
	for (const [from, to] of ways) network.path(from, to).mend({type: "break"})
}

/** Runs a fault of one instance's paths or process. */
async function strikeInstance(blow: Blow, name: RoughFault, instance: string) {
	const {world, random, tell} = blow
	const edge = newestEdges(world.fleet).get(instance) as Edge
	tell(instance)
	switch (name) {
		case "cut instance off":
			return cutFor(world, bothWays(waysOffInstance(world, instance)), "all", random)
		case "cut instance off one way":
			return cutFor(world, oneWay(waysOffInstance(world, instance), random), "all", random)
		case "cut instance from executors":
			return cutFor(world, someWays(waysToExecutors(world, instance), random), "all", random)
		case "run instance by turns":
			return runByTurns(edge, random)
		case "run by turns and be cut off":
			return cutOffAround(blow, instance, () => runByTurns(edge, random))
		case "stop and be cut off":
			return cutOffAround(blow, instance, () => replace(world, edge, "SIGTERM"))
		case "be lost without a word":
			return loseSilently(blow, instance, edge)
		case "stand still and be cut off":
			return cutOffAround(blow, instance, () => standStill(edge, random))
		default:
			return standStill(edge, random)
	}
}

/** Runs a fault of a whole failure domain or of all. */
async function strikeDomain({world, random, tell}: Blow, name: RoughFault, domain: string) {
	const living = () => livingEdges(world.fleet)
	const livingThere = () => living().filter(({failureDomain}) => failureDomain === domain)
	tell(name === "lose all instances twice" ? "all" : domain)
	switch (name) {
		case "cut failure domain off":
			return cutFor(world, bothWays(waysOffDomain(world, domain)), "all", random)
		case "cut failure domain off one way":
			return cutFor(world, oneWay(waysOffDomain(world, domain), random), "all", random)
		case "lose failure domain":
			return void (await lose(world, livingThere()))
		case "lose failure domain twice":
			return loseTwice(world, livingThere, random)
		default:
			return loseTwice(world, living, random)
	}
}

/** Injects one fault, reports its name and place, and resolves once it is removed. */
export function runRoughFault(
	world: RoughWorld,
	name: RoughFault,
	random: () => number,
	onFault: (text: string) => void,
): Promise<void> {
	const instance = pickInstance(world, random)
	const domain = pickDomain(world, random)
	const blow = {world, random, tell: (where: string) => onFault(`${name} (${where})`)}
	if (name.includes("between instances")) return strikePair(blow, name, instance)
	if (name.includes("domain") || name.includes("all")) return strikeDomain(blow, name, domain)
	return strikeInstance(blow, name, instance)
}
