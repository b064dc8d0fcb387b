/**
 * The external service that says which executors may run a step, for queues whose policy requires
 * it.
 */

export interface Advice {
	/** Tickets by executor; executors without one may not run the step. */
	readonly tickets: ReadonlyMap<string, string>
	/** How long the tickets are valid, in milliseconds. */
	readonly validMs: number
}

export type AdviceReply =
	| ({readonly type: "advice"} & Advice)
	/** The service has too many pending calls. */
	| {readonly type: "busy"}
	| {readonly type: "silent"; readonly cause: string}

export interface Advisor {
	/** Asks which of the executors may run a step of a job; its name is JOB.TIME.STEP. */
	ask(step: string, executors: readonly string[], timeoutMs: number): Promise<AdviceReply>
}
