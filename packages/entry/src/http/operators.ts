/**
 * Routes for operators and the load balancer: configuration, fleet, counters, drain and health.
 */
import {DispatchError} from "@cottonwood/core"
import type {Hono} from "hono"
import {sendError} from "./problem.js"
import {readBody} from "./read-body.js"
import type {HttpDeps} from "./app.js"

const AUTHOR_HEADER = "cottonwood-author"

function addConfigRoutes(app: Hono, deps: HttpDeps) {
	const {configStore} = deps

	app.get("/v1/config", c => {
		const current = configStore.current()
		if (!current) return sendError(c, new DispatchError("no_configuration", "none is in force"))
		const inForceMs = Math.round(configStore.inForceMs())
		const storeSilentMs = Math.round(deps.storeSilentMs())
		return c.json({...current, inForceMs, storeSilentMs}, 200, {etag: `"${current.version}"`})
	})

	app.put("/v1/config", async c => {
		const match = /^"?(\d+)"?$/.exec(c.req.header("if-match") ?? "")
		if (!match) {
			const detail = "if-match: expected the version that the change replaces, 0 for the first"
			return sendError(c, new DispatchError("invalid_request", detail))
		}
		const text = await readBody(c, deps.bodyBytes)
		if (text.isErr()) return sendError(c, text.error)
		let body: unknown
		try {
			body = JSON.parse(text.value)
		} catch (error) {
			return sendError(c, new DispatchError("not_json", (error as Error).message))
		}
		const author = c.req.header(AUTHOR_HEADER) ?? "unknown"
		const result = await configStore.put(body, Number(match[1]), author)
		if (result.isErr()) {
			deps.metrics.count(`refusal.${result.error.kind}`)
			return sendError(c, result.error)
		}
		return c.json(result.value, 200, {etag: `"${result.value.version}"`})
	})

	app.get("/v1/config/history", async c => {
		const result = await configStore.history()
		return result.isErr() ? sendError(c, result.error) : c.json({versions: result.value})
	})
}

export function addOperatorRoutes(app: Hono, deps: HttpDeps) {
	addConfigRoutes(app, deps)
	app.get("/v1/instances", c => c.json({instances: deps.describeInstances()}))
	app.get("/v1/endpoints", c => c.json({executors: deps.describeTargets("executor")}))
	app.get("/v1/workers", c => c.json({workers: deps.describeTargets("worker")}))
	app.get("/v1/counters", c => c.json(deps.metrics.snapshot()))
	app.post("/v1/drain", c => {
		deps.drain()
		return c.json({status: "draining"}, 202)
	})
	app.get("/healthz", c => c.json({status: "alive"}))
	app.get("/readyz", c => {
		const cause = deps.notReadyCause()
		return cause === undefined
			? c.json({status: "ready"})
			: c.json({status: "not ready", cause}, 503)
	})
}
