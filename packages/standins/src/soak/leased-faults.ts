/**
 * Faults of the platform soak, injected from outside the program: links that are cut, slow or reset, signals, and a
 * failing store or executors. Faults overlap.
 */
import {endEdge, isRunning, type Edge, type EdgeFleet} from "../leased/edges.js"
import type {HostedExecutor, LeasedPlatform} from "../leased/platform.js"
import type {Link} from "../fleet/link.js"
import {sleep} from "../utils/sleep.js"
import {pick} from "../utils/random.js"

export const LEASED_FAULTS = Object.freeze([
	"kill instance",
	"kill all instances",
	"stop instance",
	"freeze instance",
	"store down",
	"store busy",
	"store slow",
	"store loses answers",
	"store forgets history",
	"cut from store",
	"reset connections to store",
	"cut executor",
	"lose executor answers",
	"slow executor link",
	"reset executor",
	"crash executor",
	"executor fails all",
	"executor hangs",
	"executor carries out late",
	"executors leave orders unanswered",
	"new configuration",
] as const)
export type LeasedFault = (typeof LEASED_FAULTS)[number]

export interface LeasedWorld {
	readonly platform: LeasedPlatform
	readonly fleet: EdgeFleet
	/** Links to executors, by failure domain and number. */
	readonly executorLinks: ReadonlyMap<string, Link>
	/** Links to the store, by instance name. */
	readonly storeLinks: ReadonlyMap<string, Link>
	readonly random: () => number
	/** Duration of a lasting fault. */
	readonly durationMs: number
	/** Whether a fault that ends an instance waits until the restarted instance is ready. */
	readonly waitsForReadiness: boolean
	/** Silences all connections between instances that run through links. */
	readonly silencePeers: () => void
	/** Version of the newest configuration. */
	configVersion: number
}

const SLOW_STORE_MS = 250
const SLOW_LINK_MS = 120
const LATE_MS = 2_500
const LATE_STARTS = 3
const LOST_WRITES = 4
/** Share of all orders that get no answer and are carried out late. */
const UNANSWERED_SHARE = 0.3
const UNANSWERED_LATE_MS = 4_000
/** Duration factor, so that handovers happen during the fault. */
const UNANSWERED_DURATION_FACTOR = 4

/** Newest process of each instance, by name. */
export const newestEdges = ({edges}: EdgeFleet): ReadonlyMap<string, Edge> =>
	new Map(edges.map(edge => [edge.name, edge]))

/** Returns the newest process of each instance that is still running. */
export function runningEdges(fleet: EdgeFleet): readonly Edge[] {
	return [...newestEdges(fleet).values()].filter(isRunning)
}

/** Processes that are being replaced. A second fault may signal them again but starts no second replacement. */
const replacing = new WeakSet<Edge>()

/**
 * Ends an instance with the signal. Resolves, once it has ended, to whether the caller has to start it again; otherwise
 * another fault or the fleet does.
 */
export async function endForReplacement(edge: Edge, signal: "SIGKILL" | "SIGTERM") {
	// The fleet starts an instance again that ended by itself.
	if (!isRunning(edge)) return false
	endEdge(edge, signal)
	if (replacing.has(edge)) return false
	replacing.add(edge)
	await edge.exited
	return true
}

/** Ends an instance with the signal and restarts it once. */
export async function replace(
	{fleet, waitsForReadiness}: LeasedWorld,
	edge: Edge,
	signal: "SIGKILL" | "SIGTERM",
) {
	if (!(await endForReplacement(edge, signal))) return
	await (waitsForReadiness ? fleet.restart(edge) : fleet.relaunch(edge))
}

async function applyFor({durationMs}: LeasedWorld, begin: () => void, end: () => void) {
	begin()
	await sleep(durationMs)
	end()
}

async function failStore(world: LeasedWorld, name: LeasedFault) {
	const {faults} = world.platform.store
	switch (name) {
		case "store down":
		case "store busy": {
			const how = name === "store down" ? "silent" : "busy"
			const begin = () => void (faults.down = how)
			return applyFor(world, begin, () => void (faults.down = undefined))
		}
		case "store slow": {
			const begin = () => void (faults.slowMs = SLOW_STORE_MS)
			return applyFor(world, begin, () => void (faults.slowMs = undefined))
		}
		case "store loses answers":
			return void (faults.loseAnswers = LOST_WRITES)
		default:
			return world.platform.store.forgetHistory()
	}
}

async function failExecutor(world: LeasedWorld, name: LeasedFault, hosted: HostedExecutor) {
	const {faults} = hosted.executor
	switch (name) {
		case "crash executor":
			return world.platform.restart(hosted)
		case "executor carries out late":
			return void (faults.lateStarts = {count: LATE_STARTS, delayMs: LATE_MS})
		case "executor fails all": {
			const begin = () => void (faults.failAll = true)
			return applyFor(world, begin, () => void (faults.failAll = false))
		}
		default: {
			const begin = () => void (faults.hang = true)
			return applyFor(world, begin, () => void (faults.hang = false))
		}
	}
}

async function leaveUnanswered({platform, random, durationMs}: LeasedWorld) {
	const lateOrders = () =>
		random() < UNANSWERED_SHARE ? LATE_MS + random() * UNANSWERED_LATE_MS : undefined
	for (const {executor} of platform.executors) executor.faults.lateOrders = lateOrders
	await sleep(durationMs * UNANSWERED_DURATION_FACTOR)
	for (const {executor} of platform.executors) executor.faults.lateOrders = undefined
}

async function failLink(world: LeasedWorld, name: LeasedFault, link: Link) {
	if (name.startsWith("reset")) return link.reset()
	const begin = () => {
		if (name === "lose executor answers") link.cutAnswers()
		else if (name === "slow executor link") link.delay(SLOW_LINK_MS)
		else link.cut()
	}
	return applyFor(world, begin, () => link.mend())
}

/** Injects one fault, reports its name and place, and resolves once it is removed. */
export async function runLeasedFault(
	world: LeasedWorld,
	name: LeasedFault,
	onFault: (text: string) => void,
): Promise<void> {
	const {platform, fleet, random, executorLinks, storeLinks} = world
	const living = runningEdges(fleet)
	const edge = pick(living, random)
	const hosted = pick(platform.executors, random)
	const executorLink = pick([...executorLinks.values()], random)
	onFault(`${name} (${edge?.name ?? "none living"}, ${hosted.executor.id})`)
	if (name.startsWith("store")) return failStore(world, name)
	switch (name) {
		case "kill all instances":
			return void (await Promise.all(living.map(one => replace(world, one, "SIGKILL"))))
		case "kill instance":
		case "stop instance":
			if (!edge) return
			return replace(world, edge, name === "kill instance" ? "SIGKILL" : "SIGTERM")
		case "freeze instance":
			if (!edge) return
			return applyFor(
				world,
				() => void edge.child.kill("SIGSTOP"),
				() => void edge.child.kill("SIGCONT"),
			)
		case "executors leave orders unanswered":
			return leaveUnanswered(world)
		case "new configuration":
			return platform.putConfig((world.configVersion += 1 + Math.floor(random() * 3)))
		case "cut from store":
		case "reset connections to store":
			return failLink(world, name, pick([...storeLinks.values()], random))
		case "cut executor":
		case "lose executor answers":
		case "slow executor link":
		case "reset executor":
			return failLink(world, name, executorLink)
		default:
			return failExecutor(world, name, hosted)
	}
}
