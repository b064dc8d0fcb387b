/**
 * Keeps an executor's lease and learns of ends: one `hold` call, a long poll, is always under way.
 *
 * A hold presents the fence, renews the lease, waits for an end, and lists what runs there. A run
 * is gone when a list that was requested after the run's last answered order doesn't name it, but
 * only a complete list of ends tells that it has ended without a result. Runs of a silent executor
 * count as running until its lease has certainly ended.
 */
import type {HoldReply, RunEnd, RunningTask} from "../types/executor.js"
import {shortSession} from "../utils/log.js"
import {noteEndList} from "./end-list.js"
import {nextLeaseUntil, noteLapse, shouldRenewLease} from "./lease.js"
import {stopOrphan, stopRun, stopSettledUnanswered, stopUnheard} from "./orders.js"
import {isSilentPastLease, isIdle, mayOrphansBeClaimed} from "./availability.js"
import {closeLink, isOwnReply, noteAnswering, noteSilence} from "./replies.js"
import {
	addRun,
	awaitedRun,
	awaitedRuns,
	awaitUnlistedEnd,
	forgettableSerial,
	forgetUnwatched,
	isCurrent,
	endWithoutResult,
	runName,
	settleAllLost,
	settleRun,
} from "./runs.js"
import type {LinkState} from "./state.js"
import type {Run, TaskEnd, EndRecorded} from "../place/run.js"

/**
 * How long a hold waits for an end while something runs there. Three waits and two margins fit
 * within the shortest lease of 1 s, so two lost answers don't end it.
 */
const BUSY_WAIT_MS = 200
/** The same while orders get lost. */
const LOSSY_WAIT_MS = 80
/** The same while nothing runs; two retries fit within the shortest lease of 1 s. */
const IDLE_WAIT_MS = 400
/**
 * The same while orphans may be handed over. Nobody renews their lease until then, and two holds
 * lost afterwards must not end it.
 */
const ORPHANS_WAIT_MS = 60
/** Time-out of a hold beyond its wait: some fifty round trips. */
const HOLD_SLACK_MS = 110
/** Between tries to reach a silent executor; a fraction of the lease. */
const SILENT_RETRY_MS = 60
/**
 * A run without progress for this long, and for this share of its expected duration, counts as
 * stuck. Progress is reported in hundredths, so a run eight times slower than expected shows some
 * within a tenth of that share.
 */
const STUCK_MS = 250
const STUCK_ESTIMATE_SHARE = 0.6

/** Between two holds while ends wait to be recorded in the store. */
const RECORD_PAUSE_MS = 20

type Held = Extract<HoldReply, {type: "held"}>

/** Sends holds until the link is closed. */
export async function holdLoop(link: LinkState) {
	const {clock} = link.deps
	while (!link.isClosed) {
		if (needsSecondHold(link) && !link.hasSecondHold) void secondHoldLoop(link)
		const isSilent = link.silentSince !== undefined
		await holdOnce(link, link.isFenceTaken && !isSilent ? waitMsOf(link) : 0)
		// Unrecorded ends are listed again at once, without a wait.
		if (link.unrecordedEnds.size > 0) await clock.sleep(RECORD_PAUSE_MS)
	}
}

/**
 * Sends a second hold beside the first, half a wait later, while orders get lost: each reports the
 * ends that the other one loses.
 */
async function secondHoldLoop(link: LinkState) {
	link.hasSecondHold = true
	await link.deps.clock.sleep(waitMsOf(link) / 2)
	while (needsSecondHold(link)) await holdOnce(link, waitMsOf(link))
	link.hasSecondHold = false
}

/** Whether runs are being waited for and orders get lost, so that one hold may not suffice. */
function needsSecondHold(link: LinkState): boolean {
	if (link.isClosed || !link.isFenceTaken || link.silentSince !== undefined) return false
	const isBusy = link.runs.size > 0 && link.orphans.size === 0 && link.unrecordedEnds.size === 0
	return isBusy && link.deps.losses.isLossy()
}

async function holdOnce(link: LinkState, waitMs: number) {
	const {clock, orders, fence} = link.deps
	const sentAt = clock.now()
	stopUnheard(link)
	noteLapse(link)
	// A silent executor may still receive orders. They must not renew its lease, or its runs could
	// never be known to have ended.
	const isSilent = link.silentSince !== undefined
	const leaseUntilMs = isSilent || !shouldRenewLease(link) ? undefined : nextLeaseUntil(link)
	const seenSerial = forgettableSerial(link)
	const order = {fence, seenSerial, leaseUntilMs, waitMs}
	const reply = await orders.hold(link.record, order, waitMs + holdSlackMs(link))
	if (isOwnReply(link, reply, "hold")) noteHoldReply(link, reply, {sentAt, seenSerial})
	// Another order was answered since: only this hold was lost.
	else if (!link.isClosed && link.answeredAt < sentAt) await noteHoldFailed(link, reply)
}

function holdSlackMs({deps}: LinkState): number {
	return deps.losses.isLossy() ? deps.losses.timeoutMs(HOLD_SLACK_MS) : HOLD_SLACK_MS
}

function waitMsOf(link: LinkState): number {
	const {deps, runs, orphans} = link
	// Its next list may have the ends that this one lacks.
	if (!link.isEndListComplete) return 0
	if (orphans.size > 0) return ORPHANS_WAIT_MS
	if (runs.size > 0 && deps.losses.isLossy()) return LOSSY_WAIT_MS
	return runs.size > 0 ? BUSY_WAIT_MS : IDLE_WAIT_MS
}

async function noteHoldFailed(link: LinkState, reply: HoldReply) {
	const {clock} = link.deps
	noteSilence(link, reply.type === "silent" ? reply.cause : reply.type)
	if (isSilentPastLease(link)) {
		settleAllLost(link, "its lease ended while silent", "lease over")
		link.orphans = new Set()
		// Nobody reports the ends it listed before; the store has those that matter, or the next
		// list names them.
		if (link.isRetired && !mayOrphansBeClaimed(link)) forgetUnwatched(link)
	}
	if (link.isRetired && isIdle(link)) return closeLink(link)
	await clock.sleep(SILENT_RETRY_MS)
}

/** State at the time a hold was sent. */
interface HoldContext {
	readonly sentAt: number
	readonly seenSerial: number
}

function noteHoldReply(link: LinkState, reply: Held, {sentAt, seenSerial}: HoldContext) {
	const now = link.deps.clock.now()
	link.executorClock.observe(reply.clockMs, now)
	noteAnswering(link)
	stopSettledUnanswered(link)
	// Of two concurrent holds the later answer may be the older one, listing a run as running whose
	// end the other reported.
	const reportedSerial = Math.max(seenSerial, ...reply.ends.map(({serial}) => serial))
	// Unrecorded ends are listed again, spread over answers, so a lower serial then proves nothing.
	const isOvertaken = link.unrecordedEnds.size === 0 && reportedSerial < link.seenSerial
	for (const end of reply.ends) noteEnd(link, end)
	if (isOvertaken) return
	noteEndList(link, reply.ends.length)
	const listed = new Set<string>()
	const unknown = new Set<string>()
	for (const row of reply.running) {
		const run = awaitedRun(link, row.task, row.run)
		if (run) {
			listed.add(row.task)
			// This may be an older list than the one that lacked the run.
			if (isCurrent(link, run)) noteProgress(link, run, row.percent, now)
		} else if (isAdopted(link, row)) listed.add(row.task)
		else unknown.add(noteOrphan(link, row))
	}
	offerUnclaimedEnds(link)
	const hadOrphans = link.orphans.size > 0
	link.orphans = unknown
	settleUnlisted(link, listed, sentAt)
	if (!link.isFenceTaken) noteFenceTaken(link)
	else if (hadOrphans && unknown.size === 0) link.deps.onRoomFreed()
}

/** Whether a kept job takes over the run; a task that has a run here needs no other. */
function isAdopted({runs, deps, record}: LinkState, {task, run}: RunningTask): boolean {
	return !runs.has(task) && deps.kept.adopt(record.id, task, run)
}

function noteOrphan(link: LinkState, row: RunningTask): string {
	const name = runName(row.task, row.run)
	if (!mayOrphansBeClaimed(link)) void stopOrphan(link, row.task, row.run)
	return name
}

/** Settles the runs that are gone without a result, or awaits their ends while the list is partial. */
function settleUnlisted(link: LinkState, listed: ReadonlySet<string>, sentAt: number) {
	for (const run of awaitedRuns(link)) {
		if (run.absenceProvesEndFrom === undefined || run.absenceProvesEndFrom > sentAt) continue
		if (listed.has(run.req.task)) continue
		if (link.isEndListComplete)
			void settleRun(link, run, endWithoutResult(link, run, "not there"), "not in a list")
		else if (isCurrent(link, run)) awaitUnlistedEnd(link, run)
	}
}

function noteFenceTaken(link: LinkState) {
	link.isFenceTaken = true
	const {clock, log, fence, leaseRule, onRoomFreed} = link.deps
	// Until this answer the previous placer may have requested leases.
	link.executorClock.assumeLeases(leaseRule.longestEndMs, clock.now())
	const fields = {executor: link.record.id, fence, count: link.orphans.size}
	log.event("executor", "fence_taken", "executor: accepted the fence.", fields)
	onRoomFreed()
}

function noteEnd(link: LinkState, end: RunEnd) {
	if (end.serial <= link.seenSerial) return
	link.seenSerial = end.serial
	const run = awaitedRun(link, end.task, end.run)
	if (link.stoppingOrphans.delete(runName(end.task, end.run))) noteOrphanEnd(link, end)
	if (run) return settleListed(link, run, end)
	link.unrecordedEnds.add(end.serial)
	link.unclaimedEnds.set(runName(end.task, end.run), end)
}

function settleListed(link: LinkState, run: Run, end: RunEnd) {
	const recorded = settleRun(link, run, endOf(link, run, end), "listed end")
	forgetWhenRecorded(link, end.serial, recorded)
}

function noteOrphanEnd({deps, record}: LinkState, {task, run, how}: RunEnd) {
	const fields = {job: task.split(".")[0], task, run, executor: record.id, fence: deps.fence}
	const message = "executor: what nobody here started has ended."
	deps.log.alarm("executor", "orphan_ended", message, {...fields, outcome: how})
}

/** Offers orphans and unclaimed ends to the kept jobs, once those are known. */
export function offerOrphans(link: LinkState) {
	offerUnclaimedEnds(link)
	for (const name of link.orphans) {
		const [task = "", run] = name.split("/")
		link.deps.kept.adopt(link.record.id, task, Number(run))
	}
}

/** Lets the executor forget an end once the store has recorded it. */
function forgetWhenRecorded({unrecordedEnds}: LinkState, serial: number, recorded: EndRecorded) {
	if (!recorded) return void unrecordedEnds.delete(serial)
	unrecordedEnds.add(serial)
	void recorded.then(() => unrecordedEnds.delete(serial))
}

/** Hands unclaimed ends to the kept jobs, as soon as those are known. */
function offerUnclaimedEnds(link: LinkState) {
	const {kept, clock, orphansWaitUntil} = link.deps
	if (kept.isRestoring()) return
	for (const [name, end] of link.unclaimedEnds) {
		// The previous placer may still hand over the run.
		if (!kept.knows(end.task) && clock.now() < orphansWaitUntil) continue
		link.unclaimedEnds.delete(name)
		const taskEnd: TaskEnd =
			end.how === "done" || end.how === "failed"
				? {type: end.how, executor: link.record.id, cause: "ended unwatched"}
				: {type: "lost", executor: link.record.id, cause: end.how}
		forgetWhenRecorded(link, end.serial, kept.noteUnclaimedEnd(end.task, end.run, taskEnd))
	}
}

/**
 * Adopts a run of the previous placer. If its start was unanswered and the complete list under this
 * fence doesn't name it, the start was refused for its old fence and the run uses no capacity.
 */
export function adoptRun(link: LinkState, run: Run, wasStarted: boolean) {
	const {clock, leaseRule} = link.deps
	// The previous placer may have renewed the lease after the last reading here.
	link.executorClock.assumeLeases(leaseRule.longestEndMs, clock.now())
	addRun(link, run)
	const name = runName(run.req.task, run.req.run)
	const end = link.unclaimedEnds.get(name)
	link.unclaimedEnds.delete(name)
	if (end) {
		noteAdopted(link, run, `ended: ${end.how}`)
		return settleListed(link, run, end)
	}
	const isThere = link.orphans.has(name) || link.stoppingOrphans.has(name)
	if (!isThere && !wasStarted && link.isFenceTaken && link.isEndListComplete) {
		noteAdopted(link, run, "never there")
		const returned = {type: "returned", cause: "its start never arrived"} as const
		return void settleRun(link, run, returned, "not in a list")
	}
	noteAdopted(link, run, isThere ? "listed" : "not listed yet")
	link.orphans = new Set([...link.orphans].filter(orphan => orphan !== name))
	if (link.orphans.size === 0) link.deps.onRoomFreed()
}

/**
 * Logs what is known of an adopted run, and how old that is, since it decides whether the run is
 * later reported as lost.
 */
function noteAdopted(link: LinkState, run: Run, outcome: string) {
	const {clock, log, fence} = link.deps
	const {job, task, run: number, askedBy} = run.req
	const readingAgeMs = link.executorClock.readingAgeMs(clock.now())
	log.alarm("placer", "run_adopted", "placer: adopted a run of the previous placer.", {
		job,
		task,
		run: number,
		executor: link.record.id,
		fence,
		askedBy: shortSession(askedBy),
		outcome,
		inputAgeMs: readingAgeMs === undefined ? undefined : Math.round(readingAgeMs),
	})
}

function endOf(link: LinkState, run: Run, {how}: RunEnd): TaskEnd {
	const executor = link.record.id
	if (how === "done") return {type: "done", executor}
	if (how === "failed") return {type: "failed", executor, cause: "failed"}
	return endWithoutResult(link, run, how)
}

function noteProgress(link: LinkState, run: Run, percent: number, now: number) {
	if (run.state === "starting") run.state = "running"
	run.lastSeenAt = now
	if (percent > run.percent) {
		run.percent = percent
		run.progressAt = now
		link.deps.onProgress(link.record.id, run)
		return
	}
	if (run.state !== "running" || run.req.isLasting || run.req.gang) return
	const expectedMs = run.req.estimateMs * link.deps.slownessOf(link.record.id)
	const limitMs = Math.max(STUCK_MS, expectedMs * STUCK_ESTIMATE_SHARE)
	if (now - run.progressAt < limitMs) return
	const {job, task, run: number, estimateMs} = run.req
	const inputAgeMs = Math.round(now - run.progressAt)
	const fields = {job, task, run: number, executor: link.record.id, estimateMs, inputAgeMs}
	const message = "placer: a run makes no progress; stopping it."
	link.deps.log.alarm("placer", "run_stuck", message, fields)
	stopRun(link, run, "stuck")
}
