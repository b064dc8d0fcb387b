/**
 * Loaded into an instance before the program: connections and datagrams to some addresses go to a port of this machine
 * instead, where the test has put a link. It decides nothing else.
 *
 * `COTTONWOOD_ROUTES` maps addresses (host and port, or a host with all its ports) to ports.
 */
import {Socket as Datagrams} from "node:dgram"
import {Socket} from "node:net"

const HOST = "127.0.0.1"
const routes = JSON.parse(process.env["COTTONWOOD_ROUTES"] ?? "{}") as Record<string, number>

type AnyFunction = (this: unknown, ...args: unknown[]) => unknown

interface Destination {
	readonly host?: string
	readonly port?: number | string
}

const portFor = (host: unknown, port: unknown) => routes[`${host}:${port}`] ?? routes[`${host}`]

function reroute<T extends Destination>(destination: T): T {
	const port = portFor(destination.host, destination.port)
	return port === undefined ? destination : {...destination, host: HOST, port}
}

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
	const instead = portFor(host, port)
	if (instead === undefined) return send.apply(this, args)
	return send.call(this, bytes, instead, HOST, ...rest)
} as typeof Datagrams.prototype.send
