/**
 * The address of an instance for its peers: one port of a range, by TCP for calls and by UDP for heartbeats.
 */
import {openDatagrams, type Datagrams} from "@cottonwood/wire/datagrams"
import type {JsonServer} from "@cottonwood/wire/json"
import {isPortTaken, openOnceFree, type PortOpening} from "../utils/taken-port.js"
import {listenPeers, type PeerHandlers} from "./peers.js"

/** The first and the last port that may be used; zeros leave the choice to the system. */
export type PortRange = readonly [first: number, last: number]

/** The instance's handlers for calls and datagrams of peers. */
export interface PeerReceiver extends PeerHandlers {
	receive(datagram: unknown): void
}

export interface PeerPort extends Pick<Datagrams, "send"> {
	/** Host and port, both bound. */
	readonly address: string
	/** Until then, calls are answered with an error and datagrams are dropped. */
	serve(receiver: PeerReceiver): void
	close(): void
}

const portsOf = ([first, last]: PortRange) =>
	Array.from({length: last - first + 1}, (_, at) => first + at)

/** Opens the first port of the range that is free by TCP and UDP; rejects when all of them stay taken. */
export async function openPeerPort(
	host: string,
	range: PortRange,
	opening: PortOpening,
): Promise<PeerPort> {
	let receiver: PeerReceiver | undefined

	/** Throws before the instance serves; the server answers a throw with an error, as it does a rejection. */
	function current(): PeerReceiver {
		if (!receiver) throw new Error("the instance is not ready for calls of peers")
		return receiver
	}

	const handlers: PeerHandlers = {
		beat: heartbeat => current().beat(heartbeat),
		runJob: (message, caller) => current().runJob(message, caller),
		runTask: (message, caller) => current().runTask(message, caller),
		takeOver: message => current().takeOver(message),
		kept: message => current().kept(message),
	}

	function noteFailure(error: Error) {
		opening.metrics.count("broken_assumptions", "datagram")
		opening.log.event("fleet", "datagram_failed", "fleet: datagram error.", {cause: error.message})
	}

	function noteBadFrame({message}: Error) {
		opening.metrics.count("broken_assumptions", "peer_frame")
		opening.log.event("fleet", "frame_failed", "fleet: a bad message.", {cause: message})
	}

	/** Rejects unless the port is free by both. */
	async function open(port: number) {
		const datagrams = await openDatagrams(
			`${host}:${port}`,
			message => receiver?.receive(message),
			noteFailure,
		)
		const address = `${host}:${datagrams.port}`
		try {
			return {address, datagrams, server: await listenPeers(address, handlers, noteBadFrame)}
		} catch (error) {
			datagrams.close()
			throw error
		}
	}

	async function openAny(): Promise<{address: string; datagrams: Datagrams; server: JsonServer}> {
		let taken: unknown
		for (const port of portsOf(range)) {
			try {
				return await open(port)
			} catch (error) {
				if (!isPortTaken(error)) throw error
				taken = error
			}
		}
		throw taken
	}

	const {address, datagrams, server} = await openOnceFree("peers", openAny, opening)
	return {
		address,
		send: datagrams.send,
		serve: next => void (receiver = next),
		close() {
			datagrams.close()
			server.close()
		},
	}
}
