/**
 * Judges what callers and executors saw of kept jobs by the users' rules, from a history alone.
 */
import type {ExecutorRecord, Step} from "@cottonwood/jobs"
import type {KeptJobRequest} from "@cottonwood/jobs/internals"
import type {HistoryEvent} from "./model-executors.js"

/** Starts this long after a cancellation was answered are not asked for. */
const CANCEL_MS = 3_000
const EARLY_MS = 250
/** How long after its last run a lasting task may be away. */
const MAX_AWAY_MS = 6_000
/** A task under which so many executors have crashed may be given up. */
const FAILING_CRASHES = 2

/** What a caller saw of a job. */
export interface CallerView {
	readonly request: KeptJobRequest
	/** Undefined if every attempt to hand it in was refused. */
	readonly acceptedAt: number | undefined
	readonly cancelledAt: number | undefined
	/** What it was told at the end. */
	readonly state: string
	/** Of its queue. */
	readonly service: string
}

export interface Verdict {
	readonly calls: readonly CallerView[]
	readonly history: readonly HistoryEvent[]
	readonly maxAttempts: number
	/** When the history ends. */
	readonly until: number
}

type Start = Extract<HistoryEvent, {type: "start"}>
type End = Extract<HistoryEvent, {type: "end"}>

const idOf = (task: string) => task.split(".")[0] as string
const numbersOf = (task: string) => task.split(".").slice(1).map(Number)
const stepIndexOf = (task: string) => numbersOf(task)[1] as number
const stepNameOf = (task: string) => task.slice(0, task.lastIndexOf("."))

/** The breaks of the rules, each as its name and what broke it. */
export function judge({calls, history, maxAttempts, until}: Verdict): readonly string[] {
	const breaks: string[] = []
	const byId = new Map(calls.map(call => [call.request.id, call]))
	const isNoted = notedEndsOf(history)
	const running = new Map<string, Map<string, Start>>()
	const ends = new Map<string, End[]>()
	const endsOf = (task: string) => ends.get(task) ?? []
	/** Ends that are taken note of, now or later. */
	const notedEnds = (task: string, how: string) =>
		endsOf(task).filter(end => end.how === how && isNoted(end))

	function judgeStart(start: Start) {
		const {task, run, at, executor} = start
		const call = byId.get(idOf(task))
		const step = call?.request.steps[stepIndexOf(task)]
		const name = `${task}/${run} at ${executor.id}, ${Math.round(at)} ms`
		if (!call || !step) return void breaks.push(`UNASKED ${name}`)
		if (call.acceptedAt === undefined && call.state === "refused") breaks.push(`REFUSED ${name}`)
		if (call.cancelledAt !== undefined && at > call.cancelledAt + CANCEL_MS)
			breaks.push(`UNASKED ${name}: cancelled`)
		for (const [other, tasks] of running)
			if (tasks.has(task)) breaks.push(`TWICE ${name}: runs at ${other}`)
		if (!step.isLasting && notedEnds(task, "done").length > 0) breaks.push(`TWICE ${name}: done`)
		if (!step.isLasting && notedEnds(task, "failed").length >= maxAttempts)
			breaks.push(`BUDGET ${name}`)
		if (!isInOrder(call, start)) breaks.push(`ORDER ${name}`)
		const here = running.get(executor.id) ?? new Map<string, Start>()
		for (const cause of wrongPlaceCauses(call, step, start, [...here.keys()]))
			breaks.push(`ROUTE ${name}: ${cause}`)
		here.set(task, start)
		running.set(executor.id, here)
		if (isOver(executor, [...here.keys()])) breaks.push(`LIMIT ${name}`)
	}

	function isInOrder({request}: CallerView, {task, at}: Start): boolean {
		const [time = 0, stepIndex = 0] = numbersOf(task)
		const {schedule, steps, id} = request
		if (schedule && at < schedule.firstDueMs + time * schedule.periodMs - EARLY_MS) return false
		const before = steps[stepIndex]?.after ?? []
		return before.every(index => isStepDone(`${id}.${time}.${index}`, steps[index] as Step))
	}

	/** Whether a task that lasts has not run for so long that it is away. */
	function isAway(task: string): boolean {
		const isRunning = [...running.values()].some(tasks => tasks.has(task))
		const lastEnd = Math.max(-Infinity, ...endsOf(task).map(({at}) => at))
		return !isRunning && until - lastEnd > MAX_AWAY_MS
	}

	/** One end stands for all members of a gang. */
	function isStepDone(name: string, {count, isGang}: Step): boolean {
		const isDone = (_: unknown, at: number) =>
			endsOf(`${name}.${at}`).some(({how}) => how === "done")
		const done = Array.from({length: count}, isDone)
		return isGang ? done.includes(true) : !done.includes(false)
	}

	function isOver({capacity}: ExecutorRecord, tasks: readonly string[]): boolean {
		const needs = tasks.map(
			task => byId.get(idOf(task))?.request.steps[stepIndexOf(task)]?.need.cpu ?? 0,
		)
		return needs.reduce((sum, cpu) => sum + cpu, 0) > capacity.cpu
	}

	function judgeState({request, state, cancelledAt, acceptedAt}: CallerView) {
		const {id, steps, schedule} = request
		if (acceptedAt === undefined || cancelledAt !== undefined) return
		const times = Array.from({length: schedule?.times ?? 1}, (_, time) => time)
		const named = times.flatMap(time =>
			steps.map((step, index) => ({step, name: `${id}.${time}.${index}`})),
		)
		const tasks = named.flatMap(({step, name}) =>
			Array.from({length: step.count}, (_, at) => ({task: `${name}.${at}`, step})),
		)
		const counts = (task: string, wanted: string) =>
			endsOf(task).filter(({how}) => how === wanted).length
		const mayFail = tasks.some(
			({task, step}) =>
				counts(task, "crashed") >= FAILING_CRASHES ||
				(!step.isLasting && counts(task, "failed") >= maxAttempts),
		)
		const finite = named.filter(({step}) => !step.isLasting)
		const endless = tasks.filter(({step}) => step.isLasting).map(({task}) => task)
		const isDone = finite.every(({name, step}) => isStepDone(name, step))
		if (state === "completed" && !isDone) breaks.push(`MIXED ${id}: completed before its tasks`)
		if (state === "failed" && !mayFail) breaks.push(`LOST ${id}: failed without cause`)
		if (state === "failed" || state === "completed") return
		if (endless.length === 0) return void breaks.push(`LOST ${id}: ${state}`)
		for (const task of endless.filter(isAway)) breaks.push(`LOST ${task}: away`)
	}

	for (const event of history) {
		if (event.type === "start") judgeStart(event)
		if (event.type !== "end") continue
		running.get(event.executor)?.delete(event.task)
		ends.set(event.task, [...endsOf(event.task), event])
	}
	calls.forEach(judgeState)
	return breaks
}

/** Why a task must not start on an executor, where other tasks run. */
function wrongPlaceCauses(
	{service}: CallerView,
	{maxPerExecutor, label}: Step,
	{task, executor}: Start,
	others: readonly string[],
): readonly string[] {
	const siblings = others.filter(other => stepNameOf(other) === stepNameOf(task)).length
	const causes: string[] = []
	if (maxPerExecutor && siblings >= maxPerExecutor) causes.push("anti-affinity")
	if (label !== undefined && !executor.labels.includes(label)) causes.push("label")
	if (executor.service !== service) causes.push("service")
	return causes
}

/** Returns whether an end was taken note of, ever; not if the executor's lease lapsed between the two. */
function notedEndsOf(history: readonly HistoryEvent[]) {
	const notes = history.filter(event => event.type === "noted")
	const lapses = history.filter(event => event.type === "lapse")
	return ({executor, serial, at}: End): boolean => {
		const note = notes.find(one => one.executor === executor && one.serial >= serial)
		if (!note || serial === 0) return false
		return !lapses.some(one => one.executor === executor && one.at >= at && one.at <= note.at)
	}
}
