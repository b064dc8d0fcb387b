/**
 * Hashes: a fast one that spreads keys, and a strong one that tells bodies apart.
 */
import {createHash} from "node:crypto"
import xxhash from "xxhash-wasm"

const {h32} = await xxhash()

const UINT32_RANGE = 2 ** 32

/** Spreads a key over `count` buckets; the same on every instance. */
export function bucketOf(key: string, count: number): number {
	return h32(key) % count
}

/** Picks the member that scores highest for a key (rendezvous hashing); undefined when empty. */
export function rendezvous(key: string, members: readonly string[]): string | undefined {
	let best: string | undefined
	let bestScore = -1
	for (const member of members) {
		const score = h32(`${member}|${key}`)
		if (score > bestScore || (score === bestScore && member < best!)) {
			best = member
			bestScore = score
		}
	}
	return best
}

/** A number in [0, 1) that depends on the key alone; used to spread work without shared state. */
export function fractionOf(key: string): number {
	return h32(key) / UINT32_RANGE
}

/** Returns the digest of a body, as 32 hex digits. */
export function digestOf(body: string): string {
	return createHash("sha256").update(body).digest("hex").slice(0, 32)
}
