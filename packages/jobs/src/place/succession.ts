/** The handover of a failure domain, or of some executors, from one placer to the next: adopting and transferring runs. */
import type {ExecutorRecord} from "../types/executor.js"
import {shortSession} from "../utils/log.js"
import type {ExecutorLink} from "../link/executor-link.js"
import {certainEndAt, keptRunsOverAt} from "../decide/lease-rule.js"
import {addLink, closeLinks} from "./placer-links.js"
import type {PlacerState, RunLocation} from "./placer-state.js"
import type {OnTaskEnd, Run, TaskHandle, TaskRequest} from "./run.js"
import type {WaitingTask} from "./task-queue.js"

/**
 * When the runs on unlisted executors, which this placer cannot ask, have certainly ended. The leases that the previous placer
 * requested before the handover end in half of this. A previous placer that does not know of its replacement learns of it within
 * a hold (400 ms), from any executor that obeys the new fence, and its leases end after that.
 */
const TAKEOVER_MS = 2_000

/** Takes over a run that the previous placer had on an executor. */
export function adopt(
	state: PlacerState,
	req: TaskRequest,
	{executor, record, isStarted, stopCause}: RunLocation,
	onEnd: OnTaskEnd,
): TaskHandle {
	const known = state.links.get(executor)
	if (known?.isReplaced()) return reportReplaced(state, executor, onEnd)
	const link = known && !known.isClosed() ? known : record && addUnlisted(state, record)
	if (!link) return reportUnlinked(state, req, executor, onEnd)
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
		// If the end is known already, this is called before `link.adopt` returns.
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

/** Links an unlisted executor for the runs there; it gets no new ones until it is listed. */
function addUnlisted(state: PlacerState, record: ExecutorRecord): ExecutorLink {
	const link = addLink(state, record)
	link.retire()
	return link
}

/** Reports a run as lost whose executor has restarted. */
function reportReplaced({deps}: PlacerState, executor: string, onEnd: OnTaskEnd): TaskHandle {
	const end = {type: "lost", executor, cause: "replaced", crash: "possible"} as const
	deps.clock.schedule(0, () => void onEnd(end))
	return {cancel: () => undefined}
}

/** Reports a run on an unknown executor as lost once its lease has certainly ended. */
function reportUnlinked(
	{deps}: PlacerState,
	{job, task, run, askedBy}: TaskRequest,
	executor: string,
	onEnd: OnTaskEnd,
): TaskHandle {
	const whose = {fence: deps.fence, askedBy: shortSession(askedBy)}
	const fields = {job, task, run, executor, ...whose, outcome: "executor unknown"}
	deps.log.alarm("placer", "run_adopted", "placer: took over a run of the previous placer.", fields)
	const cause = "its executor is unknown here"
	const end = {type: "lost", executor, cause, crash: "possible"} as const
	deps.clock.schedule(TAKEOVER_MS, () => void onEnd(end))
	return {cancel: () => undefined}
}

/** Transfers all tasks to a successor, which has raised the fence already. */
export function handOverAll(
	state: PlacerState,
	send: (item: WaitingTask, from?: RunLocation) => void,
) {
	state.successor = send
	// Kept jobs are not sent: the successor reads them from the store and finds their runs at the executors.
	for (const group of state.queue.inOrder(state.deps.clock.now())) {
		state.queue.detach(group)
		for (const item of group.waiting) if (!item.req.isKept) send(item)
	}
	const running = [...state.links.values()].flatMap(runsOf)
	closeLinks(state)
	for (const {run, isStarted, record} of running) {
		const item = state.started.get(run)
		const {stopCause} = run
		if (item && !item.req.isKept) send(item, {executor: record.id, record, isStarted, stopCause})
	}
}

/** Transfers executors with their runs to another placer, which has raised the fence there already. */
export function handOverExecutors(
	state: PlacerState,
	isHandedOver: (record: ExecutorRecord) => boolean,
	send: (item: WaitingTask, from: RunLocation) => void,
): number {
	const handedOver = [...state.links.values()].filter(({record}) => isHandedOver(record))
	const running = handedOver.flatMap(runsOf)
	for (const link of handedOver) {
		link.release()
		state.links.delete(link.record.id)
		state.assessment.forget(link.record.id)
	}
	for (const {run, isStarted, record} of running) {
		const item = state.started.get(run)
		state.started.delete(run)
		if (item) send(item, {executor: record.id, record, isStarted, stopCause: run.stopCause})
	}
	return handedOver.length
}

const runsOf = (link: ExecutorLink) =>
	link.runs().map(({run, isStarted}) => ({run, isStarted, record: link.record}))

/** Closes the placer, and reports the runs of tasks that other placers handed over, since no one else knows of them. */
export function relinquish(state: PlacerState) {
	closeLinks(state)
	for (const link of state.links.values())
		for (const {run} of link.runs()) if (run.req.isForeign) reportOnceEnded(state, link, run)
}

/** Reports a run as lost once it has certainly ended: neither this placer nor its successor renews its lease. */
function reportOnceEnded({deps}: PlacerState, {record}: ExecutorLink, {req, onEnd}: Run) {
	const now = deps.clock.now()
	const endAt = certainEndAt(deps.leaseRule, Math.min(now, req.confirmedAt()))
	const cause = "its placer lost the domain"
	const end = {type: "lost", executor: record.id, cause, crash: "possible"} as const
	deps.clock.schedule(Math.max(0, endAt - now), () => void onEnd(end))
}

/** Whether an executor has left the list, and whatever ran there is over; its link goes with the next list. */
const isGone = (link: ExecutorLink) => link.isRetired() && link.isIdle()

/**
 * Whether all kept runs of the previous placer have ended or are known here. A replaced placer may go on renewing leases at
 * executors that have not seen the new fence, so each known executor must obey it, or have been replaced. An executor that lists
 * only part of its ends may have more of them. Unlisted executors are covered by time, unless all executors are known. Where that
 * placer may be cut off with its executors, and for executors that stay silent, the time is the one after which it has ended its
 * kept runs by itself.
 */
export function hasTakenOver({links, deps, createdAt}: PlacerState): boolean {
	const now = deps.clock.now()
	const areRunsOver = now >= keptRunsOverAt(createdAt)
	const isTimeOver = areRunsOver || (!deps.isCutOff && now - createdAt >= TAKEOVER_MS)
	const areAllKnown = deps.knowsAllExecutors && links.size > 0
	// The previous placer's runs on a replaced executor have ended with its process.
	const isKnown = (link: ExecutorLink) =>
		(link.isFenceTaken() && link.areEndsKnown()) || link.isReplaced() || isGone(link)
	const isLost = (link: ExecutorLink) => link.isSilent() && !link.isFenceTaken()
	const isSettled = (link: ExecutorLink) => isKnown(link) || (areRunsOver && isLost(link))
	return (isTimeOver || areAllKnown) && [...links.values()].every(isSettled)
}
