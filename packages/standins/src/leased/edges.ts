/**
 * Starts real instances of the program on loopback against the platform stand-in.
 * Used by tests, soaks and benchmarks.
 */
import {spawn, type ChildProcess, type StdioOptions} from "node:child_process"
import {mkdtempSync, rmSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {fileURLToPath} from "node:url"
import {sleep} from "../utils/sleep.js"
import {isReady} from "./calls.js"
import {earlyHangUpsOf, faultsOf, watchLife, type Life, type ProcessEnd} from "./ends.js"
import {freePort} from "./ports.js"
import {laySettings, settingsOf, type Settings} from "./settings-file.js"
import type {LeasedPlatform} from "./platform.js"

export {askJob, handIn, isReady, type EdgeAnswer} from "./calls.js"

/** `COTTONWOOD_PROGRAM` runs another build of the program. */
const PROGRAM =
	process.env["COTTONWOOD_PROGRAM"] ??
	fileURLToPath(new URL("../../../../platform/dist/bin.js", import.meta.url))
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

export interface RelaunchChanges {
	/** A new one by default. */
	readonly peerPort?: number | undefined
	/** Changes the settings that the process starts with. */
	readonly vary?: (settings: Settings) => Settings
}

export interface EdgeFleet {
	readonly edges: readonly Edge[]
	/** Starts another instance and waits until it is ready. */
	start(name: string, failureDomain: string): Promise<Edge>
	/** Starts an instance again under its name and addresses, on a new peer port, and waits until it is ready. */
	restart(edge: Edge): Promise<Edge>
	/** Like `restart`, without waiting for readiness. */
	relaunch(edge: Edge, changes?: RelaunchChanges): Promise<Edge>
	/** Lays an instance's settings file again; see `laySettings`. Does nothing once a newer process has its own. */
	laySettings(edge: Edge, vary: (settings: Settings) => Settings, halfMs: number): Promise<void>
	/** The ends of all processes so far. */
	readonly ends: readonly ProcessEnd[]
	/** Returns a line for each process that ended although nobody asked for it, and for each that was not ready in time. */
	faults(): readonly string[]
	/** Returns a line for each process that a SIGHUP ended before the program began. */
	earlyHangUps(): readonly string[]
	/** Kills all processes. Rejects when there were faults, unless ended processes are restarted. */
	close(): Promise<void>
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
	/** How long instances may take until they are ready, in milliseconds. */
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

	function launch(
		name: string,
		failureDomain: string,
		ports: readonly number[],
		vary: (settings: Settings) => Settings = settings => settings,
	): Edge {
		const file = join(folder, `${name}.json`)
		const settings = {file, value: settingsFor(name, failureDomain, ports)}
		writeFileSync(file, JSON.stringify(vary(settings.value)))
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
		const written = edge.life.lastLines.join(" | ")
		const late = `FAULT: ${name} is not ready ${limitMs} ms after its start; last lines: ${written}`
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

	async function relaunch(edge: Edge, {peerPort, vary}: RelaunchChanges = {}): Promise<Edge> {
		const portOf = (address: string) => Number(address.split(":")[1])
		const peers = peerPort ?? (await freePort(ipOf(edge.name)))
		const ports = [portOf(edge.callers), portOf(edge.readiness), peers]
		return launch(edge.name, edge.failureDomain, ports, vary)
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
			await untilReady(next.name, options.readyMs)
			return next
		},
		async laySettings(edge, vary, halfMs) {
			const {file, value} = edge.settings
			const isCurrent = () => newest(edge.name) === edge && !isClosing
			await laySettings(file, vary(value), halfMs, isCurrent)
		},
		ends,
		faults,
		earlyHangUps: () => earlyHangUpsOf(ends),
		async close() {
			await close()
			const found = faults()
			if (!options.restartsEnded && found.length > 0) throw new Error(found.join("\n"))
		},
	}
}
