/**
 * The HTTP application for callers, operators and the load balancer, and its server.
 */
import {DispatchError, type Clock, type Config, type SubmissionKey} from "@cottonwood/core"
import {serve, type ServerType} from "@hono/node-server"
import {Hono} from "hono"
import type {Router} from "../dispatch/router.js"
import type {ConfigStore} from "../fleet/config-store.js"
import type {Log} from "../utils/log.js"
import type {Metrics} from "../utils/metrics.js"
import {addOperatorRoutes} from "./operators.js"
import {sendError} from "./problem.js"
import {addSubmissionRoutes} from "./submissions.js"

export interface HttpDeps {
	readonly clock: Clock
	readonly router: Router
	readonly configStore: ConfigStore
	readonly metrics: Metrics
	readonly log: Log
	readonly bodyBytes: number
	readonly config: () => Config | undefined
	readonly storeSilentMs: () => number
	readonly beginRequest: () => void
	readonly endRequest: () => void
	readonly explain: (key: SubmissionKey) => Promise<unknown>
	readonly listSubmissions: (limit: number) => unknown
	readonly describeInstances: () => unknown
	readonly describeTargets: (type: "executor" | "worker") => unknown
	readonly drain: () => void
	/** Returns why this instance is not ready, or undefined when it is. */
	readonly notReadyCause: () => string | undefined
}

export function createApp(deps: HttpDeps): Hono {
	const app = new Hono()
	addSubmissionRoutes(app, deps)
	addOperatorRoutes(app, deps)
	app.notFound(c => sendError(c, new DispatchError("not_found", `${c.req.method} ${c.req.path}`)))
	app.onError((error, c) => {
		deps.log.error(`${c.req.method} ${c.req.path} failed: ${error.message}.`)
		return sendError(c, new DispatchError("internal", error.message))
	})
	return app
}

export interface HttpServerSettings {
	readonly host: string
	readonly port: number
	readonly headerBytes: number
	readonly requestTimeoutMs: number
	readonly maxConnections: number
}

export interface HttpServer {
	readonly port: number
	/** Stops listening; resolves when all open requests are answered. */
	close(): Promise<void>
}

/** Starts the server; rejects when the port is taken. */
export function listenHttp(app: Hono, settings: HttpServerSettings): Promise<HttpServer> {
	const {host, port, headerBytes, requestTimeoutMs} = settings
	return new Promise((resolve, reject) => {
		const server: ServerType = serve(
			{
				fetch: app.fetch,
				hostname: host,
				port,
				serverOptions: {
					maxHeaderSize: headerBytes,
					requestTimeout: requestTimeoutMs,
					headersTimeout: requestTimeoutMs,
					connectionsCheckingInterval: 1_000,
				},
			},
			info => resolve({port: info.port, close: () => closeServer(server)}),
		)
		if ("maxConnections" in server) server.maxConnections = settings.maxConnections
		server.once("error", reject)
	})
}

function closeServer(server: ServerType): Promise<void> {
	return new Promise(resolve => {
		server.close(() => resolve())
		if ("closeIdleConnections" in server) server.closeIdleConnections()
	})
}
