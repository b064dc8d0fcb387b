/**
 * Starts real instances of the program on loopback against the platform stand-in, and sends them jobs.
 * Used by tests, soaks and benchmarks.
 */
import {spawn, type ChildProcess, type StdioOptions} from "node:child_process"
import {mkdtempSync, rmSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {fileURLToPath} from "node:url"
import {request} from "undici"
import {sleep} from "../utils/sleep.js"
import {earlyHangUpsOf, faultsOf, watchLife, type Life, type ProcessEnd} from "./ends.js"
import {freePort} from "./ports.js"
import {laySettings, settingsOf, type Settings} from "./settings-file.js"
import {HOST, PREFIX, type LeasedPlatform} from "./platform.js"
import type {StandInSpec} from "./wire-executor.js"

/** `COTTONWOOD_PROGRAM` runs another build of the program. */
const PROGRAM =
	process.env["COTTONWOOD_PROGRAM"] ??
	fileURLToPath(new URL("../../../../platform/dist/bin.js", import.meta.url))
/** Generous, so that a busy test machine doesn't cause refusals for jobs that cannot be in time. */
const MIN_ESTIMATE_MS = 2_000
const DEFAULT_DEADLINE_MS = 10_000
const READY_POLL_MS = 50
const READY_TRIES = 200
/** How long the platform waits until it starts a process that ended by itself again. */
const RESTART_DELAY_MS = 100
const BEGUN = new URL("./begun.js", import.meta.url).href

export interface Edge {
	readonly name: string
	readonly failureDomain: string
	readonly callers: string
	readonly readiness: string
	/** The address for peers, as host:port. */
	readonly peers: string
	readonly child: ChildProcess
	/** Log lines written so far, parsed. */
	readonly lines: readonly Readonly<Record<string, unknown>>[]
	readonly exited: Promise<number | null>
	readonly life: Life
	/** The settings file, and what stands in it. */
	readonly settings: {readonly file: string; readonly value: Settings}
}

export interface EdgeFleet {
	readonly edges: readonly Edge[]
	/** Starts another instance and waits until it is ready. */
	start(name: string, failureDomain: string): Promise<Edge>
	/** Starts an instance again under its name and addresses, on a new peer port, and waits until it is ready. */
	restart(edge: Edge): Promise<Edge>
	/** Like `restart`, without waiting for readiness. */
	relaunch(edge: Edge): Promise<Edge>
	/** One line for each process that ended although nobody asked for it, and for each that was not ready in time. */
	faults(): readonly string[]
	/** One line for each process that a SIGHUP ended before the program began. */
	earlyHangUps(): readonly string[]
	/** Kills all processes. Rejects when there were faults, unless ended processes are restarted. */
	close(): Promise<void>
}

export interface EdgeAnswer {
	readonly status: number
	readonly body: unknown
	readonly retryAfter: string | undefined
}

/** The last line of a process that is killed may be cut off. */
function parseLine(line: string): Record<string, unknown> {
	try {
		return JSON.parse(line) as Record<string, unknown>
	} catch {
		return {kind: "unreadable", line}
	}
}

function collectLines(child: ChildProcess, lines: Record<string, unknown>[]) {
	let rest = ""
	child.stdout?.on("data", (chunk: Buffer) => {
		const parts = (rest + chunk.toString("utf8")).split("\n")
		rest = parts.pop() ?? ""
		for (const part of parts) if (part.startsWith("{")) lines.push(parseLine(part))
	})
}

/** Waits until as many `fence_taken` events as executors are logged; rejects after 10 s. */
export async function untilPlaced(fleet: EdgeFleet, executors: number) {
	for (let tries = 0; tries < READY_TRIES; tries++) {
		const lines = fleet.edges.flatMap(edge => edge.lines)
		const fenced = lines.filter(line => line["kind"] === "fence_taken")
		if (fenced.length >= executors) return
		await new Promise(resolve => setTimeout(resolve, READY_POLL_MS))
	}
	throw new Error("not every executor has taken a fence in time")
}

export async function isReady(edge: Edge): Promise<boolean> {
	try {
		const res = await request(`http://${edge.readiness}/ready`)
		await res.body.dump()
		return res.statusCode === 200
	} catch {
		return false
	}
}

/** Submits a job of identical tasks; rejects when the connection breaks. */
export async function handIn(
	edge: Edge,
	id: string,
	options: {
		readonly count?: number
		readonly cpu?: number
		readonly estimateMs?: number
		readonly deadlineMs?: number
		readonly spec?: Partial<StandInSpec>
		readonly body?: object
		readonly signal?: AbortSignal
	} = {},
): Promise<EdgeAnswer> {
	const cpu = options.cpu ?? 27_000
	const spec: StandInSpec = {workMs: 60, cpu, ...options.spec}
	const estimate = options.estimateMs ?? Math.max(spec.workMs, MIN_ESTIMATE_MS)
	const step = {count: options.count ?? 1, cpu, "mem-mb": 64, "est-ms": estimate}
	const body = {spec: JSON.stringify(spec), steps: [step], "best-effort": true, ...options.body}
	const res = await request(`http://${edge.callers}${PREFIX}${id}`, {
		method: "POST",
		headers: {
			host: HOST,
			"content-type": "application/json",
			"x-deadline-ms": String(options.deadlineMs ?? DEFAULT_DEADLINE_MS),
		},
		body: JSON.stringify(body),
		signal: options.signal,
	})
	const text = await res.body.text()
	return {
		status: res.statusCode,
		body: text === "" ? undefined : JSON.parse(text),
		retryAfter: res.headers["retry-after"]?.toString(),
	}
}

/** Reads a kept job's state, or cancels the job with DELETE. */
export async function askJob(
	edge: Edge,
	id: string,
	method: "GET" | "DELETE" = "GET",
): Promise<EdgeAnswer> {
	const headers = {host: HOST}
	const res = await request(`http://${edge.callers}${PREFIX}${id}`, {method, headers})
	const text = await res.body.text()
	return {
		status: res.statusCode,
		body: text === "" ? undefined : JSON.parse(text),
		retryAfter: res.headers["retry-after"]?.toString(),
	}
}

export interface EdgesOptions {
	/** The store address for an instance; the platform's own by default. */
	readonly storeAddressOf?: (name: string) => string
	/** Arguments of Node.js, for a profile or a preloaded module. */
	readonly nodeArgs?: readonly string[]
	/** The IP address of an instance; 127.0.0.1 by default. */
	readonly ipOf?: (name: string) => string
	/** An instance's `cpu-share` in cores; the largest of a failure domain is its placer. */
	readonly cpuShareOf?: (name: string) => number
	/** Additional environment variables of an instance. */
	readonly envOf?: (name: string) => Readonly<Record<string, string>>
	/** The settings for `COTTONWOOD_PLACING`; empty by default. */
	readonly placing?: Readonly<Record<string, unknown>>
	/** The path of another build of the program. */
	readonly program?: string
	/** How long the first instances and those of `start` may take until they are ready, in milliseconds. */
	readonly readyMs?: number
	/** Called for each process that is started. */
	readonly onLaunch?: (edge: Edge) => void
	/**
	 * Starts a process that ended by itself again, as the platform does, and leaves the faults to whoever started the
	 * instances.
	 */
	readonly restartsEnded?: boolean
	/** Marks when a program that consists of a start script and its code begins to load its code. */
	readonly marksBegin?: boolean
}

/** Ends an instance's process on purpose. Any other end is a fault. */
export const endEdge = ({life}: Edge, signal: NodeJS.Signals) => life.end(signal)

/** Whether the instance's process has not ended. */
export const isRunning = ({child}: Edge) => child.exitCode === null && child.signalCode === null

export async function startEdges(
	platform: LeasedPlatform,
	names: readonly (readonly [name: string, failureDomain: string])[],
	options: EdgesOptions = {},
): Promise<EdgeFleet> {
	const folder = mkdtempSync(join(tmpdir(), "cottonwood-edges-"))
	const edges: Edge[] = []
	const ends: ProcessEnd[] = []
	const unready: string[] = []
	let isClosing = false

	const program = options.program ?? PROGRAM
	const placingFile = join(folder, "placing.json")
	writeFileSync(placingFile, JSON.stringify(options.placing ?? {}))
	const failureDomains = [...new Set(platform.executors.map(edge => edge.failureDomain))]
	const ipOf = options.ipOf ?? (() => "127.0.0.1")
	const marks = options.marksBegin ? ["--import", BEGUN] : []
	const args = [...(options.nodeArgs ?? []), ...marks, program, "edge"]

	function settingsFor(name: string, failureDomain: string, ports: readonly number[]): Settings {
		const storeAddress = options.storeAddressOf?.(name) ?? platform.storeAddress
		const cpuShare = options.cpuShareOf?.(name) ?? 1
		const ip = ipOf(name)
		return settingsOf({name, failureDomain, failureDomains, ip, ports, storeAddress, cpuShare})
	}

	function launch(name: string, failureDomain: string, ports: readonly number[]): Edge {
		const file = join(folder, `${name}.json`)
		const settings = {file, value: settingsFor(name, failureDomain, ports)}
		void laySettings(file, settings.value)
		const settingsEnv = {COTTONWOOD_CONFIG: file, COTTONWOOD_PLACING: placingFile}
		const env = {...process.env, ...settingsEnv, ...options.envOf?.(name)}
		const stdio: StdioOptions = ["ignore", "pipe", "pipe"]
		const child = spawn(process.execPath, args, {
			env,
			stdio: options.marksBegin ? [...stdio, "pipe"] : stdio,
		})
		child.stderr?.on("data", (chunk: Buffer) => process.stderr.write(chunk))
		const lines: Record<string, unknown>[] = []
		collectLines(child, lines)
		const life = watchLife(name, child)
		const exited = new Promise<number | null>(resolve => child.once("exit", resolve))
		const [callers, readiness, peers] = ports.map(port => `${ipOf(name)}:${port}`) as [
			string,
			string,
			string,
		]
		const addresses = {callers, readiness, peers}
		const edge: Edge = {name, failureDomain, ...addresses, child, lines, exited, life, settings}
		edges.push(edge)
		void life.ended.then(end => void ends.push(end))
		if (options.restartsEnded) void exited.then(() => startAgain(edge))
		options.onLaunch?.(edge)
		return edge
	}

	async function startAgain(edge: Edge) {
		if (edge.life.isEndAsked()) return
		await sleep(RESTART_DELAY_MS)
		if (!isClosing) await relaunch(edge)
	}

	const newest = (name: string) => edges.findLast(one => one.name === name) as Edge

	/** Waits until the instance's newest process is ready. Each that is started meanwhile has the whole time. */
	async function untilReady(name: string, limitMs = READY_TRIES * READY_POLL_MS) {
		let edge = newest(name)
		let until = performance.now() + limitMs
		while (performance.now() < until && !isClosing) {
			if (await isReady(edge)) return
			if (!options.restartsEnded && !isRunning(edge))
				throw new Error(faultsOf([await edge.life.ended])[0] ?? `${name} was ended`)
			if (edge !== newest(name)) until = performance.now() + limitMs
			edge = newest(name)
			await sleep(READY_POLL_MS)
		}
		if (isClosing) return
		const late = `FAULT: ${name} is not ready ${limitMs} ms after its start`
		if (!options.restartsEnded) throw new Error(late)
		unready.push(late)
	}

	async function start(name: string, failureDomain: string): Promise<Edge> {
		const ip = ipOf(name)
		const ports = [await freePort(ip), await freePort(ip), await freePort(ip)]
		const edge = launch(name, failureDomain, ports)
		await untilReady(name, options.readyMs)
		return edge
	}

	async function relaunch(edge: Edge): Promise<Edge> {
		const portOf = (address: string) => Number(address.split(":")[1])
		const ports = [portOf(edge.callers), portOf(edge.readiness), await freePort(ipOf(edge.name))]
		return launch(edge.name, edge.failureDomain, ports)
	}

	function killAll() {
		isClosing = true
		for (const edge of edges) endEdge(edge, "SIGKILL")
	}
	process.once("exit", killAll)

	async function close() {
		process.off("exit", killAll)
		killAll()
		await Promise.all(edges.map(({life}) => life.ended))
		rmSync(folder, {recursive: true, force: true})
	}

	const faults = () => [...faultsOf(ends), ...unready]
	try {
		await Promise.all(names.map(([name, failureDomain]) => start(name, failureDomain)))
	} catch (err) {
		await close()
		throw err
	}
	return {
		edges,
		start,
		relaunch,
		async restart(edge) {
			const next = await relaunch(edge)
			await untilReady(next.name)
			return next
		},
		faults,
		earlyHangUps: () => earlyHangUpsOf(ends),
		async close() {
			await close()
			const found = faults()
			if (!options.restartsEnded && found.length > 0) throw new Error(found.join("\n"))
		},
	}
}
