/**
 * The stand-in platform of the cases: the store, executors with their entries in it, the operator's configuration, and
 * a judge that notes each start, end and note that an executor sees. All of it runs in the process of the case, so
 * there is one clock.
 */
/* global setTimeout, setInterval, clearInterval, performance */
import {createWriteStream} from "node:fs"
import {Executor} from "./executor.mjs"
import {Store} from "./store.mjs"

const HEARTBEAT_MS = 1_500
const MAX_HOLD_MS = 1_000
const PERIOD_MS = 100

export const HOST = "nony24.example"
export const PREFIX = "/lohu930/"
export const SERVICE = "huvo11a"

/** Writes what was sent, answered and run, with the time since the start of the case. */
export function openRecord(path) {
	const file = createWriteStream(path)
	const startedAt = performance.now()
	return {
		now: () => Math.round(performance.now() - startedAt),
		note(what, fields = {}) {
			const at = Math.round(performance.now() - startedAt)
			file.write(`${JSON.stringify({at, what, ...fields})}\n`)
		},
		close: () => new Promise(resolve => file.end(resolve)),
	}
}

/** What has run, by task, as executors have seen it. */
function createJudge(record) {
	/** Starts and ends in their order, by task. */
	const tasks = new Map()
	const of = task => {
		if (!tasks.has(task)) tasks.set(task, {starts: [], ends: []})
		return tasks.get(task)
	}
	return {
		tasks,
		of,
		/** The case says how long a task runs and how it ends. */
		workOf: spec => ({ms: JSON.parse(spec).ms ?? Infinity, how: "done"}),
		onStart(executor, {task, run, fence, at}, spec) {
			const known = of(task)
			const work = this.workOf(spec, known.starts.length)
			known.starts.push({executor: executor.id, run, fence, at, over: undefined})
			record.note("start", {executor: executor.id, task, run, fence})
			return work
		},
		onEnd(executor, end) {
			this.close(executor, end)
			of(end.task).ends.push(Object.assign(end, {executor: executor.id, notedAt: undefined}))
			record.note("end", {
				executor: executor.id,
				n: end.n,
				task: end.task,
				run: end.run,
				how: end.how,
			})
		},
		onGone(executor, run) {
			this.close(executor, run)
			record.note("gone", {executor: executor.id, task: run.task, run: run.run})
		},
		close(executor, {task, run}) {
			const start = of(task).starts.find(one => one.executor === executor.id && one.run === run)
			if (start) start.over = performance.now()
		},
		/** RULES.md: "taken note of when `last-seen` reaches it, unless the executor's lease lapsed between the two". */
		onNoted(executor, end, hasLapsedBetween) {
			if (!hasLapsedBetween) end.notedAt = performance.now()
			const fields = {executor: executor.id, n: end.n, task: end.task, run: end.run, how: end.how}
			record.note("noted", {...fields, hasLapsedBetween})
		},
	}
}

/** `zones` gives the executors of each: `{a: [{labels, cpu}, ...]}`. */
export async function startPlatform({zones, record, routes}) {
	const store = new Store()
	store.onWrite = puts => {
		for (const {key, value} of puts) if (key.startsWith("fleet/claim/")) record.note("claim", value)
	}
	await store.begin()
	const judge = createJudge(record)
	const executors = []
	let serial = 0

	function createExecutor(machine) {
		const id = `i-${(0xa3f10 + ++serial).toString(16)}`
		const {zone, labels, cpu, name} = machine
		const capacityCpu = cpu ?? 64_000
		const executor = new Executor({id, zone, labels, capacityCpu, maxHoldMs: MAX_HOLD_MS, judge})
		return Object.assign(executor, {service: SERVICE, machine: name, seq: 0})
	}

	function beat(executor) {
		if (!executor.isUp || store.isDown) return
		store.write(`servers/${executor.id}`, executor.entry(++executor.seq))
	}

	async function begin(machine, port) {
		const executor = createExecutor(machine)
		await executor.begin(port)
		executors.push(executor)
		machine.executor = executor
		record.note("executor up", {executor: executor.id, machine: machine.name, zone: machine.zone})
		beat(executor)
		executor.beatTimer = setInterval(() => beat(executor), HEARTBEAT_MS)
	}

	const machines = Object.entries(zones).flatMap(([zone, list]) =>
		list.map((one, at) => ({...one, zone, name: `m-${zone}-${at}`})),
	)
	for (const machine of machines) await begin(machine, 0)

	/** `srv_crash`: down for `forMs`; the entry goes after three heartbeats of silence; then a new id, same address. */
	function crash(executor, forMs) {
		const machine = machines.find(one => one.executor === executor)
		const {port} = executor
		executor.crash()
		clearInterval(executor.beatTimer)
		record.note("executor crashes", {executor: executor.id, forMs})
		setTimeout(() => store.remove(`servers/${executor.id}`), 3 * HEARTBEAT_MS)
		setTimeout(() => void begin(machine, port), forMs)
	}

	function putConfig(version) {
		store.write("op/config", {
			version,
			routes: routes ?? [routeOf({})],
			services: [{name: SERVICE, "enforces-capacity": false}],
			limits: {"max-body-bytes": 262_144, "idle-timeout-ms": 15_000},
		})
		record.note("configuration", {version})
	}

	return {
		store,
		judge,
		machines,
		executors,
		crash,
		putConfig,
		up: () => executors.filter(({isUp}) => isUp),
		close() {
			for (const executor of executors) {
				clearInterval(executor.beatTimer)
				if (executor.isUp) executor.crash()
			}
			store.close()
		},
	}
}

export function routeOf(changes) {
	return {
		name: "r-wrr6x73",
		host: HOST,
		"path-prefix": PREFIX,
		"route-type": "unsafe",
		"timeout-ms": 1500,
		"slo-ms": 60,
		priority: 0,
		service: SERVICE,
		"max-attempts": 4,
		stretch: 1.6,
		...changes,
	}
}

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Resolves with whether it held within the time. */
export async function until(holds, limitMs) {
	const end = performance.now() + limitMs
	while (performance.now() < end) {
		if (await holds()) return true
		await sleep(PERIOD_MS)
	}
	return false
}
