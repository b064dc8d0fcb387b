/**
 * The soak of the product's own interface: callers submit and resubmit under injected faults, then the delivery
 * guarantees are checked.
 */
import {startFleet, type Fleet} from "../fleet/fleet.js"
import type {FleetShape} from "../fleet/shape.js"
import {seededRandom} from "../utils/random.js"
import {DEFAULT_LOAD, runCallers, type CallerLoad} from "./callers.js"
import {ALL_FAULTS, runFaults, type FaultName} from "./faults.js"
import {judgeExchanges, type Verdict} from "./verdict.js"

export interface SoakPlan {
	readonly seed: number
	readonly faults: readonly FaultName[]
	readonly load: Partial<CallerLoad>
	readonly shape: Partial<FleetShape>
	readonly faultMs: number
	/** How many times the list of faults is run. */
	readonly rounds: number
	readonly onFault: (text: string) => void
}

export const SOAK_DEFAULTS: SoakPlan = Object.freeze({
	seed: 1,
	faults: ALL_FAULTS,
	load: {},
	shape: {},
	faultMs: 3_000,
	rounds: 1,
	onFault: () => undefined,
})

/** Short leases, so that failovers happen within a run. */
export const QUICK_TIMINGS = Object.freeze({
	leaseTtlMs: 1_500,
	storeTimeoutMs: 400,
	heartbeatMs: 250,
	peerTimeoutMs: 1_000,
	drainGraceMs: 300,
	ownerPatienceMs: 4_000,
})

const PAUSE_MS = 700

/** Runs one soak and returns its verdict. The fleet is always stopped. */
export async function runSoak(changes: Partial<SoakPlan> = {}): Promise<Verdict> {
	const plan = {...SOAK_DEFAULTS, ...changes}
	const random = seededRandom(plan.seed)
	const fleet: Fleet = await startFleet({
		isJudged: true,
		hasLinks: true,
		logLevel: "warn",
		timings: QUICK_TIMINGS,
		...plan.shape,
	})
	try {
		const {faults, rounds, onFault} = plan
		let isNeeded = true
		const timing = {durationMs: plan.faultMs, pauseMs: PAUSE_MS}
		const running = runFaults(fleet, {random, faults, rounds, onFault, ...timing}).finally(
			() => (isNeeded = false),
		)
		const load = {...DEFAULT_LOAD, random, isNeeded: () => isNeeded, ...plan.load}
		const [exchanges] = await Promise.all([runCallers(fleet, load), running])
		return judgeExchanges(exchanges, fleet.starts())
	} finally {
		await fleet.stop()
	}
}
