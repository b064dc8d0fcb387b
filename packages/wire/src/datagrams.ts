/**
 * Small messages that may be lost: one datagram each, as JSON.
 *
 * For what is told again soon anyway. A call with an answer costs some ten system calls on both sides;
 * a datagram costs two.
 */
import {createSocket} from "node:dgram"

export interface Datagrams {
	/** Sends and forgets. */
	send(address: string, message: unknown): void
	close(): void
}

/** Opens a socket at an address (host and port); rejects when it is taken. */
export function openDatagrams(
	address: string,
	onMessage: (message: unknown) => void,
	onError: (error: Error) => void,
): Promise<Datagrams> {
	const [host = "", port = "0"] = address.split(":")
	const socket = createSocket("udp4")
	let isClosed = false
	socket.on("message", bytes => {
		try {
			onMessage(JSON.parse(bytes.toString("utf8")))
		} catch (error) {
			onError(error as Error)
		}
	})
	return new Promise((resolve, reject) => {
		socket.once("error", reject)
		socket.bind(Number(port), host, () => {
			socket.off("error", reject)
			socket.on("error", onError)
			resolve({
				send(to, message) {
					if (isClosed) return
					const [toHost = "", toPort = "0"] = to.split(":")
					// A datagram that cannot be sent is one that was lost.
					socket.send(JSON.stringify(message), Number(toPort), toHost, () => undefined)
				},
				close() {
					isClosed = true
					socket.close()
				},
			})
		})
	})
}
