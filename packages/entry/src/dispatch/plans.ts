/**
 * Turns a submission into task plans, and checks against the listed targets whether these can run.
 * Used at admission and at execution.
 */
import {
	endpointPool,
	fail,
	isLargeEnough,
	isMatch,
	parseSelector,
	poolOf,
	addJitterMs,
	WORKER_POOL,
	type Config,
	type DispatchError,
	type Estimates,
	type Resources,
	type Selector,
	type Submission,
	type Target,
	type TaskBody,
	type TaskPlan,
} from "@cottonwood/core"
import {ok, type Result} from "neverthrow"

const SLOT: Resources = Object.freeze({cpu: 1, memoryMb: 0, accelerators: 0})

/** Cache of parsed selectors by text; cleared when it holds `MAX_PARSED_SELECTORS`. */
const parsedSelectors = new Map<string, Selector>()
const selectorTexts = new WeakMap<Selector, string>()
const MAX_PARSED_SELECTORS = 1_000

/** Returns the parsed selector; invalid text gives an empty one. */
export function selectorOf(text: string): Selector {
	let selector = parsedSelectors.get(text)
	if (!selector) {
		if (parsedSelectors.size >= MAX_PARSED_SELECTORS) parsedSelectors.clear()
		selector = parseSelector(text).unwrapOr([])
		parsedSelectors.set(text, selector)
		selectorTexts.set(selector, text)
	}
	return selector
}

/** Returns the text of a selector from `selectorOf`, or an empty text for any other selector. */
export function selectorText(selector: Selector): string {
	return selectorTexts.get(selector) ?? ""
}

function joinSelectors(first: string, second: string): string {
	return [first, second].filter(text => text.trim() !== "").join(",")
}

function planTask(
	task: TaskBody,
	config: Config,
	estimates: Estimates,
	spreadRacks: boolean,
	isRepeatable: boolean,
): TaskPlan {
	const selector = joinSelectors(config.workers.selector, task.selector ?? "")
	const prefer = task.prefer ?? ""
	const {cpu, memoryMb, accelerators} = task.resources
	return {
		pool: WORKER_POOL,
		kind: `task:${task.kind}`,
		need: task.resources,
		selector: selectorOf(selector),
		prefer: selectorOf(prefer),
		shape: `${cpu}/${memoryMb}/${accelerators}/${selector}/${prefer}`,
		payload: task.payload,
		costMs: estimates.expectedMs(`task:${task.kind}`) * cpu,
		spreadRacks,
		mayRetry: task.repeatable ?? isRepeatable,
		mayLeaveDomain: config.workers.spill,
	}
}

/** Returns one plan per task of a job, or a single plan for a request. */
export function planSubmission(
	submission: Submission,
	config: Config,
	estimates: Estimates,
): readonly TaskPlan[] {
	const {repeatable} = submission.head
	if (submission.type === "job") {
		const {tasks, spreadRacks} = submission.job
		return tasks.map(task => planTask(task, config, estimates, spreadRacks ?? false, repeatable))
	}
	const {endpoint, payload} = submission.request
	const settings = config.endpoints[endpoint]
	const kind = `request:${endpoint}`
	return [
		{
			pool: endpointPool(endpoint),
			kind,
			need: SLOT,
			selector: selectorOf(settings?.selector ?? ""),
			prefer: [],
			shape: endpoint,
			payload,
			costMs: estimates.expectedMs(kind),
			spreadRacks: false,
			mayRetry: repeatable,
			mayLeaveDomain: settings?.spill ?? false,
		},
	]
}

const RETRY_AFTER_MS = 1_000

function noCapacity(detail: string): Result<void, DispatchError> {
	return fail("no_capacity", detail, {retryAfterMs: addJitterMs(RETRY_AFTER_MS, Math.random)})
}

/** Fails when no listed worker can run the task now (`no_capacity`) or ever (`cannot_run`). */
function checkTask(
	plan: TaskPlan,
	index: number,
	workers: readonly Target[],
): Result<void, DispatchError> {
	if (workers.length === 0) return noCapacity("no worker is listed")
	const matching = workers.filter(worker => isMatch(plan.selector, worker.labels))
	if (matching.length === 0) {
		return fail("cannot_run", `task ${index}: no worker matches its selector`)
	}
	if (!matching.some(worker => worker.state === "live"))
		return noCapacity(`task ${index}: every worker that matches is leaving`)
	if (matching.some(worker => isLargeEnough(worker, plan.need))) return ok(undefined)
	const {cpu, memoryMb, accelerators} = plan.need
	const need = `${cpu} processors, ${memoryMb} MiB, ${accelerators} accelerators`
	return fail("cannot_run", `task ${index}: no matching worker has ${need}`)
}

function checkRequest(plan: TaskPlan, targets: readonly Target[]): Result<void, DispatchError> {
	const isServed = targets.some(
		target =>
			poolOf(target) === plan.pool &&
			target.state === "live" &&
			isMatch(plan.selector, target.labels),
	)
	return isServed ? ok(undefined) : noCapacity("no live executor of the endpoint is listed")
}

/** Fails when a plan fits no listed target; checks tasks of the same shape once. */
export function checkCanRun(
	plans: readonly TaskPlan[],
	targets: readonly Target[],
): Result<void, DispatchError> {
	const [first] = plans
	if (first && first.pool !== WORKER_POOL) return checkRequest(first, targets)
	const workers = targets.filter(target => target.type === "worker")
	const checked = new Set<string>()
	for (const [index, plan] of plans.entries()) {
		if (checked.has(plan.shape)) continue
		checked.add(plan.shape)
		const result = checkTask(plan, index, workers)
		if (result.isErr()) return result
	}
	return ok(undefined)
}
