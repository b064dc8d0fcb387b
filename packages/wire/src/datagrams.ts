/**
 * Sends JSON messages as UDP datagrams, for state that is repeated soon and may be lost.
 *
 * A datagram costs two system calls; a call with an answer costs about ten.
 */
import {createSocket} from "node:dgram"

export interface Datagrams {
	/** The bound port. */
	readonly port: number
	/** Sends without confirmation; to an address that is none, nothing is sent. */
	send(address: string, message: unknown): void
	close(): void
}

/** Opens a socket at an address (host and port, 0 for any); rejects when it is taken. */
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
		const fail = (error: Error) => {
			socket.close()
			reject(error)
		}
		socket.once("error", fail)
		socket.bind(Number(port), host, () => {
			socket.off("error", fail)
			socket.on("error", onError)
			resolve({
				port: socket.address().port,
				send(to, message) {
					if (isClosed) return
					// A failed send counts as a lost datagram, also one that throws at once.
					try {
						const [toHost = "", toPort = "0"] = to.split(":")
						socket.send(JSON.stringify(message), Number(toPort), toHost, () => undefined)
					} catch (error) {
						onError(error as Error)
					}
				},
				close() {
					isClosed = true
					socket.close()
				},
			})
		})
	})
}
