/**
 * Seeded random numbers for stand-ins, soaks and experiments.
 */
import {xoroshiro128plus} from "pure-rand/generator/xoroshiro128plus"
import {uniformFloat64} from "pure-rand/distribution/uniformFloat64"

/** Returns a generator of numbers in [0, 1), with the same sequence for the same seed. */
export function seededRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed)
	return () => uniformFloat64(generator)
}

/** Returns a random item; `items` must not be empty. */
export const pick = <T>(items: readonly T[], random: () => number): T =>
	items[Math.floor(random() * items.length)] as T
