/**
 * What of placing an operator has switched on. Where nothing is said an instance places as it does without these parts.
 */

export interface PlacingSettings {
	/**
	 * `learnt`: each placer learns how fast its executors are for itself. `kept`: what is learnt is state of the fleet, which a
	 * successor takes over and which outlasts a loss of all instances.
	 */
	readonly speeds: "learnt" | "kept"
	/** `backlog`: a job is judged by the work that waits. `forecast`: by when it could start and end. */
	readonly admission: "backlog" | "forecast"
	/** `own`: jobs go to the own domain's placer first. `forecast`: to where they are forecast to end first. */
	readonly domainChoice: "own" | "forecast"
	/** By so much sooner, in milliseconds, a job must be forecast to start elsewhere before it leaves its domain: bytes between them cost. */
	readonly crossDomainMs: number
	/** What certainly never started is placed anew by its coordinator when its placer is gone. */
	readonly placesAnew: boolean
	/** A failure domain with more executors than this is divided among several placers; undefined: never. */
	readonly executorsPerPlacer?: number
}

/** Everything that can be switched on is off. */
export const DEFAULT_PLACING: PlacingSettings = Object.freeze({
	speeds: "learnt",
	admission: "backlog",
	domainChoice: "own",
	crossDomainMs: 0,
	placesAnew: false,
})
