/**
 * Soak faults of processes, as the platform and its machines bring them about: changed settings with SIGHUP at any
 * moment of a life, ports that are still taken, and ends during the start.
 */
import {fileURLToPath} from "node:url"
import {isRunning, type Edge} from "../leased/edges.js"
import {holdPort} from "../leased/ports.js"
import {varySettings} from "../leased/settings-file.js"
import {pick, seededRandom} from "../utils/random.js"
import {sleep} from "../utils/sleep.js"
import {planFaultsOf, type PlannedFaultOf} from "./fault-plan.js"
import {endForReplacement, runningEdges, type LeasedWorld} from "./leased-faults.js"

export const PROCESS_FAULTS = Object.freeze([
	"hang up",
	"hang up again and again",
	"change settings without a signal",
	"restart and hang up",
	"restart all and hang up",
	"stop and hang up",
	"freeze and hang up",
	"hang up without the store",
	"restart with a port taken",
	"stop during the start",
] as const)
export type ProcessFault = (typeof PROCESS_FAULTS)[number]
export type PlannedProcessFault = PlannedFaultOf<ProcessFault>

const PLAN_SEED = 5_000_011
/** Shorter than most of these faults, so that they overlap. */
const MAX_PAUSE_MS = 1_200
/** Time after the start of a process within which signals come; longer than a start on a busy machine. */
const START_MS = 400
const MAX_START_SIGNALS = 3
const FROM_BEGIN_SHARE = 0.6
const MAX_BURST = 12
const MAX_BURST_PAUSE_MS = 60
/** Longer than an instance takes to leave. */
const LEAVING_MS = 4_000
const MAX_FREEZE_MS = 1_500
const STORE_DOWN_MS = 1_500
const MAX_HELD_MS = 1_000
const MAX_HALF_MS = 50
const HALF_SHARE = 0.5
const VARIED_SHARE = 0.5
const ALL_SHARE = 0.3

/** The program and the runtime's arguments as in deploy/system.toml; the bundle must have been built. */
const BUNDLE = fileURLToPath(new URL("../../../../target/cottonwood.cjs", import.meta.url))
const RUNTIME_ARGS = ["--max-old-space-size=160"]

/** Options of instances that run as deployed, with the marks that tell too early signals from others. */
export const deployed = (preloads: readonly string[]) => ({
	program: BUNDLE,
	nodeArgs: [...RUNTIME_ARGS, ...preloads],
	marksBegin: true,
})

export const planProcessFaults = (seed: number, count: number) =>
	planFaultsOf(seed + PLAN_SEED, PROCESS_FAULTS, count, MAX_PAUSE_MS)

export const isProcessFault = (fault: {readonly name: string}): fault is PlannedProcessFault =>
	(PROCESS_FAULTS as readonly string[]).includes(fault.name)

interface FaultContext {
	readonly world: LeasedWorld
	readonly random: () => number
}

/** Lays the settings file anew, at times in two steps, at times with other fields. */
async function changeSettings({world, random}: FaultContext, edge: Edge) {
	const isVaried = random() < VARIED_SHARE
	const halfMs = random() < HALF_SHARE ? 1 + random() * MAX_HALF_MS : 0
	await world.fleet.laySettings(
		edge,
		settings => (isVaried ? varySettings(settings, random) : settings),
		halfMs,
	)
}

/** Changes the settings as the platform does, with SIGHUP after. */
async function hangUp(context: FaultContext, edge: Edge) {
	await changeSettings(context, edge)
	if (isRunning(edge)) edge.life.hangUp()
}

async function hangUpOften(context: FaultContext, edge: Edge, forMs = Infinity) {
	const {random} = context
	const until = performance.now() + forMs
	const times = 1 + Math.floor(random() * MAX_BURST)
	for (let at = 0; at < times && isRunning(edge) && performance.now() < until; at++) {
		await hangUp(context, edge)
		await sleep(random() * MAX_BURST_PAUSE_MS)
	}
}

/**
 * Sends signals at random moments of a start, counted from the start of the process or from the program's beginning,
 * which a busy machine delays.
 */
async function hangUpDuringStart(context: FaultContext, edge: Edge) {
	const {random} = context
	const times = 1 + Math.floor(random() * MAX_START_SIGNALS)
	const moments = Array.from({length: times}, () => ({
		ms: random() * START_MS,
		isFromBegin: random() < FROM_BEGIN_SHARE,
	}))
	await Promise.all(
		moments.map(async ({ms, isFromBegin}) => {
			if (isFromBegin) await edge.life.begun
			await sleep(ms)
			await hangUp(context, edge)
		}),
	)
}

/** Ends an instance and starts it again with settings that may have changed. Resolves to undefined when another fault does. */
async function startAnew(
	{world, random}: FaultContext,
	edge: Edge,
	signal: "SIGKILL" | "SIGTERM",
	peerPort?: number,
): Promise<Edge | undefined> {
	const vary = random() < VARIED_SHARE ? varySettings : undefined
	if (!(await endForReplacement(edge, signal))) return undefined
	return world.fleet.relaunch(edge, {
		peerPort,
		vary: settings => vary?.(settings, random) ?? settings,
	})
}

async function restartAndHangUp(context: FaultContext, edge: Edge) {
	const signal = context.random() < 0.5 ? "SIGKILL" : "SIGTERM"
	const next = await startAnew(context, edge, signal)
	if (next) await hangUpDuringStart(context, next)
}

async function restartAllAndHangUp(context: FaultContext, edges: readonly Edge[]) {
	const {random} = context
	const signal = random() < 0.5 ? "SIGKILL" : "SIGTERM"
	const started = await Promise.all(edges.map(edge => startAnew(context, edge, signal)))
	const next = started.filter(edge => edge !== undefined)
	await Promise.all(next.map(edge => hangUpDuringStart(context, edge)))
}

async function stopAndHangUp(context: FaultContext, edge: Edge) {
	const started = startAnew(context, edge, "SIGTERM")
	const isOver = sleep(LEAVING_MS)
	const signals = async () => {
		await sleep(context.random() * START_MS)
		while (isRunning(edge)) {
			await hangUp(context, edge)
			await sleep(context.random() * START_MS)
		}
	}
	await Promise.all([started, Promise.race([signals(), isOver])])
}

async function freezeAndHangUp(context: FaultContext, edge: Edge) {
	edge.child.kill("SIGSTOP")
	await Promise.all([
		hangUpOften(context, edge, MAX_FREEZE_MS),
		sleep(context.random() * MAX_FREEZE_MS),
	])
	edge.child.kill("SIGCONT")
}

async function hangUpWithoutStore(context: FaultContext, edge: Edge) {
	const {faults} = context.world.platform.store
	faults.down = "silent"
	const isMended = sleep(STORE_DOWN_MS).then(() => void (faults.down = undefined))
	await Promise.all([isMended, restartAndHangUp(context, edge)])
}

/** Starts an instance again while another socket still listens at one of its ports. */
async function restartWithPortTaken(context: FaultContext, edge: Edge) {
	const {random, world} = context
	const [ip, port] = pick([edge.callers, edge.readiness, edge.peers], random).split(":")
	const peerPort = Number(edge.peers.split(":")[1])
	const heldMs = random() * MAX_HELD_MS
	if (!(await endForReplacement(edge, "SIGKILL"))) return
	const holder = await holdPort(ip as string, Number(port))
	await world.fleet.relaunch(edge, {peerPort})
	await sleep(heldMs)
	holder?.close()
}

async function stopDuringStart(context: FaultContext, edge: Edge) {
	const next = await startAnew(context, edge, "SIGKILL")
	if (!next) return
	if (context.random() < FROM_BEGIN_SHARE) await next.life.begun
	await sleep(context.random() * START_MS)
	await startAnew(context, next, "SIGTERM")
}

/** Injects one fault, reports its name and instance, and resolves once it is removed. */
export async function runProcessFault(
	world: LeasedWorld,
	{name, seed}: PlannedProcessFault,
	onFault: (text: string) => void,
): Promise<void> {
	const random = seededRandom(seed)
	const context = {world, random}
	const living = runningEdges(world.fleet)
	const edge = pick(living, random)
	onFault(`${name} (${edge?.name ?? "none living"})`)
	if (!edge) return
	switch (name) {
		case "hang up":
			return hangUp(context, edge)
		case "hang up again and again": {
			const edges = random() < ALL_SHARE ? living : [edge]
			return void (await Promise.all(edges.map(one => hangUpOften(context, one))))
		}
		case "change settings without a signal":
			return changeSettings(context, edge)
		case "restart and hang up":
			return restartAndHangUp(context, edge)
		case "restart all and hang up":
			return restartAllAndHangUp(context, living)
		case "stop and hang up":
			return stopAndHangUp(context, edge)
		case "freeze and hang up":
			return freezeAndHangUp(context, edge)
		case "hang up without the store":
			return hangUpWithoutStore(context, edge)
		case "restart with a port taken":
			return restartWithPortTaken(context, edge)
		case "stop during the start":
			return stopDuringStart(context, edge)
	}
}
