/**
 * A TCP and UDP proxy, both on one port number, from one machine to an address of another. Two one-way paths decide
 * what passes and when. Used by the simulated network and its tests.
 */
import {createSocket, type Socket as Datagrams} from "node:dgram"
import {connect, createServer, type Server, type Socket} from "node:net"
import type {Path} from "./path.js"

export interface Target {
	readonly host: string
	readonly port: number
}

export interface PairLink {
	readonly port: number
	/** Resets all open connections. */
	reset(): void
	/** Resets only the end that opened them; the reset reaches the other end over the path there, if at all. */
	resetNear(): void
	close(): void
}

export interface PairLinkOptions {
	/** The address at which the link listens. */
	readonly host: string
	readonly there: Path
	readonly back: Path
	/** Evaluated for each connection and datagram; undefined while nothing listens. */
	readonly target: () => Target | undefined
}

/** A port that is free for TCP may be taken for UDP. */
const PORT_TRIES = 50

type Track = (socket: Socket) => void

/** Opens a link on a port that is free for TCP and UDP; rejects when none is found. */
export async function openPairLink(options: PairLinkOptions): Promise<PairLink> {
	const sockets = new Set<Socket>()
	const clients = new Set<Socket>()
	const track: Track = socket => {
		sockets.add(socket)
		socket.setNoDelay(true)
		socket.on("error", () => undefined)
		socket.on("close", () => sockets.delete(socket))
	}
	const serve = (near: Socket) => {
		clients.add(near)
		near.on("close", () => clients.delete(near))
		forward(near, options, track)
	}
	const {server, datagrams, port} = await listenBoth(options.host, serve)
	datagrams.on("message", bytes => {
		options.there.passDatagram(() => {
			const target = options.target()
			if (target) datagrams.send(bytes, target.port, target.host, () => undefined)
		})
	})
	return {
		port,
		reset() {
			for (const socket of sockets) socket.resetAndDestroy()
		},
		resetNear() {
			for (const near of clients) near.resetAndDestroy()
		},
		close() {
			for (const socket of sockets) socket.destroy()
			server.close()
			datagrams.close()
		},
	}
}

/** Forwards one connection: connect, data and close pass each path in order. */
function forward(near: Socket, {there, back, target}: PairLinkOptions, track: Track) {
	let far: Socket | undefined
	const breakOff = () => {
		near.resetAndDestroy()
		far?.resetAndDestroy()
		outbound.close()
		inbound.close()
	}
	const outbound = there.openStream(breakOff)
	const inbound = back.openStream(breakOff)

	function follow(from: Socket, stream: typeof outbound, to: () => Socket | undefined) {
		track(from)
		from.on("data", (chunk: Buffer) =>
			stream.pass(() => void (to()?.writable && to()?.write(chunk))),
		)
		from.on("end", () => stream.pass(() => void to()?.end()))
		from.on("close", hadError =>
			stream.pass(() => {
				if (hadError) to()?.resetAndDestroy()
				else to()?.destroySoon()
				stream.close()
			}),
		)
	}

	follow(near, outbound, () => far)
	outbound.pass(() => {
		const at = target()
		if (near.destroyed) return
		if (!at) return void near.resetAndDestroy()
		far = connect({...at, allowHalfOpen: true})
		follow(far, inbound, () => near)
	})
}

async function listenBoth(host: string, serve: (near: Socket) => void) {
	for (let tries = 0; tries < PORT_TRIES; tries++) {
		const server = createServer({allowHalfOpen: true}, serve)
		const port = await listenTcp(server, host)
		const datagrams = await bindUdp(port, host)
		if (datagrams) return {server, datagrams, port}
		server.close()
	}
	throw new Error("no port is free for both TCP and UDP")
}

function listenTcp(server: Server, host: string): Promise<number> {
	return new Promise((resolve, reject) => {
		server.once("error", reject)
		server.listen(0, host, () => resolve((server.address() as {port: number}).port))
	})
}

function bindUdp(port: number, host: string): Promise<Datagrams | undefined> {
	const socket = createSocket("udp4")
	return new Promise(resolve => {
		socket.once("error", () => resolve(undefined))
		socket.bind(port, host, () => {
			socket.removeAllListeners("error")
			socket.on("error", () => undefined)
			resolve(socket)
		})
	})
}
