/**
 * A TCP link that can be cut: while cut, open connections go silent and new ones get no answer,
 * as behind a lost switch.
 */
import {connect, createServer, type Socket} from "node:net"

export interface Link {
	readonly port: number
	cut(): void
	mend(): void
	close(): void
}

/** Opens a link from a free port to a port that is looked up at each connection. */
export function openLink(targetPort: () => number): Promise<Link> {
	let isCut = false
	const sockets = new Set<Socket>()

	function track(socket: Socket) {
		sockets.add(socket)
		socket.on("error", () => socket.destroy())
		socket.on("close", () => sockets.delete(socket))
	}

	const server = createServer(near => {
		track(near)
		if (isCut) return near.pause()
		const far = connect(targetPort(), "127.0.0.1")
		track(far)
		near.pipe(far)
		far.pipe(near)
		near.on("close", () => far.destroy())
		far.on("close", () => near.destroy())
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
				mend() {
					isCut = false
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
