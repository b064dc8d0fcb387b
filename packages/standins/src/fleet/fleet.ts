/**
 * A fleet of separate processes on loopback: the platform's stand-in, a metrics sink, executors,
 * workers, and entry instances. Used by the demo, the tests of failures, and the measurements.
 */
import {mkdtempSync, rmSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {fileURLToPath} from "node:url"
import {request} from "undici"
import type {Faults, PlatformSettings} from "../platform/platform.js"
import {readStarts, type Start} from "../targets/judge.js"
import {openLink, type Link} from "./link.js"
import {killAll, startProcess, type FleetProcess} from "./process.js"

export interface FleetShape {
	readonly failureDomains: readonly string[]
	readonly entriesPerDomain: number
	readonly executorsPerDomain: number
	readonly workersPerDomain: number
	readonly workersPerRack: number
	readonly worker: {readonly cpu: number; readonly memoryMb: number; readonly accelerators: number}
	readonly slotsPerExecutor: number
	readonly endpoint: string
	readonly config: Readonly<Record<string, unknown>>
	readonly platform: Partial<PlatformSettings>
	readonly timings: Readonly<Record<string, number>>
	/** Whether starts are recorded for the judge. */
	readonly isJudged: boolean
	/** Whether each failure domain reaches the platform and its peers over links that can be cut. */
	readonly hasLinks: boolean
	readonly logLevel: string
	/** The entry command to run, for comparisons with an earlier build. */
	readonly entryBin?: string
}

export interface FleetEntry {
	readonly name: string
	readonly failureDomain: string
	/** Where callers reach it. */
	readonly url: string
	process: FleetProcess
}

export interface Fleet {
	readonly platformUrl: string
	readonly entries: readonly FleetEntry[]
	readonly executors: readonly FleetProcess[]
	readonly workers: readonly FleetProcess[]
	readonly sinkUrl: string
	setFaults(faults: Partial<Faults>): Promise<void>
	storeCalls(): Promise<Readonly<Record<string, number>>>
	starts(): readonly Start[]
	/** Starts an entry instance again under its name. */
	restartEntry(name: string): Promise<FleetEntry>
	/** Cuts or mends what a failure domain sends to the platform, to peers, or gets from peers. */
	cut(failureDomain: string, what: readonly CutKind[]): void
	mend(failureDomain: string): void
	waitReady(): Promise<void>
	stop(): Promise<void>
}

export type CutKind = "platform" | "to peers" | "from peers"

export const DEFAULT_SHAPE: FleetShape = Object.freeze({
	failureDomains: ["fd1", "fd2"],
	entriesPerDomain: 2,
	executorsPerDomain: 2,
	workersPerDomain: 2,
	workersPerRack: 2,
	worker: {cpu: 16, memoryMb: 32_768, accelerators: 0},
	slotsPerExecutor: 8,
	endpoint: "inventory",
	config: {},
	platform: {},
	timings: {},
	isJudged: false,
	hasLinks: false,
	logLevel: "info",
})

const READY_LIMIT_MS = 20_000
const POLL_MS = 50
const RACKS_PREFIX = "rack"

const scriptOf = (path: string) => fileURLToPath(new URL(path, import.meta.url))
const ENTRY_BIN = scriptOf("../../../entry/dist/bin.js")
const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms))

async function putJson(url: string, body: unknown, headers: Record<string, string> = {}) {
	const res = await request(url, {
		method: "PUT",
		body: JSON.stringify(body),
		headers: {"content-type": "application/json", ...headers},
	})
	return {status: res.statusCode, body: await res.body.json()}
}

async function getJson(url: string): Promise<unknown> {
	const res = await request(url)
	return res.body.json()
}

/** Waits until a check holds, or fails with what was waited for. */
export async function waitFor(
	what: string,
	isTrue: () => Promise<boolean> | boolean,
	limitMs = READY_LIMIT_MS,
): Promise<void> {
	const until = Date.now() + limitMs
	while (Date.now() < until) {
		if (await isTrue()) return
		await sleep(POLL_MS)
	}
	throw new Error(`waited ${limitMs} ms in vain for ${what}`)
}

/** The configuration that the stand-in fleets use unless told otherwise. */
function defaultConfig(shape: FleetShape) {
	return {
		endpoints: {[shape.endpoint]: {}},
		teams: {default: {}},
		defaultTeam: "default",
		...shape.config,
	}
}

/**
 * Starts a fleet and puts its configuration in force.
 *
 * @example const fleet = await startFleet({entriesPerDomain: 1})
 */
export async function startFleet(changes: Partial<FleetShape> = {}): Promise<Fleet> {
	const shape: FleetShape = {...DEFAULT_SHAPE, ...changes}
	const processes = new Set<FleetProcess>()
	try {
		return await assembleFleet(shape, processes)
	} catch (error) {
		await killAll(processes)
		throw error
	}
}

async function assembleFleet(shape: FleetShape, processes: Set<FleetProcess>): Promise<Fleet> {
	const folder = mkdtempSync(join(tmpdir(), "cottonwood-"))
	const judge = shape.isJudged ? folder : ""
	const links: Link[] = []
	const add = async (starting: Promise<FleetProcess>) => {
		const started = await starting
		processes.add(started)
		return started
	}

	const platform = await add(
		startProcess("platform", scriptOf("../platform/main.js"), [JSON.stringify(shape.platform)]),
	)
	const platformUrl = `http://127.0.0.1:${platform.port}`
	const sink = await add(startProcess("statsd", scriptOf("../targets/statsd.js"), []))
	const sinkUrl = `http://127.0.0.1:${sink.port}`
	const statsdPort = ((await getJson(`${sinkUrl}/port`)) as {port: number}).port

	const targetsOf = (kind: "executor" | "worker", count: number, extra: object) =>
		shape.failureDomains.flatMap(failureDomain =>
			Array.from({length: count}, (_, index) => {
				const id = `${failureDomain}-${kind}-${index + 1}`
				const rack = `${failureDomain}-${RACKS_PREFIX}-${Math.floor(index / shape.workersPerRack) + 1}`
				const settings = {id, failureDomain, rack, platform: platformUrl, judge, ...extra}
				return add(startProcess(id, scriptOf(`../targets/${kind}.js`), [JSON.stringify(settings)]))
			}),
		)
	const executors = await Promise.all(
		targetsOf("executor", shape.executorsPerDomain, {
			endpoint: shape.endpoint,
			slots: shape.slotsPerExecutor,
		}),
	)
	const workers = await Promise.all(targetsOf("worker", shape.workersPerDomain, shape.worker))

	const platformLinks = new Map<string, Link>()
	if (shape.hasLinks) {
		for (const failureDomain of shape.failureDomains) {
			const link = await openLink(() => platform.port)
			platformLinks.set(failureDomain, link)
			links.push(link)
		}
	}

	/** Links to a peer, one per failure domain that looks at it. */
	const peerLinks = new Map<
		string,
		{readonly from: string; readonly to: string; readonly link: Link}
	>()
	const peerPorts = new Map<string, number>()

	async function advertiseOf(name: string, failureDomain: string): Promise<Record<string, string>> {
		if (!shape.hasLinks) return {}
		const advertised: Record<string, string> = {}
		for (const from of shape.failureDomains) {
			if (from === failureDomain) continue
			const id = `${from}>${name}`
			if (!peerLinks.has(id)) {
				const link = await openLink(() => peerPorts.get(name) ?? 0)
				peerLinks.set(id, {from, to: failureDomain, link})
				links.push(link)
			}
			advertised[from] = `127.0.0.1:${peerLinks.get(id)!.link.port}`
		}
		return advertised
	}

	async function startEntry(name: string, failureDomain: string, httpPort: number) {
		const file = join(folder, `${name}.json`)
		const store = shape.hasLinks
			? `http://127.0.0.1:${platformLinks.get(failureDomain)!.port}`
			: platformUrl
		const settings = {
			instance: name,
			failureDomain,
			http: {port: httpPort},
			peer: {port: 0, advertiseTo: await advertiseOf(name, failureDomain)},
			platform: {store, list: store},
			statsd: {host: "127.0.0.1", port: statsdPort},
			log: {level: shape.logLevel},
			timings: shape.timings,
		}
		writeFileSync(file, JSON.stringify(settings))
		const started = await add(startProcess(name, shape.entryBin ?? ENTRY_BIN, ["--settings", file]))
		peerPorts.set(name, started.announced.peerPort!)
		return started
	}

	const entries: FleetEntry[] = []
	for (const failureDomain of shape.failureDomains) {
		for (let index = 1; index <= shape.entriesPerDomain; index++) {
			const name = `${failureDomain}-entry-${index}`
			const started = await startEntry(name, failureDomain, 0)
			entries.push({
				name,
				failureDomain,
				url: `http://127.0.0.1:${started.port}`,
				process: started,
			})
		}
	}

	const fleet: Fleet = {
		platformUrl,
		entries,
		executors,
		workers,
		sinkUrl,
		async setFaults(faults) {
			await putJson(`${platformUrl}/faults`, faults)
		},
		storeCalls: async () =>
			(await getJson(`${platformUrl}/calls`)) as Readonly<Record<string, number>>,
		starts: () => readStarts(judge),
		async restartEntry(name) {
			const entry = entries.find(item => item.name === name)!
			entry.process = await startEntry(name, entry.failureDomain, Number(new URL(entry.url).port))
			return entry
		},
		cut(failureDomain, what) {
			if (what.includes("platform")) platformLinks.get(failureDomain)!.cut()
			for (const {from, to, link} of peerLinks.values()) {
				if (what.includes("to peers") && from === failureDomain) link.cut()
				if (what.includes("from peers") && to === failureDomain) link.cut()
			}
		},
		mend(failureDomain) {
			platformLinks.get(failureDomain)?.mend()
			for (const {from, to, link} of peerLinks.values()) {
				if (from === failureDomain || to === failureDomain) link.mend()
			}
		},
		async waitReady() {
			await waitFor("all entry instances to be ready and all shards to be owned", () =>
				isReady(entries, shape),
			)
		},
		async stop() {
			await killAll(processes)
			for (const link of links) link.close()
			rmSync(folder, {recursive: true, force: true})
		},
	}
	const put = await putJson(`${entries[0]!.url}/v1/config`, defaultConfig(shape), {"if-match": "0"})
	if (put.status !== 200)
		throw new Error(`the configuration was refused: ${JSON.stringify(put.body)}`)
	await fleet.waitReady()
	return fleet
}

interface InstanceLine {
	readonly shards?: number
	readonly state: string
	readonly configVersion: number
}

const SHARDS = 64

async function isReady(entries: readonly FleetEntry[], shape: FleetShape): Promise<boolean> {
	const running = entries.filter(entry => entry.process.isRunning())
	const expectedTargets =
		shape.failureDomains.length * (shape.executorsPerDomain + shape.workersPerDomain)
	let shards = 0
	for (const entry of running) {
		const {instances} = (await getJson(`${entry.url}/v1/instances`)) as {
			instances: readonly InstanceLine[]
		}
		if (instances[0]!.state !== "ready") return false
		if (instances.slice(1).filter(line => line.state === "seen").length < running.length - 1) {
			return false
		}
		shards += instances[0]!.shards ?? 0
		const {executors} = (await getJson(`${entry.url}/v1/endpoints`)) as {executors: unknown[]}
		const {workers} = (await getJson(`${entry.url}/v1/workers`)) as {workers: unknown[]}
		if (executors.length + workers.length < expectedTargets) return false
	}
	return shards === SHARDS
}
