/**
 * How a failure domain goes from one placer to the next: the runs that a successor takes over, and what becomes of those that
 * the placer before had.
 */
import type {ExecutorRecord} from "../types/executor.js"
import {shortSession} from "../utils/log.js"
import type {ExecutorLink} from "../link/executor-link.js"
import {certainEndAt} from "../decide/lease-rule.js"
import {addLink, closeLinks} from "./placer-links.js"
import type {PlacerState, RunLocation} from "./placer-state.js"
import type {OnTaskEnd, Run, TaskHandle, TaskRequest} from "./run.js"
import type {WaitingTask} from "./task-queue.js"

/**
 * For executors that nobody here can ask, since the list does not name them: the leases that the placer before asked for
 * until it handed over are over after half of this. One that does not know that it was replaced learns it at any executor
 * that obeys the new fence, within a hold (400 ms), and then its leases end.
 */
const SETTLED_MS = 2_000

/** Takes over a run that the placer before had on an executor. */
export function adopt(
	state: PlacerState,
	req: TaskRequest,
	{executor, record, isStarted, stopCause}: RunLocation,
	onEnd: OnTaskEnd,
): TaskHandle {
	const known = state.links.get(executor)
	if (known?.isReplaced()) return tellReplaced(state, executor, onEnd)
	const link = known && !known.isClosed() ? known : record && addUnlisted(state, record)
	if (!link) return presumeEnded(state, req, executor, onEnd)
	let stop = () => undefined as void
	const item: WaitingTask = {
		req,
		since: state.deps.clock.now(),
		onEnd,
		onStart: stopRun => void (stop = stopRun),
	}
	// eslint-disable-next-line prefer-const -- read by the callback before it is set
	let adopted: Run | undefined
	let hasEnded = false
	const run = link.adopt(req, isStarted, end => {
		// Its end may be known already; then it is told before the run is returned.
		hasEnded = true
		if (adopted) state.started.delete(adopted)
		return onEnd(end)
	})
	adopted = run
	if (!hasEnded) {
		state.started.set(run, item)
		if (stopCause) link.cancel(run, stopCause)
	}
	stop = () => link.cancel(run)
	return {cancel: () => stop()}
}

/** An executor that the list lacks is watched for what runs there; it gets nothing new until the list has it. */
function addUnlisted(state: PlacerState, record: ExecutorRecord): ExecutorLink {
	const link = addLink(state, record)
	link.retire()
	return link
}

/** Whatever ran in the executor's life before is gone. */
function tellReplaced({deps}: PlacerState, executor: string, onEnd: OnTaskEnd): TaskHandle {
	const end = {type: "lost", executor, cause: "replaced", crash: "possible"} as const
	deps.clock.schedule(0, () => void onEnd(end))
	return {cancel: () => undefined}
}

/** Nobody here can ask the executor, but its lease is over by then. */
function presumeEnded(
	{deps}: PlacerState,
	{job, task, run, askedBy}: TaskRequest,
	executor: string,
	onEnd: OnTaskEnd,
): TaskHandle {
	const whose = {fence: deps.fence, askedBy: shortSession(askedBy)}
	const fields = {job, task, run, executor, ...whose, outcome: "executor unknown"}
	deps.log.alarm("placer", "run_adopted", "placer: took over a run of the placer before.", fields)
	const cause = "its executor is unknown here"
	const end = {type: "lost", executor, cause, crash: "possible"} as const
	deps.clock.schedule(SETTLED_MS, () => void onEnd(end))
	return {cancel: () => undefined}
}

/** Gives everything to a successor, which has raised the fence already. */
export function giveAll(state: PlacerState, send: (item: WaitingTask, from?: RunLocation) => void) {
	state.successor = send
	// Kept jobs are not sent: the successor reads them from the store, and finds their runs by itself.
	for (const group of state.queue.inOrder(state.deps.clock.now()))
		for (let item = state.queue.take(group); item; item = state.queue.take(group))
			if (!item.req.isKept) send(item)
	const running = [...state.links.values()].flatMap(runsOf)
	closeLinks(state)
	for (const {run, isStarted, record} of running) {
		const item = state.started.get(run)
		const {stopCause} = run
		if (item && !item.req.isKept) send(item, {executor: record.id, record, isStarted, stopCause})
	}
}

/** Gives up some of the executors, which another placer has by now, with all that runs there. */
export function giveExecutors(
	state: PlacerState,
	isGiven: (record: ExecutorRecord) => boolean,
	send: (item: WaitingTask, from: RunLocation) => void,
): number {
	const given = [...state.links.values()].filter(({record}) => isGiven(record))
	const running = given.flatMap(runsOf)
	for (const link of given) {
		link.release()
		state.links.delete(link.record.id)
		state.judgement.forget(link.record.id)
	}
	for (const {run, isStarted, record} of running) {
		const item = state.started.get(run)
		state.started.delete(run)
		if (item) send(item, {executor: record.id, record, isStarted, stopCause: run.stopCause})
	}
	return given.length
}

const runsOf = (link: ExecutorLink) =>
	link.runs().map(({run, isStarted}) => ({run, isStarted, record: link.record}))

/** The jobs here are given up by whoever has them; what other placers handed over is known to nobody else. */
export function giveUp(state: PlacerState) {
	closeLinks(state)
	for (const link of state.links.values())
		for (const {run} of link.runs()) if (run.req.isForeign) tellWhenOver(state, link, run)
}

/** Nobody renews its lease any more: neither this placer nor a successor, which knows nothing of it. */
function tellWhenOver({deps}: PlacerState, {record}: ExecutorLink, {req, onEnd}: Run) {
	const now = deps.clock.now()
	const endAt = certainEndAt(deps.leaseRule, Math.min(now, req.confirmedAt()))
	const cause = "its placer lost the domain"
	const end = {type: "lost", executor: record.id, cause, crash: "possible"} as const
	deps.clock.schedule(Math.max(0, endAt - now), () => void onEnd(end))
}

/**
 * A placer that was replaced and does not know it goes on renewing leases wherever the new fence was not seen, for as long as
 * that may be; so each executor that is known here must obey, or be gone. Executors that the list has
 * dropped may still run something for it, and are not asked here unless it named them.
 */
export function isSettled({links, deps, createdAt}: PlacerState): boolean {
	const isOld = deps.clock.now() - createdAt >= SETTLED_MS
	const areAllKnown = deps.knowsAllExecutors && links.size > 0
	// Whatever ran under the placer before in a life that another one has followed is over.
	const obeys = (link: ExecutorLink) => link.isFenceTaken() || link.isReplaced()
	return (isOld || areAllKnown) && [...links.values()].every(obeys)
}
