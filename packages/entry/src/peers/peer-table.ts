/**
 * The other entry instances: their addresses, liveness and reported room.
 *
 * Addresses come from the live sessions and, without the store, from the instance list. Liveness
 * comes from heartbeats between the instances, so it does not depend on the store.
 */
import type {Clock, PeerRoom, SessionId} from "@cottonwood/core"
import {
	connectPeer,
	type HeartbeatMessage,
	type HeartbeatMessage__Output,
	type PeerClient,
} from "@cottonwood/wire"
import type {SessionInfo} from "../fleet/live-view.js"
import type {ListedEntry} from "../platform/instance-list.js"
import type {Log} from "../utils/log.js"
import type {Metrics} from "../utils/metrics.js"

export interface Peer {
	readonly instance: string
	readonly failureDomain: string
	readonly address: string
	readonly client: PeerClient
	session: SessionId
	lastAnswerAt: number
	lastHeartbeatAt: number
	isHeartbeatPending: boolean
	draining: boolean
	configVersion: number
	room: Map<string, number>
}

export interface PeerTable {
	start(): void
	stop(): void
	/** Adds and removes peers to match the sessions and the list. */
	update(sessions: Iterable<SessionInfo>, listed: readonly ListedEntry[]): void
	byInstance(instance: string): Peer | undefined
	bySession(session: SessionId): Peer | undefined
	/** Returns the live peers of a failure domain that are not draining. */
	liveIn(failureDomain: string): readonly string[]
	/** Returns all live peers that are not draining, as of the last check. */
	live(): readonly string[]
	rooms(): readonly PeerRoom[]
	onRoomReport(instance: string, pool: string, free: number): void
	/** Makes the next heartbeat to every peer due at once. */
	heartbeatNow(): void
	/** Applies a heartbeat that a peer sent. */
	onHeartbeat(message: HeartbeatMessage__Output): void
	all(): Iterable<Peer>
}

export interface PeerTableDeps {
	readonly instance: string
	readonly failureDomain: string
	readonly clock: Clock
	readonly log: Log
	readonly metrics: Metrics
	readonly heartbeatMs: number
	readonly peerTimeoutMs: number
	readonly describe: () => HeartbeatMessage
	/** Called when the set of live peers changes. */
	readonly onMembers: () => void
	/** Called when a peer reports its room, in one pool or in all. */
	readonly onRoom: (instance: string, pool?: string) => void
	readonly onNewerConfig: (peer: Peer, version: number) => void
}

const CHECKS_PER_HEARTBEAT = 4
/** Multiplies the heartbeat interval and timeout for peers of other failure domains. */
const OTHER_DOMAIN_FACTOR = 5
const HEARTBEAT_DEADLINE_MS = 1_000

export function createPeerTable(deps: PeerTableDeps): PeerTable {
	const {clock} = deps
	const peers = new Map<string, Peer>()
	let isStopped = false
	let lastLive = ""
	/** Computed once per check, since every placement reads it. */
	let liveCache: readonly string[] = []

	function isSameDomain(peer: Peer): boolean {
		return peer.failureDomain === deps.failureDomain
	}

	function isLive(peer: Peer): boolean {
		const limitMs = isSameDomain(peer)
			? deps.peerTimeoutMs
			: deps.peerTimeoutMs * OTHER_DOMAIN_FACTOR
		return clock.now() - peer.lastAnswerAt < limitMs
	}

	function addPeer(instance: string, failureDomain: string, address: string, session: string) {
		peers.get(instance)?.client.close()
		peers.set(instance, {
			instance,
			failureDomain,
			address,
			client: connectPeer(address),
			session,
			lastAnswerAt: -Infinity,
			lastHeartbeatAt: -Infinity,
			isHeartbeatPending: false,
			draining: false,
			configVersion: 0,
			room: new Map(),
		})
	}

	function applyReply(peer: Peer, message: HeartbeatMessage__Output) {
		peer.lastAnswerAt = clock.now()
		peer.draining = message.draining
		peer.configVersion = message.configVersion
		peer.room = new Map(message.room.map(({pool, free}) => [pool, free]))
		deps.onNewerConfig(peer, message.configVersion)
	}

	function sendHeartbeat(peer: Peer) {
		peer.isHeartbeatPending = true
		peer.lastHeartbeatAt = clock.now()
		const deadline = Date.now() + HEARTBEAT_DEADLINE_MS
		peer.client.heartbeat(deps.describe(), {deadline}, (error, reply) => {
			peer.isHeartbeatPending = false
			if (error || !reply) return deps.metrics.count("peer.heartbeat_failed")
			applyReply(peer, reply)
			deps.onRoom(peer.instance)
		})
	}

	function checkMembers() {
		liveCache = liveNames(() => true)
		const live = liveCache.join(",")
		if (live === lastLive) return
		lastLive = live
		deps.log.info(`Live peers: ${live || "none"}.`)
		deps.onMembers()
	}

	function liveNames(predicate: (peer: Peer) => boolean): string[] {
		return [...peers.values()]
			.filter(peer => isLive(peer) && !peer.draining && predicate(peer))
			.map(peer => peer.instance)
			.sort()
	}

	async function loop() {
		while (!isStopped) {
			for (const peer of peers.values()) {
				const everyMs = isSameDomain(peer)
					? deps.heartbeatMs
					: deps.heartbeatMs * OTHER_DOMAIN_FACTOR
				if (!peer.isHeartbeatPending && clock.now() - peer.lastHeartbeatAt >= everyMs)
					sendHeartbeat(peer)
			}
			checkMembers()
			await clock.sleep(deps.heartbeatMs / CHECKS_PER_HEARTBEAT)
		}
	}

	return {
		start: () => void loop(),
		stop() {
			isStopped = true
			for (const peer of peers.values()) peer.client.close()
		},
		update(sessions, listed) {
			const seen = new Set<string>()
			for (const info of sessions) {
				if (info.instance === deps.instance) continue
				seen.add(info.instance)
				const address = info.peerFor[deps.failureDomain] ?? info.peer
				const known = peers.get(info.instance)
				if (known?.address !== address) {
					addPeer(info.instance, info.failureDomain, address, info.session)
				} else known.session = info.session
			}
			for (const entry of listed) {
				if (entry.id === deps.instance) continue
				seen.add(entry.id)
				if (!peers.has(entry.id)) addPeer(entry.id, entry.failureDomain, entry.address, "")
			}
			for (const [instance, peer] of peers) {
				if (seen.has(instance) || isLive(peer)) continue
				peer.client.close()
				peers.delete(instance)
			}
			checkMembers()
		},
		byInstance: instance => peers.get(instance),
		bySession(session) {
			const instance = session.slice(0, session.lastIndexOf("."))
			return peers.get(instance)
		},
		liveIn: failureDomain => liveNames(peer => peer.failureDomain === failureDomain),
		live: () => liveCache,
		rooms() {
			const rooms: PeerRoom[] = []
			for (const instance of liveCache) {
				const peer = peers.get(instance)
				if (!peer || peer.draining) continue
				rooms.push({id: instance, isSameDomain: isSameDomain(peer), free: peer.room})
			}
			return rooms
		},
		onRoomReport(instance, pool, free) {
			const peer = peers.get(instance)
			if (!peer) return
			peer.room.set(pool, free)
			deps.onRoom(instance, pool)
		},
		heartbeatNow() {
			for (const peer of peers.values()) peer.lastHeartbeatAt = -Infinity
		},
		onHeartbeat(message) {
			const peer = peers.get(message.instance)
			if (!peer) return
			if (message.session !== "") peer.session = message.session
			// Does not count as an answer: a peer that reaches this instance may not be reachable from it.
			peer.draining = message.draining
			peer.room = new Map(message.room.map(({pool, free}) => [pool, free]))
			deps.onRoom(peer.instance)
			deps.onNewerConfig(peer, message.configVersion)
		},
		all: () => peers.values(),
	}
}
