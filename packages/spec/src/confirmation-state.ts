/**
 * What the specification of confirmed runs keeps in a state, the guards of the rule, and the events that may come.
 */

type Coordinator =
	/** It confirms the call whenever it has read its connections. */
	| "wants it"
	/** It has sent the cancel on the call's stream, and goes on confirming others there. */
	| "cancelled it"
	/** It has lost the call's stream, or died; it, or its next life, confirms others on a new one. */
	| "is gone"

export interface ConfirmationState {
	/** Ticks since the caller lost its connection or got an open answer; undefined while it waits. */
	readonly ticksSinceBreak: number | undefined
	readonly coordinator: Coordinator
	/** Age of the latest moment as of which the coordinator knows that it wanted the call. */
	readonly coordinatorConfirmedAge: number
	/** Age of the latest moment as of which the coordinator told that it wanted the call. */
	readonly reportedAge: number
	readonly call: "unsent" | "under way" | "read" | "cancelled"
	/** Age of the moment that the placer takes for the call's confirmation, or that the call under way tells. */
	readonly confirmedAge: number
	/** Age of the moment that the confirmation under way tells; undefined when none is. */
	readonly confirmation: number | undefined
	readonly run: "none" | "ordered" | "running" | "ended"
	/** Ticks that are left of the lease that the start itself asked for. */
	readonly startLease: number
	/** Ticks that are left of the lease at the executor. */
	readonly lease: number
	/** Ticks that are left of the lease that an order under way asks for; undefined when none is. */
	readonly order: number | undefined
	/** Ticks that are left, as the placer has it, of the longest lease asked for. */
	readonly requestedLease: number
	/** Whether the executor obeys a successor of the first placer. */
	readonly hasSuccessor: boolean
	/** The run is there, and the placer knows nothing of it. */
	readonly isOrphan: boolean
	/** The caller has come back, or its coordinator has placed the job anew, and the task runs elsewhere. */
	readonly runsAgain: boolean
}

export interface ConfirmationGuards {
	/** A lease ends by the bound of each run on the executor, whoever it is renewed for. */
	readonly boundByOldest: boolean
	/** A call that arrives is as old as what it tells. */
	readonly ageOfCall: boolean
	/** A confirmation that arrives is as old as what it tells. */
	readonly ageOfConfirmation: boolean
	/** A start is ordered only where the lease asked for already ends by the run's bound. */
	readonly checkLeaseBeforeStart: boolean
	/** A successor takes it that the placer before has asked for the longest lease. */
	readonly assumeLongestLease: boolean
	/** It takes that as of when the executor obeyed it, since the placer before may have asked until then. */
	readonly assumeLeaseFromFence: boolean
	/** Nothing is renewed while a run is there of which nothing is known. */
	readonly renewNoOrphans: boolean
	/** What is confirmed after a call's cancel does not confirm that call. */
	readonly cancelIsFinal: boolean
	/** What is confirmed on one stream does not confirm calls of another. */
	readonly confirmOwnStreamOnly: boolean
	/** An order tells the end of the lease, not its length. */
	readonly absoluteEnd: boolean
	/** A coordinator that reads a connection finds the break of it. */
	readonly detectBreak: boolean
	/** A caller comes back no earlier than the bound is past. */
	readonly resubmitAfterBound: boolean
	/** A coordinator that lost its stream places a job anew no earlier than the bound is past since it told of it last. */
	readonly rescheduleAfterBound: boolean
	/** The placer's clock goes on while its machine is suspended. */
	readonly countSuspension: boolean
}

/** What is specified: the guards that hold, and what operators have switched on. */
export interface ConfirmationRules extends ConfirmationGuards {
	/** Coordinators place anew what they have lost; off by default. */
	readonly placesAnew?: boolean
}

export const ALL_CONFIRMATION_GUARDS: ConfirmationGuards = Object.freeze({
	boundByOldest: true,
	ageOfCall: true,
	ageOfConfirmation: true,
	checkLeaseBeforeStart: true,
	assumeLongestLease: true,
	assumeLeaseFromFence: true,
	renewNoOrphans: true,
	cancelIsFinal: true,
	confirmOwnStreamOnly: true,
	absoluteEnd: true,
	detectBreak: true,
	resubmitAfterBound: true,
	rescheduleAfterBound: true,
	countSuspension: true,
})

export interface ConfirmationEvent {
	readonly type:
		| "connections read after a prompt pulse"
		| "connections read after a late pulse"
		| "call sent"
		| "call read"
		| "confirmation sent"
		| "confirmation read"
		| "confirmation of others read"
		| "cancel read"
		| "connection breaks"
		| "answered open"
		| "coordinator dies or loses its stream"
		| "coordinator loses its stream, its caller waits on"
		| "lease asked"
		| "order arrives"
		| "start ordered"
		| "start arrives"
		| "stop carried out"
		| "successor fences"
		| "run handed over"
		| "caller comes back"
		| "placed anew"
		| "tick"
		| "tick while the placer is suspended"
}
