/**
 * Converts errors to outcomes, and outcomes to the form that the journal keeps. Used by the owner
 * and by entry instances.
 */
import type {KeptOutcome} from "../types/types-internal.js"
import type {Outcome, RunStatus} from "../types/types-external.js"
import {DispatchError, ERROR_ANSWERS, isErrorKind, type ErrorKind} from "../utils/errors.js"

/** Outcomes with a longer JSON text are not kept in the journal. */
const MAX_KEPT_CHARACTERS = 4_096

/** Converts an error to an outcome. */
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

/** Returns an outcome as the journal keeps it. */
export function keptOutcome(outcome: Outcome): KeptOutcome {
	return JSON.stringify(outcome).length <= MAX_KEPT_CHARACTERS ? outcome : "too large"
}

/** Returns whether a resubmission with the same id may get another outcome. */
export function isRetryableWithSameId(outcome: Outcome): boolean {
	return !outcome.ok && isErrorKind(outcome.kind) && ERROR_ANSWERS[outcome.kind].next === "same id"
}
