/**
 * Keeps an executor's lease and learns of ends: one `hold` call is always under way.
 *
 * It presents the fence, renews the lease, waits for an end, and lists what runs there. A run that a
 * list asked for after the run's last answered order does not name is gone. While the executor stays
 * silent its runs count as running until its lease has certainly ended.
 */
import type {HoldReply, RunEnd, RunningRow} from "../types/executor.js"
import {stopOrphan, stopRun, stopUnanswered} from "./link-orders.js"
import {
	addRun,
	closeLink,
	forgettableSerial,
	forgetUnwatched,
	hasLapsedSilent,
	isIdle,
	isOwnReply,
	isWaitedFor,
	lostOrStopped,
	nextLeaseUntil,
	noteAnswering,
	noteSilence,
	runName,
	settleAllLost,
	settleRun,
	type LinkState,
} from "./link-state.js"
import type {Run, TaskEnd, TaskEnded} from "./run.js"

/**
 * A hold's answer waits this long for an end while something runs there: answers get lost on bad days,
 * and what ended is not known until the next one.
 */
const BUSY_WAIT_MS = 160
/** And this long while nothing does; two more tries fit in the shortest lease of 1 s. */
const IDLE_WAIT_MS = 400
/**
 * And this long while runs are there that may be handed over any moment: until then nobody renews their lease, and two
 * holds that are lost after it must not end them.
 */
const UNKNOWN_WAIT_MS = 60
/** Beyond the wait, a hold's answer is missed after this: some fifty round trips. */
const HOLD_SLACK_MS = 110
/** Between tries to reach a silent executor: a fraction of the lease. */
const SILENT_RETRY_MS = 60
/**
 * Without progress for this long, and for this share of its estimate, a run counts as stuck. Progress
 * comes in hundredths, so a run eight times slower than estimated shows some in a tenth of that share.
 */
const STUCK_MS = 250
const STUCK_ESTIMATES = 0.6

/** Between two holds while ends wait for the store: a few of its answers. */
const NOTE_PAUSE_MS = 20

type Held = Extract<HoldReply, {type: "held"}>

/** Runs until the link is closed. */
export async function holdLoop(link: LinkState) {
	const {clock, orders, fence} = link.deps
	while (!link.isClosed) {
		const sentAt = clock.now()
		const isSilent = link.silentSince !== undefined
		const waitMs = link.isFenceTaken && !isSilent ? waitMsOf(link) : 0
		// A silent executor may hear us: what is asked while it is silent must not keep its lease alive,
		// or nobody could ever tell that its runs have ended.
		const leaseUntilMs = isSilent || !needsLease(link) ? undefined : nextLeaseUntil(link)
		const order = {fence, seenSerial: forgettableSerial(link), leaseUntilMs, waitMs}
		const reply = await orders.hold(link.record, order, waitMs + HOLD_SLACK_MS)
		if (isOwnReply(link, reply, "hold")) noteHeld(link, reply, sentAt)
		else if (!link.isClosed) await noteUnheld(link, reply)
		// Ends that may not be forgotten yet are listed again at once, whatever the wait.
		if (link.unnoted.size > 0) await clock.sleep(NOTE_PAUSE_MS)
	}
}

/**
 * Whether the lease is to be renewed. It is not for runs that nobody here wants, whatever they are: that the placer before
 * may still hand over, that may be a kept job's once the store is read, or that are being stopped. Nor is it while a
 * stop stays without an answer, at the risk of what else runs there. So each run that nobody wants is over
 * a lease later at most, and those who wait for that go by nothing else.
 */
function needsLease({runs, orphans, unansweredStops}: LinkState): boolean {
	if (unansweredStops.size > 0) return false
	const isIdle = runs.size + orphans.size === 0
	return isIdle || [...runs.values()].some(({state}) => state !== "stopping")
}

function waitMsOf({runs, orphans}: LinkState): number {
	if (orphans.size > 0) return UNKNOWN_WAIT_MS
	return runs.size > 0 ? BUSY_WAIT_MS : IDLE_WAIT_MS
}

async function noteUnheld(link: LinkState, reply: HoldReply) {
	const {clock} = link.deps
	noteSilence(link, reply.type === "silent" ? reply.cause : reply.type)
	if (hasLapsedSilent(link)) {
		settleAllLost(link, "its lease ended while silent")
		link.orphans = new Set()
		// What it listed before is told by nobody; the store has what counts, or the next list names it.
		if (link.isRetired && !isWaitedFor(link)) forgetUnwatched(link)
	}
	if (link.isRetired && isIdle(link)) return closeLink(link)
	await clock.sleep(SILENT_RETRY_MS)
}

function noteHeld(link: LinkState, reply: Held, sentAt: number) {
	const now = link.deps.clock.now()
	link.executorClock.observe(reply.clockMs, now)
	noteAnswering(link)
	stopUnanswered(link)
	for (const end of reply.ends) noteEnd(link, end)
	const listed = new Set<string>()
	const unknown = new Set<string>()
	for (const row of reply.running) {
		const run = link.runs.get(row.task)
		if (run?.req.run === row.run) {
			listed.add(row.task)
			noteProgress(link, run, row.percent, now)
		} else if (!run && link.deps.kept.adopt(link.record.id, row.task, row.run)) listed.add(row.task)
		else unknown.add(noteOrphan(link, row))
	}
	claimStrayEnds(link)
	const hadOrphans = link.orphans.size > 0
	link.orphans = unknown
	settleUnlisted(link, listed, sentAt)
	if (!link.isFenceTaken) noteFenceTaken(link)
	else if (hadOrphans && unknown.size === 0) link.deps.onRoom()
}

function noteOrphan(link: LinkState, row: RunningRow): string {
	const name = runName(row.task, row.run)
	if (!isWaitedFor(link)) void stopOrphan(link, row.task, row.run)
	return name
}

function settleUnlisted(link: LinkState, listed: ReadonlySet<string>, sentAt: number) {
	for (const run of [...link.runs.values()]) {
		if (run.listedFrom === undefined || run.listedFrom > sentAt) continue
		if (!listed.has(run.req.task)) void settleRun(link, run, lostOrStopped(link, run, "not there"))
	}
}

function noteFenceTaken(link: LinkState) {
	link.isFenceTaken = true
	const {log, fence, onRoom} = link.deps
	const fields = {executor: link.record.id, fence, count: link.orphans.size}
	log.event("executor", "fence_taken", "executor: obeys our fence.", fields)
	onRoom()
}

function noteEnd(link: LinkState, end: RunEnd) {
	if (end.serial <= link.seenSerial) return
	link.seenSerial = end.serial
	const run = link.runs.get(end.task)
	link.stoppingOrphans.delete(runName(end.task, end.run))
	if (run?.req.run === end.run)
		return forgetWhenNoted(link, end.serial, settleRun(link, run, endOf(link, run, end)))
	link.unnoted.add(end.serial)
	link.strayEnds.set(runName(end.task, end.run), end)
}

/** Kept jobs are known from now on: what the executor has listed before may be theirs. */
export function offerOrphans(link: LinkState) {
	claimStrayEnds(link)
	for (const name of link.orphans) {
		const [task = "", run] = name.split("/")
		link.deps.kept.adopt(link.record.id, task, Number(run))
	}
}

/** Lets the executor forget an end once the store has what counts of it. */
function forgetWhenNoted({unnoted}: LinkState, serial: number, noted: TaskEnded) {
	if (!noted) return void unnoted.delete(serial)
	unnoted.add(serial)
	void noted.then(() => unnoted.delete(serial))
}

/** Ends of runs that nobody watched go to the kept jobs, as soon as those are known. */
function claimStrayEnds(link: LinkState) {
	const {kept, clock, orphansWaitUntil} = link.deps
	if (kept.isRestoring()) return
	for (const [name, end] of link.strayEnds) {
		// The placer before may still hand over the run that ended.
		if (!kept.knows(end.task) && clock.now() < orphansWaitUntil) continue
		link.strayEnds.delete(name)
		const stray: TaskEnd =
			end.how === "done" || end.how === "failed"
				? {type: end.how, executor: link.record.id, cause: "ended unwatched"}
				: {type: "lost", executor: link.record.id, cause: end.how}
		forgetWhenNoted(link, end.serial, kept.noteStrayEnd(end.task, stray))
	}
}

/**
 * Takes over a run that the placer before had there. A run whose start was not answered there, and that
 * the list under our fence does not name, was refused for its fence; its room is not taken.
 */
export function adoptRun(link: LinkState, run: Run, wasStarted: boolean) {
	const {clock, maxLeaseMs} = link.deps
	// Its lease is the one that the placer before asked for last, whatever the executor has told here.
	link.executorClock.presume(maxLeaseMs, clock.now())
	addRun(link, run)
	const name = runName(run.req.task, run.req.run)
	const end = link.strayEnds.get(name)
	link.strayEnds.delete(name)
	if (end) {
		noteAdopted(link, run, `ended: ${end.how}`)
		return forgetWhenNoted(link, end.serial, settleRun(link, run, endOf(link, run, end)))
	}
	const isThere = link.orphans.has(name) || link.stoppingOrphans.has(name)
	if (!isThere && !wasStarted && link.isFenceTaken) {
		noteAdopted(link, run, "never there")
		return void settleRun(link, run, {type: "returned", cause: "its start never arrived"})
	}
	noteAdopted(link, run, isThere ? "listed" : "not listed yet")
	link.orphans = new Set([...link.orphans].filter(orphan => orphan !== name))
	if (link.orphans.size === 0) link.deps.onRoom()
}

/** What is known of an adopted run, and how old that is, decides whether it is later told as lost. */
function noteAdopted(link: LinkState, run: Run, outcome: string) {
	const {clock, log, fence} = link.deps
	const {job, task, run: number} = run.req
	const readingAgeMs = link.executorClock.readingAgeMs(clock.now())
	log.alarm("placer", "run_adopted", "placer: took over a run of the placer before.", {
		job,
		task,
		run: number,
		executor: link.record.id,
		fence,
		outcome,
		inputAgeMs: readingAgeMs === undefined ? undefined : Math.round(readingAgeMs),
	})
}

function endOf(link: LinkState, run: Run, {how}: RunEnd): TaskEnd {
	const executor = link.record.id
	if (how === "done") return {type: "done", executor}
	if (how === "failed") return {type: "failed", executor, cause: "failed"}
	return lostOrStopped(link, run, how)
}

function noteProgress(link: LinkState, run: Run, percent: number, now: number) {
	if (run.state === "starting") run.state = "running"
	run.seenAt = now
	if (percent > run.percent) {
		run.percent = percent
		run.progressAt = now
		return
	}
	const limitMs = Math.max(STUCK_MS, run.req.estimateMs * STUCK_ESTIMATES)
	if (run.state !== "running" || run.req.isLasting || run.req.gang) return
	if (now - run.progressAt < limitMs) return
	const {job, task, run: number, estimateMs} = run.req
	const inputAgeMs = Math.round(now - run.progressAt)
	const fields = {job, task, run: number, executor: link.record.id, estimateMs, inputAgeMs}
	const message = "placer: a run makes no progress; stopping it."
	link.deps.log.alarm("placer", "run_stuck", message, fields)
	stopRun(link, run, "stuck")
}
