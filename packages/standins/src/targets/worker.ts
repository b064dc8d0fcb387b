/**
 * The process of a worker stand-in: runs batches of tasks under leases within its CPU, memory and accelerators, and
 * streams one event per line as tasks end.
 *
 * The payload sets a task's duration and outcome: `{ms, fail, value}`.
 */
import {Hono} from "hono"
import {stream} from "hono/streaming"
import {announce, listen, readSettings} from "../utils/server.js"
import {openStartLog} from "./judge.js"
import {register} from "./registration.js"

interface WorkerSettings {
	readonly id: string
	readonly failureDomain: string
	readonly rack: string
	readonly platform: string
	readonly port: number
	readonly cpu: number
	readonly memoryMb: number
	readonly accelerators: number
	readonly labels: Readonly<Record<string, string>>
	readonly judge: string
}

interface TaskMessage {
	readonly attempt: string
	readonly submission: string
	readonly task: number
	readonly kind: string
	readonly payload: {readonly ms?: number; readonly fail?: boolean; readonly value?: unknown} | null
	readonly resources: {
		readonly cpu: number
		readonly memoryMb: number
		readonly accelerators: number
	}
	readonly leaseMs: number
}

type TaskEvent =
	| {
			readonly attempt: string
			readonly type: "done"
			readonly value: unknown
			readonly runMs: number
	  }
	| {readonly attempt: string; readonly type: "failed"; readonly detail: string}
	| {readonly attempt: string; readonly type: "busy" | "leaving"}

interface Behavior {
	readonly failAll: boolean
	readonly slowFactor: number
}

const settings = readSettings<WorkerSettings>({
	id: "worker",
	failureDomain: "fd1",
	rack: "r1",
	platform: "",
	port: 0,
	cpu: 16,
	memoryMb: 32_768,
	accelerators: 0,
	labels: {},
	judge: "",
})

const MAX_REMEMBERED = 50_000
const startLog = openStartLog(settings.judge, settings.id)
const used = {cpu: 0, memoryMb: 0, accelerators: 0}
const counters = {starts: 0, busy: 0, batches: 0, stopped: 0, refusedLeaving: 0}
const endings = new Map<string, (event: TaskEvent) => void>()
const finished = new Map<string, TaskEvent>()
let behavior: Behavior = {failAll: false, slowFactor: 1}
let isLeaving = false

function hasRoom({cpu, memoryMb, accelerators}: TaskMessage["resources"]): boolean {
	return (
		used.cpu + cpu <= settings.cpu &&
		used.memoryMb + memoryMb <= settings.memoryMb &&
		used.accelerators + accelerators <= settings.accelerators
	)
}

function occupy({cpu, memoryMb, accelerators}: TaskMessage["resources"], sign: 1 | -1) {
	used.cpu += sign * cpu
	used.memoryMb += sign * memoryMb
	used.accelerators += sign * accelerators
}

function remember(event: TaskEvent) {
	finished.set(event.attempt, event)
	if (finished.size > MAX_REMEMBERED) finished.delete(finished.keys().next().value!)
}

/** Runs a task unless the worker is leaving or full; resolves with the task's only event. */
function runTask(task: TaskMessage): Promise<TaskEvent> {
	const {attempt} = task
	if (isLeaving) {
		counters.refusedLeaving++
		return Promise.resolve({attempt, type: "leaving"})
	}
	if (!hasRoom(task.resources)) {
		counters.busy++
		return Promise.resolve({attempt, type: "busy"})
	}
	occupy(task.resources, 1)
	counters.starts++
	startLog.recordStart({submission: task.submission, task: task.task, attempt})
	return new Promise(resolve => {
		const runMs = (task.payload?.ms ?? 50) * behavior.slowFactor
		const end = (event: TaskEvent) => {
			clearTimeout(timer)
			clearTimeout(lease)
			endings.delete(attempt)
			occupy(task.resources, -1)
			remember(event)
			resolve(event)
		}
		const timer = setTimeout(
			() => {
				const isFailing = behavior.failAll || task.payload?.fail === true
				if (isFailing) return end({attempt, type: "failed", detail: `failed on ${settings.id}`})
				end({attempt, type: "done", value: task.payload?.value ?? settings.id, runMs})
			},
			behavior.failAll ? 5 : runMs,
		)
		const lease = setTimeout(
			() => end({attempt, type: "failed", detail: "the lease ended"}),
			task.leaseMs,
		)
		endings.set(attempt, end)
	})
}

const app = new Hono()

app.post("/tasks", async c => {
	const {tasks} = await c.req.json<{tasks: readonly TaskMessage[]}>()
	counters.batches++
	c.header("content-type", "application/x-ndjson")
	return stream(c, async out => {
		let lines: string[] = []
		let writing = Promise.resolve()
		const flush = async () => {
			const text = lines.join("")
			lines = []
			if (text !== "") await out.write(text)
		}
		await Promise.all(
			tasks.map(async task => {
				const event = await runTask(task)
				lines.push(`${JSON.stringify(event)}\n`)
				if (lines.length === 1) writing = writing.then(() => flush())
			}),
		)
		await writing
		await flush()
	})
})

app.post("/attempts", async c => {
	const {attempts} = await c.req.json<{attempts: readonly string[]}>()
	const states = attempts.map(attempt => ({
		attempt,
		state: endings.has(attempt) ? "running" : finished.has(attempt) ? "finished" : "unknown",
		event: finished.get(attempt),
	}))
	return c.json({attempts: states})
})

app.post("/stop", async c => {
	const {attempts} = await c.req.json<{attempts: readonly string[]}>()
	for (const attempt of attempts) {
		const end = endings.get(attempt)
		if (!end) continue
		counters.stopped++
		end({attempt, type: "failed", detail: "stopped"})
	}
	return c.json({})
})

app.get("/stats", c => c.json({...counters, used, isLeaving}))
app.put("/behavior", async c => {
	behavior = {...behavior, ...(await c.req.json<Partial<Behavior>>())}
	return c.json(behavior)
})
app.post("/leave", async c => {
	isLeaving = true
	if (c.req.query("quiet") !== "true") await registration?.setState("leaving")
	return c.json({})
})

const server = await listen(app, settings.port)
const registration =
	settings.platform === ""
		? undefined
		: register(settings.platform, {
				id: settings.id,
				kind: "worker",
				address: server.address,
				failureDomain: settings.failureDomain,
				rack: settings.rack,
				labels: settings.labels,
				cpu: settings.cpu,
				memoryMb: settings.memoryMb,
				accelerators: settings.accelerators,
				state: "live",
			})
announce(server.port)
