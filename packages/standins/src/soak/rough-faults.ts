/**
 * Faults of the rough soak between instances and of whole failure domains: network paths that are cut, slow or reset,
 * processes that are paused, and simultaneous or repeated losses. Faults overlap.
 */
import type {CutScope, Mending} from "../fleet/path.js"
import type {Edge} from "../leased/edges.js"
import {runningEdges, newestEdges, replace} from "./leased-faults.js"
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
const MIN_DURATION_MS = 300
const MAX_DURATION_MS = 3_500
const MIN_DELAY_MS = 50
const MAX_DELAY_MS = 900
/** Delay of the second loss, so that it falls into the recovery from the first. */
const SECOND_LOSS_MS = 1_000
const SECOND_LOSS_SPREAD_MS = 500
/** Pauses below the 400 ms at which an instance detects that it was paused. */
const MIN_STOPPED_MS = 100
const MAX_STOPPED_MS = 350
const MIN_RUNNING_MS = 5
const MAX_RUNNING_MS = 30
const MIN_STUTTER_MS = 1_500
const MAX_STUTTER_MS = 6_000
const MIN_PAUSE_MS = 500
const MAX_PAUSE_MS = 3_000
const PLACER_SHARE = 0.5
const FOCUS_SHARE = 0.5
/** Share of silences that affect connections only; the others affect datagrams only. */
const STREAMS_SHARE = 0.7
/** Share of cuts after which buffered connection data is delivered; the others break the connections. */
const DELIVERED_SHARE = 0.75

/** How long before or after another fault of the instance the cut begins, and its longest duration. */
const CUT_LEAD_MS = 300
const CUT_LAG_MS = 600
const MAX_CUT_MS = 4_500
const EXECUTORS_TOO_SHARE = 0.4
const EXECUTORS_LAG_MS = 1_500
/** Time within which peers detect a broken connection. */
const DETECTION_MS = 600

type PathEnds = readonly [from: string, to: string]

const between = (least: number, most: number, random: () => number) =>
	Math.round(least + random() * (most - least))

/** Returns the name of the failure domain's placer, from its claim in the store. */
function placerOf({platform}: RoughWorld, failureDomain: string): string | undefined {
	const claim = platform.store.read(`fleet/claim/${failureDomain}`) as
		{readonly placer: {readonly name: string}} | undefined
	return claim?.placer.name
}

function pickDomain({failureDomains, focus}: RoughWorld, random: () => number): string {
	return random() < FOCUS_SHARE ? focus : pick(failureDomains, random)
}

/** Picks an instance, with preference for placers. */
function pickInstance(world: RoughWorld, random: () => number): string {
	const isAtPlacer = random() < PLACER_SHARE
	const placer = placerOf(world, pickDomain(world, random))
	const other = pick([...world.instances.keys()], random)
	return (isAtPlacer && placer) || other
}

function membersOf({instances}: RoughWorld, failureDomain: string): readonly string[] {
	return [...instances].filter(([, domain]) => domain === failureDomain).map(([name]) => name)
}

const pathsBetween = (here: readonly string[], there: readonly string[]): readonly PathEnds[] =>
	here.flatMap(from => there.map(to => [from, to] as const))

const reversed = (paths: readonly PathEnds[]): readonly PathEnds[] =>
	paths.map(([from, to]) => [to, from])

/** Picks one of the two directions. */
const oneDirection = (paths: readonly PathEnds[], random: () => number) =>
	random() < 0.5 ? paths : reversed(paths)

const oneOrBothDirections = (paths: readonly PathEnds[], random: () => number) =>
	random() < 0.5 ? bothDirections(paths) : oneDirection(paths, random)

const bothDirections = (paths: readonly PathEnds[]) => [...paths, ...reversed(paths)]

function pathsToPeers(world: RoughWorld, name: string): readonly PathEnds[] {
	return pathsBetween(
		[name],
		[...world.instances.keys()].filter(other => other !== name),
	)
}

/** Paths between a failure domain and the instances and executors outside. */
function pathsOutOfDomain(world: RoughWorld, failureDomain: string): readonly PathEnds[] {
	const inside = membersOf(world, failureDomain)
	const outside = [...world.instances.keys()].filter(name => !inside.includes(name))
	const others = world.failureDomains.filter(domain => domain !== failureDomain)
	return [
		...pathsBetween(inside, [...outside, ...others.map(executorsPlace)]),
		...pathsBetween([executorsPlace(failureDomain)], outside),
	]
}

function pathsToExecutors(world: RoughWorld, name: string): readonly PathEnds[] {
	const placed = world.failureDomains.filter(domain => placerOf(world, domain) === name)
	const domains = placed.length > 0 ? placed : [world.instances.get(name) ?? ""]
	return pathsBetween([name], domains.map(executorsPlace))
}

async function cutFor(
	{network}: RoughWorld,
	paths: readonly PathEnds[],
	scope: CutScope,
	random: () => number,
	durationMs = between(MIN_DURATION_MS, MAX_DURATION_MS, random),
) {
	const mending: Mending =
		random() < DELIVERED_SHARE
			? {type: "deliver", lagMs: () => random() * durationMs}
			: {type: "break"}
	for (const [from, to] of paths) network.path(from, to).cut(scope)
	await sleep(durationMs)
	for (const [from, to] of paths) network.path(from, to).mend(mending)
}

async function slowDown({network}: RoughWorld, paths: readonly PathEnds[], random: () => number) {
	const ms = between(MIN_DELAY_MS, MAX_DELAY_MS, random)
	for (const [from, to] of paths) network.path(from, to).delay(ms)
	await sleep(between(MIN_DURATION_MS, MAX_DURATION_MS, random))
	for (const [from, to] of paths) network.path(from, to).delay(0)
}

const killAll = (world: RoughWorld, edges: readonly Edge[]) =>
	Promise.all(edges.map(edge => replace(world, edge, "SIGKILL")))

async function killTwice(world: RoughWorld, edges: () => readonly Edge[], random: () => number) {
	const first = killAll(world, edges())
	await sleep(SECOND_LOSS_MS + random() * SECOND_LOSS_SPREAD_MS)
	await first
	await killAll(world, edges())
}

async function stutter({child}: Edge, random: () => number) {
	const stoppedMs = between(MIN_STOPPED_MS, MAX_STOPPED_MS, random)
	const runningMs = between(MIN_RUNNING_MS, MAX_RUNNING_MS, random)
	const until = performance.now() + between(MIN_STUTTER_MS, MAX_STUTTER_MS, random)
	while (performance.now() < until) {
		child.kill("SIGSTOP")
		await sleep(stoppedMs)
		child.kill("SIGCONT")
		await sleep(runningMs)
	}
}

async function pause({child}: Edge, random: () => number) {
	child.kill("SIGSTOP")
	await sleep(between(MIN_PAUSE_MS, MAX_PAUSE_MS, random))
	child.kill("SIGCONT")
}

interface FaultContext {
	readonly world: RoughWorld
	readonly random: () => number
	readonly report: (where: string) => void
}

/** Runs a fault of the paths between two instances. */
async function runPairFault(
	{world, random, report}: FaultContext,
	name: RoughFault,
	instance: string,
) {
	const others = [...world.instances.keys()].filter(other => other !== instance)
	const peer = pick(others, random)
	const isBoth = random() < 0.5
	const pair = [[instance, peer] as const]
	const paths = isBoth ? bothDirections(pair) : pair
	const where = `${instance} ${isBoth ? "and" : "to"} ${peer}`
	if (name === "reset between instances") {
		report(where)
		world.network.reset(instance, peer)
		return world.network.reset(peer, instance)
	}
	if (name === "reset between instances for one side") {
		report(where)
		const cut = cutFor(world, bothDirections(pair), "all", random)
		world.network.resetNear(instance, peer)
		return cut
	}
	if (name === "silence between instances") {
		const scope = random() < STREAMS_SHARE ? "streams" : "datagrams"
		report(`${where}, ${scope}`)
		return cutFor(world, paths, scope, random)
	}
	report(where)
	if (name === "slow link between instances") return slowDown(world, paths, random)
	return cutFor(world, paths, "all", random)
}

/** Cuts an instance off from its peers around the time of another fault, and at times from executors too. */
async function cutOffAround(
	{world, random}: FaultContext,
	instance: string,
	runFault: () => Promise<unknown>,
) {
	const lead = between(-CUT_LAG_MS, CUT_LEAD_MS, random)
	const durationMs = between(MAX_DURATION_MS / 2, MAX_CUT_MS, random)
	const isAlsoFromExecutors = random() < EXECUTORS_TOO_SHARE
	const lagMs = random() * EXECUTORS_LAG_MS
	const paths = bothDirections(pathsToPeers(world, instance))
	const later = async () => {
		await sleep(lagMs)
		await cutFor(world, bothDirections(pathsToExecutors(world, instance)), "all", random)
	}
	const trouble = sleep(Math.max(0, lead)).then(runFault)
	const cut = sleep(Math.max(0, -lead)).then(() => cutFor(world, paths, "all", random, durationMs))
	await Promise.all([trouble, cut, isAlsoFromExecutors ? later() : undefined])
}

/**
 * Kills an instance whose paths are cut, so that no peer sees a closed connection. At times a placer is cut off from its
 * executors shortly after.
 */
async function killUnnoticed({world, random}: FaultContext, instance: string, edge: Edge) {
	const {network} = world
	const paths = bothDirections(pathsToPeers(world, instance))
	const isAlsoFromExecutors = random() < EXECUTORS_TOO_SHARE
	const other = pickInstance(world, random)
	const lagMs = random() * DETECTION_MS
	const downMs = between(MAX_DURATION_MS / 2, MAX_DURATION_MS, random)
	const later = async () => {
		await sleep(lagMs)
		await cutFor(world, bothDirections(pathsToExecutors(world, other)), "all", random)
	}
	for (const [from, to] of paths) network.path(from, to).cut("all")
	const lost = replace(world, edge, "SIGKILL")
	await Promise.all([lost, sleep(downMs), isAlsoFromExecutors ? later() : undefined])
	for (const [from, to] of paths) network.path(from, to).mend({type: "break"})
}

/** Runs a fault of one instance's paths or process. */
async function runInstanceFault(context: FaultContext, name: RoughFault, instance: string) {
	const {world, random, report} = context
	const edge = newestEdges(world.fleet).get(instance) as Edge
	report(instance)
	switch (name) {
		case "cut instance off":
			return cutFor(world, bothDirections(pathsToPeers(world, instance)), "all", random)
		case "cut instance off one way":
			return cutFor(world, oneDirection(pathsToPeers(world, instance), random), "all", random)
		case "cut instance from executors":
			return cutFor(
				world,
				oneOrBothDirections(pathsToExecutors(world, instance), random),
				"all",
				random,
			)
		case "run instance by turns":
			return stutter(edge, random)
		case "run by turns and be cut off":
			return cutOffAround(context, instance, () => stutter(edge, random))
		case "stop and be cut off":
			return cutOffAround(context, instance, () => replace(world, edge, "SIGTERM"))
		case "be lost without a word":
			return killUnnoticed(context, instance, edge)
		case "stand still and be cut off":
			return cutOffAround(context, instance, () => pause(edge, random))
		default:
			return pause(edge, random)
	}
}

/** Runs a fault of a whole failure domain or of all. */
async function runDomainFault(
	{world, random, report}: FaultContext,
	name: RoughFault,
	domain: string,
) {
	const living = () => runningEdges(world.fleet)
	const livingThere = () => living().filter(({failureDomain}) => failureDomain === domain)
	report(name === "lose all instances twice" ? "all" : domain)
	switch (name) {
		case "cut failure domain off":
			return cutFor(world, bothDirections(pathsOutOfDomain(world, domain)), "all", random)
		case "cut failure domain off one way":
			return cutFor(world, oneDirection(pathsOutOfDomain(world, domain), random), "all", random)
		case "lose failure domain":
			return void (await killAll(world, livingThere()))
		case "lose failure domain twice":
			return killTwice(world, livingThere, random)
		default:
			return killTwice(world, living, random)
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
	const context = {world, random, report: (where: string) => onFault(`${name} (${where})`)}
	if (name.includes("between instances")) return runPairFault(context, name, instance)
	if (name.includes("domain") || name.includes("all")) return runDomainFault(context, name, domain)
	return runInstanceFault(context, name, instance)
}
