/**
 * The number and settings of the processes of a stand-in fleet.
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
	/** Whether targets record their starts, for `Fleet.starts`. */
	readonly isJudged: boolean
	/** Whether failure domains reach the platform and their peers over links that can be cut. */
	readonly hasLinks: boolean
	readonly logLevel: string
	/** The path of another build of the entry program. */
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

/** Returns the default configuration, overridden by `shape.config`. */
export function configOf(shape: FleetShape) {
	return {
		endpoints: {[shape.endpoint]: {}},
		teams: {default: {}},
		defaultTeam: "default",
		...shape.config,
	}
}
