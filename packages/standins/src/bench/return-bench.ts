/**
 * Measures how soon a fleet serves again after all instances were killed together, with real processes on the platform
 * stand-in. Jobs arrive at an even rate throughout, and callers resubmit as the contract says.
 */
import {
	endEdge,
	handIn,
	startEdges,
	untilPlaced,
	type Edge,
	type EdgeFleet,
} from "../leased/edges.js"
import {startLeasedPlatform, type LeasedPlatform} from "../leased/platform.js"
import {sleep} from "../utils/sleep.js"
import {readUsage} from "./usage.js"

export interface ReturnBenchOptions {
	readonly failureDomains: number
	readonly instancesPerDomain: number
	readonly executorsPerDomain: number
	readonly jobsPerSecond: number
	/** Time between the loss and the restart. */
	readonly downMs: number
	/** Path of the program to start; this build's by default. */
	readonly program?: string
	readonly nodeArgs?: readonly string[]
	/** Settings of placing. */
	readonly placing?: Readonly<Record<string, unknown>>
}

/** Measured times, from the start of the last restarted process unless said otherwise. */
export interface ReturnFigures {
	/** Median time from a process's own start until it listens. */
	readonly listensMs: number
	/** Time until the first and the last claim is written. */
	readonly firstClaimMs: number
	readonly lastClaimMs: number
	/** Time until the first and the last executor has accepted its placer's fence. */
	readonly firstFenceMs: number
	readonly lastFenceMs: number
	readonly firstStartMs: number
	/** Time until the start rate reaches nine tenths of the rate before the loss. */
	readonly rateMs: number
	/** Mean processor time of a process until the first start. */
	readonly cpuToFirstStartMs: number
	/** Share of the jobs of the first two seconds after the loss that were served. */
	readonly served: number
}

const WORK_MS = 60
const TASKS = 4
const CPU = 8_000
const DEADLINE_MS = 1_500
const RESUBMIT_MS = 1_300
const REFUSED_RETRY_MS = 20
const WARM_UP_MS = 4_000
const BEFORE_MS = 2_000
const AFTER_MS = 4_000
const WINDOW_MS = 200
const RECOVERED_SHARE = 0.9

type Line = Readonly<Record<string, unknown>>
const timeOf = (line: Line) => Date.parse(String(line["timestamp"]))
const medianOf = (values: readonly number[]) =>
	[...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? NaN

/**
 * Calls an instance's newest process until there is an answer or the deadline has passed, and resubmits a failed call
 * once. Returns whether the job was served.
 */
async function callUntilServed(edgeNow: () => Edge, id: string): Promise<boolean> {
	const until = performance.now() + DEADLINE_MS
	const job = {count: TASKS, cpu: CPU, estimateMs: WORK_MS, spec: {workMs: WORK_MS}}
	for (let hasFailed = false; ;) {
		const deadlineMs = hasFailed ? DEADLINE_MS : until - performance.now()
		if (deadlineMs <= 0) return false
		try {
			const {status} = await handIn(edgeNow(), id, {...job, deadlineMs})
			if (status !== 502 || hasFailed) return status === 200
		} catch (error) {
			const wasRefused = (error as NodeJS.ErrnoException).code === "ECONNREFUSED"
			if (wasRefused) {
				await sleep(REFUSED_RETRY_MS)
				continue
			}
			if (hasFailed) return false
		}
		hasFailed = true
		await sleep(RESUBMIT_MS)
	}
}

/** Submits jobs until the returned function is called, which resolves to each job's arrival time and result. */
function submitJobs(
	names: readonly string[],
	edgeOf: (name: string) => Edge,
	jobsPerSecond: number,
) {
	const jobs: Promise<{readonly at: number; readonly isServed: boolean}>[] = []
	const startedAt = performance.now()
	let isStopped = false
	async function loop() {
		for (let serial = 0; !isStopped; serial++) {
			await sleep(startedAt + (serial * 1_000) / jobsPerSecond - performance.now())
			const name = names[serial % names.length] as string
			const at = Date.now()
			const call = callUntilServed(() => edgeOf(name), serial.toString(16).padStart(16, "0"))
			jobs.push(call.then(isServed => ({at, isServed})))
		}
	}
	const ended = loop()
	return async () => {
		isStopped = true
		await ended
		return Promise.all(jobs)
	}
}

/** Returns the end of the first window with at least `perWindow` starts, or NaN when there is none. */
function rateReachedAt(starts: readonly number[], from: number, perWindow: number): number {
	for (let at = from; at <= from + AFTER_MS; at += 10) {
		const count = starts.filter(time => time > at - WINDOW_MS && time <= at).length
		if (count >= perWindow) return at
	}
	return NaN
}

async function killAndRestartAll(fleet: EdgeFleet, processes: readonly Edge[], downMs: number) {
	for (const edge of processes) endEdge(edge, "SIGKILL")
	const lostAt = Date.now()
	await Promise.all(processes.map(({exited}) => exited))
	await sleep(downMs)
	const next = await Promise.all(processes.map(edge => fleet.relaunch(edge)))
	return {lostAt, next}
}

function timesOf(edges: readonly Edge[], kind: string): readonly number[] {
	return edges.flatMap(({lines}) => lines.filter(line => line["kind"] === kind).map(timeOf))
}

async function measure(
	platform: LeasedPlatform,
	fleet: EdgeFleet,
	options: ReturnBenchOptions,
	starts: readonly number[],
	launchedAt: ReadonlyMap<Edge, number>,
): Promise<ReturnFigures> {
	const edgeOf = (name: string) => fleet.edges.findLast(edge => edge.name === name) as Edge
	const processes = [...fleet.edges]
	await untilPlaced(fleet, platform.executors.length)
	const stop = submitJobs(
		processes.map(({name}) => name),
		edgeOf,
		options.jobsPerSecond,
	)
	await sleep(WARM_UP_MS + BEFORE_MS)
	const before = starts.filter(time => time > Date.now() - BEFORE_MS).length
	const {lostAt, next} = await killAndRestartAll(fleet, processes, options.downMs)
	const backAt = Math.max(...next.map(edge => launchedAt.get(edge) as number))
	while (!starts.some(time => time > backAt)) await sleep(2)
	const cpu = next.map(({child}) => readUsage(child.pid as number).cpuMs)
	await sleep(AFTER_MS)
	const jobs = (await stop()).filter(({at}) => at >= lostAt && at < lostAt + BEFORE_MS)
	const listens = next.map(edge => {
		const [at = NaN] = timesOf([edge], "started")
		return at - (launchedAt.get(edge) as number)
	})
	const claims = timesOf(next, "placing_begun").map(at => at - backAt)
	const fences = timesOf(next, "fence_taken").map(at => at - backAt)
	const firstStart = starts.find(time => time > backAt) as number
	const perWindow = (before / BEFORE_MS) * WINDOW_MS * RECOVERED_SHARE
	return {
		listensMs: medianOf(listens),
		firstClaimMs: Math.min(...claims),
		lastClaimMs: Math.max(...claims),
		firstFenceMs: Math.min(...fences),
		lastFenceMs: Math.max(...fences),
		firstStartMs: firstStart - backAt,
		rateMs: rateReachedAt(starts, backAt, perWindow) - backAt,
		cpuToFirstStartMs: cpu.reduce((sum, ms) => sum + ms, 0) / cpu.length,
		served: jobs.filter(({isServed}) => isServed).length / jobs.length,
	}
}

/** Runs the benchmark once. All started processes are always ended. */
export async function runReturnBench(options: ReturnBenchOptions): Promise<ReturnFigures> {
	const domains = Array.from({length: options.failureDomains}, (_, at) => `d${at + 1}`)
	const starts: number[] = []
	const platform = await startLeasedPlatform({
		failureDomains: domains,
		executorsPerDomain: options.executorsPerDomain,
		onRecord: ({kind}) => void (kind === "start" && starts.push(Date.now())),
	})
	platform.putConfig(1)
	const perDomain = Array.from({length: options.instancesPerDomain}, (_, at) => at + 1)
	const names = domains.flatMap(domain => perDomain.map(at => [`${domain}-${at}`, domain] as const))
	const launchedAt = new Map<Edge, number>()
	const {program, nodeArgs, placing} = options
	const onLaunch = (edge: Edge) => void launchedAt.set(edge, Date.now())
	const fleet = await startEdges(platform, names, {program, nodeArgs, placing, onLaunch})
	try {
		return await measure(platform, fleet, options, starts, launchedAt)
	} finally {
		await fleet.close()
		await platform.close()
	}
}
