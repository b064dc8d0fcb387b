/**
 * Free ports on loopback for instances, from a block of this process's own, so that concurrent test processes don't
 * collide.
 */
import {createServer, type Server} from "node:net"

/** Below the ephemeral ports, which begin at 32,768 on Linux. */
const FIRST_PORT = 10_000
const PORTS_PER_BLOCK = 100
const PORT_BLOCKS = 220

let nextPort = FIRST_PORT + (process.pid % PORT_BLOCKS) * PORTS_PER_BLOCK

/** Listens on a port. Resolves to undefined when it is taken. */
export function holdPort(ip: string, port: number): Promise<Server | undefined> {
	const server = createServer(socket => socket.destroy())
	return new Promise(resolve => {
		server.once("error", () => resolve(undefined))
		server.listen(port, ip, () => resolve(server))
	})
}

async function isFree(ip: string, port: number): Promise<boolean> {
	const server = await holdPort(ip, port)
	await new Promise<unknown>(resolve => (server ? server.close(resolve) : resolve(undefined)))
	return server !== undefined
}

/** Returns a free port of this process's own block. */
export async function freePort(ip: string): Promise<number> {
	for (;;) {
		const port = nextPort++
		if (nextPort >= FIRST_PORT + PORT_BLOCKS * PORTS_PER_BLOCK) nextPort = FIRST_PORT
		if (await isFree(ip, port)) return port
	}
}
