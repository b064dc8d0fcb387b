/**
 * The room of peers: what they reported last, less what was sent to them since.
 */
import type {Attempt} from "./attempt.js"

export interface PeerRoom {
	readonly id: string
	readonly isSameDomain: boolean
	/** Free processors (slots) by pool. */
	readonly free: ReadonlyMap<string, number>
}

export interface PeerRooms {
	/**
	 * Returns the peer with most room for an attempt, the own failure domain first; undefined when
	 * none has room.
	 */
	pick(attempt: Attempt): string | undefined
	/** Counts an attempt against the room of a peer until the peer reports again. */
	recordSent(peer: string, attempt: Attempt): void
	/** Forgets what was sent to a peer, in one pool or in all. */
	resetSent(peer: string, pool?: string): void
}

export function createPeerRooms(peers: () => readonly PeerRoom[]): PeerRooms {
	const sentSince = new Map<string, Map<string, number>>()

	function roomOf(peer: PeerRoom, pool: string): number {
		return (peer.free.get(pool) ?? 0) - (sentSince.get(peer.id)?.get(pool) ?? 0)
	}

	function pickAmong(attempt: Attempt, wantSameDomain: boolean): string | undefined {
		let best: string | undefined
		let bestRoom = 0
		for (const peer of peers()) {
			if (peer.isSameDomain !== wantSameDomain) continue
			const room = roomOf(peer, attempt.pool)
			if (room < attempt.need.cpu || room <= bestRoom) continue
			best = peer.id
			bestRoom = room
		}
		return best
	}

	return {
		pick(attempt) {
			const near = pickAmong(attempt, true)
			if (near !== undefined || !attempt.mayLeaveDomain) return near
			return pickAmong(attempt, false)
		},
		recordSent(peer, attempt) {
			const pools = sentSince.get(peer) ?? new Map<string, number>()
			sentSince.set(peer, pools)
			pools.set(attempt.pool, (pools.get(attempt.pool) ?? 0) + attempt.need.cpu)
		},
		resetSent(peer, pool) {
			if (pool === undefined) sentSince.delete(peer)
			else sentSince.get(peer)?.delete(pool)
		},
	}
}
