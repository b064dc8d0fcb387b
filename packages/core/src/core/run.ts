/**
 * Runs one submission: its tasks, their retries, and the combined outcome.
 *
 * Retries are made only here. An attempt that certainly did not start is placed again until the
 * deadline. An attempt that ran or may have run is retried only if it is repeatable, from the
 * team's retry budget.
 */
import {DispatchError, type ErrorKind} from "../utils/errors.js"
import {backoffMs} from "../utils/backoff.js"
import {createCancellation, type Cancellation} from "../utils/cancellation.js"
import type {Clock} from "../utils/clock.js"
import type {Outcome, RunStatus, Submission, SubmissionKey} from "../types/types-external.js"
import type {RetryBudget} from "./budget.js"
import type {Estimates} from "./estimates.js"
import type {Explainer} from "./explain.js"
import type {Attempt, AttemptResult} from "./scheduler/attempt.js"

const RETRY_BASE_MS = 5
const RETRY_CAP_MS = 250

/** The part of an attempt that is the same for every try of a task. */
export type TaskPlan = Omit<
	Attempt,
	"id" | "avoid" | "isForwarded" | "key" | "task" | "team" | "deadlineAt"
>

export interface RunDeps {
	readonly clock: Clock
	readonly random: () => number
	readonly submit: (attempt: Attempt, done: (result: AttemptResult) => void) => void
	readonly cancel: (key: SubmissionKey) => void
	readonly nextAttemptId: (key: SubmissionKey, task: number) => string
	readonly budgetOf: (team: string, pool: string) => RetryBudget
	readonly maxRetries: () => number
	readonly isHedging: () => boolean
	readonly estimates: Estimates
	readonly explainer: Explainer
	readonly count: (name: string) => void
}

type TaskEnd =
	| {readonly ok: true; readonly value: unknown}
	| {readonly ok: false; readonly kind: ErrorKind; readonly detail: string; readonly ran: RunStatus}

interface TaskRun {
	readonly plan: TaskPlan
	readonly submission: Submission
	readonly index: number
	readonly cancellation: Cancellation
}

function makeAttempt(deps: RunDeps, run: TaskRun, avoid: readonly string[]): Attempt {
	const {key, team, deadlineAt} = run.submission.head
	return {
		...run.plan,
		id: deps.nextAttemptId(key, run.index),
		key,
		task: run.index,
		team,
		deadlineAt,
		avoid,
		isForwarded: false,
	}
}

function submitAttempt(deps: RunDeps, attempt: Attempt): Promise<AttemptResult> {
	return new Promise(resolve => deps.submit(attempt, resolve))
}

/** Runs an attempt, and a second one when it is late and hedging is on; the first result counts. */
async function runHedged(deps: RunDeps, run: TaskRun, attempt: Attempt): Promise<AttemptResult> {
	const lateMs = deps.estimates.lateMs(attempt.kind)
	const first = submitAttempt(deps, attempt)
	if (!deps.isHedging() || !attempt.mayRetry || lateMs === undefined) return first
	let cancelTimer: (() => void) | undefined
	const second = new Promise<AttemptResult>(resolve => {
		cancelTimer = deps.clock.schedule(lateMs, () => {
			if (run.cancellation.isCancelled() || !deps.budgetOf(attempt.team, attempt.pool).spend())
				return
			deps.count("wasted.hedge")
			deps.explainer.add(attempt.key, "hedged", `task ${run.index} is later than ${lateMs} ms`)
			void submitAttempt(deps, makeAttempt(deps, run, attempt.avoid)).then(result => {
				if (result.type === "ok") resolve(result)
			})
		})
	})
	const result = await Promise.race([first, second])
	cancelTimer?.()
	return result
}

function endOf(result: Exclude<AttemptResult, {type: "ok"}>, started: boolean): TaskEnd {
	const {detail} = result
	if (result.type === "failed") return {ok: false, kind: "task_failed", detail, ran: "failed"}
	if (result.type === "unknown") return {ok: false, kind: "outcome_unknown", detail, ran: "unknown"}
	const ran: RunStatus = started ? "failed" : "not run"
	const kind = result.reason === "cancelled" ? "cancelled" : "deadline_exceeded"
	return {ok: false, kind, detail, ran}
}

async function runTask(deps: RunDeps, run: TaskRun): Promise<TaskEnd> {
	const {key, team, deadlineAt} = run.submission.head
	const budget = deps.budgetOf(team, run.plan.pool)
	budget.earn()
	let started = false
	let retries = 0
	const avoid: string[] = []
	for (let tries = 0; ; tries++) {
		const attempt = makeAttempt(deps, run, [...avoid])
		const result = await runHedged(deps, run, attempt)
		if (result.type === "ok") return {ok: true, value: result.value}
		const isOver = run.cancellation.isCancelled() || deps.clock.now() >= deadlineAt
		if (result.type === "not started") {
			if (isOver || result.reason === "cancelled" || result.reason === "deadline") {
				return endOf(result, started)
			}
			deps.count(`retry.${result.reason.replace(" ", "_")}`)
			await deps.clock.sleep(backoffMs(tries, RETRY_BASE_MS, RETRY_CAP_MS, deps.random))
			continue
		}
		started = true
		const mayRetry = run.plan.mayRetry && !isOver && retries < deps.maxRetries()
		if (!mayRetry || !budget.spend()) return endOf(result, started)
		retries++
		if (result.target) avoid.push(result.target)
		deps.count(`retry.${result.type}`)
		deps.explainer.add(key, "retried", `task ${run.index}: ${result.type}, ${result.detail}`)
		await deps.clock.sleep(backoffMs(retries, RETRY_BASE_MS, RETRY_CAP_MS, deps.random))
	}
}

function failureOf(submission: Submission, index: number, end: TaskEnd & {ok: false}): Outcome {
	const detail = submission.type === "job" ? `task ${index}: ${end.detail}` : end.detail
	const kind =
		submission.type === "request" && end.kind === "task_failed" ? "executor_failed" : end.kind
	const error = new DispatchError(kind, detail)
	return {ok: false, kind: error.kind, detail, ran: end.ran}
}

/** Returns what is certain about a failed job: "not run" only when none of its tasks ran. */
function jobRunStatus(ends: readonly (TaskEnd | undefined)[]): RunStatus {
	const seen = ends.map(end => (end === undefined ? "unknown" : end.ok ? "failed" : end.ran))
	if (seen.every(ran => ran === "not run")) return "not run"
	return seen.includes("unknown") ? "unknown" : "failed"
}

/**
 * Runs all tasks of a submission and returns every task's value in order, or the first failure.
 *
 * @example const outcome = await runSubmission(deps, submission, plans, cancellation)
 */
export async function runSubmission(
	deps: RunDeps,
	submission: Submission,
	plans: readonly TaskPlan[],
	cancellation: Cancellation,
): Promise<Outcome> {
	const {key} = submission.head
	const stop = createCancellation()
	const stopAll = () => {
		stop.cancel()
		deps.cancel(key)
	}
	const unsubscribe = cancellation.onCancel(stopAll)
	const ends = new Array<TaskEnd | undefined>(plans.length)
	let firstFailure: number | undefined
	await Promise.all(
		plans.map(async (plan, index) => {
			const end = await runTask(deps, {plan, submission, index, cancellation: stop})
			ends[index] = end
			if (end.ok || firstFailure !== undefined) return
			firstFailure = index
			if (plans.length > 1) stopAll()
		}),
	)
	unsubscribe()
	if (firstFailure === undefined) {
		const values = ends.map(end => (end as TaskEnd & {ok: true}).value)
		return {ok: true, value: submission.type === "job" ? values : values[0]}
	}
	if (cancellation.isCancelled()) {
		return {ok: false, kind: "cancelled", detail: "cancelled while it ran", ran: jobRunStatus(ends)}
	}
	const failed = ends[firstFailure] as TaskEnd & {ok: false}
	const outcome = failureOf(submission, firstFailure, failed)
	return {...outcome, ran: plans.length > 1 ? jobRunStatus(ends) : failed.ran} as Outcome
}
