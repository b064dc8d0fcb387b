/**
 * Adding a slice to a failure domain: an executor passes from its placer, or from a successor of that placer, to the new
 * slice's placer. The executor has room for one run and accepts any fence not below the highest that it has seen. Orders may
 * arrive at any time after they were sent. The old placer may learn of the new slice late or never.
 */
import type {Specification} from "./explore.js"

/** The new slice's fences lie above this where each slice has its own range. */
const FENCE_RANGE = 10
/** Maximum number of successors of the old placer; none need know of the new slice. */
const MAX_SUCCESSIONS = 2

export interface SlicesState {
	/** The highest fence that the executor has seen. */
	readonly seenFence: number
	/** Fence of the old slice. */
	readonly oldFence: number
	/** The old placer has learnt of the new slice and releases the executor. */
	readonly hasOldPlacerHeard: boolean
	/** Fence of the old placer's start order in flight; 0 without one. */
	readonly inFlightFence: number
	readonly oldRuns: boolean
	/** Fence of the new slice; 0 before the slice is claimed. */
	readonly newFence: number
	/** The executor has answered a hold of the new placer with its list of runs. */
	readonly hasNewHeld: boolean
	/** The new placer knows of the old run. */
	readonly isOldRunKnown: boolean
	readonly newRuns: boolean
	/** The executor has refused the placer of its own slice. */
	readonly isOwnRefused: boolean
	/** Another slice was added later, and the executor returned to the old placer. */
	readonly hasReturned: boolean
}

export interface SlicesGuards {
	/** A slice's fences lie above all fences of lower slices. */
	readonly ownRange: boolean
	/** A placer uses an executor's room only after a hold has listed its runs. */
	readonly holdFirst: boolean
	/** When a slice is added, executors move only to the new slice. */
	readonly onlyToNew: boolean
}

export const ALL_SLICES_GUARDS: SlicesGuards = Object.freeze({
	ownRange: true,
	holdFirst: true,
	onlyToNew: true,
})

export interface SlicesEvent {
	readonly type:
		| "slice added"
		| "old placer succeeded"
		| "old placer hears"
		| "old placer holds"
		| "old placer orders"
		| "order arrives"
		| "old run ends"
		| "new placer holds"
		| "new placer stops"
		| "new placer starts"
		| "new run ends"
		| "executor goes back"
}

const INITIAL: SlicesState = Object.freeze({
	seenFence: 1,
	oldFence: 1,
	hasOldPlacerHeard: false,
	inFlightFence: 0,
	oldRuns: false,
	newFence: 0,
	hasNewHeld: false,
	isOldRunKnown: false,
	newRuns: false,
	isOwnRefused: false,
	hasReturned: false,
})

/** Returns the fence of a slice's first claim. */
const firstFence = ({ownRange}: SlicesGuards) => (ownRange ? FENCE_RANGE + 1 : 1)

function holdOld(state: SlicesState): SlicesState {
	if (state.oldFence >= state.seenFence) return {...state, seenFence: state.oldFence}
	return {...state, isOwnRefused: state.hasReturned}
}

function holdNew(state: SlicesState): SlicesState {
	if (state.newFence < state.seenFence) return {...state, isOwnRefused: true}
	return {...state, seenFence: state.newFence, hasNewHeld: true, isOldRunKnown: state.oldRuns}
}

function arrive(state: SlicesState): SlicesState {
	const fence = state.inFlightFence
	if (fence < state.seenFence) return {...state, inFlightFence: 0}
	return {...state, inFlightFence: 0, seenFence: fence, oldRuns: true}
}

function next(state: SlicesState, {type}: SlicesEvent, guards: SlicesGuards): SlicesState {
	switch (type) {
		case "slice added":
			return {...state, newFence: firstFence(guards)}
		case "old placer succeeded":
			return {...state, oldFence: state.oldFence + 1, hasOldPlacerHeard: false}
		case "old placer hears":
			return {...state, hasOldPlacerHeard: true}
		case "old placer holds":
			return holdOld(state)
		case "old placer orders":
			return {...state, inFlightFence: state.oldFence}
		case "order arrives":
			return arrive(state)
		case "old run ends":
			return {...state, oldRuns: false, isOldRunKnown: false}
		case "new placer holds":
			return holdNew(state)
		case "new placer stops":
			return {...state, oldRuns: false, isOldRunKnown: false}
		case "new placer starts":
			return {...state, newRuns: true}
		case "new run ends":
			return {...state, newRuns: false}
		case "executor goes back":
			return {...state, hasReturned: true, hasOldPlacerHeard: false}
	}
}

function enabled(state: SlicesState, guards: SlicesGuards): readonly SlicesEvent[] {
	const isAdded = state.newFence > 0
	const isOldPlacerActive = !state.hasOldPlacerHeard
	const mayUseRoom = state.hasNewHeld ? !state.isOldRunKnown : !guards.holdFirst
	const rules: readonly (readonly [SlicesEvent["type"], boolean])[] = [
		["slice added", !isAdded],
		["old placer succeeded", state.oldFence <= MAX_SUCCESSIONS],
		["old placer hears", isAdded && isOldPlacerActive && !state.hasReturned],
		["old placer holds", isOldPlacerActive],
		["old placer orders", isOldPlacerActive && state.inFlightFence === 0 && !state.oldRuns],
		["order arrives", state.inFlightFence > 0],
		["old run ends", state.oldRuns],
		["new placer holds", isAdded && !state.hasReturned],
		["new placer stops", state.hasNewHeld && state.oldRuns],
		["new placer starts", isAdded && mayUseRoom && !state.newRuns],
		["new run ends", state.newRuns],
		["executor goes back", state.hasNewHeld && !state.hasReturned && !guards.onlyToNew],
	]
	return rules.filter(([, isEnabled]) => isEnabled).map(([type]) => ({type}))
}

function violation({oldRuns, newRuns, isOwnRefused}: SlicesState): string | undefined {
	if (oldRuns && newRuns) return "two placers used an executor's room"
	return isOwnRefused ? "an executor refuses the placer that it belongs to" : undefined
}

export function slicesProtocol(
	guards: SlicesGuards = ALL_SLICES_GUARDS,
): Specification<SlicesState, SlicesEvent> {
	return {
		initial: INITIAL,
		next: (state, event) => next(state, event, guards),
		enabled: state => enabled(state, guards),
		violation,
	}
}
