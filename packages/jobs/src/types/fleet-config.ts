/**
 * The configuration of the job fleet: queues, the services that run their tasks, and input limits.
 */

/** Expected duration of a call to the advisor, in milliseconds. */
export interface AdviceTiming {
	readonly decideMs: number
	/** Added for each executor in the call. */
	readonly perExecutorMs: number
}

export interface Queue {
	readonly name: string
	readonly host: string
	/** Begins and ends with a slash; the rest of a request's path is the job's id. */
	readonly pathPrefix: string
	/** The service whose executors run the queue's tasks. */
	readonly service: string
	/** Lower values are served first. */
	readonly priority: number
	/** A job fails when one of its tasks has failed this often. */
	readonly maxAttempts: number
	/** A job's target duration is `stretch` times its critical path, plus `slackMs`. */
	readonly stretch: number
	readonly slackMs: number
	/** Set when the advisor must name the executors allowed for a step. */
	readonly advice?: AdviceTiming
	/** Share of scarce capacity relative to other queues' weights; 1 if only others have one. */
	readonly weight?: number
	/** Guaranteed share of the capacity, from 0 to 1, before weights apply. */
	readonly floor?: number
}

export interface Service {
	readonly name: string
	/** Whether its executors refuse tasks that exceed their capacity. */
	readonly guardsRoom: boolean
}

export interface FleetConfig {
	readonly version: number
	readonly queues: readonly Queue[]
	readonly services: readonly Service[]
	readonly maxBodyBytes: number
	readonly idleTimeoutMs: number
}
