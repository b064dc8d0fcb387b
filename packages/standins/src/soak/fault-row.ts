/**
 * Rows of faults that are drawn beside the others, each from a seed of its own, so that a new row leaves those of older
 * seeds what they were.
 */
import {pick, seededRandom} from "../utils/random.js"

export interface PlannedFaultOf<Name extends string> {
	readonly atMs: number
	readonly name: Name
	/** What the fault itself draws comes from a row of its own. */
	readonly seed: number
}

const SEED_RANGE = 2 ** 31

/** Draws so many faults, at most so many milliseconds apart. */
export function planRow<Name extends string>(
	seed: number,
	names: readonly Name[],
	count: number,
	longestPauseMs: number,
): readonly PlannedFaultOf<Name>[] {
	const random = seededRandom(seed)
	let atMs = 0
	return Array.from({length: count}, () => {
		atMs += Math.round(random() * longestPauseMs)
		const name = pick(names, random)
		return {atMs, name, seed: Math.floor(random() * SEED_RANGE)}
	})
}
