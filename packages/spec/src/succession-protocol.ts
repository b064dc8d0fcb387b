/**
 * A run that goes from one placer of a failure domain to the next: the executor is under the lease that the
 * placer before asked for last, the successor has heard nothing of it yet, and its orders may be lost.
 *
 * Time goes in ticks, of which a lease lasts two. A caller whose call to a placer breaks takes the task as
 * ended after four; a placer notices the break within one.
 */
import type {Specification} from "./explore.js"

const LEASE_TICKS = 2
const NOTICE_TICKS = 1
const ASSUMED_OVER_TICKS = 4

export interface SuccessionState {
	readonly isRunning: boolean
	/** Ticks that are left of the lease that the placer before asked for last. */
	readonly oldLease: number
	/** Ticks that are left of the successor's last lease. */
	readonly newLease: number
	/** Whether the successor's list names the executor. */
	readonly isListed: boolean
	/** The run was handed over, and the successor watches it. */
	readonly isWatched: boolean
	/** The executor has answered the successor, so it obeys no fence before. */
	readonly isFenced: boolean
	/** Nobody wants the run any more, and the successor knows it. */
	readonly isUnwanted: boolean
	/** Ticks since the caller's call broke; undefined while it stands. */
	readonly ticksSinceBreak: number | undefined
	/** The caller was told that the run is over, or takes it as over. */
	readonly isOver: boolean
	/** The task runs again elsewhere. */
	readonly runsAgain: boolean
}

export interface SuccessionGuards {
	/** An executor that has not answered yet is under the longest lease of the placer before. */
	readonly assumeLongestLease: boolean
	/** A run on an executor that the list lacks is watched as any other. */
	readonly watchUnlisted: boolean
	/** A lease is renewed only for runs that somebody wants here. */
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

/** What the successor makes of an order that stays without an answer. */
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
