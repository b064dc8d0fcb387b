/**
 * Ownership of the shards of submission keys.
 *
 * The map is one value in the store, changed only by compare-and-swap. A shard changes hands in two
 * ways: its owner stops using it and then releases it, or a successor claims it after sealing the
 * owner's journal. `past` lists the earlier sessions whose journals a new owner must read before it
 * serves the shard.
 */
import {bucketOf, pickByRendezvous} from "../utils/hash.js"
import type {SessionId, SubmissionKey} from "../types/types-external.js"

/** Must not change during the life of a store, since it determines the shard of each key. */
export const SHARD_COUNT = 64

export interface PastOwner {
	readonly session: SessionId
	/** Wall-clock milliseconds at which the shard changed hands. */
	readonly until: number
}

export interface Shard {
	readonly owner: SessionId | null
	readonly past: readonly PastOwner[]
}

export interface OwnershipMap {
	/** Identifies the last write, so that its writer recognizes it after a lost answer. */
	readonly nonce: string
	readonly shards: readonly Shard[]
}

export interface OwnershipView {
	readonly self: SessionId
	/** Sessions that hold a lease and do not drain. */
	readonly eligible: readonly SessionId[]
	/** All sessions that hold a lease. */
	readonly live: ReadonlySet<SessionId>
}

export interface OwnershipPlan {
	/** Shards to claim, after the journals of their owners (if any) are sealed. */
	readonly claims: readonly number[]
	/** Sessions whose journals are sealed before the claims. */
	readonly seals: readonly SessionId[]
	/** Shards to release, each with its next owner. */
	readonly releases: readonly {readonly shard: number; readonly to: SessionId}[]
}

export function emptyOwnership(): OwnershipMap {
	const free: Shard = {owner: null, past: []}
	return {nonce: "", shards: Array.from({length: SHARD_COUNT}, () => free)}
}

export function shardOf(key: SubmissionKey): number {
	return bucketOf(key, SHARD_COUNT)
}

/** Returns the steps by which `self` moves the map towards the rendezvous assignment. */
export function planOwnership(map: OwnershipMap, view: OwnershipView): OwnershipPlan {
	const claims: number[] = []
	const seals = new Set<SessionId>()
	const releases: {shard: number; to: SessionId}[] = []
	map.shards.forEach((shard, index) => {
		const assigned = pickByRendezvous(`shard-${index}`, view.eligible)
		if (assigned === undefined) return
		if (shard.owner === view.self) {
			if (assigned !== view.self) releases.push({shard: index, to: assigned})
			return
		}
		const isOrphan = shard.owner === null || !view.live.has(shard.owner)
		if (!isOrphan || assigned !== view.self) return
		claims.push(index)
		if (shard.owner !== null) seals.add(shard.owner)
	})
	return {claims, seals: [...seals], releases}
}

/**
 * Returns the map with shards moved to new owners, without past owners whose records have expired.
 */
export function moveShards(
	map: OwnershipMap,
	moves: readonly {readonly shard: number; readonly to: SessionId}[],
	nonce: string,
	wallNow: number,
	retentionMs: number,
): OwnershipMap {
	const shards = [...map.shards]
	for (const {shard: index, to} of moves) {
		const {owner, past} = shards[index]!
		const kept = past.filter(item => wallNow - item.until < retentionMs && item.session !== owner)
		const last = owner === null || owner === to ? [] : [{session: owner, until: wallNow}]
		shards[index] = {owner: to, past: [...kept, ...last]}
	}
	return {nonce, shards}
}

/** Returns the sessions whose journals a new owner of these shards must read. */
export function pastSessions(map: OwnershipMap, shards: readonly number[]): readonly SessionId[] {
	const sessions = shards.flatMap(index => map.shards[index]!.past.map(item => item.session))
	return [...new Set(sessions)]
}
