/**
 * Exhaustive state-space search over a specification: every state that any order of events can reach.
 * The tests of the specifications use it, and tests that replay its traces against real code.
 */
import {getAdjacencyMap, getShortestPaths} from "@xstate/graph"
import {fromTransition} from "xstate"

/** A specification: a pure transition function, the events that a state allows, and an invariant. */
export interface Specification<State, Event extends {readonly type: string}> {
	readonly initial: State
	readonly next: (state: State, event: Event) => State
	readonly enabled: (state: State) => readonly Event[]
	/** Names the violated invariant; undefined for a valid state. */
	readonly violation: (state: State) => string | undefined
}

export interface Exploration<Event> {
	readonly states: number
	/** A shortest sequence of events to a state that violates the invariant. */
	readonly violation?: {readonly what: string; readonly events: readonly Event[]}
}

const STATE_LIMIT = 60_000

interface Snapshot<State> {
	readonly context: State
}

function toLogic<State, Event extends {readonly type: string}>(spec: Specification<State, Event>) {
	return fromTransition(
		(state: State, event: Event) =>
			spec.violation(state) === undefined ? spec.next(state, event) : state,
		spec.initial as never,
	)
}

function traversalOptions<State, Event extends {readonly type: string}>(
	spec: Specification<State, Event>,
) {
	return {
		events: (snapshot: unknown) => {
			const state = (snapshot as Snapshot<State>).context
			return spec.violation(state) === undefined ? [...spec.enabled(state)] : []
		},
		serializeState: (snapshot: unknown) => JSON.stringify((snapshot as Snapshot<State>).context),
		serializeEvent: (event: unknown) => JSON.stringify(event),
		limit: STATE_LIMIT,
	}
}

/** Visits all reachable states; throws when there are more than STATE_LIMIT. */
export function explore<State, Event extends {readonly type: string}>(
	spec: Specification<State, Event>,
): Exploration<Event> {
	const logic = toLogic(spec)
	const options = traversalOptions(spec)
	const map = getAdjacencyMap(logic as never, options as never)
	const states = Object.values(map).map(
		item => (item as unknown as {state: Snapshot<State>}).state.context,
	)
	const broken = states.find(state => spec.violation(state) !== undefined)
	if (broken === undefined) return {states: states.length}
	return {states: states.length, violation: tracesTo(spec, state => spec.violation(state))[0]!}
}

/** Returns a shortest sequence of events to each state for which `describe` returns a text. */
export function tracesTo<State, Event extends {readonly type: string}>(
	spec: Specification<State, Event>,
	describe: (state: State) => string | undefined,
): readonly {readonly what: string; readonly events: readonly Event[]}[] {
	const paths = getShortestPaths(toLogic(spec) as never, traversalOptions(spec) as never)
	return paths.flatMap(path => {
		const what = describe((path.state as unknown as Snapshot<State>).context)
		if (what === undefined) return []
		const events = path.steps
			.map(step => step.event as unknown as Event)
			.filter(event => event.type !== "xstate.init")
		return [{what, events}]
	})
}
