/**
 * Starts and stops runs on an executor, tolerating lost orders and answers.
 *
 * A start without an answer is repeated with the same run number, which is idempotent. If the
 * repeats stay unanswered too, only an answered stop or the end of the lease settles whether the
 * task runs.
 */
import type {StartReply} from "../types/executor.js"
import {shortSession} from "../utils/log.js"
import {isSilentPastLease} from "./availability.js"
import {isOwnReply, noteSilence} from "./replies.js"
import {addRun, isCurrent, runName, settleRun} from "./runs.js"
import type {LinkState} from "./state.js"
import {freeCpu} from "./room.js"
import {isUnheard} from "../decide/lease-rule.js"
import {isConfirmed, nextLeaseUntil} from "./lease.js"
import type {OnTaskEnd, Run, StopCause, TaskEnd, TaskRequest} from "../place/run.js"
import {stepNameOf} from "../place/task-queue.js"

/** Upper bound of a start's time-out; slow instances need tens of milliseconds. */
const START_TIMEOUT_MS = 90
const START_TRIES = 4
/** Tries with a short time-out that doubles each time; repeating a run number is harmless. */
const EARLY_TRIES = 2
/**
 * No start is sent later than this after the task was placed, as the task may run elsewhere by
 * then; the tries take up to 360 ms.
 */
const START_WINDOW_MS = 400
/** How often a start checks whether earlier stops are answered. */
const STOPS_POLL_MS = 10
const STOP_TIMEOUT_MS = 150
/** Allows for timer delays on both sides and the answer's way. */
const STOP_MARGIN_MS = 20
/** Between tries to stop a run; a fraction of the lease. */
const STOP_RETRY_MS = 60
/** No starts are sent for this long after the executor reported that it is unhealthy. */
const UNHEALTHY_PAUSE_MS = 300

function newRun(link: LinkState, req: TaskRequest, onEnd: OnTaskEnd): Run {
	const now = link.deps.clock.now()
	return {
		req,
		startedAt: now,
		state: "starting",
		absenceProvesEndFrom: undefined,
		hasUnansweredStart: false,
		mayHaveStarted: false,
		stopCause: undefined,
		percent: -1,
		progressAt: now,
		lastSeenAt: now,
		onEnd,
	}
}

/** Starts a run; `onEnd` is called once, when the run has certainly ended. */
export function startRun(link: LinkState, req: TaskRequest, onEnd: OnTaskEnd): Run {
	const run = newRun(link, req, onEnd)
	addRun(link, run)
	void sendStart(link, run)
	return run
}

/**
 * Creates a run that the previous placer started on this executor. It is not started again: under
 * the new fence it either runs already or never will.
 */
export function adoptedRun(link: LinkState, req: TaskRequest, onEnd: OnTaskEnd): Run {
	const run = newRun(link, req, onEnd)
	run.state = "running"
	run.mayHaveStarted = true
	run.absenceProvesEndFrom = link.deps.clock.now()
	return run
}

/** Stops a run; its `onEnd` is called when it has ended. */
export function stopRun(link: LinkState, run: Run, cause: StopCause) {
	if (run.state === "stopping") return
	run.stopCause ??= cause
	run.state = "stopping"
	noteStopping(link, run, cause)
	void sendStop(link, run)
}

/**
 * Stops runs whose callers were unheard for so long that they shorten the leases of the runs beside
 * them.
 */
export function stopUnheard(link: LinkState) {
	const now = link.deps.clock.now()
	for (const run of [...link.runs.values()])
		if (isUnheard(run.req.confirmedAt(), now)) stopRun(link, run, "unheard")
}

/** Logged when the stop begins, so that a run whose end never arrives can be traced. */
function noteStopping({deps, record}: LinkState, {req}: Run, cause: StopCause) {
	const {job, task, run, askedBy} = req
	deps.log.alarm("placer", "run_stopping", "placer: stops a run.", {
		job,
		task,
		run,
		executor: record.id,
		fence: deps.fence,
		askedBy: shortSession(askedBy),
		cause,
	})
}

/**
 * Stops runs that were settled while a start or stop was unanswered: the executor may carry the
 * start out late, and an answered stop makes it refuse the start.
 */
export function stopSettledUnanswered(link: LinkState) {
	for (const {task, run} of link.settledUnanswered.splice(0)) void stopOrphan(link, task, run)
}

/**
 * Stops a run that nobody here wants. The order is repeated until answered, so that a lost one
 * doesn't leave the run beside the task's next run.
 */
export async function stopOrphan(link: LinkState, task: string, run: number) {
	const {clock, log, metrics, fence, onRoomFreed} = link.deps
	const name = runName(task, run)
	if (link.stoppingOrphans.has(name)) return
	link.stoppingOrphans.add(name)
	const fields = {task, run, executor: link.record.id, fence, job: task.split(".")[0]}
	log.alarm("executor", "orphan_stopped", "executor: stops an orphaned run.", fields)
	metrics.count("orphan_runs", "stopped")
	const isAnswered = await sendOrphanStops(link, task, run)
	link.unansweredStops.delete(name)
	if (!isAnswered && link.stoppingOrphans.delete(name))
		return void link.settledUnanswered.push({task, run})
	link.stoppingUntil = clock.now() + stopDurationMs(link)
	clock.schedule(stopDurationMs(link), () => {
		// A run that is still listed is stopped once more.
		link.stoppingOrphans.delete(name)
		onRoomFreed()
	})
}

/**
 * Repeats the stop; true once it is answered, false when the executor's lease has ended, the link
 * was closed, or the end was listed.
 */
async function sendOrphanStops(link: LinkState, task: string, run: number): Promise<boolean> {
	const {clock} = link.deps
	while (!link.isClosed && link.stoppingOrphans.has(runName(task, run))) {
		link.stoppingUntil = clock.now() + STOP_TIMEOUT_MS + stopDurationMs(link)
		if (await tryStop(link, task, run)) return true
		if (isSilentPastLease(link)) return false
		await clock.sleep(STOP_RETRY_MS)
	}
	return false
}

async function tryStop(link: LinkState, task: string, run: number): Promise<boolean> {
	const {orders, fence} = link.deps
	const name = runName(task, run)
	const reply = await orders.stop(link.record, {task, run, fence}, STOP_TIMEOUT_MS)
	const isAnswered = isOwnReply(link, reply, "stop")
	if (isAnswered) link.unansweredStops.delete(name)
	else link.unansweredStops.add(name)
	return isAnswered
}

async function sendStart(link: LinkState, run: Run) {
	const {clock, orders, metrics, fence} = link.deps
	const {task, run: number, spec} = run.req
	const ticket = run.req.advice && link.deps.tickets.ticketOf(stepNameOf(task), link.record.id)
	for (let tries = 0; tries < START_TRIES; tries++) {
		if (!(await waitForStops(link, run))) break
		if (link.deps.isEvacuated()) return stopEvacuated(link, run)
		// The start may have waited; a lease that can't be renewed isn't worth it.
		if (tries === 0 && !isConfirmed(link, run.req))
			return returnUnsent(link, run, "its caller was not heard of late")
		const leaseUntilMs = nextLeaseUntil(link)
		if (leaseUntilMs === undefined) break
		const sentAt = clock.now()
		const order = {task, run: number, spec, fence, leaseUntilMs, ticket}
		const reply = await orders.start(link.record, order, startTimeoutMs(link, tries))
		const tookMs = clock.now() - sentAt
		metrics.observe("start_order_ms", tookMs)
		if (reply.type !== "silent") link.deps.losses.noteAnswer(tookMs)
		if (!isCurrent(link, run)) return
		if (reply.type !== "silent" || !reply.isRefused) run.mayHaveStarted = true
		if (isOwnReply(link, reply, "start")) return noteStartReply(link, run, reply, tries > 0)
		if (link.isClosed) return
		run.hasUnansweredStart = true
	}
	if (!isStarting(link, run)) return
	if (run.hasUnansweredStart) noteSilence(link, "starts without an answer")
	stopRun(link, run, "uncertain")
}

/**
 * The time-out of one try: short at first, so that a lost start is repeated within a short task's
 * slack.
 */
function startTimeoutMs(link: LinkState, tries: number): number {
	if (tries >= EARLY_TRIES) return START_TIMEOUT_MS
	return Math.min(START_TIMEOUT_MS, link.deps.losses.timeoutMs(START_TIMEOUT_MS) * 2 ** tries)
}

/**
 * Withdraws a start because of an evacuation; an order that may have arrived is stopped, since it
 * may be carried out late.
 */
function stopEvacuated(link: LinkState, run: Run) {
	if (run.hasUnansweredStart) stopRun(link, run, "uncertain")
	else returnUnsent(link, run, "its failure domain is emptied")
}

function returnUnsent(link: LinkState, run: Run, cause: string) {
	void settleRun(link, run, {type: "returned", cause}, "never sent")
}

/**
 * Waits until no stop is unanswered, since nothing may start beside one; false once the start is
 * too late or no longer wanted.
 */
async function waitForStops(link: LinkState, run: Run): Promise<boolean> {
	const {clock} = link.deps
	const isInTime = () => clock.now() - run.startedAt <= START_WINDOW_MS
	while (isStarting(link, run) && isInTime() && link.unansweredStops.size > 0)
		await clock.sleep(STOPS_POLL_MS)
	return isStarting(link, run) && isInTime()
}

/**
 * Whether the run may still be started; a start during a stop would renew the lease under which it
 * may run.
 */
function isStarting(link: LinkState, run: Run): boolean {
	return isCurrent(link, run) && run.state !== "stopping"
}

function noteStartReply(
	link: LinkState,
	run: Run,
	reply: Extract<StartReply, {type: "started" | "refused"}>,
	wasRepeated: boolean,
) {
	const now = link.deps.clock.now()
	if (reply.clockMs !== undefined) link.executorClock.observe(reply.clockMs, now)
	link.deps.metrics.count("task_starts", reply.type === "started" ? "started" : reply.cause)
	if (reply.type === "started") {
		run.progressAt = now
		run.lastSeenAt = now
		return noteStarted(run, now)
	}
	noteRefusedStart(link, run, reply.cause)
	// An earlier try was carried out: the run is there, or its end will be listed.
	if (wasRepeated && reply.cause === "old") return noteStarted(run, now)
	// An earlier try had no answer and may still be carried out; an answered stop prevents it.
	if (wasRepeated) return stopRun(link, run, "uncertain")
	settleRefused(link, run, reply.cause)
}

/** Marks a run as started; from now on the executor's lists tell whether it is gone. */
function noteStarted(run: Run, now: number) {
	// Keeps the later time of an answered stop, which takes time whatever answer follows.
	run.absenceProvesEndFrom = Math.max(run.absenceProvesEndFrom ?? now, now)
	run.hasUnansweredStart = false
	if (run.state === "starting") run.state = "running"
}

function noteRefusedStart(link: LinkState, run: Run, cause: string) {
	const {job, task, run: number, need} = run.req
	link.deps.log.alarm("placer", "start_refused", "placer: an executor refused a start.", {
		job,
		task,
		run: number,
		executor: link.record.id,
		cause,
		freeCpu: freeCpu(link),
		needCpu: need.cpu,
	})
	if (cause === "ticket") link.deps.tickets.refuse(stepNameOf(task), link.record.id)
	if (cause === "unhealthy") {
		link.unhealthyUntil = link.deps.clock.now() + UNHEALTHY_PAUSE_MS
		link.deps.clock.schedule(UNHEALTHY_PAUSE_MS, link.deps.onRoomFreed)
	}
}

function settleRefused(link: LinkState, run: Run, cause: string) {
	const isNumberTaken = cause === "old"
	const end: TaskEnd = isNumberTaken
		? {type: "outnumbered", executor: link.record.id}
		: {type: "returned", cause}
	settleRun(link, run, end, "start refused")
}

/** How long a run that is being stopped may use capacity without being listed, in milliseconds. */
const stopDurationMs = (link: LinkState) => link.deps.stopGraceMs + STOP_MARGIN_MS

async function sendStop(link: LinkState, run: Run) {
	const {clock} = link.deps
	const {task, run: number} = run.req
	while (!link.isClosed && isCurrent(link, run)) {
		if (await tryStop(link, task, number)) {
			run.absenceProvesEndFrom = clock.now() + stopDurationMs(link)
			return
		}
		await clock.sleep(STOP_RETRY_MS)
	}
	link.unansweredStops.delete(runName(task, number))
}
