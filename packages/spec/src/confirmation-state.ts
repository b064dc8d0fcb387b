/** State, guards and events of the specification in `confirmation-protocol.ts`. Ages and leases are in ticks. */

type Coordinator =
	/** The coordinator confirms the call whenever it has read its connections. */
	| "wants it"
	/** The coordinator has sent the cancel on the call's stream, and still confirms other calls there. */
	| "cancelled it"
	/** The coordinator has lost the call's stream, or restarted, and confirms other calls on a new stream. */
	| "is gone"

export interface ConfirmationState {
	/** Ticks since the caller lost its connection or got an answer of unknown outcome; undefined while the caller waits. */
	readonly ticksSinceBreak: number | undefined
	readonly coordinator: Coordinator
	/** Age of the latest moment at which the coordinator knows that the call was wanted. */
	readonly coordinatorConfirmedAge: number
	/** Age of the latest such moment that the coordinator has sent to the placer. */
	readonly reportedAge: number
	readonly call: "unsent" | "under way" | "read" | "cancelled"
	/** Age of the call's confirmation at the placer, or in the call message in flight. */
	readonly confirmedAge: number
	/** Age of the confirmation in flight; undefined without one. */
	readonly confirmation: number | undefined
	readonly run: "none" | "ordered" | "running" | "ended"
	/** Remaining ticks of the lease that the start order requested. */
	readonly startLease: number
	/** Remaining ticks of the executor's lease. */
	readonly lease: number
	/** Remaining ticks of the lease that the order in flight requests; undefined without one. */
	readonly order: number | undefined
	/** Remaining ticks, by the placer's account, of the longest lease requested. */
	readonly requestedLease: number
	/** The executor has accepted the fence of the first placer's successor. */
	readonly hasSuccessor: boolean
	/** The executor has the run, and the placer does not know of it. */
	readonly isOrphan: boolean
	/** The task runs elsewhere: the caller has resubmitted the job, or the coordinator has rescheduled it. */
	readonly runsAgain: boolean
}

export interface ConfirmationGuards {
	/** The executor's lease ends by the earliest bound among its runs. */
	readonly boundByOldest: boolean
	/** A call that arrives counts from the age it carries, not from its arrival. */
	readonly ageOfCall: boolean
	/** A confirmation that arrives counts from the age it carries, not from its arrival. */
	readonly ageOfConfirmation: boolean
	/** A start is ordered only where the lease already requested ends by the run's bound. */
	readonly checkLeaseBeforeStart: boolean
	/** A successor assumes that its predecessor has requested the longest lease. */
	readonly assumeLongestLease: boolean
	/** The assumed lease begins when the executor accepts the new fence: the predecessor may renew until then. */
	readonly assumeLeaseFromFence: boolean
	/** No lease is renewed on an executor with an unknown run. */
	readonly renewNoOrphans: boolean
	/** A confirmation sent after a call's cancel does not confirm that call. */
	readonly cancelIsFinal: boolean
	/** A confirmation on one stream does not confirm calls of another. */
	readonly confirmOwnStreamOnly: boolean
	/** An order carries the end of the lease, not its length. */
	readonly absoluteEnd: boolean
	/** A coordinator that reads a broken connection detects the break. */
	readonly detectBreak: boolean
	/** A caller resubmits only after the bound has passed. */
	readonly resubmitAfterBound: boolean
	/** A coordinator that lost its stream reschedules a job only once the bound has passed since its last confirmation. */
	readonly rescheduleAfterBound: boolean
	/** The placer's clock counts time while its machine is suspended. */
	readonly countSuspension: boolean
}

/** The guards in force, and the features that operators have enabled. */
export interface ConfirmationRules extends ConfirmationGuards {
	/** Coordinators reschedule lost jobs; off by default. */
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
