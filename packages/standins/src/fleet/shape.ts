/**
 * The shape of a stand-in fleet: how many of what, and with which settings.
 */
import type {PlatformSettings} from "../platform/platform.js"

export interface FleetShape {
	readonly failureDomains: readonly string[]
	readonly entriesPerDomain: number
	readonly executorsPerDomain: number
	readonly workersPerDomain: number
	readonly workersPerRack: number
	readonly worker: {readonly cpu: number; readonly memoryMb: number; readonly accelerators: number}
	readonly slotsPerExecutor: number
	readonly endpoint: string
	readonly config: Readonly<Record<string, unknown>>
	readonly platform: Partial<PlatformSettings>
	readonly timings: Readonly<Record<string, number>>
	/** Whether starts are recorded for the judge. */
	readonly isJudged: boolean
	/** Whether each failure domain reaches the platform and its peers over links that can be cut. */
	readonly hasLinks: boolean
	readonly logLevel: string
	/** The entry command to run, for comparisons with an earlier build. */
	readonly entryBin?: string
}

export const DEFAULT_SHAPE: FleetShape = Object.freeze({
	failureDomains: ["fd1", "fd2"],
	entriesPerDomain: 2,
	executorsPerDomain: 2,
	workersPerDomain: 2,
	workersPerRack: 2,
	worker: {cpu: 16, memoryMb: 32_768, accelerators: 0},
	slotsPerExecutor: 8,
	endpoint: "inventory",
	config: {},
	platform: {},
	timings: {},
	isJudged: false,
	hasLinks: false,
	logLevel: "info",
})

/** The configuration that the stand-in fleets use unless told otherwise. */
export function configOf(shape: FleetShape) {
	return {
		endpoints: {[shape.endpoint]: {}},
		teams: {default: {}},
		defaultTeam: "default",
		...shape.config,
	}
}
