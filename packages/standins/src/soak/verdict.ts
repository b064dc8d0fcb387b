/**
 * The verdict on a run: the promises, judged by the starts that executors and workers recorded and
 * by the answers that callers got.
 */
import {countStarts, type Start} from "../targets/judge.js"
import type {CallerAnswer} from "../fleet/client.js"

/** What was sent under one id, and all that came back. */
export interface Exchange {
	readonly caller: string
	readonly id: string
	readonly type: "request" | "job"
	readonly tasks: number
	readonly repeatable: boolean
	/** The whole value that only this submission can have. */
	readonly isOwnValue: (value: unknown) => boolean
	readonly answers: CallerAnswer[]
	/** Calls that broke before an answer came. */
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

/** Judges all exchanges of a run. */
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
