/**
 * The users' service that says which executors may run a step, for queues whose policy asks for it.
 */

export interface Advice {
	/** Tickets by executor; those that were asked for and are missing may not run the step. */
	readonly tickets: ReadonlyMap<string, string>
	/** Tickets hold for this long, in milliseconds. */
	readonly validMs: number
}

export type AdviceReply =
	| ({readonly type: "advice"} & Advice)
	/** It has too many calls waiting. */
	| {readonly type: "busy"}
	| {readonly type: "silent"; readonly cause: string}

export interface Advisor {
	/** Asks which of some executors may run a step; its name is JOB.TIME.STEP. */
	ask(step: string, executors: readonly string[], timeoutMs: number): Promise<AdviceReply>
}
