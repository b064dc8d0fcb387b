/** Draws kept jobs of all kinds, and what becomes of their runs, from a seed. */
import type {Step} from "@cottonwood/jobs"
import type {KeptJobRequest} from "@cottonwood/jobs/internals"
import type {Outcome} from "./model-executors.js"

export const MAX_ATTEMPTS = 2
/** The label that few executors have. */
export const RARE_LABEL = "rare"

/** Returns a function that draws numbers from 0 to 1. */
export function createRandom(seed: number) {
	let state = seed >>> 0
	return () => {
		state = (state + 0x6d2b79f5) >>> 0
		let mixed = Math.imul(state ^ (state >>> 15), state | 1)
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
	}
}

export type Random = () => number

export const pick = <T>(random: Random, items: readonly T[]) =>
	items[Math.floor(random() * items.length)] as T
export const between = (random: Random, least: number, most: number) =>
	least + Math.floor(random() * (most - least + 1))

function drawStep(random: Random, at: number): Step {
	const kind = pick(random, [
		"plain",
		"plain",
		"wide",
		"spread",
		"rare",
		"gang",
		"lasting",
		"spread lasting",
	])
	const isLasting = kind.endsWith("lasting")
	const isSpread = kind.startsWith("spread")
	// All lasting tasks of a step fit into one failure domain.
	const count = kind === "wide" ? between(random, 10, 30) : between(random, 1, isSpread ? 3 : 4)
	return {
		count,
		need: {cpu: kind === "wide" ? 2_000 : 6_000, memoryMb: 10, accelerators: 0},
		estimateMs: between(random, 100, 800),
		after: at > 0 && random() < 0.7 ? [at - 1] : [],
		...(isSpread && {maxPerExecutor: between(random, 1, 2)}),
		...(kind === "rare" && {label: RARE_LABEL}),
		...(kind === "gang" && {isGang: true}),
		...(isLasting && {isLasting}),
	}
}

export function drawJob(random: Random, id: string): KeptJobRequest {
	const steps: Step[] = []
	for (let at = 0; at < between(random, 1, 3); at++) {
		const step = drawStep(random, at)
		// A step after a lasting one never begins.
		steps.push({...step, after: step.after.filter(before => !steps[before]?.isLasting)})
	}
	const hasTimes = random() < 0.2 && !steps.some(({isLasting}) => isLasting)
	const schedule = {
		times: between(random, 2, 5),
		firstDueMs: between(random, 0, 8_000),
		periodMs: between(random, 300, 1_500),
	}
	return {
		id,
		queue: pick(random, ["orders", "others"]),
		spec: id,
		steps,
		...(hasTimes && {schedule}),
	}
}

/** Which runs of a task fail: none, the first, or all. */
export function drawOutcomes(seed: number, jobs: ReadonlyMap<string, KeptJobRequest>) {
	return (task: string, run: number): Outcome => {
		const [id = "", ...numbers] = task.split(".")
		const step = jobs.get(id)?.steps[Number(numbers[1])]
		const random = createRandom(seed ^ parseInt(id.slice(-6), 16) ^ (Number(numbers[2]) * 7_919))
		const luck = random()
		const afterMs = Math.round((step?.estimateMs ?? 100) * (0.5 + random()))
		if (step?.isLasting)
			return {how: "failed", afterMs: luck < 0.2 ? 4_000 : Infinity, isLasting: true}
		if (step?.isGang) return {how: "done", afterMs: step.estimateMs, gangSize: step.count}
		const isFirst = run % 10_000 === 1
		return {how: luck < 0.02 || (luck < 0.15 && isFirst) ? "failed" : "done", afterMs}
	}
}
