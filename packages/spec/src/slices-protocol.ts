/**
 * One more slice of a failure domain: an executor goes from the placer that has it, or from a successor of that one, to the new
 * slice's placer. The executor has room for one run, obeys any fence that is not below the highest that it has seen, and orders
 * may arrive at any time after they were sent. The placer before may hear of the new slice late or never.
 */
import type {Specification} from "./explore.js"

/** Fences of the new slice begin here, where they have a range of their own. */
const FENCE_RANGE = 10
/** Successors of the placer before, none of which needs to know of the new slice. */
const MAX_SUCCESSIONS = 2

export interface SlicesState {
	/** The highest fence that the executor has seen. */
	readonly seenFence: number
	/** Of the slice that has had the executor so far. */
	readonly oldFence: number
	/** Its placer has heard of the new slice, and gives the executor up. */
	readonly hasOldPlacerHeard: boolean
	/** The fence of its start order on the way; 0 without one. */
	readonly inFlightFence: number
	readonly oldRuns: boolean
	/** Of the new slice; 0 before it is claimed. */
	readonly newFence: number
	/** A hold of the new slice's placer was answered, with a list of what runs. */
	readonly hasNewHeld: boolean
	/** The new slice's placer knows of the old run there. */
	readonly isOldRunKnown: boolean
	readonly newRuns: boolean
	/** The executor has refused the placer of the slice that it is in. */
	readonly isOwnRefused: boolean
	/** Another slice was added later, and the executor went back. */
	readonly hasReturned: boolean
}

export interface SlicesGuards {
	/** The fences of a slice lie above all fences of those below it. */
	readonly ownRange: boolean
	/** Room is used only after a hold has listed what runs. */
	readonly holdFirst: boolean
	/** When a slice is added, executors go to that one alone. */
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

/** Of a slice that nobody has claimed before. */
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
