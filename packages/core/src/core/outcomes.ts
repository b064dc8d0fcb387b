/**
 * Outcomes made from errors, and outcomes as the journal keeps them.
 */
import type {KeptOutcome} from "../types/types-internal.js"
import type {Outcome, RunStatus} from "../types/types-external.js"
import {DispatchError, ERROR_ANSWERS, isErrorKind, type ErrorKind} from "../utils/errors.js"

/** An answer longer than this, in characters, is not kept in the journal. */
const MAX_KEPT_ANSWER = 4_096

/** Turns an error into the outcome that carries its answer. */
export function outcomeOf(error: DispatchError): Outcome {
	return {
		ok: false,
		kind: error.kind,
		detail: error.detail,
		ran: error.ran,
		retryAfterMs: error.retryAfterMs,
	}
}

export function failure(
	kind: ErrorKind,
	detail: string,
	extras?: {readonly ran?: RunStatus; readonly retryAfterMs?: number},
): Outcome {
	return outcomeOf(new DispatchError(kind, detail, extras))
}

/** Returns what the journal keeps of an outcome. */
export function keptOutcome(outcome: Outcome): KeptOutcome {
	return JSON.stringify(outcome).length <= MAX_KEPT_ANSWER ? outcome : "too large"
}

/** Says whether another try with the same id may find more. */
export function isRetryableWithSameId(outcome: Outcome): boolean {
	return !outcome.ok && isErrorKind(outcome.kind) && ERROR_ANSWERS[outcome.kind].next === "same id"
}
