/**
 * Measures the fleet's processor time per job: real instances on the platform stand-in, with jobs of three shapes
 * arriving at an even rate. Processor time is read from the operating system, without startup and warm-up.
 */
import {
	endEdge,
	startEdges,
	handIn,
	untilPlaced,
	type Edge,
	type EdgeFleet,
} from "../leased/edges.js"
import {startLeasedPlatform, type LeasedPlatform} from "../leased/platform.js"
import {readUsage} from "./usage.js"
import {sleep} from "../utils/sleep.js"

export interface JobsBenchOptions {
	readonly failureDomains: number
	readonly instancesPerDomain: number
	readonly executorsPerDomain: number
	readonly jobsPerSecond: number
	readonly seconds: number
	/** Arguments of Node.js, e.g. for a profile. */
	readonly nodeArgs?: readonly string[]
}

export interface JobsBenchFigures {
	readonly jobs: number
	/** Jobs that were not answered with success. */
	readonly failures: number
	/** Processor time of all instances per job. */
	readonly cpuMsPerJob: number
	/** Processor time of the placers per job. */
	readonly placersCpuMsPerJob: number
	/** Processor time of the other instances per job. */
	readonly othersCpuMsPerJob: number
	/** Processor time of all instances per second without jobs. */
	readonly idleCpuMsPerSecond: number
	/** Percentiles of the answer time, less the time of one task. */
	readonly p50Ms: number
	readonly p95Ms: number
}

interface JobShape {
	readonly weight: number
	readonly count: number
	readonly workMs: number
}

/** Job shapes by share of arrivals. */
const SHAPES: readonly JobShape[] = [
	{weight: 0.25, count: 8, workMs: 60},
	{weight: 0.04, count: 4, workMs: 900},
	{weight: 0.71, count: 2, workMs: 200},
]
const IDLE_MS = 3_000
/** Keeps the compilation of code out of the measurement. */
const WARM_UP_MS = 3_000
const MS_PER_S = 1_000

/** Returns the shape of the job, by weight and the same in each run. */
function shapeOf(serial: number): JobShape {
	let place = ((serial * 0.618_033_988_7) % 1) - 1e-9
	for (const shape of SHAPES) {
		place -= shape.weight
		if (place < 0) return shape
	}
	return SHAPES[SHAPES.length - 1] as JobShape
}

async function submitJobs(
	fleet: EdgeFleet,
	options: JobsBenchOptions,
	durationMs: number,
	prefix: string,
) {
	const tookMs: number[] = []
	let failures = 0
	const calls: Promise<void>[] = []
	const startedAt = performance.now()
	for (let serial = 0; ; serial++) {
		const dueInMs = startedAt + (serial * MS_PER_S) / options.jobsPerSecond - performance.now()
		if (dueInMs > 0) await sleep(dueInMs)
		if (performance.now() - startedAt > durationMs) break
		const edge = fleet.edges[serial % fleet.edges.length] as Edge
		calls.push(callOnce(edge, prefix + serial.toString(16).padStart(12, "0"), shapeOf(serial)))
	}
	await Promise.all(calls)
	return {jobs: calls.length, failures, tookMs: tookMs.sort((a, b) => a - b)}

	async function callOnce(edge: Edge, id: string, {count, workMs}: JobShape) {
		const sentAt = performance.now()
		const answer = await handIn(edge, id, {count, cpu: 8_000, spec: {workMs}}).catch(
			() => undefined,
		)
		if (answer?.status !== 200) failures++
		tookMs.push(performance.now() - sentAt - workMs)
	}
}

function cpuMsOf(edges: readonly Edge[]): number {
	return edges.reduce((sum, {child}) => sum + readUsage(child.pid as number).cpuMs, 0)
}

function placersOf(fleet: EdgeFleet, platform: LeasedPlatform, domains: readonly string[]) {
	const names = domains.map(domain => {
		const claim = platform.store.read(`fleet/claim/${domain}`) as {placer: {name: string}}
		return claim.placer.name
	})
	return fleet.edges.filter(({name}) => names.includes(name))
}

/** Runs the benchmark once. All started processes are always ended. */
export async function runJobsBench(options: JobsBenchOptions): Promise<JobsBenchFigures> {
	const domains = Array.from({length: options.failureDomains}, (_, at) => `d${at + 1}`)
	const platform = await startLeasedPlatform({
		failureDomains: domains,
		executorsPerDomain: options.executorsPerDomain,
	})
	platform.putConfig(1)
	const names = domains.flatMap(domain =>
		Array.from(
			{length: options.instancesPerDomain},
			(_, at) => [`${domain}-${at + 1}`, domain] as const,
		),
	)
	const fleet = await startEdges(platform, names, {nodeArgs: options.nodeArgs})
	try {
		await untilPlaced(fleet, platform.executors.length)
		await submitJobs(fleet, options, WARM_UP_MS, "aaaa")
		const beforeIdle = cpuMsOf(fleet.edges)
		await sleep(IDLE_MS)
		const idleCpuMs = cpuMsOf(fleet.edges) - beforeIdle
		const placers = placersOf(fleet, platform, domains)
		const others = fleet.edges.filter(edge => !placers.includes(edge))
		const before = {placers: cpuMsOf(placers), others: cpuMsOf(others)}
		const load = await submitJobs(fleet, options, options.seconds * MS_PER_S, "bbbb")
		const placersMs = cpuMsOf(placers) - before.placers
		const othersMs = cpuMsOf(others) - before.others
		const at = (share: number) => load.tookMs[Math.floor(load.tookMs.length * share)] ?? 0
		return {
			jobs: load.jobs,
			failures: load.failures,
			cpuMsPerJob: (placersMs + othersMs) / load.jobs,
			placersCpuMsPerJob: placersMs / load.jobs,
			othersCpuMsPerJob: othersMs / load.jobs,
			idleCpuMsPerSecond: idleCpuMs / (IDLE_MS / MS_PER_S),
			p50Ms: at(0.5),
			p95Ms: at(0.95),
		}
	} finally {
		await stopAll(fleet)
		await platform.close()
	}
}

/** Sends SIGTERM first, because Node.js writes a profile only on a regular exit. */
async function stopAll(fleet: EdgeFleet) {
	for (const edge of fleet.edges) endEdge(edge, "SIGTERM")
	const timeout = sleep(12 * MS_PER_S)
	await Promise.race([Promise.all(fleet.edges.map(({exited}) => exited)), timeout])
	await fleet.close()
}
