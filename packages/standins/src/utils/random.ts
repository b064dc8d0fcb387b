/**
 * Seeded random numbers for stand-ins and experiments, and what is drawn by them.
 */
import {xoroshiro128plus} from "pure-rand/generator/xoroshiro128plus"
import {uniformFloat64} from "pure-rand/distribution/uniformFloat64"

/** Returns a function that yields numbers in [0, 1), the same row for the same seed. */
export function seededRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed)
	return () => uniformFloat64(generator)
}

/** Draws one of the items; there must be one. */
export const pick = <T>(items: readonly T[], random: () => number): T =>
	items[Math.floor(random() * items.length)] as T
