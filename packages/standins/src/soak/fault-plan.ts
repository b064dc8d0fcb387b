/**
 * Random fault schedules for the soaks. Each kind of fault has its own seed, so adding a kind leaves the schedules of
 * existing seeds unchanged.
 */
import {pick, seededRandom} from "../utils/random.js"

export interface PlannedFaultOf<Name extends string> {
	readonly atMs: number
	readonly name: Name
	/** Seed of the fault's own random choices. */
	readonly seed: number
}

const SEED_RANGE = 2 ** 31

/** Draws `count` faults, each at most `longestPauseMs` after the one before. */
export function planFaultsOf<Name extends string>(
	seed: number,
	names: readonly Name[],
	count: number,
	maxPauseMs: number,
): readonly PlannedFaultOf<Name>[] {
	const random = seededRandom(seed)
	let atMs = 0
	return Array.from({length: count}, () => {
		atMs += Math.round(random() * maxPauseMs)
		const name = pick(names, random)
		return {atMs, name, seed: Math.floor(random() * SEED_RANGE)}
	})
}
