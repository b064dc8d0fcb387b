/**
 * Soak fault: bursts of kept jobs that can never be done, beside sound load. Their tasks ask for a label that no executor
 * has; some fall due many times.
 */
import {handIn} from "../leased/edges.js"
import {pick, seededRandom} from "../utils/random.js"
import {sleep} from "../utils/sleep.js"
import {planFaultsOf, type PlannedFaultOf} from "./fault-plan.js"
import {runningEdges, type LeasedWorld} from "./leased-faults.js"

const HOPELESS = Object.freeze(["hopeless jobs"] as const)
export type PlannedHopelessBurst = PlannedFaultOf<(typeof HOPELESS)[number]>

const PLAN_SEED = 6_000_023
const MAX_PAUSE_MS = 5_000
const MIN_JOBS = 4
const MAX_JOBS = 20
const TASKS = [1, 8, 720] as const
const TIMES = [0, 1, 15] as const
const PERIOD_MS = 1_000
const MAX_JOB_PAUSE_MS = 100
const NO_EXECUTORS_LABEL = "nowhere"

export const planHopelessBursts = (seed: number, count: number) =>
	planFaultsOf(seed + PLAN_SEED, HOPELESS, count, MAX_PAUSE_MS)

export const isHopelessBurst = (fault: {readonly name: string}): fault is PlannedHopelessBurst =>
	(HOPELESS as readonly string[]).includes(fault.name)

const idOf = (seed: number, at: number) => (seed * MAX_JOBS + at).toString(16).padStart(16, "f")

/** Hands in one burst. The jobs stay in the system. */
export async function runHopelessBurst(
	world: LeasedWorld,
	{seed}: PlannedHopelessBurst,
	onFault: (text: string) => void,
): Promise<void> {
	const random = seededRandom(seed)
	const count = pick(TASKS, random)
	const times = pick(TIMES, random)
	const jobs = MIN_JOBS + Math.floor(random() * (MAX_JOBS - MIN_JOBS + 1))
	onFault(`${jobs} hopeless jobs (${count} tasks, ${times} times)`)
	const step = {count, cpu: 1_000, "mem-mb": 64, "est-ms": 100, constraints: NO_EXECUTORS_LABEL}
	const schedule = {times, "initial-delay-ms": Date.now(), "period-ms": PERIOD_MS}
	const body = {steps: [step], "best-effort": false, ...(times > 0 && schedule)}
	const calls: Promise<unknown>[] = []
	for (let at = 0; at < jobs; at++) {
		const edge = pick(runningEdges(world.fleet), random)
		if (edge) calls.push(handIn(edge, idOf(seed, at), {body}).catch(() => undefined))
		await sleep(random() * MAX_JOB_PAUSE_MS)
	}
	await Promise.all(calls)
}
