/**
 * A fleet of separate processes on loopback: the platform stand-in, a metrics sink, executors, workers and entry
 * instances. Used by the demo, failure tests, soaks and benchmarks.
 */
import {mkdtempSync, rmSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {fileURLToPath} from "node:url"
import type {Faults} from "../platform/platform.js"
import {readStarts, type Start} from "../targets/judge.js"
import {openFleetLinks, type CutKind, type FleetLinks} from "./fleet-links.js"
import {getJson, putJson, waitFor} from "./json-http.js"
import {killAll, startProcess, type FleetProcess} from "./process.js"
import {configOf, DEFAULT_SHAPE, type FleetShape} from "./shape.js"

export interface FleetEntry {
	readonly name: string
	readonly failureDomain: string
	/** The URL for callers. */
	readonly url: string
	process: FleetProcess
}

export interface Fleet {
	readonly platformUrl: string
	readonly entries: readonly FleetEntry[]
	readonly executors: readonly FleetProcess[]
	readonly workers: readonly FleetProcess[]
	setFaults(faults: Partial<Faults>): Promise<void>
	/** The number of store calls by kind. */
	storeCalls(): Promise<Readonly<Record<string, number>>>
	starts(): readonly Start[]
	/** Starts an entry instance again under its name and address. */
	restartEntry(name: string): Promise<FleetEntry>
	/** Cuts links of a failure domain; needs `hasLinks`, as `hushPlatform` and `mend` do. */
	cut(failureDomain: string, what: readonly CutKind[]): void
	/** Drops all further data of a failure domain's open connections to the platform; new connections work. */
	hushPlatform(failureDomain: string): void
	mend(failureDomain: string): void
	waitReady(): Promise<void>
	stop(): Promise<void>
}

const scriptOf = (path: string) => fileURLToPath(new URL(path, import.meta.url))
const ENTRY_BIN = scriptOf("../../../entry/dist/bin.js")
const SHARDS = 64

interface LaunchContext {
	readonly shape: FleetShape
	/** The directory for settings of entry instances and recorded starts. */
	readonly folder: string
	readonly platformPort: number
	readonly statsdPort: number
	readonly links: FleetLinks | undefined
	readonly start: typeof startProcess
}

const urlOf = (port: number) => `http://127.0.0.1:${port}`

function startTargets(
	{shape, folder, platformPort, start}: LaunchContext,
	kind: "executor" | "worker",
	perDomain: number,
	extra: object,
): Promise<readonly FleetProcess[]> {
	const judge = shape.isJudged ? folder : ""
	const started = shape.failureDomains.flatMap(failureDomain =>
		Array.from({length: perDomain}, (_, index) => {
			const id = `${failureDomain}-${kind}-${index + 1}`
			const rack = `${failureDomain}-rack-${Math.floor(index / shape.workersPerRack) + 1}`
			const platform = urlOf(platformPort)
			const settings = {id, failureDomain, rack, platform, judge, ...extra}
			return start(id, scriptOf(`../targets/${kind}.js`), [JSON.stringify(settings)])
		}),
	)
	return Promise.all(started)
}

async function startEntry(
	{shape, folder, platformPort, statsdPort, links, start}: LaunchContext,
	name: string,
	failureDomain: string,
	httpPort: number,
): Promise<FleetProcess> {
	const platform = links?.platformUrl(failureDomain) ?? urlOf(platformPort)
	const advertiseTo = (await links?.openTo(name, failureDomain)) ?? {}
	const settings = {
		instance: name,
		failureDomain,
		http: {port: httpPort},
		peer: {port: 0, advertiseTo},
		platform: {store: platform, list: platform},
		statsd: {host: "127.0.0.1", port: statsdPort},
		log: {level: shape.logLevel},
		timings: shape.timings,
	}
	const file = join(folder, `${name}.json`)
	writeFileSync(file, JSON.stringify(settings))
	const started = await start(name, shape.entryBin ?? ENTRY_BIN, ["--settings", file])
	links?.setPeerPort(name, started.announced.peerPort!)
	return started
}

async function startEntries(context: LaunchContext): Promise<FleetEntry[]> {
	const entries: FleetEntry[] = []
	for (const failureDomain of context.shape.failureDomains) {
		for (let index = 1; index <= context.shape.entriesPerDomain; index++) {
			const name = `${failureDomain}-entry-${index}`
			const started = await startEntry(context, name, failureDomain, 0)
			entries.push({name, failureDomain, url: urlOf(started.port), process: started})
		}
	}
	return entries
}

interface InstanceLine {
	readonly shards?: number
	readonly state: string
}

/** Returns an entry instance's number of shards, or undefined until it is ready and sees its peers and targets. */
async function shardsIfReady(entry: FleetEntry, peers: number, targets: number) {
	const {instances} = await getJson<{instances: readonly InstanceLine[]}>(
		`${entry.url}/v1/instances`,
	)
	const [self, ...others] = instances
	const seen = others.filter(line => line.state === "seen").length
	if (self!.state !== "ready" || seen < peers) return undefined
	const {executors} = await getJson<{executors: unknown[]}>(`${entry.url}/v1/endpoints`)
	const {workers} = await getJson<{workers: unknown[]}>(`${entry.url}/v1/workers`)
	return executors.length + workers.length < targets ? undefined : (self!.shards ?? 0)
}

async function isReady(entries: readonly FleetEntry[], shape: FleetShape): Promise<boolean> {
	const running = entries.filter(entry => entry.process.isRunning())
	const targets = shape.failureDomains.length * (shape.executorsPerDomain + shape.workersPerDomain)
	let shards = 0
	for (const entry of running) {
		const owned = await shardsIfReady(entry, running.length - 1, targets)
		if (owned === undefined) return false
		shards += owned
	}
	return shards === SHARDS
}

async function createLaunchContext(
	shape: FleetShape,
	folder: string,
	start: typeof startProcess,
): Promise<LaunchContext> {
	const platformSettings = JSON.stringify(shape.platform)
	const platform = await start("platform", scriptOf("../platform/main.js"), [platformSettings])
	const sink = await start("statsd", scriptOf("../targets/statsd.js"), [])
	const {port: statsdPort} = await getJson<{port: number}>(`${urlOf(sink.port)}/port`)
	const links = shape.hasLinks
		? await openFleetLinks(shape.failureDomains, platform.port)
		: undefined
	return {shape, folder, platformPort: platform.port, statsdPort, links, start}
}

async function launch(context: LaunchContext, processes: Set<FleetProcess>): Promise<Fleet> {
	const {shape, folder, links} = context
	const platformUrl = urlOf(context.platformPort)
	const {endpoint, slotsPerExecutor: slots} = shape
	const executors = await startTargets(context, "executor", shape.executorsPerDomain, {
		endpoint,
		slots,
	})
	const workers = await startTargets(context, "worker", shape.workersPerDomain, shape.worker)
	const entries = await startEntries(context)
	return {
		platformUrl,
		entries,
		executors,
		workers,
		setFaults: async faults => void (await putJson(`${platformUrl}/faults`, faults)),
		storeCalls: () => getJson(`${platformUrl}/calls`),
		starts: () => readStarts(folder),
		async restartEntry(name) {
			const entry = entries.find(item => item.name === name)!
			const port = Number(new URL(entry.url).port)
			entry.process = await startEntry(context, name, entry.failureDomain, port)
			return entry
		},
		cut: (failureDomain, what) => links!.cut(failureDomain, what),
		hushPlatform: failureDomain => links!.hushPlatform(failureDomain),
		mend: failureDomain => links!.mend(failureDomain),
		waitReady: () =>
			waitFor("all entry instances to be ready and all shards to be owned", () =>
				isReady(entries, shape),
			),
		async stop() {
			await killAll(processes)
			links?.close()
			rmSync(folder, {recursive: true, force: true})
		},
	}
}

/**
 * Starts a fleet, applies its configuration and waits until it is ready.
 *
 * @example const fleet = await startFleet({entriesPerDomain: 1})
 */
export async function startFleet(changes: Partial<FleetShape> = {}): Promise<Fleet> {
	const shape: FleetShape = {...DEFAULT_SHAPE, ...changes}
	const folder = mkdtempSync(join(tmpdir(), "cottonwood-"))
	const processes = new Set<FleetProcess>()
	const start: typeof startProcess = async (...args) => {
		const started = await startProcess(...args)
		processes.add(started)
		return started
	}
	try {
		const fleet = await launch(await createLaunchContext(shape, folder, start), processes)
		const headers = {"if-match": "0"}
		const put = await putJson(`${fleet.entries[0]!.url}/v1/config`, configOf(shape), headers)
		if (put.status !== 200) throw new Error(`configuration refused: ${JSON.stringify(put.body)}`)
		await fleet.waitReady()
		return fleet
	} catch (error) {
		await killAll(processes)
		throw error
	}
}
