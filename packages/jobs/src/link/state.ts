/**
 * What a placer holds of one executor: its runs, its room, its clock, and whether it answers.
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

/** An answer that was lost, or a slow machine of ours, is over by then; a dead executor is not. */
const PROMISING_MS = 500

/** What a placer's executors tell of runs that may be kept jobs'. */
export interface KeptRuns {
	/** What runs and what ended may still turn out to be a kept job's: the store has not been read. */
	isRestoring(): boolean
	/** Whether a kept job has the task. */
	knows(task: string): boolean
	/** Takes over a run that an executor lists; false when no kept job wants it. */
	adopt(executor: string, task: string, run: number): boolean
	/** Takes an end of a run that nobody watched. */
	noteUnclaimedEnd(task: string, end: TaskEnd): EndRecorded
}

export interface LinkDeps {
	readonly clock: Clock
	readonly orders: ExecutorOrders
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly fence: number
	readonly leaseRule: LeaseRule
	/** What is being stopped may go on for this long, in milliseconds, listed or not. */
	readonly stopGraceMs: number
	/** Whether operators are emptying the failure domain: nothing further starts there. */
	readonly isEvacuated: () => boolean
	/** Runs that nobody here started are left alone until then: the placer before hands them over. */
	readonly orphansWaitUntil: number
	/** Called when room appeared or an executor became usable. */
	readonly onRoom: () => void
	/** Called when a higher fence was seen there. */
	readonly onFenced: (executor: ExecutorRecord) => void
	readonly onRunEnd: (executor: string, run: Run, end: TaskEnd, proof: RunProof) => void
	readonly kept: KeptRuns
	readonly tickets: Tickets
	readonly losses: LossDetector
	/** How many runs of each task the placer has, over all its links. */
	readonly runCounts: Map<string, number>
	/** Called when a list says that a run goes on. */
	readonly onProgress: (executor: string, run: Run) => void
	/** How many times its estimates work is known to take on an executor. */
	readonly slownessOf: (executor: string) => number
}

export interface LinkState {
	readonly deps: LinkDeps
	record: ExecutorRecord
	readonly executorClock: ExecutorClock
	readonly runs: Map<string, Run>
	/** Runs there that nobody here started; while there are any, the free room is unknown. */
	orphans: ReadonlySet<string>
	/** Runs that nobody here wants and that are being stopped. */
	readonly stoppingOrphans: Set<string>
	/** Runs that are being stopped and of whose stops one at least stayed without an answer. */
	readonly unansweredStops: Set<string>
	/** Ends of runs that nobody here started, until the placer before hands them over. */
	readonly strayEnds: Map<string, RunEnd>
	/** Runs that were settled though a start or stop of theirs was never answered. */
	readonly unanswered: {readonly task: string; readonly run: number}[]
	readonly used: {cpu: number; memoryMb: number; accelerators: number}
	/** Ends up to this serial are settled here. */
	seenSerial: number
	/** Serials of ends that the executor must list until the store has them. */
	readonly unnoted: Set<number>
	isFenceTaken: boolean
	isRetired: boolean
	isClosed: boolean
	/** Another life answered: whatever ran in this one is gone. */
	isReplaced: boolean
	silentSince: number | undefined
	/** Nothing has listened at its address since it fell silent: its process is gone. */
	wasRefused: boolean
	/** When any order was answered last. */
	answeredAt: number
	/** Whether a second hold is under way, since orders get lost. */
	hasSpareHold: boolean
	unhealthyUntil: number
	/** Until then a run that nobody here started may still be stopping, and holds its room unlisted. */
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
		orphans: new Set(),
		unanswered: [],
		stoppingOrphans: new Set(),
		unansweredStops: new Set(),
		strayEnds: new Map(),
		used: {cpu: 0, memoryMb: 0, accelerators: 0},
		seenSerial: 0,
		unnoted: new Set(),
		isFenceTaken: false,
		isRetired: false,
		isClosed: false,
		isReplaced: false,
		silentSince: undefined,
		wasRefused: false,
		answeredAt: -Infinity,
		hasSpareHold: false,
		unhealthyUntil: -Infinity,
		stoppingUntil: -Infinity,
	}
}

/** Whether new work may go there. */
export function isUsable(link: LinkState): boolean {
	if (!link.isFenceTaken || link.isRetired || link.isClosed || link.record.isLeaving) return false
	if (link.silentSince !== undefined || link.orphans.size > 0) return false
	// A start would renew the lease of what is not known to be stopping yet.
	if (link.unansweredStops.size > 0 || link.deps.isEvacuated()) return false
	return hasNoPause(link)
}

/** Nothing that was stopped there holds its room unlisted, and it has not said a moment ago that it is unhealthy. */
function hasNoPause({stoppingUntil, unhealthyUntil, deps}: LinkState): boolean {
	// Most have never had a pause; reading the clock is the dearest of all these questions.
	const until = Math.max(stoppingUntil, unhealthyUntil)
	return until === -Infinity || deps.clock.now() >= until
}

/**
 * Whether it is likely to take work within a moment, if not now. One that was just added is: its first hold is under way, until that is
 * answered or missed.
 */
export function isPromising(link: LinkState): boolean {
	const {silentSince, deps, record} = link
	if (link.isRetired || link.isClosed || record.isLeaving || deps.isEvacuated()) return false
	if (!link.isFenceTaken) return silentSince === undefined
	return silentSince === undefined || deps.clock.now() - silentSince < PROMISING_MS
}

/** Whether runs that nobody here started may still find somebody who wants them. */
export function isWaitedFor({deps}: LinkState): boolean {
	return deps.clock.now() < deps.orphansWaitUntil || deps.kept.isRestoring()
}

/** Whether nothing that anybody may want can be there: no run, and no end that is not noted yet. */
export function isIdle(link: LinkState): boolean {
	const {runs, unnoted, orphans} = link
	if (link.isReplaced) return true
	if (runs.size > 0 || unnoted.size > 0 || (orphans.size > 0 && isWaitedFor(link))) return false
	return link.isFenceTaken || hasLapsedSilent(link)
}

/** Whether it is silent, and everything that ran there has certainly ended. */
export function hasLapsedSilent({silentSince, executorClock, deps}: LinkState): boolean {
	return silentSince !== undefined && executorClock.haveLeasesEnded(deps.clock.now())
}

/** Whether a run of the task that nobody here started is there, or is still being stopped. */
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

/** Forgets all runs without an end: another placer watches them from now on. */
export function releaseRuns(link: LinkState) {
	for (const run of link.runs.values()) {
		countRun(link, run, -1)
		occupy(link, run.req, -1)
	}
	link.runs.clear()
}

/** Ends a run here; its room is free from now on. */
export function settleRun(link: LinkState, run: Run, end: TaskEnd, proof: RunProof): EndRecorded {
	if (!isCurrent(link, run)) return undefined
	link.runs.delete(run.req.task)
	countRun(link, run, -1)
	occupy(link, run.req, -1)
	link.deps.metrics.count("task_ends", end.type)
	link.deps.onRunEnd(link.record.id, run, end, proof)
	const noted = run.onEnd(end)
	link.deps.onRoom()
	return noted
}

/** The highest serial up to which the executor may forget its ends. */
export function forgettableSerial({seenSerial, unnoted}: LinkState): number {
	return unnoted.size === 0 ? seenSerial : Math.min(...unnoted) - 1
}

/** How a run without a result ended, by what was wanted of it. */
export function lostOrStopped(link: LinkState, run: Run, cause: string): TaskEnd {
	const executor = link.record.id
	switch (run.stopCause) {
		case "cancelled":
			return {type: "stopped"}
		case "stuck":
			return {type: "lost", executor, cause: "stuck"}
		case "unheard":
			return {type: "lost", executor, cause: "its caller was not heard"}
		default:
			return {type: "lost", executor, cause}
	}
}

export function settleAllLost(link: LinkState, cause: string, proof: RunProof) {
	const crash = crashOf(link)
	for (const run of [...link.runs.values()]) {
		const {task, run: number} = run.req
		if (run.hasUnansweredStart) link.unanswered.push({task, run: number})
		const end = lostOrStopped(link, run, cause)
		const isCrash = end.type === "lost" && run.mayHaveStarted && crash !== undefined
		settleRun(link, run, isCrash ? {...end, crash} : end, proof)
	}
}

/** What the executor's end says of all that ran there; a planned end is nothing that its tasks have done. */
function crashOf({record, isReplaced, wasRefused, runs, orphans}: LinkState): Crash | undefined {
	if (record.isLeaving) return undefined
	if (!isReplaced && !wasRefused) return "possible"
	const begun = [...runs.values()].filter(({mayHaveStarted: mayHaveBegun}) => mayHaveBegun).length
	return begun + orphans.size > 1 ? "beside others" : "alone"
}

export function noteSilence(link: LinkState, cause: string) {
	if (link.silentSince !== undefined) return
	link.silentSince = link.deps.clock.now()
	const {id, address} = link.record
	const fields = {executor: id, address, cause, count: link.runs.size}
	link.deps.log.alarm("executor", "executor_silent", "executor: does not answer.", fields)
}

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
	forgetUnwatched(link)
	closeLink(link)
	settleAllLost(link, "replaced", "replaced")
}

/** Runs and ends there that nobody here watches are of no account any more. */
export function forgetUnwatched(link: LinkState) {
	link.orphans = new Set()
	link.stoppingOrphans.clear()
	link.strayEnds.clear()
	link.unnoted.clear()
}

function noteFenced(link: LinkState, order: string) {
	const {metrics, log, fence, onFenced} = link.deps
	metrics.count("fences_lost", order)
	const fields = {executor: link.record.id, fence, outcome: order}
	log.alarm("executor", "fence_lost", "executor: a higher fence was seen there.", fields)
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

/** Handles what all orders' replies have in common; says whether the reply is the order's own. */
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
			// One that is silent already is dead or cut off; nothing is lost on the way to the others.
			if (link.silentSince === undefined) link.deps.losses.noteLost()
			return false
		default:
			link.answeredAt = link.deps.clock.now()
			return true
	}
}

/** Names a run of a task. */
export const runName = (task: string, run: number) => `${task}/${run}`
