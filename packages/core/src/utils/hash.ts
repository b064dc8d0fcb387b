/**
 * Hash functions: a fast one to assign shards and targets, and a cryptographic one to compare
 * bodies.
 */
import {createHash} from "node:crypto"
import xxhash from "xxhash-wasm"

const {h32} = await xxhash()

/** Returns the bucket of a key, from 0 to `count` - 1; the same on every instance. */
export function bucketOf(key: string, count: number): number {
	return h32(key) % count
}

/** Orders members by their score for a key, best first (rendezvous hashing). */
export function rankByRendezvous(key: string, members: readonly string[]): readonly string[] {
	return members
		.map(member => ({member, score: h32(`${member}|${key}`)}))
		.sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1))
		.map(({member}) => member)
}

/** Returns the member with the highest score for a key; undefined when there are no members. */
export function pickByRendezvous(key: string, members: readonly string[]): string | undefined {
	return rankByRendezvous(key, members)[0]
}

/** Returns the digest of a body, as 32 hex digits. */
export function digestOf(body: string): string {
	return createHash("sha256").update(body).digest("hex").slice(0, 32)
}
