/**
 * Checks the delivery guarantees after a product soak, from the starts that executors and workers recorded and the
 * answers that callers received.
 */
import {countStarts, type Start} from "../targets/judge.js"
import type {CallerAnswer} from "../fleet/client.js"

/** One submission id with every send and answer. */
export interface Exchange {
	readonly caller: string
	readonly id: string
	readonly type: "request" | "job"
	readonly tasks: number
	readonly repeatable: boolean
	/** Whether the value is the complete result of this submission. */
	readonly isOwnValue: (value: unknown) => boolean
	readonly answers: CallerAnswer[]
	/** Calls that failed without an answer. */
	broken: number
	sent: number
}

export interface Verdict {
	readonly submissions: number
	readonly sent: number
	readonly complete: number
	readonly notRun: number
	readonly unknown: number
	readonly failed: number
	readonly unanswered: number
	readonly violations: readonly string[]
}

function lastAnswer(exchange: Exchange): CallerAnswer | undefined {
	return exchange.answers.at(-1)
}

const isComplete = (answer: CallerAnswer) => answer.body.status === "complete"
const isNotRun = (answer: CallerAnswer) => answer.body.ran === "not run"

function violationsOf(exchange: Exchange, counts: ReadonlyMap<string, number>): readonly string[] {
	const found: string[] = []
	const key = `${encodeURIComponent(exchange.caller)}/${encodeURIComponent(exchange.id)}`
	const starts = Array.from({length: exchange.tasks}, (_, i) => counts.get(`${key}#${i}`) ?? 0)
	const total = starts.reduce((sum, count) => sum + count, 0)
	if (!exchange.repeatable && starts.some(count => count > 1)) {
		found.push(`${key}: a task started twice (${starts.join(",")})`)
	}
	if (!exchange.repeatable && total > 0 && exchange.answers.some(isNotRun)) {
		found.push(`${key}: answered "not run", and it started`)
	}
	const complete = exchange.answers.filter(isComplete)
	if (complete.some(answer => !exchange.isOwnValue(answer.body.value))) {
		found.push(`${key}: a complete answer is not its own whole answer`)
	}
	if (complete.length > 0 && starts.some(count => count === 0)) {
		found.push(`${key}: answered complete, and a task never started`)
	}
	return found
}

/** Counts the outcomes of all submissions and lists the violated guarantees. */
export function judgeExchanges(exchanges: readonly Exchange[], starts: readonly Start[]): Verdict {
	const counts = countStarts(starts)
	const last = exchanges.map(lastAnswer)
	const count = (isWanted: (answer: CallerAnswer) => boolean) =>
		last.filter(answer => answer !== undefined && isWanted(answer)).length
	return {
		submissions: exchanges.length,
		sent: exchanges.reduce((sum, exchange) => sum + exchange.sent, 0),
		complete: count(isComplete),
		notRun: count(isNotRun),
		unknown: count(answer => answer.body.ran === "unknown"),
		failed: count(answer => answer.body.ran === "failed"),
		unanswered: last.filter(answer => answer === undefined).length,
		violations: exchanges.flatMap(exchange => violationsOf(exchange, counts)),
	}
}
