/**
 * State of a placer's link to one executor, shared by the modules of this folder: its runs, used
 * capacity, clock, and whether it answers.
 */
import type {Clock} from "@cottonwood/core"
import type {
	ExecutorOrders,
	ExecutorRecord,
	HoldReply,
	RunEnd,
	StartReply,
} from "../types/executor.js"
import type {EventLog, RunProof} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import type {Crash} from "../decide/crashes.js"
import {createExecutorClock, type ExecutorClock} from "./executor-clock.js"
import type {LeaseRule} from "../decide/lease-rule.js"
import {occupy} from "./room.js"
import type {Run, TaskEnd, EndRecorded} from "../place/run.js"
import type {LossDetector} from "./loss-detector.js"
import type {Tickets} from "../place/tickets.js"

/** A lost answer or a slow machine recovers within this time; a dead executor does not. */
const SHORT_SILENCE_MS = 500

/** How a link hands runs and ends that nobody here started to the kept jobs. */
export interface KeptRuns {
	/** The confirmation of the placer's kept runs, in milliseconds on the monotonic clock; it may lie ahead. */
	confirmedAt(): number
	/**
	 * Whether the store or the configuration has not been read yet, so that any run or end may still
	 * belong to a kept job.
	 */
	isRestoring(): boolean
	/** Whether the task belongs to a kept job. */
	knows(task: string): boolean
	/** Takes over a run that an executor lists; false when no kept job wants it. */
	adopt(executor: string, task: string, run: number): boolean
	/** Takes an end whose run was watched by nobody here. */
	noteUnclaimedEnd(task: string, run: number, end: TaskEnd): EndRecorded
}

export interface LinkDeps {
	readonly clock: Clock
	readonly orders: ExecutorOrders
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly fence: number
	readonly leaseRule: LeaseRule
	/** How long a run that is being stopped may continue, in milliseconds, listed or not. */
	readonly stopGraceMs: number
	/** Whether operators are evacuating the failure domain: nothing further starts there. */
	readonly isEvacuated: () => boolean
	/**
	 * Until then orphans are left alone, as the previous placer may hand them over; milliseconds on
	 * the monotonic clock.
	 */
	readonly orphansWaitUntil: number
	/** Called when capacity was freed or an executor became usable. */
	readonly onRoomFreed: () => void
	/** Called when the executor has seen a higher fence. */
	readonly onFenced: (executor: ExecutorRecord) => void
	readonly onRunEnd: (executor: string, run: Run, end: TaskEnd, proof: RunProof) => void
	readonly kept: KeptRuns
	readonly tickets: Tickets
	readonly losses: LossDetector
	/** Number of runs by task, over all links of the placer. */
	readonly runCounts: Map<string, number>
	/** Called when a hold reports progress of a run. */
	readonly onProgress: (executor: string, run: Run) => void
	/** The factor by which work on an executor takes longer than estimated. */
	readonly slownessOf: (executor: string) => number
}

export interface LinkState {
	readonly deps: LinkDeps
	record: ExecutorRecord
	readonly executorClock: ExecutorClock
	readonly runs: Map<string, Run>
	/**
	 * Runs that are gone and use no capacity, by task, whose ends the executor may still have to
	 * list.
	 */
	readonly unlistedRuns: Map<string, Run>
	/**
	 * Listed runs that nobody here started, by run name; while there are any, the free capacity is
	 * unknown.
	 */
	orphans: ReadonlySet<string>
	/** Orphans that are being stopped, by run name. */
	readonly stoppingOrphans: Set<string>
	/** Runs being stopped, by run name, whose last stop order got no answer. */
	readonly unansweredStops: Set<string>
	/** Ends of runs that nobody here started, by run name, until somebody claims them. */
	readonly unclaimedEnds: Map<string, RunEnd>
	/** Runs that were settled although a start or stop of theirs was never answered. */
	readonly settledUnanswered: {readonly task: string; readonly run: number}[]
	readonly used: {cpu: number; memoryMb: number; accelerators: number}
	/** Ends up to this serial are processed here. */
	seenSerial: number
	/** Serials of ends that the executor must keep listing until the store has them. */
	readonly unrecordedEnds: Set<number>
	/** The lease has lapsed since the executor listed the ends up to this serial. */
	lapsedSerial: number
	/**
	 * Whether the executor's last list of ends was complete. Until then a run that is in neither list
	 * may have ended with a result.
	 */
	isEndListComplete: boolean
	/** How many ends the executor listed last. */
	listedEnds: number
	isFenceTaken: boolean
	isRetired: boolean
	isClosed: boolean
	/** Another process answered at the executor's address: all its runs are gone. */
	isReplaced: boolean
	silentSince: number | undefined
	/** Whether the executor was leaving or no longer listed when it was last heard: its end is planned. */
	isEndPlanned: boolean
	/** A connection was refused since the executor fell silent: its process is gone. */
	wasRefused: boolean
	/** When an order was last answered. */
	answeredAt: number
	/** Whether a second, concurrent hold is under way. */
	hasSecondHold: boolean
	unhealthyUntil: number
	/** Until then a stopped orphan may still use capacity without being listed. */
	stoppingUntil: number
}

export function newLinkState(record: ExecutorRecord, deps: LinkDeps): LinkState {
	const executorClock = createExecutorClock(deps.leaseRule)
	executorClock.assumeLeases(deps.leaseRule.longestEndMs, deps.clock.now())
	return {
		deps,
		record,
		executorClock,
		runs: new Map(),
		unlistedRuns: new Map(),
		orphans: new Set(),
		settledUnanswered: [],
		stoppingOrphans: new Set(),
		unansweredStops: new Set(),
		unclaimedEnds: new Map(),
		used: {cpu: 0, memoryMb: 0, accelerators: 0},
		seenSerial: 0,
		unrecordedEnds: new Set(),
		lapsedSerial: 0,
		isEndListComplete: false,
		listedEnds: 0,
		isFenceTaken: false,
		isRetired: false,
		isClosed: false,
		isReplaced: false,
		silentSince: undefined,
		isEndPlanned: false,
		wasRefused: false,
		answeredAt: -Infinity,
		hasSecondHold: false,
		unhealthyUntil: -Infinity,
		stoppingUntil: -Infinity,
	}
}

/** Whether new work may be started there. */
export function isUsable(link: LinkState): boolean {
	if (!link.isFenceTaken || link.isRetired || link.isClosed || link.record.isLeaving) return false
	if (link.silentSince !== undefined || link.orphans.size > 0) return false
	// A start would renew the lease of runs whose stop is not confirmed.
	if (link.unansweredStops.size > 0 || link.deps.isEvacuated()) return false
	return isNotPaused(link)
}

/**
 * Whether no stopped orphan may still use capacity unlisted, and the executor has not just reported
 * that it is unhealthy.
 */
function isNotPaused({stoppingUntil, unhealthyUntil, deps}: LinkState): boolean {
	// Most executors were never paused; skip reading the clock, which is the costliest check here.
	const until = Math.max(stoppingUntil, unhealthyUntil)
	return until === -Infinity || deps.clock.now() >= until
}

/**
 * Whether the executor is likely to become usable within a moment. A newly added one is, until its
 * first hold is answered or missed.
 */
export function isUsableSoon(link: LinkState): boolean {
	const {silentSince, deps, record} = link
	if (link.isRetired || link.isClosed || record.isLeaving || deps.isEvacuated()) return false
	if (!link.isFenceTaken) return silentSince === undefined
	return silentSince === undefined || deps.clock.now() - silentSince < SHORT_SILENCE_MS
}

/** Whether orphans may still be claimed, by a handover or by a kept job. */
export function mayOrphansBeClaimed({deps}: LinkState): boolean {
	return deps.clock.now() < deps.orphansWaitUntil || deps.kept.isRestoring()
}

/**
 * Whether the executor has nothing anybody may want: no run, no unrecorded or unlisted end, and no
 * orphan that may be claimed.
 */
export function isIdle(link: LinkState): boolean {
	const {runs, unlistedRuns, unrecordedEnds, orphans} = link
	if (link.isReplaced) return true
	if (runs.size + unlistedRuns.size > 0 || unrecordedEnds.size > 0) return false
	if (orphans.size > 0 && mayOrphansBeClaimed(link)) return false
	return (link.isFenceTaken && link.isEndListComplete) || isSilentPastLease(link)
}

/** Whether the executor is silent and everything that ran there has certainly ended. */
export function isSilentPastLease({silentSince, executorClock, deps}: LinkState): boolean {
	return silentSince !== undefined && executorClock.haveLeasesEnded(deps.clock.now())
}

/** Whether an orphan of the task is there, or is still being stopped. */
export function hasOrphanOf({orphans, stoppingOrphans}: LinkState, task: string): boolean {
	if (orphans.size + stoppingOrphans.size === 0) return false
	const isOfTask = (name: string) => name.startsWith(`${task}/`)
	return [...orphans, ...stoppingOrphans].some(isOfTask)
}

export function isCurrent(link: LinkState, run: Run): boolean {
	return link.runs.get(run.req.task) === run
}

function countRun({deps: {runCounts}}: LinkState, {req: {task}}: Run, by: 1 | -1) {
	const count = (runCounts.get(task) ?? 0) + by
	if (count > 0) runCounts.set(task, count)
	else runCounts.delete(task)
}

export function addRun(link: LinkState, run: Run) {
	if (!link.runs.has(run.req.task)) countRun(link, run, 1)
	link.runs.set(run.req.task, run)
	occupy(link, run.req, 1)
}

/** Removes a run and frees its capacity; false when it has been removed before. */
function removeRun(link: LinkState, run: Run): boolean {
	const {task} = run.req
	if (isCurrent(link, run)) {
		link.runs.delete(task)
		occupy(link, run.req, -1)
	} else if (link.unlistedRuns.get(task) === run) link.unlistedRuns.delete(task)
	else return false
	countRun(link, run, -1)
	return true
}

/** Frees the capacity of a run that is gone; its end is still awaited. */
export function awaitUnlistedEnd(link: LinkState, run: Run) {
	link.runs.delete(run.req.task)
	occupy(link, run.req, -1)
	link.unlistedRuns.set(run.req.task, run)
	link.deps.onRoomFreed()
}

/** The runs whose ends are awaited, whether they are still there or not. */
export function awaitedRuns({runs, unlistedRuns}: LinkState): readonly Run[] {
	return [...runs.values(), ...unlistedRuns.values()]
}

/** The awaited run of this task and number, if any. */
export function awaitedRun(link: LinkState, task: string, number: number): Run | undefined {
	const run = link.runs.get(task)
	if (run?.req.run === number) return run
	const unlisted = link.unlistedRuns.get(task)
	return unlisted?.req.run === number ? unlisted : undefined
}

/** Drops all runs without reporting an end, since another placer watches them now. */
export function releaseRuns(link: LinkState) {
	for (const run of awaitedRuns(link)) removeRun(link, run)
}

/**
 * Removes a run, frees its capacity and reports its end. Returns a promise that resolves once the
 * end is recorded, or undefined if it need not be.
 */
export function settleRun(link: LinkState, run: Run, end: TaskEnd, proof: RunProof): EndRecorded {
	if (!removeRun(link, run)) return undefined
	link.deps.metrics.count("task_ends", end.type)
	link.deps.onRunEnd(link.record.id, run, end, proof)
	const recorded = run.onEnd(end)
	link.deps.onRoomFreed()
	return recorded
}

/** The highest serial up to which the executor may forget its ends. */
export function forgettableSerial({seenSerial, unrecordedEnds}: LinkState): number {
	return unrecordedEnds.size === 0 ? seenSerial : Math.min(...unrecordedEnds) - 1
}

/** The end of a run that has no result, by why it was being stopped. */
export function endWithoutResult(link: LinkState, run: Run, cause: string): TaskEnd {
	const executor = link.record.id
	switch (run.stopCause) {
		case "cancelled":
			return {type: "stopped"}
		case "stuck":
			return {type: "lost", executor, cause: "stuck"}
		case "unheard":
			if (run.req.isKept) return {type: "stopped"}
			return {type: "lost", executor, cause: "its caller was not heard"}
		default:
			return {type: "lost", executor, cause}
	}
}

export function settleAllLost(link: LinkState, cause: string, proof: RunProof) {
	const crash = crashOf(link)
	for (const run of [...link.runs.values()]) {
		const {task, run: number} = run.req
		if (run.hasUnansweredStart) link.settledUnanswered.push({task, run: number})
		const end = endWithoutResult(link, run, cause)
		const isCrash = end.type === "lost" && run.mayHaveStarted && crash !== undefined
		settleRun(link, run, isCrash ? {...end, crash} : end, proof)
	}
	// These were gone before.
	for (const run of [...link.unlistedRuns.values()])
		settleRun(link, run, endWithoutResult(link, run, cause), proof)
}

/**
 * What the end of the executor's process says about its runs; undefined when that end was planned.
 */
function crashOf(link: LinkState): Crash | undefined {
	const {record, isEndPlanned, isReplaced, wasRefused, runs, orphans} = link
	if (record.isLeaving || isEndPlanned) return undefined
	if (!isReplaced && !wasRefused) return "possible"
	const begun = [...runs.values()].filter(({mayHaveStarted}) => mayHaveStarted).length
	return begun + orphans.size > 1 ? "beside others" : "alone"
}

export function noteSilence(link: LinkState, cause: string) {
	if (link.silentSince !== undefined) return
	link.silentSince = link.deps.clock.now()
	link.isEndPlanned = isLeavingOrUnlisted(link)
	const {id, address} = link.record
	const fields = {executor: id, address, cause, count: link.runs.size}
	link.deps.log.alarm("executor", "executor_silent", "executor: stopped answering.", fields)
}

/** Some executors that leave as planned do not say so: their entry goes, and they go on for a while. */
const isLeavingOrUnlisted = ({record, isRetired}: LinkState) => record.isLeaving || isRetired

export function noteAnswering(link: LinkState) {
	if (link.silentSince === undefined) return
	const inputAgeMs = Math.round(link.deps.clock.now() - link.silentSince)
	link.silentSince = undefined
	link.wasRefused = false
	const fields = {executor: link.record.id, inputAgeMs}
	link.deps.log.event("executor", "executor_answers", "executor: answers again.", fields)
}

function noteReplaced(link: LinkState) {
	const fields = {executor: link.record.id, count: link.runs.size}
	const message = "executor: another life answers there."
	link.deps.log.alarm("executor", "executor_replaced", message, fields)
	link.isReplaced = true
	// What ends without silence before has been heard until now.
	if (link.silentSince === undefined) link.isEndPlanned = isLeavingOrUnlisted(link)
	forgetUnwatched(link)
	closeLink(link)
	settleAllLost(link, "replaced", "replaced")
}

/** Drops runs and ends that nobody here watches. */
export function forgetUnwatched(link: LinkState) {
	link.orphans = new Set()
	link.stoppingOrphans.clear()
	link.unclaimedEnds.clear()
	link.unrecordedEnds.clear()
}

function noteFenced(link: LinkState, order: string) {
	const {metrics, log, fence, onFenced} = link.deps
	metrics.count("fences_lost", order)
	const fields = {executor: link.record.id, fence, outcome: order}
	log.alarm("executor", "fence_lost", "executor: has seen a higher fence.", fields)
	link.isClosed = true
	onFenced(link.record)
}

export function closeLink(link: LinkState) {
	if (link.isClosed) return
	link.isClosed = true
	link.isRetired = true
	link.deps.orders.forget(link.record)
}

type OwnReply<T> = Exclude<T, {type: "fenced"} | {type: "replaced"} | {type: "silent"}>

/**
 * Handles the replies that all orders have in common (`fenced`, `replaced`, `silent`); true when
 * the reply is the order's own and the link is open.
 */
export function isOwnReply<T extends StartReply | HoldReply | {readonly type: string}>(
	link: LinkState,
	reply: T,
	order: "start" | "stop" | "hold",
): reply is OwnReply<T> {
	if (link.isClosed) return false
	switch (reply.type) {
		case "fenced":
			noteFenced(link, order)
			return false
		case "replaced":
			noteReplaced(link)
			return false
		case "silent":
			link.deps.metrics.count("executor_orders_silent", order)
			if ("isRefused" in reply && reply.isRefused) link.wasRefused = true
			// An executor that is already silent is dead or cut off, which says nothing about lost
			// packets.
			if (link.silentSince === undefined) link.deps.losses.noteLost()
			return false
		default:
			link.answeredAt = link.deps.clock.now()
			return true
	}
}

/** Identifies a run of a task. */
export const runName = (task: string, run: number) => `${task}/${run}`
