/**
 * Writes outcomes as HTTP responses: a value, or problem details (RFC 9457) with the error kind,
 * whether the work ran, and when to retry.
 */
import {
	ERROR_ANSWERS,
	isErrorKind,
	type DispatchError,
	type ErrorAnswer,
	type Outcome,
} from "@cottonwood/core"
import type {Context} from "hono"
import type {ContentfulStatusCode} from "hono/utils/http-status"

export interface Problem {
	readonly type: string
	readonly title: string
	readonly status: number
	readonly kind: string
	readonly detail: string
	/** Whether the work ran: `not run`, `unknown` or `failed`. */
	readonly ran: string
	/** What the caller may do next: retry with the same id, use a new id, or change the request. */
	readonly next: string
	readonly id?: string
	readonly retryAfterMs?: number
}

const MS_PER_SECOND = 1_000
const PROBLEM_TYPE = "application/problem+json"

function answerOf(kind: string): ErrorAnswer {
	return ERROR_ANSWERS[isErrorKind(kind) ? kind : "internal"]
}

export function toProblem(outcome: Outcome & {readonly ok: false}, id?: string): Problem {
	const {status, next, title} = answerOf(outcome.kind)
	return {
		type: `urn:cottonwood:error:${outcome.kind}`,
		title,
		status,
		kind: outcome.kind,
		detail: outcome.detail,
		ran: outcome.ran,
		next,
		...(id === undefined ? {} : {id}),
		...(outcome.retryAfterMs === undefined ? {} : {retryAfterMs: outcome.retryAfterMs}),
	}
}

export function sendProblem(c: Context, outcome: Outcome & {readonly ok: false}, id?: string) {
	const problem = toProblem(outcome, id)
	const headers: Record<string, string> = {"content-type": PROBLEM_TYPE}
	if (problem.retryAfterMs !== undefined) {
		headers["retry-after"] = String(Math.ceil(problem.retryAfterMs / MS_PER_SECOND))
	}
	return c.body(JSON.stringify(problem), problem.status as ContentfulStatusCode, headers)
}

export function sendError(c: Context, error: DispatchError, id?: string) {
	const {kind, detail, ran, retryAfterMs} = error
	return sendProblem(c, {ok: false, kind, detail, ran, retryAfterMs}, id)
}

export function sendOutcome(c: Context, outcome: Outcome, id: string) {
	if (!outcome.ok) return sendProblem(c, outcome, id)
	return c.json({id, status: "complete", value: outcome.value})
}
