/**
 * What the stand-ins' processes share: an HTTP server on loopback, settings from the command line, and the announcement
 * of the port.
 */
import {serve} from "@hono/node-server"
import type {Hono} from "hono"
import type {Server} from "node:http"

export interface RunningServer {
	readonly address: string
	readonly port: number
	readonly server: Server
	close(): Promise<void>
}

const CLOSE_TIMEOUT_MS = 2_000

/** Listens on a loopback port, or on a free one for 0; rejects when the port is taken. */
export function listen(app: Hono, port: number): Promise<RunningServer> {
	return new Promise((resolve, reject) => {
		const server = serve({fetch: app.fetch, port, hostname: "127.0.0.1"}, info =>
			resolve({
				address: `http://127.0.0.1:${info.port}`,
				port: info.port,
				server: server as Server,
				close: () => closeServer(server as Server),
			}),
		)
		server.on("error", reject)
	})
}

function closeServer(server: Server): Promise<void> {
	return new Promise(resolve => {
		const timer = setTimeout(() => server.closeAllConnections(), CLOSE_TIMEOUT_MS)
		server.close(() => {
			clearTimeout(timer)
			resolve()
		})
		server.closeIdleConnections()
	})
}

/** Returns the defaults, overridden by the JSON object in the first argument of the command line. */
export function readSettings<T>(defaults: T): T {
	const text = process.argv[2]
	return text ? {...defaults, ...(JSON.parse(text) as Partial<T>)} : defaults
}

/** Writes the port to standard output, for `startProcess`. */
export function announce(port: number) {
	process.stdout.write(`${JSON.stringify({port})}\n`)
}
