/**
 * How long a run lives that nobody may want any more: its caller's coordinator confirms it, the placer bounds the
 * executor's lease by that confirmation, and the caller comes back only when the bound is past. A coordinator that has lost the
 * call's stream may place the job anew itself, once the bound is past since it told the placer of it last.
 *
 * A coordinator confirms a call as of a moment of the placer's clock: the reading of a pulse, moved by the time that passed
 * at the coordinator until it had read all its connections. So a pulse that was late by some ticks makes the
 * confirmed moment older by as many. Ages are ticks of one real clock; differing rates are left to the margins of
 * the real rule.
 *
 * Processes and messages may be late without bound: every step may be taken at any later tick, or never. Of several
 * messages of one kind under way the model has the latest, which allows the most. A neighbour runs on the same executor
 * all the time, and its own caller's confirmation is always fresh. A successor has the call as the first placer had it.
 * The executor alone keeps time: it ends a run within the tick in which the lease ends.
 */
import {
	ALL_CONFIRMATION_GUARDS,
	type ConfirmationEvent,
	type ConfirmationGuards,
	type ConfirmationRules,
	type ConfirmationState,
} from "./confirmation-state.js"
import type {Specification} from "./explore.js"

const LEASE_TICKS = 2
/** All runs on an executor end that long after their confirmation. */
const BOUND_TICKS = 2
/** A tick ends leases before anything else happens in it, so a caller that waits as long as the bound comes later. */
const RESUBMIT_TICKS = BOUND_TICKS
/** An age from which on a confirmation allows nothing. */
const STALE_TICKS = BOUND_TICKS

type EventType = ConfirmationEvent["type"]

const INITIAL: ConfirmationState = Object.freeze({
	ticksSinceBreak: undefined,
	coordinator: "wants it",
	coordinatorConfirmedAge: STALE_TICKS,
	reportedAge: STALE_TICKS,
	call: "unsent",
	confirmedAge: STALE_TICKS,
	confirmation: undefined,
	run: "none",
	startLease: 0,
	lease: 0,
	order: undefined,
	requestedLease: 0,
	hasSuccessor: false,
	isOrphan: false,
	runsAgain: false,
})

const hasRun = ({run}: ConfirmationState) => run === "ordered" || run === "running"

/** What the executor's lease may still be for the run's own sake. */
const leaseBound = ({confirmedAge}: ConfirmationState) => BOUND_TICKS - confirmedAge

/** The longest lease that the placer may ask for now, for a neighbour's sake too. */
function allowedLease(state: ConfirmationState, guards: ConfirmationGuards): number {
	if (state.isOrphan) return guards.renewNoOrphans ? 0 : LEASE_TICKS
	if (!hasRun(state) || !guards.boundByOldest) return LEASE_TICKS
	return Math.min(LEASE_TICKS, leaseBound(state))
}

function mayStart(state: ConfirmationState, guards: ConfirmationGuards): boolean {
	if (state.call !== "read" || state.run !== "none" || leaseBound(state) === 0) return false
	return !guards.checkLeaseBeforeStart || state.requestedLease <= leaseBound(state)
}

/** The coordinator has read all its connections, and the pulse that it goes by was late by some ticks. */
function readConnections(
	state: ConfirmationState,
	pulseTicks: number,
	guards: ConfirmationGuards,
): ConfirmationState {
	const isFound = state.ticksSinceBreak !== undefined && guards.detectBreak
	if (isFound) return {...state, coordinator: "cancelled it"}
	return {...state, coordinatorConfirmedAge: Math.min(state.coordinatorConfirmedAge, pulseTicks)}
}

function noteReported(state: ConfirmationState): ConfirmationState {
	return {...state, reportedAge: Math.min(state.reportedAge, state.coordinatorConfirmedAge)}
}

function readCall(state: ConfirmationState, guards: ConfirmationGuards): ConfirmationState {
	return {...state, call: "read", confirmedAge: guards.ageOfCall ? state.confirmedAge : 0}
}

function readConfirmation(state: ConfirmationState, guards: ConfirmationGuards): ConfirmationState {
	const age = guards.ageOfConfirmation ? (state.confirmation ?? STALE_TICKS) : 0
	const confirmedAge = Math.min(state.confirmedAge, age)
	return {...state, confirmation: undefined, confirmedAge}
}

function askLease(state: ConfirmationState, guards: ConfirmationGuards): ConfirmationState {
	const asked = allowedLease(state, guards)
	return {...state, order: asked, requestedLease: Math.max(state.requestedLease, asked)}
}

function orderStart(state: ConfirmationState): ConfirmationState {
	const startLease = Math.min(LEASE_TICKS, leaseBound(state))
	const requestedLease = Math.max(state.requestedLease, startLease)
	return {...state, run: "ordered", startLease, requestedLease}
}

function receiveStart(state: ConfirmationState): ConfirmationState {
	if (state.startLease === 0) return {...state, run: "ended"}
	return {...state, run: "running", lease: Math.max(state.lease, state.startLease)}
}

function assumedLease({assumeLongestLease, assumeLeaseFromFence}: ConfirmationGuards): number {
	if (!assumeLongestLease) return 0
	// A successor that presumes as of its own beginning is at least a tick early.
	return assumeLeaseFromFence ? LEASE_TICKS : LEASE_TICKS - 1
}

/** The executor obeys no order of the placer before any more; what it lists is all that the successor knows. */
function takeOver(state: ConfirmationState, guards: ConfirmationGuards): ConfirmationState {
	return {
		...state,
		hasSuccessor: true,
		isOrphan: state.run === "running",
		run: state.run === "ordered" ? "ended" : state.run,
		order: undefined,
		requestedLease: assumedLease(guards),
	}
}

const older = (age: number) => Math.min(STALE_TICKS, age + 1)
const shorter = (left: number) => Math.max(0, left - 1)

function tick(state: ConfirmationState, guards: ConfirmationGuards): ConfirmationState {
	const {ticksSinceBreak, confirmation, order, run} = state
	const lease = shorter(state.lease)
	return {
		...state,
		ticksSinceBreak:
			ticksSinceBreak === undefined ? undefined : Math.min(RESUBMIT_TICKS, ticksSinceBreak + 1),
		coordinatorConfirmedAge: older(state.coordinatorConfirmedAge),
		reportedAge: older(state.reportedAge),
		confirmedAge: older(state.confirmedAge),
		confirmation: confirmation === undefined ? undefined : older(confirmation),
		run: run === "running" && lease === 0 ? "ended" : run,
		startLease: shorter(state.startLease),
		lease,
		order: order !== undefined && guards.absoluteEnd ? shorter(order) : order,
		requestedLease: shorter(state.requestedLease),
	}
}

/** A clock that stands still meanwhile takes all that the placer goes by for as fresh as before. */
function tickSuspended(state: ConfirmationState, guards: ConfirmationGuards): ConfirmationState {
	const later = tick(state, guards)
	if (guards.countSuspension) return later
	const {confirmedAge, confirmation, requestedLease} = state
	return {...later, confirmedAge, confirmation, requestedLease}
}

type Step = (state: ConfirmationState, guards: ConfirmationGuards) => ConfirmationState

const STEPS: Readonly<Record<EventType, Step>> = {
	"connections read after a prompt pulse": (state, guards) => readConnections(state, 0, guards),
	"connections read after a late pulse": (state, guards) => readConnections(state, 1, guards),
	"call sent": state => ({
		...noteReported(state),
		call: "under way",
		confirmedAge: state.coordinatorConfirmedAge,
	}),
	"call read": readCall,
	"confirmation sent": state => ({
		...noteReported(state),
		confirmation: state.coordinatorConfirmedAge,
	}),
	"confirmation read": readConfirmation,
	"confirmation of others read": state => ({...state, confirmedAge: 0}),
	"cancel read": state => ({...state, call: "cancelled"}),
	"connection breaks": state => ({...state, ticksSinceBreak: 0}),
	"answered open": state => ({...state, ticksSinceBreak: 0, coordinator: "cancelled it"}),
	"coordinator dies or loses its stream": state => ({
		...state,
		ticksSinceBreak: state.ticksSinceBreak ?? 0,
		coordinator: "is gone",
	}),
	"coordinator loses its stream, its caller waits on": state => ({
		...state,
		coordinator: "is gone",
	}),
	"lease asked": askLease,
	"order arrives": state => ({
		...state,
		order: undefined,
		lease: Math.max(state.lease, state.order ?? 0),
	}),
	"start ordered": orderStart,
	"start arrives": receiveStart,
	"stop carried out": state => ({...state, run: "ended"}),
	"successor fences": takeOver,
	"run handed over": state => ({...state, isOrphan: false}),
	"caller comes back": state => ({...state, runsAgain: true}),
	"placed anew": state => ({...state, runsAgain: true}),
	tick,
	"tick while the placer is suspended": tickSuspended,
}

/** Whether the call's run has ended, or can never begin; each call has one. */
function isSettled({run, call, coordinator}: ConfirmationState): boolean {
	if (run !== "none") return run === "ended"
	return call === "cancelled" || (call === "unsent" && coordinator !== "wants it")
}

/** Leaves out what can no longer tell one future from another. */
function normalize(
	state: ConfirmationState,
	{absoluteEnd, placesAnew = false}: ConfirmationRules,
): ConfirmationState {
	if (isSettled(state)) return {...INITIAL, run: "ended"}
	const {order, lease} = state
	const isOrderRedundant = absoluteEnd && order !== undefined && order <= lease
	return {
		...state,
		order: isOrderRedundant ? undefined : order,
		coordinatorConfirmedAge:
			state.coordinator === "wants it" ? state.coordinatorConfirmedAge : STALE_TICKS,
		reportedAge:
			placesAnew && state.coordinator !== "cancelled it" ? state.reportedAge : STALE_TICKS,
	}
}

/** Whether a confirmation that is meant for others would be taken for the call's own. */
function isMisattributed(
	{call, coordinator}: ConfirmationState,
	{cancelIsFinal, confirmOwnStreamOnly}: ConfirmationGuards,
) {
	if (coordinator === "cancelled it") return call === "cancelled" && !cancelIsFinal
	return coordinator === "is gone" && call === "read" && !confirmOwnStreamOnly
}

function callEvents(
	state: ConfirmationState,
	{placesAnew = false}: ConfirmationRules,
): readonly (readonly [EventType, boolean])[] {
	const {ticksSinceBreak, coordinator, call, confirmation, coordinatorConfirmedAge} = state
	const isWanted = coordinator === "wants it"
	const isWaiting = ticksSinceBreak === undefined
	const isNewer = coordinatorConfirmedAge < Math.min(STALE_TICKS, confirmation ?? STALE_TICKS)
	return [
		[
			"connections read after a prompt pulse",
			isWanted && (coordinatorConfirmedAge > 0 || !isWaiting),
		],
		["connections read after a late pulse", isWanted && coordinatorConfirmedAge > 1 && isWaiting],
		["call sent", isWanted && call === "unsent" && coordinatorConfirmedAge < STALE_TICKS],
		["call read", call === "under way"],
		["confirmation sent", isWanted && call !== "unsent" && isNewer],
		["confirmation read", call === "read" && confirmation !== undefined],
		[
			"cancel read",
			call === "read" && confirmation === undefined && coordinator === "cancelled it",
		],
		["connection breaks", isWaiting],
		["answered open", isWaiting && call !== "unsent"],
		["coordinator dies or loses its stream", isWanted],
		["coordinator loses its stream, its caller waits on", placesAnew && isWanted && isWaiting],
	]
}

function runEvents(
	state: ConfirmationState,
	guards: ConfirmationRules,
): readonly (readonly [EventType, boolean])[] {
	const {ticksSinceBreak, coordinator, reportedAge, call, run, lease, order} = state
	const {hasSuccessor, isOrphan, runsAgain} = state
	const resubmitTicks = guards.resubmitAfterBound ? RESUBMIT_TICKS : RESUBMIT_TICKS - 1
	const rescheduleTicks = guards.rescheduleAfterBound ? BOUND_TICKS : BOUND_TICKS - 1
	const mayReschedule =
		guards.placesAnew && coordinator === "is gone" && reportedAge >= rescheduleTicks
	const isUnwanted = call === "cancelled" || isOrphan
	// Before the break it makes no difference: nobody comes back.
	const isUnconfirmed =
		(ticksSinceBreak !== undefined || coordinator === "is gone") && hasRun(state)
	return [
		["confirmation of others read", isMisattributed(state, guards)],
		["lease asked", allowedLease(state, guards) > Math.max(lease, order ?? 0)],
		["order arrives", order !== undefined],
		["start ordered", mayStart(state, guards)],
		["start arrives", run === "ordered"],
		["stop carried out", hasRun(state) && isUnwanted],
		["successor fences", !hasSuccessor],
		["run handed over", isOrphan],
		[
			"caller comes back",
			!runsAgain && ticksSinceBreak !== undefined && ticksSinceBreak >= resubmitTicks,
		],
		["placed anew", !runsAgain && mayReschedule === true],
		["tick", true],
		["tick while the placer is suspended", !guards.countSuspension && isUnconfirmed],
	]
}

function enabled(
	state: ConfirmationState,
	guards: ConfirmationRules,
): readonly ConfirmationEvent[] {
	if (state.run === "ended") return []
	const rules = [...callEvents(state, guards), ...runEvents(state, guards)]
	return rules.filter(([, isEnabled]) => isEnabled).map(([type]) => ({type}))
}

export function confirmationProtocol(
	guards: ConfirmationRules = ALL_CONFIRMATION_GUARDS,
): Specification<ConfirmationState, ConfirmationEvent> {
	return {
		initial: INITIAL,
		next: (state, {type}) => normalize(STEPS[type](state, guards), guards),
		enabled: state => enabled(state, guards),
		violation: ({run, runsAgain}) =>
			run === "running" && runsAgain ? "a task ran twice at once" : undefined,
	}
}
