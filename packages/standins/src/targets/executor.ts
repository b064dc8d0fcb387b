/**
 * The process of an executor stand-in: an endpoint's back end that refuses work when its slots are taken or it is
 * leaving, and that `PUT /behavior` makes fail, slow down or break its answers.
 *
 * The payload sets a run's duration and outcome: `{ms, fail}`.
 */
import {Hono} from "hono"
import type {HttpBindings} from "@hono/node-server"
import {announce, listen, readSettings} from "../utils/server.js"
import {openStartLog} from "./judge.js"
import {register} from "./registration.js"
import {sleep} from "../utils/sleep.js"

interface ExecutorSettings {
	readonly id: string
	readonly endpoint: string
	readonly failureDomain: string
	readonly rack: string
	readonly platform: string
	readonly port: number
	readonly slots: number
	readonly judge: string
	readonly labels: Readonly<Record<string, string>>
}

interface Behavior {
	readonly failAll: boolean
	readonly slowFactor: number
	/** `crossed` names the previous attempt; `cut` closes the connection without an answer. */
	readonly answer: "whole" | "truncated" | "crossed" | "cut"
}

interface Payload {
	readonly ms?: number
	readonly fail?: boolean
}

const settings = readSettings<ExecutorSettings>({
	id: "executor",
	endpoint: "inventory",
	failureDomain: "fd1",
	rack: "r1",
	platform: "",
	port: 0,
	slots: 8,
	judge: "",
	labels: {},
})

const startLog = openStartLog(settings.judge, settings.id)
const counters = {starts: 0, busy: 0, refusedLeaving: 0, maxRunning: 0}
let behavior: Behavior = {failAll: false, slowFactor: 1, answer: "whole"}
let running = 0
let isLeaving = false
let lastAttempt = "none"

const app = new Hono<{Bindings: HttpBindings}>()

app.post("/invoke", async c => {
	const attempt = c.req.header("cottonwood-attempt") ?? ""
	if (isLeaving) {
		counters.refusedLeaving++
		return c.json({}, 503, {"cottonwood-refused": "leaving"})
	}
	if (running >= settings.slots) {
		counters.busy++
		return c.json({}, 429, {"cottonwood-refused": "busy"})
	}
	running++
	counters.starts++
	counters.maxRunning = Math.max(counters.maxRunning, running)
	const submission = c.req.header("cottonwood-submission") ?? ""
	startLog.recordStart({submission, task: Number(c.req.header("cottonwood-task") ?? 0), attempt})
	const payload = (await c.req.json<Payload | null>()) ?? {}
	await sleep((payload.ms ?? 50) * behavior.slowFactor)
	running--
	const previous = lastAttempt
	lastAttempt = attempt
	if (payload.fail || behavior.failAll) {
		return c.json({error: "failed on request"}, 500, {"cottonwood-attempt": attempt})
	}
	const body = JSON.stringify({ranOn: settings.id, payload})
	if (behavior.answer === "cut") c.env.outgoing.destroy()
	if (behavior.answer === "truncated") {
		c.env.outgoing.writeHead(200, {
			"cottonwood-attempt": attempt,
			"content-length": String(body.length),
		})
		c.env.outgoing.write(body.slice(0, body.length / 2))
		c.env.outgoing.destroy()
	}
	const echoed = behavior.answer === "crossed" ? previous : attempt
	return c.body(body, 200, {"content-type": "application/json", "cottonwood-attempt": echoed})
})

app.get("/stats", c => c.json({...counters, running, isLeaving}))
app.put("/behavior", async c => {
	behavior = {...behavior, ...(await c.req.json<Partial<Behavior>>())}
	return c.json(behavior)
})
app.post("/leave", async c => {
	isLeaving = true
	if (c.req.query("quiet") !== "true") await registration?.setState("leaving")
	return c.json({})
})

const server = await listen(app as unknown as Hono, settings.port)
const registration =
	settings.platform === ""
		? undefined
		: register(settings.platform, {
				id: settings.id,
				kind: "executor",
				endpoint: settings.endpoint,
				address: server.address,
				failureDomain: settings.failureDomain,
				rack: settings.rack,
				labels: settings.labels,
				slots: settings.slots,
				state: "live",
			})
announce(server.port)
