/**
 * A TCP proxy on loopback with injectable faults: cut both ways or for answers only, delayed, reset, or with open
 * connections silent while new ones work. Used by fleets, soaks and tests.
 */
import {connect, createServer, type Socket} from "node:net"

export interface Link {
	readonly port: number
	/** Open connections go silent and new ones get no answer, as behind a failed switch. */
	cut(): void
	/** Drops data from the target; data to the target still passes. */
	cutAnswers(): void
	/** Delays data from the target, in milliseconds. */
	delay(ms: number): void
	/** Resets all open connections. */
	reset(): void
	/** Drops all further data of open connections without closing them; new connections work. */
	hush(): void
	/** Ends all faults and closes open connections. */
	mend(): void
	close(): void
}

/** Listens on a free port and forwards to `targetPort`, which is evaluated for each connection. */
export function openLink(targetPort: () => number): Promise<Link> {
	let isCut = false
	let losesAnswers = false
	let delayMs = 0
	const sockets = new Set<Socket>()
	const hushed = new Set<Socket>()

	function track(socket: Socket) {
		sockets.add(socket)
		socket.on("error", () => socket.destroy())
		socket.on("close", () => {
			sockets.delete(socket)
			hushed.delete(socket)
		})
	}

	const server = createServer(near => {
		track(near)
		if (isCut) return near.pause()
		const far = connect(targetPort(), "127.0.0.1")
		track(far)
		near.pipe(far)
		far.on("data", (chunk: Buffer) => {
			if (losesAnswers || hushed.has(far)) return
			if (delayMs === 0) near.write(chunk)
			else setTimeout(() => near.writable && near.write(chunk), delayMs)
		})
		far.on("end", () => !hushed.has(far) && near.end())
		near.on("close", () => far.destroy())
		far.on("close", () => !hushed.has(far) && near.destroy())
	})
	return new Promise(resolve => {
		server.listen(0, "127.0.0.1", () => {
			const address = server.address() as {port: number}
			resolve({
				port: address.port,
				cut() {
					isCut = true
					for (const socket of sockets) {
						socket.unpipe()
						socket.pause()
					}
				},
				cutAnswers() {
					losesAnswers = true
				},
				delay(ms) {
					delayMs = ms
				},
				reset() {
					for (const socket of sockets) socket.resetAndDestroy()
				},
				hush() {
					for (const socket of sockets) {
						hushed.add(socket)
						socket.unpipe()
						// Reads and drops the data, so that the sender isn't blocked.
						socket.resume()
					}
				},
				mend() {
					isCut = false
					losesAnswers = false
					delayMs = 0
					// Data was lost, so both ends must reconnect.
					for (const socket of sockets) socket.destroy()
				},
				close() {
					for (const socket of sockets) socket.destroy()
					server.close()
				},
			})
		})
	})
}
