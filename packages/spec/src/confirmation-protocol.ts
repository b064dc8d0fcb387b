/**
 * Bounds the lifetime of a run that may no longer be wanted. The caller's coordinator confirms the call, the placer ends
 * the executor's lease within a bound after the last confirmation, and the caller resubmits only after that bound. A
 * coordinator that has lost the call's stream may reschedule the job once the bound has passed since its last confirmation.
 *
 * A confirmation names a time on the placer's clock: the time in a pulse, plus the time the coordinator then took to read
 * its connections. A late pulse makes the confirmation older. Ages are ticks of one clock; clock drift is not modelled.
 *
 * Any process or message may be delayed without bound or lost. Of several messages of one kind in flight, the model keeps
 * the latest, which permits the most. Another run on the same executor always has a fresh confirmation. A successor has the
 * call as the first placer had it. Only the executor is on time: it ends a run within the tick in which the lease ends.
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
/** Every run ends this long after its last confirmation. */
const BOUND_TICKS = 2
/** Equal to the bound, because a tick ends leases before any other event in it. */
const RESUBMIT_TICKS = BOUND_TICKS
/** A confirmation of this age permits nothing. */
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

/** Returns the longest lease, in ticks, that the run's own confirmation permits. */
const leaseBound = ({confirmedAge}: ConfirmationState) => BOUND_TICKS - confirmedAge

/** Returns the longest lease, in ticks, that the placer may request now, for any run on the executor. */
function allowedLease(state: ConfirmationState, guards: ConfirmationGuards): number {
	if (state.isOrphan) return guards.renewNoOrphans ? 0 : LEASE_TICKS
	if (!hasRun(state) || !guards.boundByOldest) return LEASE_TICKS
	return Math.min(LEASE_TICKS, leaseBound(state))
}

function mayStart(state: ConfirmationState, guards: ConfirmationGuards): boolean {
	if (state.call !== "read" || state.run !== "none" || leaseBound(state) === 0) return false
	return !guards.checkLeaseBeforeStart || state.requestedLease <= leaseBound(state)
}

/** The coordinator has read all its connections after a pulse that was `pulseTicks` late. */
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
	// Counted from the successor's own start, the assumption is at least a tick early.
	return assumeLeaseFromFence ? LEASE_TICKS : LEASE_TICKS - 1
}

/** The executor rejects the predecessor's orders from here on; the successor knows only the runs that it lists. */
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

/** With a clock that stops during suspension, the placer's ages do not grow. */
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

/** Whether the call's only run has ended or can never start. */
function isSettled({run, call, coordinator}: ConfirmationState): boolean {
	if (run !== "none") return run === "ended"
	return call === "cancelled" || (call === "unsent" && coordinator !== "wants it")
}

/** Resets fields that no longer affect later states, to keep the state space small. */
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

/** Whether a confirmation of other calls would be applied to this call. */
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
	// Nobody resubmits before the break, so suspension matters only after it.
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

/** Violated when the task runs on the executor and elsewhere at once. */
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
