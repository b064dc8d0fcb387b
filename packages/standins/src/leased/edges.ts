/**
 * Starts real instances of the program on loopback against the platform stand-in, and sends them jobs.
 * Used by tests, soaks and benchmarks.
 */
import {spawn, type ChildProcess} from "node:child_process"
import {mkdtempSync, rmSync, writeFileSync} from "node:fs"
import {createServer} from "node:net"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {fileURLToPath} from "node:url"
import {request} from "undici"
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
/** Below the ephemeral ports, which begin at 32,768 on Linux. */
const FIRST_PORT = 10_000
const PORTS_PER_BLOCK = 100
const PORT_BLOCKS = 220

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
}

export interface EdgeFleet {
	readonly edges: readonly Edge[]
	/** Starts another instance and waits until it is ready. */
	start(name: string, failureDomain: string): Promise<Edge>
	/** Starts an instance again under its name and addresses, on a new peer port, and waits until it is ready. */
	restart(edge: Edge): Promise<Edge>
	/** Like `restart`, without waiting for readiness. */
	relaunch(edge: Edge): Promise<Edge>
	close(): Promise<void>
}

export interface EdgeAnswer {
	readonly status: number
	readonly body: unknown
	readonly retryAfter: string | undefined
}

let nextPort = FIRST_PORT + (process.pid % PORT_BLOCKS) * PORTS_PER_BLOCK

/** Returns a free port of this process's own block. */
async function freePort(ip: string): Promise<number> {
	for (;;) {
		const port = nextPort++
		if (nextPort >= FIRST_PORT + PORT_BLOCKS * PORTS_PER_BLOCK) nextPort = FIRST_PORT
		if (await isFree(ip, port)) return port
	}
}

function isFree(ip: string, port: number): Promise<boolean> {
	const server = createServer()
	return new Promise(resolve => {
		server.once("error", () => resolve(false))
		server.listen(port, ip, () => server.close(() => resolve(true)))
	})
}

function settingsOf(
	name: string,
	failureDomain: string,
	platform: LeasedPlatform,
	at: {readonly ip: string; readonly ports: readonly number[]},
	storeAddress: string,
	cpuShare: number,
): object {
	const {ip, ports} = at
	const domains = [...new Set(platform.executors.map(({failureDomain: domain}) => domain))]
	return {
		node: name,
		ip,
		zone: failureDomain,
		zones: Object.fromEntries(domains.map(domain => [domain, "region"])),
		listen: {front: `${ip}:${ports[0]}`, ready: `${ip}:${ports[1]}`},
		"port-range": [ports[2], ports[2]],
		orders: "rpc",
		limits: {"cpu-share": cpuShare, cores: 1, "link-mbps": 1_000},
		platform: {address: storeAddress, "writes-per-s": 400, "value-bytes": 1_048_576},
		bounds: {
			"max-hold-ms": 1_000,
			"grace-s": 6,
			"stop-grace-ms": 50,
			"retransmit-ms": 1_300,
			status_s: 120,
		},
	}
}

function collectLines(child: ChildProcess, lines: Record<string, unknown>[]) {
	let rest = ""
	child.stdout?.on("data", (chunk: Buffer) => {
		const parts = (rest + chunk.toString("utf8")).split("\n")
		rest = parts.pop() ?? ""
		for (const part of parts) lines.push(JSON.parse(part) as Record<string, unknown>)
	})
}

async function untilReady(edge: Edge, limitMs = READY_TRIES * READY_POLL_MS) {
	const until = performance.now() + limitMs
	while (performance.now() < until) {
		if (await isReady(edge)) return
		await new Promise(resolve => setTimeout(resolve, READY_POLL_MS))
	}
	throw new Error(`${edge.name} is not ready in time`)
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
}

export async function startEdges(
	platform: LeasedPlatform,
	names: readonly (readonly [name: string, failureDomain: string])[],
	options: EdgesOptions = {},
): Promise<EdgeFleet> {
	const folder = mkdtempSync(join(tmpdir(), "cottonwood-edges-"))
	const edges: Edge[] = []

	const program = options.program ?? PROGRAM
	const placingFile = join(folder, "placing.json")
	writeFileSync(placingFile, JSON.stringify(options.placing ?? {}))
	const cpuShareOf = options.cpuShareOf ?? (() => 1)
	const ipOf = options.ipOf ?? (() => "127.0.0.1")

	function launch(name: string, failureDomain: string, ports: readonly number[]): Edge {
		const ip = ipOf(name)
		const file = join(folder, `${name}.json`)
		const store = options.storeAddressOf?.(name) ?? platform.storeAddress
		writeFileSync(
			file,
			JSON.stringify(
				settingsOf(name, failureDomain, platform, {ip, ports}, store, cpuShareOf(name)),
			),
		)
		const settingsEnv = {COTTONWOOD_CONFIG: file, COTTONWOOD_PLACING: placingFile}
		const env = {...process.env, ...settingsEnv, ...options.envOf?.(name)}
		const child = spawn(process.execPath, [...(options.nodeArgs ?? []), program, "edge"], {
			env,
			stdio: ["ignore", "pipe", "inherit"],
		})
		const lines: Record<string, unknown>[] = []
		collectLines(child, lines)
		const exited = new Promise<number | null>(resolve => child.once("exit", resolve))
		const [callers, readiness, peers] = ports.map(port => `${ip}:${port}`) as [
			string,
			string,
			string,
		]
		const edge: Edge = {name, failureDomain, callers, readiness, peers, child, lines, exited}
		edges.push(edge)
		options.onLaunch?.(edge)
		return edge
	}

	async function start(name: string, failureDomain: string): Promise<Edge> {
		const ip = ipOf(name)
		const ports = [await freePort(ip), await freePort(ip), await freePort(ip)]
		const edge = launch(name, failureDomain, ports)
		await untilReady(edge, options.readyMs)
		return edge
	}

	async function relaunch(edge: Edge): Promise<Edge> {
		const portOf = (address: string) => Number(address.split(":")[1])
		const ports = [portOf(edge.callers), portOf(edge.readiness), await freePort(ipOf(edge.name))]
		return launch(edge.name, edge.failureDomain, ports)
	}

	function killAll() {
		for (const {child} of edges) child.kill("SIGKILL")
	}
	process.once("exit", killAll)

	async function close() {
		process.off("exit", killAll)
		killAll()
		await Promise.all(edges.map(({exited}) => exited))
		rmSync(folder, {recursive: true, force: true})
	}

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
			await untilReady(next)
			return next
		},
		close,
	}
}
