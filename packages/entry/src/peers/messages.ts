/**
 * Converts between the core's types and the messages between instances.
 */
import {
	parseSelector,
	type Attempt,
	type AttemptResult,
	type NotStartedReason,
	type Outcome,
	type RunStatus,
} from "@cottonwood/core"
import {
	packJson,
	unpackJson,
	type AttemptMessage,
	type AttemptMessage__Output,
	type OutcomeReply,
	type OutcomeReply__Output,
	type RunEvent,
	type RunEvent__Output,
} from "@cottonwood/wire"

export function toOutcomeReply(outcome: Outcome | undefined): OutcomeReply {
	if (outcome === undefined) return {known: false}
	if (outcome.ok) return {known: true, ok: true, value: packJson(outcome.value)}
	const {kind, detail, ran, retryAfterMs} = outcome
	return {known: true, ok: false, kind, detail, ran, retryAfterMs: retryAfterMs ?? 0}
}

export function fromOutcomeReply(reply: OutcomeReply__Output): Outcome | undefined {
	if (!reply.known) return undefined
	if (reply.ok) return {ok: true, value: unpackJson(reply.value)}
	const {kind, detail, retryAfterMs} = reply
	const base = {ok: false as const, kind, detail, ran: reply.ran as RunStatus}
	return retryAfterMs > 0 ? {...base, retryAfterMs} : base
}

/** An attempt's selectors as text, as peers receive them. */
export interface SelectorTexts {
	readonly selector: string
	readonly prefer: string
}

export function toAttemptMessage(
	attempt: Attempt,
	texts: SelectorTexts,
	remainingMs: number,
): AttemptMessage {
	const {need} = attempt
	return {
		id: attempt.id,
		key: attempt.key,
		task: attempt.task,
		team: attempt.team,
		pool: attempt.pool,
		kind: attempt.kind,
		cpu: need.cpu,
		memoryMb: need.memoryMb,
		accelerators: need.accelerators,
		...texts,
		payload: packJson(attempt.payload),
		remainingMs,
		costMs: attempt.costMs,
		spreadRacks: attempt.spreadRacks,
		mayRetry: attempt.mayRetry,
		avoid: [...attempt.avoid],
	}
}

/** Converts an attempt that a peer forwarded; the peer has checked its selectors. */
export function fromAttemptMessage(message: AttemptMessage__Output, now: number): Attempt {
	const selector = parseSelector(message.selector).unwrapOr([])
	const prefer = parseSelector(message.prefer).unwrapOr([])
	const need = {
		cpu: message.cpu,
		memoryMb: message.memoryMb,
		accelerators: message.accelerators,
	}
	return {
		id: message.id,
		key: message.key,
		task: message.task,
		team: message.team,
		pool: message.pool,
		kind: message.kind,
		need,
		selector,
		prefer,
		payload: unpackJson(message.payload),
		deadlineAt: now + message.remainingMs,
		costMs: message.costMs,
		shape: `forwarded:${message.id}`,
		spreadRacks: message.spreadRacks,
		mayRetry: message.mayRetry,
		avoid: message.avoid,
		isForwarded: true,
		mayLeaveDomain: false,
	}
}

export function toRunEvent(attempt: Attempt, result: AttemptResult, free: number): RunEvent {
	const base = {id: attempt.id, type: result.type, pool: attempt.pool, free}
	switch (result.type) {
		case "ok":
			return {...base, value: packJson(result.value), runMs: result.runMs}
		case "not started":
			return {...base, reason: result.reason, detail: result.detail}
		case "failed":
		case "unknown":
			return {...base, detail: result.detail, target: result.target ?? ""}
	}
}

export function fromRunEvent(event: RunEvent__Output): AttemptResult {
	const {detail, target} = event
	switch (event.type) {
		case "ok":
			return {type: "ok", value: unpackJson(event.value), runMs: event.runMs}
		case "not started":
			return {type: "not started", reason: event.reason as NotStartedReason, detail}
		case "failed":
			return {type: "failed", detail, target}
		default:
			return {type: "unknown", detail, target}
	}
}
