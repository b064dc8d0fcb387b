/**
 * Placing a task on leased executors: one task, a placer and its successor, an executor with delayed
 * orders and answers, and a second executor on which the task may run again.
 *
 * Time is abstract: a lease may end once nobody can renew it, and an order may arrive at any time after
 * it was sent.
 */
import type {Specification} from "./explore.js"

type Belief =
	| "unsent"
	/** Sent; the answer is outstanding. */
	| "sent"
	/** The answer is overdue: the task may run, or may start later. */
	| "silent"
	/** The task does not run and will not start. */
	| "settled"

export interface PlacerState {
	/** The start order of the first run is in flight. */
	readonly isOrderInFlight: boolean
	/** The first run is active on the first executor. */
	readonly firstRuns: boolean
	/** The executor was told to stop the first run, started or not. */
	readonly wasStopped: boolean
	/** The highest fence that the first executor has seen. */
	readonly seenFence: 1 | 2
	readonly hasLeaseEnded: boolean
	/** The first placer and the first executor cannot reach each other. */
	readonly isPartitioned: boolean
	readonly isFirstPlacerDead: boolean
	readonly hasSuccessorFenced: boolean
	readonly belief: Belief
	/** The task runs on the second executor. */
	readonly secondRuns: boolean
	readonly wasRunAgain: boolean
}

export interface PlacerGuards {
	/** An executor rejects fences below the highest that it has seen. */
	readonly fence: boolean
	/** A start order carries a deadline, after which it is refused. */
	readonly deadline: boolean
	/** A task with an unanswered start runs again elsewhere only once that start is settled. */
	readonly settle: boolean
	/** A successor stops the runs that it finds before placing. */
	readonly stopOrphans: boolean
}

export const ALL_PLACER_GUARDS: PlacerGuards = Object.freeze({
	fence: true,
	deadline: true,
	settle: true,
	stopOrphans: true,
})

export type PlacerEvent = {
	readonly type:
		| "send start"
		| "order arrives"
		| "miss answer"
		| "stop answered"
		| "cut"
		| "lease ends"
		| "settle by lease"
		| "first placer dies"
		| "successor fences"
		| "run again"
		| "second ends"
}

const INITIAL: PlacerState = Object.freeze({
	isOrderInFlight: false,
	firstRuns: false,
	wasStopped: false,
	seenFence: 1,
	hasLeaseEnded: false,
	isPartitioned: false,
	isFirstPlacerDead: false,
	hasSuccessorFenced: false,
	belief: "unsent",
	secondRuns: false,
	wasRunAgain: false,
})

function arrive(state: PlacerState, guards: PlacerGuards): PlacerState {
	const isFenced = guards.fence && state.seenFence === 2
	const isLate = guards.deadline && state.hasLeaseEnded
	const isTaken = !isFenced && !isLate && !state.wasStopped
	return {...state, isOrderInFlight: false, firstRuns: state.firstRuns || isTaken}
}

function next(state: PlacerState, {type}: PlacerEvent, guards: PlacerGuards): PlacerState {
	switch (type) {
		case "send start":
			return {...state, isOrderInFlight: true, belief: "sent"}
		case "order arrives":
			return arrive(state, guards)
		case "miss answer":
			return {...state, belief: "silent"}
		case "stop answered":
			return {...state, firstRuns: false, wasStopped: true, belief: "settled"}
		case "cut":
			return {...state, isPartitioned: true}
		case "lease ends":
			return {...state, hasLeaseEnded: true, firstRuns: false}
		case "settle by lease":
			return {...state, belief: "settled"}
		case "first placer dies":
			return {...state, isFirstPlacerDead: true}
		case "successor fences":
			return {
				...state,
				seenFence: 2,
				hasSuccessorFenced: true,
				firstRuns: guards.stopOrphans ? false : state.firstRuns,
			}
		case "run again":
			return {...state, secondRuns: true, wasRunAgain: true}
		case "second ends":
			return {...state, secondRuns: false}
	}
}

/** Whether the first placer, or its successor, may run the task again. */
function mayRunAgain(state: PlacerState, guards: PlacerGuards): boolean {
	if (state.wasRunAgain || state.belief === "unsent") return false
	if (state.isFirstPlacerDead) return state.hasSuccessorFenced || state.hasLeaseEnded
	return state.belief === "settled" || (!guards.settle && state.belief === "silent")
}

function enabled(state: PlacerState, guards: PlacerGuards): readonly PlacerEvent[] {
	const isPlacing = !state.isFirstPlacerDead
	const canOrder = isPlacing && !state.isPartitioned
	const isRenewed = canOrder || state.hasSuccessorFenced
	const rules: readonly (readonly [PlacerEvent["type"], boolean])[] = [
		["send start", canOrder && state.belief === "unsent"],
		["order arrives", state.isOrderInFlight],
		["miss answer", isPlacing && state.belief === "sent"],
		["stop answered", canOrder && state.belief === "silent"],
		["cut", !state.isPartitioned],
		["lease ends", !isRenewed && !state.hasLeaseEnded],
		["settle by lease", isPlacing && state.belief === "silent" && state.hasLeaseEnded],
		["first placer dies", isPlacing],
		["successor fences", state.isFirstPlacerDead && !state.hasSuccessorFenced],
		["run again", mayRunAgain(state, guards)],
		["second ends", state.secondRuns],
	]
	return rules.filter(([, isEnabled]) => isEnabled).map(([type]) => ({type}))
}

export function placerProtocol(
	guards: PlacerGuards = ALL_PLACER_GUARDS,
): Specification<PlacerState, PlacerEvent> {
	return {
		initial: INITIAL,
		next: (state, event) => next(state, event, guards),
		enabled: state => enabled(state, guards),
		violation: state =>
			state.firstRuns && state.secondRuns ? "a task ran twice at once" : undefined,
	}
}
