/**
 * Configuration changes: two operators write by compare-and-swap and may lose the answers; two
 * instances learn versions from the store, from stale reads and from each other.
 */
import type {Specification} from "./explore.js"

export interface ConfigState {
	/** The operator that wrote each accepted version, from version 1. */
	readonly accepted: readonly number[]
	/** The version that each operator read, and the state of its change. */
	readonly operators: readonly {
		readonly read: number
		readonly state: "idle" | "writing" | "in doubt" | "accepted" | "conflict"
	}[]
	/** The version in force at each instance. */
	readonly inForce: readonly number[]
	/** Whether any instance ever replaced a version by an older one. */
	readonly reverted: boolean
}

export interface ConfigGuards {
	/** An instance applies only a newer version. */
	readonly versionCheck: boolean
	/** The store accepts a change only if the current version is the one that the operator read. */
	readonly compareAndSwap: boolean
	/** After a lost answer, the operator reads back who wrote the version. */
	readonly readBack: boolean
}

export const ALL_CONFIG_GUARDS: ConfigGuards = Object.freeze({
	versionCheck: true,
	compareAndSwap: true,
	readBack: true,
})

export type ConfigEvent =
	| {readonly type: "read"; readonly operator: number}
	| {readonly type: "storeTakes"; readonly operator: number; readonly answers: boolean}
	| {readonly type: "resolve"; readonly operator: number}
	/** The version is the newest, or an older one from a stale read or a peer. */
	| {readonly type: "learn"; readonly instance: number; readonly version: number}

const MAX_VERSION = 3

const INITIAL = Object.freeze<ConfigState>({
	accepted: [],
	operators: [
		{read: 0, state: "idle"},
		{read: 0, state: "idle"},
	],
	inForce: [0, 0],
	reverted: false,
})

function withOperator(
	state: ConfigState,
	index: number,
	change: Partial<ConfigState["operators"][number]>,
): ConfigState {
	const operators = state.operators.map((old, i) => (i === index ? {...old, ...change} : old))
	return {...state, operators}
}

function storeTakes(state: ConfigState, operator: number, answers: boolean, guards: ConfigGuards) {
	const {read} = state.operators[operator]!
	const isLatest = state.accepted.length === read
	if (!isLatest && guards.compareAndSwap) {
		return withOperator(state, operator, {state: answers ? "conflict" : "in doubt"})
	}
	const accepted = [...state.accepted.slice(0, read), operator]
	return withOperator({...state, accepted}, operator, {state: answers ? "accepted" : "in doubt"})
}

function resolve(state: ConfigState, operator: number, guards: ConfigGuards): ConfigState {
	const {read} = state.operators[operator]!
	const isOwnWrite = state.accepted[read] === operator
	return withOperator(state, operator, {
		state: !guards.readBack || isOwnWrite ? "accepted" : "conflict",
	})
}

function learn(state: ConfigState, instance: number, version: number, guards: ConfigGuards) {
	const current = state.inForce[instance]!
	if (version <= current && guards.versionCheck) return state
	const inForce = state.inForce.map((old, i) => (i === instance ? version : old))
	return {...state, inForce, reverted: state.reverted || version < current}
}

function next(state: ConfigState, event: ConfigEvent, guards: ConfigGuards): ConfigState {
	switch (event.type) {
		case "read":
			return withOperator(state, event.operator, {
				read: state.accepted.length,
				state: "writing",
			})
		case "storeTakes":
			return storeTakes(state, event.operator, event.answers, guards)
		case "resolve":
			return resolve(state, event.operator, guards)
		case "learn":
			return learn(state, event.instance, event.version, guards)
	}
}

function enabled(state: ConfigState): readonly ConfigEvent[] {
	const events: ConfigEvent[] = []
	state.operators.forEach((item, operator) => {
		if (item.state === "idle" && state.accepted.length < MAX_VERSION) {
			events.push({type: "read", operator})
		}
		if (item.state === "writing") {
			events.push({type: "storeTakes", operator, answers: true})
			events.push({type: "storeTakes", operator, answers: false})
		}
		if (item.state === "in doubt") events.push({type: "resolve", operator})
	})
	for (let instance = 0; instance < state.inForce.length; instance++) {
		for (let version = 1; version <= state.accepted.length; version++) {
			events.push({type: "learn", instance, version})
		}
	}
	return events
}

function violation(state: ConfigState): string | undefined {
	if (state.reverted) return "a configuration in force went back"
	const isLost = state.operators.some(
		(item, operator) => item.state === "accepted" && state.accepted[item.read] !== operator,
	)
	return isLost ? "an accepted change was lost" : undefined
}

export function configProtocol(
	guards: ConfigGuards = ALL_CONFIG_GUARDS,
): Specification<ConfigState, ConfigEvent> {
	return {
		initial: INITIAL,
		next: (state, event) => next(state, event, guards),
		enabled,
		violation,
	}
}
