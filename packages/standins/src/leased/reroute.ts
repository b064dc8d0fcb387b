/**
 * Loaded into an instance before the program: connections and datagrams to some addresses go to another instead, where
 * the test has put a link. It decides nothing else, and ends the instance when the test is gone.
 *
 * `COTTONWOOD_ROUTES` maps addresses (host and port, or a host with all its ports) to addresses.
 */
import {Socket as Datagrams} from "node:dgram"
import {Socket} from "node:net"

const ORPHAN_LOOK_MS = 500
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
	// The runtime itself calls this with a list that carries a mark of its own, so the list must stay the same.
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
}, ORPHAN_LOOK_MS).unref()
