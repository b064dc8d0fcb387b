/**
 * The fault schedule of a rough soak, drawn from the seed before the run, so that a seed can be repeated.
 */
import {seededRandom} from "../utils/random.js"
import {LEASED_FAULTS, type LeasedFault} from "./leased-faults.js"
import {ROUGH_FAULTS, type RoughFault} from "./rough-faults.js"

export interface PlannedFault {
	readonly atMs: number
	readonly name: RoughFault | LeasedFault
	/** Seed of the fault's own random choices. */
	readonly seed: number
}

/** Share of rough faults; the others are platform faults. */
const ROUGH_SHARE = 0.75
/** Longest pause between two faults, much shorter than a fault so that faults overlap. */
const MAX_PAUSE_MS = 1_300
const SEED_RANGE = 2 ** 31

/** Draws `count` faults, only of the names in `only` unless that is empty. */
export function planFaults(
	seed: number,
	count: number,
	only: readonly string[],
): readonly PlannedFault[] {
	const random = seededRandom(seed)
	const isWanted = (name: string) => only.length === 0 || only.includes(name)
	const rough = ROUGH_FAULTS.filter(isWanted)
	const single = LEASED_FAULTS.filter(isWanted)
	let atMs = 0
	return Array.from({length: count}, () => {
		const isRough = single.length === 0 || (rough.length > 0 && random() < ROUGH_SHARE)
		const names = isRough ? rough : single
		const name = names[Math.floor(random() * names.length)] as RoughFault | LeasedFault
		atMs += Math.round(random() * MAX_PAUSE_MS)
		return {atMs, name, seed: Math.floor(random() * SEED_RANGE)}
	})
}

export const isRoughFault = (name: string): name is RoughFault =>
	(ROUGH_FAULTS as readonly string[]).includes(name)
