/**
 * Preloaded into an instance: redirects connections and datagrams for some addresses to the links of a test's network,
 * and kills the instance when its parent process has exited.
 *
 * `COTTONWOOD_ROUTES` maps addresses (host and port, or a host with all its ports) to addresses.
 */
import {Socket as Datagrams} from "node:dgram"
import {Socket} from "node:net"

const PARENT_CHECK_MS = 500
const routes = JSON.parse(process.env["COTTONWOOD_ROUTES"] ?? "{}") as Record<string, string>

type AnyFunction = (this: unknown, ...args: unknown[]) => unknown

interface Destination {
	readonly host?: string
	readonly port?: number | string
}

function routeFor(host: unknown, port: unknown): {host: string; port: number} | undefined {
	const address = routes[`${host}:${port}`] ?? routes[`${host}`]
	const [toHost = "", toPort = "0"] = address?.split(":") ?? []
	return address === undefined ? undefined : {host: toHost, port: Number(toPort)}
}

const reroute = <T extends Destination>(destination: T): T => ({
	...destination,
	...routeFor(destination.host, destination.port),
})

const connect = Socket.prototype.connect as AnyFunction
Socket.prototype.connect = function (this: Socket, ...args: unknown[]) {
	const [first] = args
	// Node.js marks its argument array with a symbol, so the array is changed in place.
	if (Array.isArray(first)) first[0] = reroute(first[0] as Destination)
	else if (typeof first === "object" && first !== null) args[0] = reroute(first)
	return connect.apply(this, args)
} as typeof Socket.prototype.connect

const send = Datagrams.prototype.send as AnyFunction
Datagrams.prototype.send = function (this: Datagrams, ...args: unknown[]) {
	const [bytes, port, host, ...rest] = args
	const instead = routeFor(host, port)
	if (instead === undefined) return send.apply(this, args)
	return send.call(this, bytes, instead.port, instead.host, ...rest)
} as typeof Datagrams.prototype.send

const parent = process.ppid
setInterval(() => {
	if (process.ppid !== parent) process.kill(process.pid, "SIGKILL")
}, PARENT_CHECK_MS).unref()
