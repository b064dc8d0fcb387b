/**
 * The platform stand-in: the key-value service and the delayed instance list over HTTP, with faults that tests, soaks
 * and experiments inject by `PUT /faults`.
 */
import {Hono, type Context} from "hono"
import type {HttpBindings} from "@hono/node-server"
import {digestOf} from "@cottonwood/core"
import {seededRandom} from "../utils/random.js"
import {KeyValueData} from "./kv.js"
import {sleep} from "../utils/sleep.js"

export interface Faults {
	/** Calls hang until the outage ends, and only then take effect. */
	readonly down: boolean
	/** Additional latency of each call in milliseconds. */
	readonly delayMs: number
	/** The fraction of writes whose answer is lost after they took effect. */
	readonly loseAnswers: number
}

export interface ListedInstance {
	readonly id: string
	readonly kind: "entry" | "executor" | "worker"
	readonly address: string
	readonly failureDomain: string
	readonly state: "live" | "leaving"
	readonly [key: string]: unknown
}

export interface PlatformSettings {
	readonly port: number
	readonly seed: number
	/** The duration of a write in milliseconds. */
	readonly writeMs: number
	readonly readMs: number
	/** The delay of the instance list in milliseconds. */
	readonly listLagMs: number
	/** How long an entry of the instance list lives without renewal, in milliseconds. */
	readonly listTtlMs: number
}

export const PLATFORM_DEFAULTS: PlatformSettings = Object.freeze({
	port: 0,
	seed: 1,
	writeMs: 4,
	readMs: 1,
	listLagMs: 1_000,
	listTtlMs: 5_000,
})

const NO_FAULTS: Faults = Object.freeze({down: false, delayMs: 0, loseAnswers: 0})
const TICK_MS = 100
const MAX_WATCH_MS = 60_000

type Env = {Bindings: HttpBindings}

export function createPlatform(settings: PlatformSettings) {
	const data = new KeyValueData()
	const random = seededRandom(settings.seed)
	const calls: Record<string, number> = {}
	let faults = NO_FAULTS
	let outageWaiters: (() => void)[] = []
	const app = new Hono<Env>()

	const ticker = setInterval(() => {
		if (!faults.down) data.expireLeases(Date.now())
	}, TICK_MS)
	ticker.unref()

	function countCall(name: string) {
		calls[name] = (calls[name] ?? 0) + 1
	}

	async function simulateCall(name: string, ms: number) {
		countCall(name)
		while (faults.down) await new Promise<void>(resolve => outageWaiters.push(resolve))
		const waitMs = ms + faults.delayMs
		if (waitMs > 0) await sleep(waitMs)
	}

	/** Answers a write that took effect, or closes the connection instead. */
	function answerWrite(c: Context<Env>, body: object, status: 200 | 409 | 410 = 200) {
		if (random() < faults.loseAnswers) {
			countCall("lost answers")
			c.env.outgoing.destroy()
		}
		return c.json(body, status)
	}

	app.get("/kv/*", async c => {
		await simulateCall("read", settings.readMs)
		const item = data.get(decodeURIComponent(c.req.path.slice("/kv/".length)))
		return item ? c.json(item) : c.json({}, 404)
	})

	app.get("/list", async c => {
		await simulateCall("read", settings.readMs)
		return c.json(data.list(c.req.query("prefix") ?? ""))
	})

	app.put("/kv/*", async c => {
		const {value, expect, lease} = await c.req.json<{
			value: unknown
			expect?: number
			lease?: string
		}>()
		await simulateCall("write", settings.writeMs)
		const key = decodeURIComponent(c.req.path.slice("/kv/".length))
		const result = data.put(key, value, expect, lease)
		const status = result.type === "done" ? 200 : result.type === "conflict" ? 409 : 410
		return answerWrite(c, result, status)
	})

	app.delete("/kv", async c => {
		await simulateCall("write", settings.writeMs)
		return answerWrite(c, {deleted: data.deletePrefix(c.req.query("prefix") ?? "/none")})
	})

	app.post("/leases", async c => {
		const {ttlMs} = await c.req.json<{ttlMs: number}>()
		await simulateCall("lease", settings.writeMs)
		return answerWrite(c, {id: data.grantLease(ttlMs, Date.now())})
	})

	app.post("/leases/:id/keepalive", async c => {
		await simulateCall("lease", settings.readMs)
		const isAlive = data.keepAlive(c.req.param("id"), Date.now())
		return answerWrite(c, {}, isAlive ? 200 : 410)
	})

	app.delete("/leases/:id", async c => {
		await simulateCall("lease", settings.writeMs)
		data.revoke(c.req.param("id"))
		return answerWrite(c, {})
	})

	app.get("/watch", async c => {
		await simulateCall("watch", 0)
		const waitMs = Math.min(MAX_WATCH_MS, Number(c.req.query("waitMs") ?? 0))
		const after = Number(c.req.query("after") ?? 0)
		const change = await data.watch(c.req.query("prefix") ?? "", after, waitMs)
		while (faults.down) await new Promise<void>(resolve => outageWaiters.push(resolve))
		return c.json(change)
	})

	addFaultRoutes(app, calls, next => {
		const wasDown = faults.down
		faults = {...NO_FAULTS, ...next}
		if (!wasDown || faults.down) return
		data.extendLeases(Date.now())
		const waiting = outageWaiters
		outageWaiters = []
		for (const wake of waiting) wake()
	})
	addInstanceList(app, settings)
	return app
}

function addFaultRoutes(
	app: Hono<Env>,
	calls: Readonly<Record<string, number>>,
	setFaults: (faults: Partial<Faults>) => void,
) {
	app.put("/faults", async c => {
		setFaults(await c.req.json<Partial<Faults>>())
		return c.json({})
	})
	app.get("/calls", c => c.json(calls))
}

/** Adds the instance list: instances renew their own entries, and readers see changes after `listLagMs`. */
function addInstanceList(app: Hono<Env>, settings: PlatformSettings) {
	const entries = new Map<string, {readonly line: ListedInstance; readonly renewedAt: number}>()
	let visible: readonly ListedInstance[] = []
	const ticker = setInterval(() => {
		const now = Date.now()
		for (const [id, {renewedAt}] of entries) {
			if (now - renewedAt > settings.listTtlMs) entries.delete(id)
		}
		const present = [...entries.values()].map(({line}) => line)
		setTimeout(() => (visible = present), settings.listLagMs).unref()
	}, TICK_MS)
	ticker.unref()

	app.put("/instances/:id", async c => {
		const line = await c.req.json<ListedInstance>()
		entries.set(c.req.param("id"), {line, renewedAt: Date.now()})
		return c.json({})
	})
	app.delete("/instances/:id", c => {
		entries.delete(c.req.param("id"))
		return c.json({})
	})
	app.get("/instances", c => {
		const body = JSON.stringify({instances: visible})
		const tag = `"${digestOf(body)}"`
		if (c.req.header("if-none-match") === tag) return c.body(null, 304, {etag: tag})
		return c.body(body, 200, {"content-type": "application/json", etag: tag})
	})
}
