/**
 * A placer's connection to one executor: its capacity, its runs, and starting and stopping them.
 */
import type {ExecutorRecord} from "../types/executor.js"
import {adoptRun, holdLoop, offerOrphans} from "./hold.js"
import {isConfirmed} from "./lease.js"
import {adoptedRun, startRun, stopRun} from "./orders.js"
import {areEndsKnown, willListEnd} from "./end-list.js"
import {
	countFittingBesideLasting,
	freeCpu,
	hasRoom,
	isCompatible,
	isKeptOffByLasting,
	isShared,
	occupy,
	type TaskShape,
} from "./room.js"
import {hasOrphanOf, isIdle, isUsableSoon, isUsable} from "./availability.js"
import {closeLink} from "./replies.js"
import {awaitedRuns, releaseRuns} from "./runs.js"
import {newLinkState, type LinkDeps} from "./state.js"
import type {OnTaskEnd, Run, StopCause, TaskRequest} from "../place/run.js"
import {endOnFailure} from "../utils/keep-going.js"

export interface ExecutorLink {
	readonly record: ExecutorRecord
	/** Takes the executor's current record. */
	update(record: ExecutorRecord): void
	/** Whether new work may be started there, and its end will be listed as soon as it comes. */
	isUsable(): boolean
	/** Whether the task may be started there; a kept task's end may be listed late. */
	mayStart(req: TaskRequest): boolean
	/** Whether the executor has accepted this placer's fence. */
	isFenceTaken(): boolean
	/** Whether the executor does not answer. */
	isSilent(): boolean
	/** Whether the executor has no ends that it has not listed, or is gone with them. */
	areEndsKnown(): boolean
	/** Whether the executor is usable or likely to become usable within a moment. */
	isUsableSoon(): boolean
	/** Free thousandths of a core. */
	freeCpu(): number
	hasRoom(req: Pick<TaskRequest, "need">): boolean
	/** How many tasks of a kind would fit if only the lasting runs there were left. */
	countFittingBesideLasting(req: TaskShape): number
	/** Whether lasting runs there leave the task no room or must not share the executor with it. */
	isKeptOffByLasting(req: TaskRequest): boolean
	/** Whether the task may share the executor with the runs there. */
	isCompatible(req: TaskRequest): boolean
	/** Whether the task or a run there should have the executor to itself, but would share it. */
	isShared(req: TaskRequest): boolean
	/** Whether the task's caller was confirmed recently enough for a run to start there. */
	isConfirmed(req: TaskRequest): boolean
	/** Reserves a task's capacity while a gang is being placed. */
	reserve(req: TaskRequest): void
	unreserve(req: TaskRequest): void
	runCount(): number
	/** Whether an orphan of the task is there, or is still being stopped. */
	hasOrphanOf(task: string): boolean
	/** Whether no more orders are sent. */
	isClosed(): boolean
	/** Whether another process answered at the executor's address. */
	isReplaced(): boolean
	/** Whether the executor is no longer listed. */
	isRetired(): boolean
	/** Whether the executor has no run or end that anybody may want. */
	isIdle(): boolean
	/** Number of a job step's tasks that run there. */
	countOf(stepName: string): number
	start(req: TaskRequest, onEnd: OnTaskEnd): Run
	/** Adopts a run that the previous placer had there. */
	adopt(req: TaskRequest, isStarted: boolean, onEnd: OnTaskEnd): Run
	/** The runs whose ends are awaited, and whether the start of each was answered. */
	runs(): readonly {readonly run: Run; readonly isStarted: boolean}[]
	/** Stops a run; its `onEnd` is called when it has ended. */
	cancel(run: Run, cause?: StopCause): void
	/** Offers orphans and unclaimed ends to the kept jobs. */
	offerOrphans(): void
	/**
	 * The executor is no longer listed: starts nothing new; the link can be closed once nothing
	 * runs.
	 */
	retire(): void
	/** Closes the link; its runs are left to the next fence. */
	close(): void
	/** Closes the link and drops its runs, which another placer has. */
	release(): void
}

export function createExecutorLink(record: ExecutorRecord, deps: LinkDeps): ExecutorLink {
	const link = newLinkState(record, deps)
	endOnFailure(holdLoop(link))
	return {
		get record() {
			return link.record
		},
		update(next) {
			link.record = next
			link.isRetired = link.isClosed
		},
		isUsable: () => isUsable(link) && willListEnd(link),
		mayStart: req => isUsable(link) && (req.isKept === true || willListEnd(link)),
		isFenceTaken: () => link.isFenceTaken,
		isSilent: () => link.silentSince !== undefined,
		areEndsKnown: () => areEndsKnown(link),
		isUsableSoon: () => isUsableSoon(link),
		freeCpu: () => freeCpu(link),
		hasRoom: req => hasRoom(link, req),
		countFittingBesideLasting: req => countFittingBesideLasting(link, req),
		isKeptOffByLasting: req => isKeptOffByLasting(link, req),
		isCompatible: req => isCompatible(link, req, () => deps.clock.now()),
		isShared: req => isShared(link, req),
		isConfirmed: req => isConfirmed(link, req),
		reserve: req => occupy(link, req, 1),
		unreserve: req => occupy(link, req, -1),
		runCount: () => link.runs.size,
		hasOrphanOf: task => hasOrphanOf(link, task),
		isClosed: () => link.isClosed,
		isReplaced: () => link.isReplaced,
		isRetired: () => link.isRetired,
		isIdle: () => isIdle(link),
		countOf: stepName => link.counts.all.steps.get(stepName) ?? 0,
		start: (req, onEnd) => startRun(link, req, onEnd),
		adopt(req, isStarted, onEnd) {
			const run = adoptedRun(link, req, onEnd)
			adoptRun(link, run, isStarted)
			return run
		},
		runs: () =>
			awaitedRuns(link).map(run => ({
				run,
				isStarted: run.absenceProvesEndFrom !== undefined,
			})),
		cancel: (run, cause = "cancelled") => stopRun(link, run, cause),
		offerOrphans: () => offerOrphans(link),
		retire() {
			link.isRetired = true
		},
		close: () => closeLink(link),
		release() {
			closeLink(link)
			releaseRuns(link)
		},
	}
}
