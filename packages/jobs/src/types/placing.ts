/**
 * Optional features of placing that an operator can enable.
 */

export interface PlacingSettings {
	/**
	 * `learnt`: each placer learns its executors' speeds in memory. `kept`: learnt speeds are
	 * stored, and outlast a change of the placer and a restart of the whole fleet.
	 */
	readonly speeds: "learnt" | "kept"
	/** `backlog`: admission by the amount of waiting work. `forecast`: by forecast start and end. */
	readonly admission: "backlog" | "forecast"
	/** `own`: the own domain's placer first. `forecast`: the earliest forecast end first. */
	readonly domainChoice: "own" | "forecast"
	/**
	 * A job leaves its domain if its forecast start elsewhere is earlier by this many milliseconds.
	 */
	readonly crossDomainMs: number
	/** Whether jobs that certainly never started are placed again when their placer is gone. */
	readonly placesAnew: boolean
	/** Domains with more executors are divided among several placers; undefined: never. */
	readonly executorsPerPlacer?: number
}

/** All optional features are off. */
export const DEFAULT_PLACING: PlacingSettings = Object.freeze({
	speeds: "learnt",
	admission: "backlog",
	domainChoice: "own",
	crossDomainMs: 0,
	placesAnew: false,
})
