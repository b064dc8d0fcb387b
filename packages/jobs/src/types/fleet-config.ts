/**
 * The configuration of the job fleet: queues, the services that run their tasks, and limits on input.
 */

/** How long the service with advice takes over a call, in milliseconds. */
export interface AdviceTiming {
	readonly decideMs: number
	/** For each executor that the call names. */
	readonly perExecutorMs: number
}

export interface Queue {
	readonly name: string
	readonly host: string
	/** Begins and ends with a slash; what follows it in a path is the job's id. */
	readonly pathPrefix: string
	/** The service whose executors run the queue's tasks. */
	readonly service: string
	/** 0 goes first. */
	readonly priority: number
	/** A task that failed this often fails its job. */
	readonly maxAttempts: number
	/** The objective of a job is this many times its longest chain of work, plus `slackMs`. */
	readonly stretch: number
	readonly slackMs: number
	/** The service that names the executors allowed for a step must be asked, and takes so long. */
	readonly advice?: AdviceTiming
	/** Its part of the room when there is too little, against the other queues' weights; 1 where others have one and it has none. */
	readonly weight?: number
	/** The share of the room, from 0 to 1, that it is due before any weight counts. */
	readonly floor?: number
}

export interface Service {
	readonly name: string
	/** Whether its executors refuse what does not fit. */
	readonly guardsRoom: boolean
}

export interface FleetConfig {
	readonly version: number
	readonly queues: readonly Queue[]
	readonly services: readonly Service[]
	readonly maxBodyBytes: number
	readonly idleTimeoutMs: number
}
