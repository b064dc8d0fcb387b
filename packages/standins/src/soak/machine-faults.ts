/**
 * Soak faults of machines and operators: evacuated failure domains, executors that lose capacity or are crashed by a
 * task, and suspended instances.
 */
import {handIn} from "../leased/edges.js"
import {pick, seededRandom} from "../utils/random.js"
import {checkConfiguration} from "./configuration-check.js"
import {planFaultsOf, type PlannedFaultOf} from "./fault-plan.js"
import {runningEdges, type LeasedWorld} from "./leased-faults.js"
import {sleep} from "../utils/sleep.js"

export const MACHINE_FAULTS = Object.freeze([
	"empty failure domain",
	"shrink executors",
	"suspend instance",
	"tasks that crash executors",
] as const)
export type MachineFault = (typeof MACHINE_FAULTS)[number]
export type PlannedMachineFault = PlannedFaultOf<MachineFault>

/** Module that instances preload so that they can be suspended. */
export const SUSPENDABLE = new URL("../leased/suspendable.js", import.meta.url).href

const PLAN_SEED = 4_000_037
const MAX_PAUSE_MS = 5_000
const MIN_DURATION_MS = 500
const MAX_DURATION_MS = 4_000
/** Remaining CPU of a shrunk executor, enough for one task of the callers. */
const SHRUNK_CPU = 30_000
const FULL_CPU = 64_000
const SHRUNK_SHARE = 0.4
const MAX_SUSPENSIONS = 3
const SUSPENSION_INTERVAL_MS = 900
const CRASHING_JOBS = 2
/** Contract limit: three crashed executors, then two more starts. */
const MAX_CRASHING_STARTS = 5
const PROPAGATION_MS = 2_500
const PROBES = 6

const drawDurationMs = (random: () => number) =>
	MIN_DURATION_MS + random() * (MAX_DURATION_MS - MIN_DURATION_MS)
const evacuationKey = (domain: string) => `op/evacuate/${domain}`
const domainsOf = ({platform}: LeasedWorld) => [
	...new Set(platform.executors.map(({failureDomain}) => failureDomain)),
]

export const planMachineFaults = (seed: number, count: number) =>
	planFaultsOf(seed + PLAN_SEED, MACHINE_FAULTS, count, MAX_PAUSE_MS)

export const isMachineFault = (fault: {readonly name: string}): fault is PlannedMachineFault =>
	(MACHINE_FAULTS as readonly string[]).includes(fault.name)

async function evacuateDomain({platform}: LeasedWorld, domain: string, random: () => number) {
	platform.store.write(evacuationKey(domain), {})
	await sleep(drawDurationMs(random))
	platform.store.remove(evacuationKey(domain))
}

async function shrinkExecutors({platform}: LeasedWorld, random: () => number) {
	const shrunk = platform.executors.filter(() => random() < SHRUNK_SHARE)
	for (const hosted of shrunk) platform.resize(hosted, SHRUNK_CPU)
	await sleep(drawDurationMs(random))
	for (const hosted of shrunk) platform.resize(hosted, FULL_CPU)
}

async function suspendInstance(world: LeasedWorld, random: () => number) {
	const edge = pick(runningEdges(world.fleet), random)
	const times = 1 + Math.floor(random() * MAX_SUSPENSIONS)
	for (let at = 0; at < times; at++) {
		// Before its first line the instance may not listen for the signal yet, which would end it.
		if (edge && edge.lines.length > 0) edge.child.kill("SIGUSR2")
		await sleep(SUSPENSION_INTERVAL_MS)
	}
}

const idOf = (seed: number, at: number) =>
	(seed * CRASHING_JOBS + at).toString(16).padStart(16, "c")

async function crashExecutors(world: LeasedWorld, seed: number, random: () => number) {
	const spec = {workMs: 300, crashes: true}
	const calls = Array.from({length: CRASHING_JOBS}, (_, at) => {
		const edge = pick(runningEdges(world.fleet), random)
		return edge && handIn(edge, idOf(seed, at), {spec}).catch(() => undefined)
	})
	await Promise.all(calls)
}

/** Injects one fault, reports its name and resolves once it is removed. */
export async function runMachineFault(
	world: LeasedWorld,
	{name, seed}: PlannedMachineFault,
	onFault: (text: string) => void,
): Promise<void> {
	const random = seededRandom(seed)
	onFault(name)
	switch (name) {
		case "empty failure domain":
			return evacuateDomain(world, pick(domainsOf(world), random), random)
		case "shrink executors":
			return shrinkExecutors(world, random)
		case "suspend instance":
			return suspendInstance(world, random)
		case "tasks that crash executors":
			return crashExecutors(world, seed, random)
	}
}

/**
 * Checks, after all faults, that operators' changes take effect and that no task exceeded its start limit. Returns the
 * violations.
 */
export async function checkOperators(
	world: LeasedWorld,
	seed: number,
	machineFaults: number,
): Promise<readonly string[]> {
	const behind = await checkConfiguration(world)
	if (machineFaults === 0) return behind
	const late = await checkEvacuation(world)
	return [...behind, ...late, ...checkCrashingStarts(world, planMachineFaults(seed, machineFaults))]
}

/** Returns a violation for each crashing task that was started more often than the contract allows. */
function checkCrashingStarts(
	{platform}: LeasedWorld,
	faults: readonly PlannedMachineFault[],
): readonly string[] {
	const crashing = faults.filter(({name}) => name === "tasks that crash executors")
	const tasks = crashing.flatMap(({seed}) =>
		Array.from({length: CRASHING_JOBS}, (_, at) => `${idOf(seed, at)}.0.0.0`),
	)
	return tasks
		.filter(task => platform.startsOf(task) > MAX_CRASHING_STARTS)
		.map(task => `BUDGET: ${task} was started ${platform.startsOf(task)} times`)
}

/** Checks that an evacuated domain gets no new starts, whichever instance receives the job. */
async function checkEvacuation(world: LeasedWorld): Promise<readonly string[]> {
	const {platform} = world
	const [domain = ""] = domainsOf(world)
	const startsThere = () =>
		platform.executors
			.filter(({failureDomain}) => failureDomain === domain)
			.reduce((sum, {executor}) => sum + executor.starts, 0)
	platform.store.write(evacuationKey(domain), {})
	await sleep(PROPAGATION_MS)
	const before = startsThere()
	const edges = runningEdges(world.fleet)
	const probes = Array.from({length: PROBES}, (_, at) => {
		const edge = edges[at % edges.length]
		return edge && handIn(edge, idOf(1, at + CRASHING_JOBS)).catch(() => undefined)
	})
	await Promise.all(probes)
	const later = startsThere() - before
	platform.store.remove(evacuationKey(domain))
	return later > 0 ? [`EVAC: ${later} starts in ${domain} after ${PROPAGATION_MS} ms`] : []
}
