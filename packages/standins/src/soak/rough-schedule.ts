/**
 * When a rough soak brings about what: drawn from the seed before it begins, so that a seed is a plan.
 */
import {seededRandom} from "../utils/random.js"
import {LEASED_FAULTS, type LeasedFault} from "./leased-faults.js"
import {ROUGH_FAULTS, type RoughFault} from "./rough-faults.js"

export interface PlannedFault {
	readonly atMs: number
	readonly name: RoughFault | LeasedFault
	/** What the fault itself draws comes from a row of its own. */
	readonly seed: number
}

/** Of the faults between instances and of whole domains; the rest are those of single parts. */
const SHARE_ROUGH = 0.75
/** Between two faults at most; much shorter than a fault, so that they overlap. */
const LONGEST_PAUSE_MS = 1_300
const SEED_RANGE = 2 ** 31

/** Draws so many faults, of the given kinds alone if there are any. */
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
		const isRough = single.length === 0 || (rough.length > 0 && random() < SHARE_ROUGH)
		const names = isRough ? rough : single
		const name = names[Math.floor(random() * names.length)] as RoughFault | LeasedFault
		atMs += Math.round(random() * LONGEST_PAUSE_MS)
		return {atMs, name, seed: Math.floor(random() * SEED_RANGE)}
	})
}

export const isRoughFault = (name: string): name is RoughFault =>
	(ROUGH_FAULTS as readonly string[]).includes(name)
