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
	brokenFor: undefined,
	coordinator: "wants it",
	wantedAge: STALE_TICKS,
	toldAge: STALE_TICKS,
	call: "unsent",
	confirmedAge: STALE_TICKS,
	confirmation: undefined,
	run: "none",
	startLease: 0,
	lease: 0,
	order: undefined,
	askedLease: 0,
	hasSuccessor: false,
	isOrphan: false,
	runsAgain: false,
})

const isThere = ({run}: ConfirmationState) => run === "ordered" || run === "running"

/** What the executor's lease may still be for the run's own sake. */
const boundOf = ({confirmedAge}: ConfirmationState) => BOUND_TICKS - confirmedAge

/** The longest lease that the placer may ask for now, for a neighbour's sake too. */
function allowedLease(state: ConfirmationState, guards: ConfirmationGuards): number {
	if (state.isOrphan) return guards.renewNoOrphans ? 0 : LEASE_TICKS
	if (!isThere(state) || !guards.boundByOldest) return LEASE_TICKS
	return Math.min(LEASE_TICKS, boundOf(state))
}

function mayStart(state: ConfirmationState, guards: ConfirmationGuards): boolean {
	if (state.call !== "read" || state.run !== "none" || boundOf(state) === 0) return false
	return !guards.lookBeforeStart || state.askedLease <= boundOf(state)
}

/** The coordinator has read all its connections, and the pulse that it goes by was late by some ticks. */
function readConnections(
	state: ConfirmationState,
	pulseTicks: number,
	guards: ConfirmationGuards,
): ConfirmationState {
	const isFound = state.brokenFor !== undefined && guards.breakIsSeen
	if (isFound) return {...state, coordinator: "cancelled it"}
	return {...state, wantedAge: Math.min(state.wantedAge, pulseTicks)}
}

function tell(state: ConfirmationState): ConfirmationState {
	return {...state, toldAge: Math.min(state.toldAge, state.wantedAge)}
}

function readCall(state: ConfirmationState, guards: ConfirmationGuards): ConfirmationState {
	return {...state, call: "read", confirmedAge: guards.ageOfCall ? state.confirmedAge : 0}
}

function readConfirmation(state: ConfirmationState, guards: ConfirmationGuards): ConfirmationState {
	const toldAge = guards.ageOfConfirmation ? (state.confirmation ?? STALE_TICKS) : 0
	const confirmedAge = Math.min(state.confirmedAge, toldAge)
	return {...state, confirmation: undefined, confirmedAge}
}

function askLease(state: ConfirmationState, guards: ConfirmationGuards): ConfirmationState {
	const asked = allowedLease(state, guards)
	return {...state, order: asked, askedLease: Math.max(state.askedLease, asked)}
}

function orderStart(state: ConfirmationState): ConfirmationState {
	const startLease = Math.min(LEASE_TICKS, boundOf(state))
	const askedLease = Math.max(state.askedLease, startLease)
	return {...state, run: "ordered", startLease, askedLease}
}

function takeStart(state: ConfirmationState): ConfirmationState {
	if (state.startLease === 0) return {...state, run: "ended"}
	return {...state, run: "running", lease: Math.max(state.lease, state.startLease)}
}

function presumedLease({presumeLease, presumeAtFence}: ConfirmationGuards): number {
	if (!presumeLease) return 0
	// A successor that presumes as of its own beginning is at least a tick early.
	return presumeAtFence ? LEASE_TICKS : LEASE_TICKS - 1
}

/** The executor obeys no order of the placer before any more; what it lists is all that the successor knows. */
function takeOver(state: ConfirmationState, guards: ConfirmationGuards): ConfirmationState {
	return {
		...state,
		hasSuccessor: true,
		isOrphan: state.run === "running",
		run: state.run === "ordered" ? "ended" : state.run,
		order: undefined,
		askedLease: presumedLease(guards),
	}
}

const older = (age: number) => Math.min(STALE_TICKS, age + 1)
const shorter = (left: number) => Math.max(0, left - 1)

function tick(state: ConfirmationState, guards: ConfirmationGuards): ConfirmationState {
	const {brokenFor, confirmation, order, run} = state
	const lease = shorter(state.lease)
	return {
		...state,
		brokenFor: brokenFor === undefined ? undefined : Math.min(RESUBMIT_TICKS, brokenFor + 1),
		wantedAge: older(state.wantedAge),
		toldAge: older(state.toldAge),
		confirmedAge: older(state.confirmedAge),
		confirmation: confirmation === undefined ? undefined : older(confirmation),
		run: run === "running" && lease === 0 ? "ended" : run,
		startLease: shorter(state.startLease),
		lease,
		order: order !== undefined && guards.absoluteEnd ? shorter(order) : order,
		askedLease: shorter(state.askedLease),
	}
}

/** A clock that stands still meanwhile takes all that the placer goes by for as fresh as before. */
function tickSuspended(state: ConfirmationState, guards: ConfirmationGuards): ConfirmationState {
	const later = tick(state, guards)
	if (guards.countSuspension) return later
	const {confirmedAge, confirmation, askedLease} = state
	return {...later, confirmedAge, confirmation, askedLease}
}

type Step = (state: ConfirmationState, guards: ConfirmationGuards) => ConfirmationState

const STEPS: Readonly<Record<EventType, Step>> = {
	"connections read after a prompt pulse": (state, guards) => readConnections(state, 0, guards),
	"connections read after a late pulse": (state, guards) => readConnections(state, 1, guards),
	"call sent": state => ({...tell(state), call: "under way", confirmedAge: state.wantedAge}),
	"call read": readCall,
	"confirmation sent": state => ({...tell(state), confirmation: state.wantedAge}),
	"confirmation read": readConfirmation,
	"confirmation of others read": state => ({...state, confirmedAge: 0}),
	"cancel read": state => ({...state, call: "cancelled"}),
	"connection breaks": state => ({...state, brokenFor: 0}),
	"answered open": state => ({...state, brokenFor: 0, coordinator: "cancelled it"}),
	"coordinator dies or loses its stream": state => ({
		...state,
		brokenFor: state.brokenFor ?? 0,
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
	"start arrives": takeStart,
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
function reduced(
	state: ConfirmationState,
	{absoluteEnd, placesAnew = false}: ConfirmationRules,
): ConfirmationState {
	if (isSettled(state)) return {...INITIAL, run: "ended"}
	const {order, lease} = state
	const isOrderIdle = absoluteEnd && order !== undefined && order <= lease
	return {
		...state,
		order: isOrderIdle ? undefined : order,
		wantedAge: state.coordinator === "wants it" ? state.wantedAge : STALE_TICKS,
		toldAge: placesAnew && state.coordinator !== "cancelled it" ? state.toldAge : STALE_TICKS,
	}
}

/** Whether a confirmation that is meant for others would be taken for the call's own. */
function isMistaken(
	{call, coordinator}: ConfirmationState,
	{keepCancelled, ownStream}: ConfirmationGuards,
) {
	if (coordinator === "cancelled it") return call === "cancelled" && !keepCancelled
	return coordinator === "is gone" && call === "read" && !ownStream
}

function callEvents(
	state: ConfirmationState,
	{placesAnew = false}: ConfirmationRules,
): readonly (readonly [EventType, boolean])[] {
	const {brokenFor, coordinator, call, confirmation, wantedAge} = state
	const isWanted = coordinator === "wants it"
	const isWaiting = brokenFor === undefined
	const isNews = wantedAge < Math.min(STALE_TICKS, confirmation ?? STALE_TICKS)
	return [
		["connections read after a prompt pulse", isWanted && (wantedAge > 0 || !isWaiting)],
		["connections read after a late pulse", isWanted && wantedAge > 1 && isWaiting],
		["call sent", isWanted && call === "unsent" && wantedAge < STALE_TICKS],
		["call read", call === "under way"],
		["confirmation sent", isWanted && call !== "unsent" && isNews],
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
	const {brokenFor, coordinator, toldAge, call, run, lease, order} = state
	const {hasSuccessor, isOrphan, runsAgain} = state
	const resubmitTicks = guards.comeBackLate ? RESUBMIT_TICKS : RESUBMIT_TICKS - 1
	const overTicks = guards.placeAnewLate ? BOUND_TICKS : BOUND_TICKS - 1
	const isOverFor = guards.placesAnew && coordinator === "is gone" && toldAge >= overTicks
	const isUnwanted = call === "cancelled" || isOrphan
	// Before the break it makes no difference: nobody comes back.
	const isUnheardOf = (brokenFor !== undefined || coordinator === "is gone") && isThere(state)
	return [
		["confirmation of others read", isMistaken(state, guards)],
		["lease asked", allowedLease(state, guards) > Math.max(lease, order ?? 0)],
		["order arrives", order !== undefined],
		["start ordered", mayStart(state, guards)],
		["start arrives", run === "ordered"],
		["stop carried out", isThere(state) && isUnwanted],
		["successor fences", !hasSuccessor],
		["run handed over", isOrphan],
		["caller comes back", !runsAgain && brokenFor !== undefined && brokenFor >= resubmitTicks],
		["placed anew", !runsAgain && isOverFor === true],
		["tick", true],
		["tick while the placer is suspended", !guards.countSuspension && isUnheardOf],
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
		next: (state, {type}) => reduced(STEPS[type](state, guards), guards),
		enabled: state => enabled(state, guards),
		violation: ({run, runsAgain}) =>
			run === "running" && runsAgain ? "a task ran twice at once" : undefined,
	}
}
