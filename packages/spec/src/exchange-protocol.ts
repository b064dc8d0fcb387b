/**
 * Request and answer between the dispatcher and an endpoint: two attempts wait for answers that may come
 * late, twice, or on the other attempt's connection.
 */
import type {Specification} from "./explore.js"

export interface ExchangeState {
	/** Index of the attempt whose answer each attempt accepted; -1 while an attempt waits. */
	readonly taken: readonly number[]
	/** Answers in flight: the attempt they belong to, and the attempt at which they arrive. */
	readonly answers: readonly {readonly of: number; readonly at: number}[]
	readonly ran: readonly boolean[]
}

export interface ExchangeGuards {
	/** An answer is accepted only by the attempt whose id it carries. */
	readonly attemptId: boolean
}

export type ExchangeEvent =
	| {readonly type: "run"; readonly attempt: number; readonly at: number}
	| {readonly type: "arrive"; readonly index: number; readonly again: boolean}

const INITIAL: ExchangeState = Object.freeze({
	taken: [-1, -1],
	answers: [],
	ran: [false, false],
})

function arrive(state: ExchangeState, index: number, again: boolean, guards: ExchangeGuards) {
	const answer = state.answers[index]!
	const answers = again ? state.answers : state.answers.filter((_, i) => i !== index)
	const isWaiting = state.taken[answer.at] === -1
	const isOwnAnswer = !guards.attemptId || answer.of === answer.at
	if (!isWaiting || !isOwnAnswer) return {...state, answers}
	return {
		...state,
		answers,
		taken: state.taken.map((old, i) => (i === answer.at ? answer.of : old)),
	}
}

export function exchangeProtocol(
	guards: ExchangeGuards = {attemptId: true},
): Specification<ExchangeState, ExchangeEvent> {
	return {
		initial: INITIAL,
		next(state, event) {
			if (event.type === "arrive") return arrive(state, event.index, event.again, guards)
			const ran = state.ran.map((old, i) => old || i === event.attempt)
			return {...state, ran, answers: [...state.answers, {of: event.attempt, at: event.at}]}
		},
		enabled(state) {
			const runs = state.ran.flatMap((ran, attempt) =>
				ran ? [] : [0, 1].map(at => ({type: "run" as const, attempt, at})),
			)
			const arrivals = state.answers.flatMap((_, index) =>
				[true, false].map(again => ({type: "arrive" as const, index, again})),
			)
			return [...runs, ...arrivals]
		},
		violation: state =>
			state.taken.some((of, at) => of !== -1 && of !== at)
				? "an attempt took another's answer"
				: undefined,
	}
}
