/**
 * A task that a placer hands over to a host, the placer of another failure domain. The placer forwards the confirmations of
 * the caller's coordinator, gives up on a host that does not answer, and then runs the task itself; the caller may resubmit.
 *
 * `confirmation-protocol.ts` specifies that a run ends within the bound after its last confirmation; this model assumes it.
 * Ages are ticks of one clock. Any process or message may be delayed without bound. Of several confirmations in flight, the
 * model keeps the latest, which permits the most.
 */
import type {Specification} from "./explore.js"

/** A run ends this long after its last confirmation. */
const BOUND_TICKS = 2
/** Equal to the bound, because a tick ends runs before any other event in it. */
const RESUBMIT_TICKS = BOUND_TICKS
/** The wait for the host without `waitFromSent`: shorter than the bound. */
const SHORT_WAIT_TICKS = 1
/** A confirmation of this age permits nothing. */
const STALE_TICKS = BOUND_TICKS

type Run = "none" | "running" | "ended"

export interface HandedOverState {
	/** Ticks since the caller lost its connection; undefined while the caller waits. */
	readonly ticksSinceBreak: number | undefined
	/** The coordinator confirms the call no more. */
	readonly hasCoordinatorGivenUp: boolean
	/** Age of the latest moment at which the coordinator knows that the call was wanted. */
	readonly coordinatorConfirmedAge: number
	/** The placer has read the cancel, or has answered that the outcome is unknown. */
	readonly isUnwanted: boolean
	/** Age of the caller's confirmation at the placer. */
	readonly placerConfirmedAge: number
	readonly call: "unsent" | "under way" | "read"
	/** Age of the confirmation at the host, or in the call message in flight. */
	readonly hostConfirmedAge: number
	/** Remaining ticks of the bound that the call itself gave. */
	readonly callBoundLeft: number
	/** Age of the confirmation in flight to the host; undefined without one. */
	readonly confirmation: number | undefined
	/** Ticks since the placer last sent the host a confirmation of the task. */
	readonly ticksSinceSent: number
	/** Ticks since the placer gave up on the host; undefined while the placer waits. */
	readonly ticksSinceGivenUp: number | undefined
	readonly hostRun: Run
	readonly ownRun: Run
	/** The caller has resubmitted the job, and the task runs at a third placer. */
	readonly runsAgain: boolean
}

export interface HandedOverGuards {
	/** The placer forwards the age of the caller's confirmation, not a fresh one of its own. */
	readonly forwardCallerConfirmation: boolean
	/** The placer forwards the confirmation of that call, not of other calls on its stream. */
	readonly forwardPerCall: boolean
	/** A call that arrives at the host counts from the age it carries. */
	readonly ageOfCall: boolean
	/** A confirmation that arrives at the host counts from the age it carries. */
	readonly ageOfConfirmation: boolean
	/** After giving up on the host, the placer runs the task only once the bound has passed since it last sent a confirmation. */
	readonly waitFromSent: boolean
}

export const ALL_HANDED_OVER_GUARDS: HandedOverGuards = Object.freeze({
	forwardCallerConfirmation: true,
	forwardPerCall: true,
	ageOfCall: true,
	ageOfConfirmation: true,
	waitFromSent: true,
})

export interface HandedOverEvent {
	readonly type:
		| "connections read"
		| "connection breaks"
		| "coordinator dies"
		| "confirmation read"
		| "cancel read"
		| "placer answers open"
		| "call sent"
		| "call read"
		| "confirmation passed on"
		| "confirmation passed on read"
		| "host starts"
		| "host's run stops"
		| "host given up"
		| "placer runs it again"
		| "caller comes back"
		| "tick"
}

type EventType = HandedOverEvent["type"]

const INITIAL: HandedOverState = Object.freeze({
	ticksSinceBreak: undefined,
	hasCoordinatorGivenUp: false,
	coordinatorConfirmedAge: 0,
	isUnwanted: false,
	placerConfirmedAge: 0,
	call: "unsent",
	hostConfirmedAge: STALE_TICKS,
	callBoundLeft: 0,
	confirmation: undefined,
	ticksSinceSent: BOUND_TICKS,
	ticksSinceGivenUp: undefined,
	hostRun: "none",
	ownRun: "none",
	runsAgain: false,
})

/** Returns the age that the placer forwards to the host. Other calls on the caller's stream are always freshly confirmed. */
function forwardedAge(
	state: HandedOverState,
	{forwardCallerConfirmation, forwardPerCall}: HandedOverGuards,
): number {
	const isOthers = state.isUnwanted && !forwardPerCall
	return forwardCallerConfirmation && !isOthers ? state.placerConfirmedAge : 0
}

/** The coordinator answers its caller at once, the earliest possible moment. */
function answerOpen(state: HandedOverState): HandedOverState {
	const ticksSinceBreak = state.ticksSinceBreak ?? 0
	return {...state, ticksSinceBreak, hasCoordinatorGivenUp: true, isUnwanted: true}
}

function readConnections(state: HandedOverState): HandedOverState {
	if (state.ticksSinceBreak !== undefined) return {...state, hasCoordinatorGivenUp: true}
	return {...state, coordinatorConfirmedAge: 0}
}

function sendCall(state: HandedOverState, guards: HandedOverGuards): HandedOverState {
	const hostConfirmedAge = forwardedAge(state, guards)
	return {
		...state,
		call: "under way",
		hostConfirmedAge,
		callBoundLeft: BOUND_TICKS - hostConfirmedAge,
		ticksSinceSent: 0,
	}
}

function readConfirmation(state: HandedOverState, guards: HandedOverGuards): HandedOverState {
	const age = guards.ageOfConfirmation ? (state.confirmation ?? STALE_TICKS) : 0
	return {
		...state,
		confirmation: undefined,
		hostConfirmedAge: Math.min(state.hostConfirmedAge, age),
	}
}

const older = (age: number) => Math.min(STALE_TICKS, age + 1)
const olderIfAny = (age: number | undefined) => (age === undefined ? undefined : older(age))
const endIfStale = (run: Run, age: number): Run =>
	run === "running" && age >= STALE_TICKS ? "ended" : run

function tick(state: HandedOverState): HandedOverState {
	const placerConfirmedAge = older(state.placerConfirmedAge)
	const hostConfirmedAge = older(state.hostConfirmedAge)
	return {
		...state,
		ticksSinceBreak: olderIfAny(state.ticksSinceBreak),
		coordinatorConfirmedAge: older(state.coordinatorConfirmedAge),
		placerConfirmedAge,
		hostConfirmedAge,
		callBoundLeft: Math.max(0, state.callBoundLeft - 1),
		confirmation: olderIfAny(state.confirmation),
		ticksSinceSent: older(state.ticksSinceSent),
		ticksSinceGivenUp: olderIfAny(state.ticksSinceGivenUp),
		hostRun: endIfStale(state.hostRun, hostConfirmedAge),
		ownRun: endIfStale(state.ownRun, placerConfirmedAge),
	}
}

function next(
	state: HandedOverState,
	{type}: HandedOverEvent,
	guards: HandedOverGuards,
): HandedOverState {
	switch (type) {
		case "connections read":
			return readConnections(state)
		case "connection breaks":
			return {...state, ticksSinceBreak: 0}
		case "coordinator dies":
			return {...state, ticksSinceBreak: state.ticksSinceBreak ?? 0, hasCoordinatorGivenUp: true}
		case "confirmation read":
			return {
				...state,
				placerConfirmedAge: Math.min(state.placerConfirmedAge, state.coordinatorConfirmedAge),
			}
		case "cancel read":
			return {...state, isUnwanted: true}
		case "placer answers open":
			return answerOpen(state)
		case "call sent":
			return sendCall(state, guards)
		case "call read":
			return {
				...state,
				call: "read",
				hostConfirmedAge: guards.ageOfCall ? state.hostConfirmedAge : 0,
			}
		case "confirmation passed on":
			return {...state, confirmation: forwardedAge(state, guards), ticksSinceSent: 0}
		case "confirmation passed on read":
			return readConfirmation(state, guards)
		case "host starts":
			return {...state, hostRun: "running"}
		case "host's run stops":
			return {...state, hostRun: "ended"}
		case "host given up":
			return {...state, ticksSinceGivenUp: 0}
		case "placer runs it again":
			return {...state, ownRun: "running"}
		case "caller comes back":
			return {...state, runsAgain: true}
		case "tick":
			return tick(state)
	}
}

/** Whether the placer considers the host's run ended, by the host's answer or by elapsed time. */
function isHostRunOver(state: HandedOverState, guards: HandedOverGuards): boolean {
	if (state.hostRun === "ended") return true
	if (state.ticksSinceGivenUp === undefined) return false
	if (guards.waitFromSent) return state.ticksSinceSent >= BOUND_TICKS
	return state.ticksSinceGivenUp >= SHORT_WAIT_TICKS
}

function mayRunAgain(state: HandedOverState, guards: HandedOverGuards): boolean {
	const isWanted = !state.isUnwanted && state.placerConfirmedAge < STALE_TICKS
	return isWanted && state.ownRun === "none" && isHostRunOver(state, guards)
}

function enabled(state: HandedOverState, guards: HandedOverGuards): readonly HandedOverEvent[] {
	const {ticksSinceBreak, call, hostRun, isUnwanted, ticksSinceGivenUp} = state
	const isConfirming = !state.hasCoordinatorGivenUp
	const isHostInvolved = call !== "unsent" && ticksSinceGivenUp === undefined && hostRun !== "ended"
	const isFresh = state.placerConfirmedAge < STALE_TICKS
	const isNewer =
		forwardedAge(state, guards) <
		Math.min(state.hostConfirmedAge, state.confirmation ?? STALE_TICKS)
	const rules: readonly (readonly [EventType, boolean])[] = [
		[
			"connections read",
			isConfirming && (state.coordinatorConfirmedAge > 0 || ticksSinceBreak !== undefined),
		],
		["connection breaks", ticksSinceBreak === undefined],
		["coordinator dies", isConfirming],
		["confirmation read", !isUnwanted && state.coordinatorConfirmedAge < state.placerConfirmedAge],
		["cancel read", !isConfirming && !isUnwanted],
		["placer answers open", isConfirming && !isUnwanted],
		["call sent", call === "unsent" && !isUnwanted && isFresh],
		["call read", call === "under way"],
		[
			"confirmation passed on",
			isHostInvolved && isNewer && (!isUnwanted || !guards.forwardPerCall),
		],
		["confirmation passed on read", call === "read" && state.confirmation !== undefined],
		["host starts", call === "read" && hostRun === "none" && state.hostConfirmedAge < STALE_TICKS],
		["host's run stops", hostRun === "running"],
		["host given up", isHostInvolved],
		["placer runs it again", mayRunAgain(state, guards)],
		["caller comes back", !state.runsAgain && ticksSinceBreak === RESUBMIT_TICKS],
		["tick", true],
	]
	return rules.filter(([, isEnabled]) => isEnabled).map(([type]) => ({type}))
}

function violation({hostRun, ownRun, runsAgain}: HandedOverState): string | undefined {
	const running = [hostRun === "running", ownRun === "running", runsAgain].filter(Boolean)
	return running.length > 1 ? "a task ran twice at once" : undefined
}

export function handedOverProtocol(
	guards: HandedOverGuards = ALL_HANDED_OVER_GUARDS,
): Specification<HandedOverState, HandedOverEvent> {
	return {
		initial: INITIAL,
		next: (state, event) => next(state, event, guards),
		enabled: state => enabled(state, guards),
		violation,
	}
}
