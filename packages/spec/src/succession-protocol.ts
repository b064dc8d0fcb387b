/**
 * A run that passes from one placer of a failure domain to its successor: the executor holds the lease that the
 * predecessor requested last, the successor has no answer from the executor yet, and its orders may be lost.
 *
 * Time is in ticks.
 */
import type {Specification} from "./explore.js"

const LEASE_TICKS = 2
/** A placer notices a broken call within this time. */
const NOTICE_TICKS = 1
/** A caller whose call broke considers the task ended after this time. */
const ASSUMED_OVER_TICKS = 4

export interface SuccessionState {
	readonly isRunning: boolean
	/** Remaining ticks of the predecessor's last lease. */
	readonly oldLease: number
	/** Remaining ticks of the successor's last lease. */
	readonly newLease: number
	/** The successor's executor list contains the executor. */
	readonly isListed: boolean
	/** The run was handed over to the successor, which watches it. */
	readonly isWatched: boolean
	/** The executor has answered the successor, and rejects lower fences. */
	readonly isFenced: boolean
	/** The successor knows that the run is no longer wanted. */
	readonly isUnwanted: boolean
	/** Ticks since the caller's call broke; undefined while the call is open. */
	readonly ticksSinceBreak: number | undefined
	/** The caller was told that the run is over, or assumes so. */
	readonly isOver: boolean
	/** The task runs again elsewhere. */
	readonly runsAgain: boolean
}

export interface SuccessionGuards {
	/** The successor assumes the predecessor's longest lease for an executor that has not answered yet. */
	readonly assumeLongestLease: boolean
	/** A run on an unlisted executor is watched like any other. */
	readonly watchUnlisted: boolean
	/** A lease is renewed only for runs that are still wanted. */
	readonly renewWantedOnly: boolean
}

export const ALL_SUCCESSION_GUARDS: SuccessionGuards = Object.freeze({
	assumeLongestLease: true,
	watchUnlisted: true,
	renewWantedOnly: true,
})

export interface SuccessionEvent {
	readonly type:
		| "list drops executor"
		| "run handed over"
		| "order lost"
		| "hold answered"
		| "stop answered"
		| "call breaks"
		| "break noticed"
		| "presumed over"
		| "run again"
		| "tick"
}

const INITIAL: SuccessionState = Object.freeze({
	isRunning: true,
	oldLease: LEASE_TICKS,
	newLease: 0,
	isListed: true,
	isWatched: false,
	isFenced: false,
	isUnwanted: false,
	ticksSinceBreak: undefined,
	isOver: false,
	runsAgain: false,
})

const hasLease = ({oldLease, newLease}: SuccessionState) => oldLease > 0 || newLease > 0

/** An unanswered order ends a watched run once the leases that the successor knows of have expired. */
function onOrderLost(state: SuccessionState, guards: SuccessionGuards): SuccessionState {
	const isLapsed = guards.assumeLongestLease ? !hasLease(state) : state.newLease === 0
	return state.isWatched && isLapsed ? {...state, isOver: true} : state
}

function renew(state: SuccessionState, guards: SuccessionGuards): SuccessionState {
	const isWanted = state.isWatched && !state.isUnwanted
	const isRenewed = state.isRunning && (isWanted || !guards.renewWantedOnly)
	return {...state, isFenced: true, newLease: isRenewed ? LEASE_TICKS : state.newLease}
}

function tick(state: SuccessionState): SuccessionState {
	const {ticksSinceBreak} = state
	const aged = {
		...state,
		oldLease: Math.max(0, state.oldLease - 1),
		newLease: Math.max(0, state.newLease - 1),
		ticksSinceBreak:
			ticksSinceBreak === undefined ? undefined : Math.min(ASSUMED_OVER_TICKS, ticksSinceBreak + 1),
	}
	return hasLease(aged) ? aged : {...aged, isRunning: false}
}

function next(
	state: SuccessionState,
	{type}: SuccessionEvent,
	guards: SuccessionGuards,
): SuccessionState {
	switch (type) {
		case "list drops executor":
			return {...state, isListed: false}
		case "run handed over":
			if (!state.isListed && !guards.watchUnlisted) return {...state, isOver: true}
			return {...state, isWatched: true}
		case "order lost":
			return onOrderLost(state, guards)
		case "hold answered":
			return renew(state, guards)
		case "stop answered":
			return {...state, isRunning: false}
		case "call breaks":
			return {...state, ticksSinceBreak: 0}
		case "break noticed":
			return {...state, isUnwanted: true}
		case "presumed over":
			return {...state, isOver: true}
		case "run again":
			return {...state, runsAgain: true}
		case "tick":
			return tick(state)
	}
}

function enabled(state: SuccessionState): readonly SuccessionEvent[] {
	const {isRunning, isListed, isWatched, isUnwanted, isOver, ticksSinceBreak} = state
	const isBroken = ticksSinceBreak !== undefined
	const mustNotice = isBroken && !isUnwanted && ticksSinceBreak >= NOTICE_TICKS
	const isCallOpen = !isBroken && !isOver
	const rules: readonly (readonly [SuccessionEvent["type"], boolean])[] = [
		["list drops executor", isListed && !isWatched],
		["run handed over", !isWatched && isCallOpen],
		["order lost", isWatched && !isOver],
		["hold answered", isRunning],
		["stop answered", isRunning && isUnwanted],
		["call breaks", isCallOpen],
		["break noticed", isBroken && !isUnwanted],
		["presumed over", isBroken && !isOver && ticksSinceBreak >= ASSUMED_OVER_TICKS],
		["run again", isOver && !state.runsAgain],
		["tick", !mustNotice],
	]
	return rules.filter(([, isEnabled]) => isEnabled).map(([type]) => ({type}))
}

export function successionProtocol(
	guards: SuccessionGuards = ALL_SUCCESSION_GUARDS,
): Specification<SuccessionState, SuccessionEvent> {
	return {
		initial: INITIAL,
		next: (state, event) => next(state, event, guards),
		enabled,
		violation: ({isRunning, runsAgain}) =>
			isRunning && runsAgain ? "a task ran twice at once" : undefined,
	}
}
