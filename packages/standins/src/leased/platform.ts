/**
 * A stand-in of the users' platform on loopback: the store, executors in failure domains, the operator's writes, and a
 * checker that records violations such as two runs of one task at once. Used by tests, soaks and benchmarks.
 */
import {createServer, type IncomingMessage, type Server} from "node:http"
import type {AddressInfo} from "node:net"
import {WireExecutor, type ExecutorEvents} from "./wire-executor.js"
import {WireStore} from "./wire-store.js"

export interface LeasedPlatformOptions {
	readonly failureDomains: readonly string[]
	readonly executorsPerDomain: number
	/** Capacity of each executor in thousandths of a core. */
	readonly capacityCpu?: number
	/** The number of executors of a failure domain; overrides `executorsPerDomain`. */
	readonly executorsOf?: (failureDomain: string) => number
	/** How many milliseconds an executor's clock advances in one, by the executor's name. */
	readonly clockRateOf?: (name: string) => number
	/** Called for each start, end and order at executors, and for each write under `fleet/` to the store. */
	readonly onRecord?: (line: Readonly<Record<string, unknown>>) => void
	/** Puts a proxy before an executor's address; returns the address to announce. */
	readonly through?: (address: string, name: string) => Promise<string>
}

export interface HostedExecutor {
	executor: WireExecutor
	readonly failureDomain: string
	/** Failure domain and number; the same after a restart. */
	readonly name: string
	readonly address: string
	readonly server: Server
}

export interface LeasedPlatform {
	readonly store: WireStore
	readonly storeAddress: string
	readonly executors: readonly HostedExecutor[]
	/** Descriptions of the violations so far. */
	readonly violations: readonly string[]
	/** The number of runs of a task that started. */
	startsOf(task: string): number
	/** The number of runs of a task that ended as `done`. */
	donesOf(task: string): number
	putConfig(version: number, changes?: object): void
	/** Crashes an executor and starts a new one at the same address at once. */
	restart(hosted: HostedExecutor): void
	/** Changes an executor's capacity and announces it at once. */
	resize(hosted: HostedExecutor, cpu: number): void
	close(): Promise<void>
}

export const HOST = "orders.example"
export const PREFIX = "/orders/"
export const QUEUE = "orders"
const SERVICE = "svc"
const HEARTBEAT_MS = 500
/** How long an executor that a task crashed stays down; longer than its entry lives. */
const CRASH_DOWNTIME_MS = 2_000
const LISTEN_RETRY_MS = 100
const ENTRY_TTL_MS = 3 * HEARTBEAT_MS
/** Keys of instances and their claims. */
const FLEET_PREFIX = "fleet/"

/** Returns the route of the test jobs, and one more for each prefix. */
export function routesFor(prefixes: readonly string[]): readonly object[] {
	const route = {
		host: HOST,
		service: SERVICE,
		priority: 0,
		"max-attempts": 2,
		stretch: 1.6,
		"slo-ms": 60,
	}
	const own = {name: QUEUE, "path-prefix": PREFIX, ...route}
	const others = prefixes.map(prefix => ({name: prefix, "path-prefix": prefix, ...route}))
	return [own, ...others]
}

function readBody(req: IncomingMessage): Promise<string> {
	return new Promise(resolve => {
		const chunks: Buffer[] = []
		req.on("data", (chunk: Buffer) => chunks.push(chunk))
		req.on("end", () => resolve(Buffer.concat(chunks).toString("utf8")))
	})
}

async function listen(server: Server): Promise<string> {
	await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve))
	return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

/** Listens on a port again; retries while an outgoing connection uses it. */
async function listenAgain(server: Server, port: number) {
	for (;;) {
		const isListening = await new Promise<boolean>(resolve => {
			server.once("error", () => resolve(false))
			server.listen(port, "127.0.0.1", () => resolve(true))
		})
		if (isListening) return
		await new Promise(resolve => setTimeout(resolve, LISTEN_RETRY_MS))
	}
}

/** Detects two runs of one task at once; `endExpiredRuns` first ends runs that are over by the executors' clocks. */
function createRunChecker(
	endExpiredRuns: () => void,
	onCrash: (executor: string) => void,
	record: (line: Readonly<Record<string, unknown>>) => void,
) {
	const violations: string[] = []
	const running = new Map<string, Map<string, string>>()
	const starts = new Map<string, number>()
	const dones = new Map<string, number>()
	const events: ExecutorEvents = {
		onStart(executor, task, run, fence) {
			const time = new Date().toISOString()
			const now = running.get(task) ?? new Map<string, string>()
			if (now.size > 0) endExpiredRuns()
			const here = `${executor}/${run} (fence ${fence}, ${time})`
			if (now.size > 0)
				violations.push(`TWICE: ${task} runs at ${[...now.values()].join()} and ${here}`)
			now.set(`${executor}/${run}`, here)
			running.set(task, now)
			starts.set(task, (starts.get(task) ?? 0) + 1)
			record({kind: "start", executor, task, run, fence})
		},
		onEnd(executor, task, run, how) {
			running.get(task)?.delete(`${executor}/${run}`)
			if (how === "done") dones.set(task, (dones.get(task) ?? 0) + 1)
			record({kind: "end", executor, task, run, how})
		},
		onViolation: rule => void violations.push(rule),
		onCrash,
		onOrder: (executor, order) => record({kind: "order", executor, ...order}),
	}
	return {violations, starts, dones, events}
}

export async function startLeasedPlatform(options: LeasedPlatformOptions): Promise<LeasedPlatform> {
	const capacityCpu = options.capacityCpu ?? 64_000
	const through = options.through ?? (address => Promise.resolve(address))
	const store = new WireStore()
	const executors: HostedExecutor[] = []
	const endExpiredRuns = () => executors.forEach(({executor}) => executor.settle())
	const record = (line: Readonly<Record<string, unknown>>) =>
		options.onRecord?.({timestamp: new Date().toISOString(), ...line})
	const checker = createRunChecker(endExpiredRuns, crash, record)
	const crashed = new Set<WireExecutor>()
	store.onWrite = (key, value) => {
		if (key.startsWith(FLEET_PREFIX)) record({kind: "store", key, value})
	}
	let serial = 0
	const storeServer = createServer((req, res) => {
		void readBody(req).then(body => store.handle(req, body, res))
	})
	const storeAddress = await listen(storeServer)

	function newExecutor(name: string): WireExecutor {
		const id = `i-${++serial}`
		record({kind: "executor", executor: id, name})
		return new WireExecutor(id, capacityCpu, checker.events, options.clockRateOf?.(name))
	}

	function writeEntry({executor, address, failureDomain}: HostedExecutor) {
		store.write(`servers/${executor.id}`, {
			service: SERVICE,
			address,
			zone: failureDomain,
			version: "v1",
			slots: 8,
			state: "ready",
			capacity: {cpu: executor.capacityCpu(), "mem-mb": 131_072, gpu: 0},
			labels: ["a", `r-${failureDomain}`],
			"clock-ms": executor.clock(),
			seq: serial,
		})
	}

	/** Crashes an executor; after a downtime a new one with another id listens on the same port. */
	function crash(id: string) {
		const hosted = executors.find(({executor}) => executor.id === id)
		if (!hosted || crashed.has(hosted.executor)) return
		const {executor, server} = hosted
		// `address` may be that of a proxy.
		const {port} = server.address() as AddressInfo
		crashed.add(executor)
		executor.crash()
		server.close()
		server.closeAllConnections()
		setTimeout(() => store.remove(`servers/${id}`), ENTRY_TTL_MS)
		const begin = () => {
			hosted.executor = newExecutor(hosted.name)
			writeEntry(hosted)
		}
		setTimeout(() => void listenAgain(server, port).then(begin), CRASH_DOWNTIME_MS)
	}

	const executorsOf = options.executorsOf ?? (() => options.executorsPerDomain)
	for (const failureDomain of options.failureDomains)
		for (let at = 0; at < executorsOf(failureDomain); at++) {
			const server = createServer((req, res) => {
				void readBody(req).then(body => hosted.executor.handle(req, body, res))
			})
			const name = `${failureDomain}-${at}`
			const address = await through(await listen(server), name)
			const executor = newExecutor(name)
			const hosted: HostedExecutor = {executor, failureDomain, name, address, server}
			executors.push(hosted)
			writeEntry(hosted)
		}
	const heartbeatTimer = setInterval(() => {
		if (store.faults.down !== undefined) return
		for (const hosted of executors) if (!crashed.has(hosted.executor)) writeEntry(hosted)
	}, HEARTBEAT_MS)

	return {
		store,
		storeAddress,
		executors,
		violations: checker.violations,
		startsOf: task => checker.starts.get(task) ?? 0,
		donesOf: task => checker.dones.get(task) ?? 0,
		putConfig(version, changes = {}) {
			const services = [{name: SERVICE, "enforces-capacity": false}]
			store.write("op/config", {version, routes: routesFor([]), services, ...changes})
		},
		restart(hosted) {
			if (crashed.has(hosted.executor)) return
			store.remove(`servers/${hosted.executor.id}`)
			hosted.executor.crash()
			hosted.executor = newExecutor(hosted.name)
			writeEntry(hosted)
		},
		resize(hosted, cpu) {
			hosted.executor.resize(cpu)
			writeEntry(hosted)
		},
		async close() {
			clearInterval(heartbeatTimer)
			store.close()
			const servers = [storeServer, ...executors.map(({server}) => server)]
			for (const {executor} of executors) executor.crash()
			for (const server of servers) {
				server.closeAllConnections()
				await new Promise(resolve => server.close(resolve))
			}
		},
	}
}
