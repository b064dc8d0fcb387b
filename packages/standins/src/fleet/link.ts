/**
 * A TCP link that can fail: while cut, open connections go silent and new ones get no answer, as behind a
 * lost switch; while cut one way, what is sent arrives and no answer comes back; it can be slow, and its
 * connections can be reset, or go silent for good while new ones work.
 */
import {connect, createServer, type Socket} from "node:net"

export interface Link {
	readonly port: number
	cut(): void
	/** Loses answers: only what goes to the target still passes. */
	cutAnswers(): void
	/** Answers take so much longer, in milliseconds. */
	delay(ms: number): void
	/** Resets all open connections. */
	reset(): void
	/** Open connections say nothing more, to either side, and do not end; new ones work. */
	hush(): void
	mend(): void
	close(): void
}

/** Opens a link from a free port to a port that is looked up at each connection. */
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
						// What is still sent is read and lost, as by a lost switch.
						socket.resume()
					}
				},
				mend() {
					isCut = false
					losesAnswers = false
					delayMs = 0
					// What was silent stays broken: both ends must connect anew.
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
