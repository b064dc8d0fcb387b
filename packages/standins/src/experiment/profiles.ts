/**
 * Fleet sizes and load scenarios of the experiment.
 */
import type {FleetShape} from "../fleet/shape.js"

export interface Profile {
	readonly name: string
	readonly shape: Partial<FleetShape>
	readonly executors: number
	readonly slots: number
	readonly workers: number
	readonly cpu: number
}

interface Size {
	readonly name: string
	readonly failureDomains: number
	readonly executorsPerDomain: number
	readonly workersPerDomain: number
	readonly workersPerRack: number
	readonly cpu: number
	readonly memoryMb: number
}

const SLOTS = 8
const ENTRIES_PER_DOMAIN = 2

function toProfile(size: Size): Profile {
	const failureDomains = Array.from({length: size.failureDomains}, (_, i) => `fd${i + 1}`)
	return {
		name: size.name,
		executors: size.failureDomains * size.executorsPerDomain,
		slots: SLOTS,
		workers: size.failureDomains * size.workersPerDomain,
		cpu: size.cpu,
		shape: {
			failureDomains,
			entriesPerDomain: ENTRIES_PER_DOMAIN,
			executorsPerDomain: size.executorsPerDomain,
			workersPerDomain: size.workersPerDomain,
			workersPerRack: size.workersPerRack,
			worker: {cpu: size.cpu, memoryMb: size.memoryMb, accelerators: 0},
			slotsPerExecutor: SLOTS,
			logLevel: "error",
		},
	}
}

/** Workers have only 8 processors, because all stand-ins share one machine with the system under test. */
export const PROFILES: readonly Profile[] = Object.freeze([
	toProfile({
		name: "timber",
		failureDomains: 4,
		executorsPerDomain: 7,
		workersPerDomain: 7,
		workersPerRack: 6,
		cpu: 8,
		memoryMb: 128_000,
	}),
	toProfile({
		name: "claims",
		failureDomains: 3,
		executorsPerDomain: 10,
		workersPerDomain: 10,
		workersPerRack: 8,
		cpu: 8,
		memoryMb: 32_000,
	}),
])

export interface Scenario {
	readonly name: string
	/** Offered work over capacity. */
	readonly load: number
	/** Offered work over capacity during the burst in the middle; 0 for none. */
	readonly burst: number
	/** Share of workers and executors that fail everything. */
	readonly failing: number
	/** Share of workers and executors that are slow. */
	readonly slow: number
	readonly durationMs: number
	readonly deadlineMs: number
}

export const SCENARIOS: readonly Scenario[] = Object.freeze([
	{
		name: "steady",
		load: 0.7,
		burst: 0,
		failing: 0,
		slow: 0,
		durationMs: 10_000,
		deadlineMs: 10_000,
	},
	{
		name: "faults and burst",
		load: 0.6,
		burst: 3,
		failing: 0.1,
		slow: 0.1,
		durationMs: 12_000,
		deadlineMs: 5_000,
	},
])
