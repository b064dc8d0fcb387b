/**
 * The error kinds. Each has an HTTP status, what is certain about the work (`ran`), and what the
 * caller should do next. Entry instances answer errors by this table.
 */
import {err, type Result} from "neverthrow"
import type {RunStatus} from "../types/types-external.js"

/**
 * What a caller may do after an error: resubmit with the same or a new id, change the request, or
 * nothing.
 */
export type NextStep = "same id" | "new id" | "change" | "none"

export interface ErrorAnswer {
	/** HTTP status code. */
	readonly status: number
	/** What is certain about the work, unless the error overrides it. */
	readonly ran: RunStatus
	readonly next: NextStep
	readonly title: string
}

const answer = (status: number, ran: RunStatus, next: NextStep, title: string): ErrorAnswer =>
	Object.freeze({status, ran, next, title})

export const ERROR_ANSWERS = Object.freeze({
	not_json: answer(400, "not run", "change", "The body is not JSON"),
	invalid_request: answer(400, "not run", "change", "The request does not match its schema"),
	invalid_selector: answer(400, "not run", "change", "A label selector does not parse"),
	deadline_passed: answer(400, "not run", "change", "The deadline is already past"),
	body_too_large: answer(413, "not run", "change", "The body is too large"),
	not_found: answer(404, "unknown", "none", "No such submission is known"),
	unknown_endpoint: answer(404, "not run", "change", "The configuration has no such endpoint"),
	unknown_caller: answer(403, "not run", "change", "No team of the configuration has this caller"),
	id_reused: answer(422, "not run", "change", "The id was used with another body"),
	id_expired: answer(410, "not run", "new id", "The id is older than the retention time"),
	cannot_run: answer(422, "not run", "change", "No worker of the fleet can ever run a task"),
	quota_exceeded: answer(429, "not run", "new id", "The team is at its quota"),
	overloaded: answer(503, "not run", "new id", "The queue is full"),
	deadline_unreachable: answer(503, "not run", "new id", "The deadline cannot be met"),
	no_capacity: answer(503, "not run", "new id", "No instance can take the work now"),
	no_configuration: answer(503, "unknown", "same id", "No configuration is in force yet"),
	draining: answer(503, "unknown", "same id", "The instance is stopping"),
	moved: answer(503, "unknown", "same id", "The owner of the submission has changed"),
	store_unavailable: answer(503, "unknown", "same id", "The key-value service cannot be reached"),
	owner_unreachable: answer(
		503,
		"unknown",
		"same id",
		"The owner of the submission is unreachable",
	),
	outcome_unknown: answer(409, "unknown", "none", "The work may have run; its answer is lost"),
	executor_failed: answer(502, "failed", "none", "The endpoint answered with a failure"),
	answer_invalid: answer(502, "unknown", "none", "The endpoint's answer was not whole"),
	task_failed: answer(502, "failed", "none", "A task of the job failed"),
	cancelled: answer(409, "unknown", "none", "The submission was cancelled"),
	deadline_exceeded: answer(504, "unknown", "same id", "The deadline passed before the answer"),
	wait_ended: answer(202, "unknown", "same id", "The submission is not finished yet"),
	config_conflict: answer(409, "not run", "change", "Another change won"),
	config_invalid: answer(422, "not run", "change", "The configuration does not match its schema"),
	config_unknown: answer(503, "unknown", "same id", "Whether the change took effect is not known"),
	internal: answer(500, "unknown", "same id", "An unexpected error"),
} as const satisfies Record<string, ErrorAnswer>)

export type ErrorKind = keyof typeof ERROR_ANSWERS

interface ErrorExtras {
	/** Overrides the value of the kind. */
	readonly ran?: RunStatus
	/** When the caller should retry, in milliseconds. */
	readonly retryAfterMs?: number
}

/** An error of a kind, which selects its answer. */
export class DispatchError extends Error {
	readonly ran: RunStatus
	readonly retryAfterMs: number | undefined

	constructor(
		readonly kind: ErrorKind,
		readonly detail: string,
		extras: ErrorExtras = {},
	) {
		super(`${kind}: ${detail}`)
		this.name = "DispatchError"
		this.ran = extras.ran ?? ERROR_ANSWERS[kind].ran
		this.retryAfterMs = extras.retryAfterMs
	}
}

/**
 * Returns a failed result with a `DispatchError`.
 *
 * @example return fail("overloaded", "2000 requests wait", {retryAfterMs: 800})
 */
export function fail<T = never>(
	kind: ErrorKind,
	detail: string,
	extras?: ErrorExtras,
): Result<T, DispatchError> {
	return err(new DispatchError(kind, detail, extras))
}

export function isErrorKind(kind: string): kind is ErrorKind {
	return Object.hasOwn(ERROR_ANSWERS, kind)
}
