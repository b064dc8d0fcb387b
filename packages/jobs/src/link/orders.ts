/**
 * Starts and stops runs on an executor, whatever becomes of the orders' answers.
 *
 * A start without an answer is repeated with the same run number, which changes nothing if the first
 * was done. If that stays without an answer too, only a stop that is answered, or the end of the lease,
 * settles whether it runs.
 */
import type {StartReply} from "../types/executor.js"
import {shortSession} from "../utils/log.js"
import {
	addRun,
	isCurrent,
	isOwnReply,
	hasLapsedSilent,
	noteSilence,
	runName,
	settleRun,
	type LinkState,
} from "./state.js"
import {freeCpu} from "./room.js"
import {isUnheard} from "../decide/lease-rule.js"
import {isConfirmed, nextLeaseUntil} from "./lease.js"
import type {OnTaskEnd, Run, StopCause, TaskEnd, TaskRequest} from "../place/run.js"
import {stepNameOf} from "../place/task-queue.js"

/** A start's answer is missed after this at the latest: slower instances need tens of milliseconds. */
const START_TIMEOUT_MS = 90
const START_TRIES = 4
/** Tries that give up early, each after twice the time of the one before: the same run number again does no harm. */
const EARLY_TRIES = 2
/**
 * No start is sent later than this after its task was placed; the tries take 360 ms. An instance that stood still in
 * between does not know yet whether its task runs elsewhere by now.
 */
const LATEST_START_MS = 400
/** How often a start looks whether the stops beside it are answered; a fraction of a short task. */
const STOPS_POLL_MS = 10
const STOP_TIMEOUT_MS = 150
/** Timers here and there, and the way of the answer. */
const STOP_MARGIN_MS = 20
/** Between tries to stop a run on a silent executor: a fraction of the lease. */
const STOP_RETRY_MS = 60
/** No starts there for this long after it said that it is unhealthy. */
const UNHEALTHY_PAUSE_MS = 300

function newRun(link: LinkState, req: TaskRequest, onEnd: OnTaskEnd): Run {
	const now = link.deps.clock.now()
	return {
		req,
		startedAt: now,
		state: "starting",
		listedFrom: undefined,
		hasUnansweredStart: false,
		mayHaveStarted: false,
		stopCause: undefined,
		percent: -1,
		progressAt: now,
		lastSeenAt: now,
		onEnd,
	}
}

/** Starts a run; `onEnd` is called once, when it certainly runs no more. */
export function startRun(link: LinkState, req: TaskRequest, onEnd: OnTaskEnd): Run {
	const run = newRun(link, req, onEnd)
	addRun(link, run)
	void sendStart(link, run)
	return run
}

/**
 * A run that the placer before had on this executor. It is not started here: under the new fence it runs
 * already, or never will.
 */
export function inheritedRun(link: LinkState, req: TaskRequest, onEnd: OnTaskEnd): Run {
	const run = newRun(link, req, onEnd)
	run.state = "running"
	run.mayHaveStarted = true
	run.listedFrom = link.deps.clock.now()
	return run
}

/** Ends a run; its `onEnd` follows when it has ended. */
export function stopRun(link: LinkState, run: Run, cause: StopCause) {
	if (run.state === "stopping") return
	run.stopCause ??= cause
	run.state = "stopping"
	noteStopping(link, run, cause)
	void sendStop(link, run)
}

/** Stops what nobody is known to have wanted for so long that it cuts the leases of its neighbours short. */
export function stopUnheard(link: LinkState) {
	const now = link.deps.clock.now()
	for (const run of [...link.runs.values()])
		if (isUnheard(run.req.confirmedAt(), now)) stopRun(link, run, "unheard")
}

/** From then on nobody here wants it; should no end follow, this says since when it was left over. */
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
 * Starts that were never answered may be carried out when an executor is back, though their runs were
 * settled by the end of its lease, and so may stops; a stop that is answered makes it refuse the starts.
 */
export function stopUnanswered(link: LinkState) {
	for (const {task, run} of link.unanswered.splice(0)) void stopOrphan(link, task, run)
}

/**
 * Stops a run that nobody here wants, again and again until that is answered: one order that is lost must not leave it
 * running beside the next run of its task.
 */
export async function stopOrphan(link: LinkState, task: string, run: number) {
	const {clock, log, metrics, fence, onRoom} = link.deps
	const name = runName(task, run)
	if (link.stoppingOrphans.has(name)) return
	link.stoppingOrphans.add(name)
	const fields = {task, run, executor: link.record.id, fence, job: task.split(".")[0]}
	log.alarm("executor", "orphan_stopped", "executor: runs what nobody here started.", fields)
	metrics.count("orphan_runs", "stopped")
	const isAnswered = await sendOrphanStop(link, task, run)
	link.unansweredStops.delete(name)
	if (!isAnswered && link.stoppingOrphans.delete(name))
		return void link.unanswered.push({task, run})
	link.stoppingUntil = clock.now() + stopTakesMs(link)
	clock.schedule(stopTakesMs(link), () => {
		// Should a list still name it, it is stopped once more.
		link.stoppingOrphans.delete(name)
		onRoom()
	})
}

/** Whether the stop was answered; a listed end, or the end of a silent executor's lease, ends the tries. */
async function sendOrphanStop(link: LinkState, task: string, run: number): Promise<boolean> {
	const {clock} = link.deps
	while (!link.isClosed && link.stoppingOrphans.has(runName(task, run))) {
		link.stoppingUntil = clock.now() + STOP_TIMEOUT_MS + stopTakesMs(link)
		if (await isStopAnswered(link, task, run)) return true
		if (hasLapsedSilent(link)) return false
		await clock.sleep(STOP_RETRY_MS)
	}
	return false
}

async function isStopAnswered(link: LinkState, task: string, run: number): Promise<boolean> {
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
		if (!(await mayStartNow(link, run))) break
		if (link.deps.isEvacuated()) return stopEvacuated(link, run)
		// It may have waited; a lease that nobody can renew is not worth a start.
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
 * A lost start is sent again once an answer is clearly overdue. With 3.6% of orders lost and 90 ms for each try, the short
 * kind of request, whose slack is 96 ms, lost the objective with each lost start.
 */
function startTimeoutMs(link: LinkState, tries: number): number {
	if (tries >= EARLY_TRIES) return START_TIMEOUT_MS
	return Math.min(START_TIMEOUT_MS, link.deps.losses.timeoutMs(START_TIMEOUT_MS) * 2 ** tries)
}

/** Nothing further is sent there; what may have arrived already is stopped, since it may be carried out late. */
function stopEvacuated(link: LinkState, run: Run) {
	if (run.hasUnansweredStart) stopRun(link, run, "uncertain")
	else returnUnsent(link, run, "its failure domain is emptied")
}

function returnUnsent(link: LinkState, run: Run, cause: string) {
	void settleRun(link, run, {type: "returned", cause}, "never sent")
}

/** Waits for stops without an answer, beside which nothing starts; false once it is too late, or not wanted. */
async function mayStartNow(link: LinkState, run: Run): Promise<boolean> {
	const {clock} = link.deps
	const isInTime = () => clock.now() - run.startedAt <= LATEST_START_MS
	while (isStarting(link, run) && isInTime() && link.unansweredStops.size > 0)
		await clock.sleep(STOPS_POLL_MS)
	return isStarting(link, run) && isInTime()
}

/** A run that is being stopped gets no further start: that would renew the lease under which it may run. */
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
		return noteThere(run, now)
	}
	noteRefusedStart(link, run, reply.cause)
	// The start before was done: its run is there, or has ended and will be listed so.
	if (wasRepeated && reply.cause === "old") return noteThere(run, now)
	// The start before had no answer and may still be carried out; a stop that is answered prevents it.
	if (wasRepeated) return stopRun(link, run, "uncertain")
	settleRefused(link, run, reply.cause)
}

/** The executor has had the run; from now on its lists say what becomes of it. */
function noteThere(run: Run, now: number) {
	// What an answered stop has said holds on: a stop takes its time, whatever answer comes after it.
	run.listedFrom = Math.max(run.listedFrom ?? now, now)
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
		link.deps.clock.schedule(UNHEALTHY_PAUSE_MS, link.deps.onRoom)
	}
}

function settleRefused(link: LinkState, run: Run, cause: string) {
	const isNumberTaken = cause === "old"
	const end: TaskEnd = isNumberTaken
		? {type: "outnumbered", executor: link.record.id}
		: {type: "returned", cause}
	settleRun(link, run, end, "start refused")
}

/** How long a run that is being stopped may hold its room without being listed. */
const stopTakesMs = (link: LinkState) => link.deps.stopGraceMs + STOP_MARGIN_MS

async function sendStop(link: LinkState, run: Run) {
	const {clock} = link.deps
	const {task, run: number} = run.req
	while (!link.isClosed && isCurrent(link, run)) {
		if (await isStopAnswered(link, task, number)) {
			run.listedFrom = clock.now() + stopTakesMs(link)
			return
		}
		await clock.sleep(STOP_RETRY_MS)
	}
	link.unansweredStops.delete(runName(task, number))
}
