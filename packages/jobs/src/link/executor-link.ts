/**
 * The placer's link to one executor, as the placer uses it.
 */
import type {ExecutorRecord} from "../types/executor.js"
import {adoptRun, holdLoop, offerOrphans} from "./hold.js"
import {isConfirmed} from "./lease.js"
import {inheritedRun, startRun, stopRun} from "./orders.js"
import {freeCpu, hasRoom, isCompatible, isShared, occupy} from "./room.js"
import {
	closeLink,
	hasOrphanOf,
	isIdle,
	isPromising,
	isUsable,
	newLinkState,
	releaseRuns,
	type LinkDeps,
} from "./state.js"
import type {OnTaskEnd, Run, StopCause, TaskRequest} from "../place/run.js"
import {stepNameOf} from "../place/task-queue.js"

export interface ExecutorLink {
	readonly record: ExecutorRecord
	/** Takes over what the list says now. */
	update(record: ExecutorRecord): void
	/** Whether new work may go there. */
	isUsable(): boolean
	/** Whether it has answered under our fence. */
	isFenceTaken(): boolean
	/** Whether it is likely to take work within a moment, if not now. */
	isUsableSoon(): boolean
	/** Thousandths of a core that are free. */
	freeCpu(): number
	hasRoom(req: Pick<TaskRequest, "need">): boolean
	/** Whether what runs there and the task may share the executor. */
	isCompatible(req: TaskRequest): boolean
	/** Whether one of them should run alone, and would not. */
	isShared(req: TaskRequest): boolean
	/** Whether the task's caller is known to want it so lately that a run may begin there. */
	isConfirmed(req: TaskRequest): boolean
	/** Counts a task's room as taken, or as free again, while a gang is tried. */
	reserve(req: TaskRequest): void
	unreserve(req: TaskRequest): void
	runCount(): number
	/** Whether a run of the task that nobody here started is there, or is still being stopped. */
	hasOrphanOf(task: string): boolean
	/** Whether nothing more is asked of it. */
	isClosed(): boolean
	/** Whether another life has answered in its place. */
	isReplaced(): boolean
	/** Whether the list no longer names it. */
	isRetired(): boolean
	/** Whether nothing that anybody may want can be there. */
	isIdle(): boolean
	/** Tasks of one job's step that run there. */
	countOf(stepName: string): number
	start(req: TaskRequest, onEnd: OnTaskEnd): Run
	/** Takes over a run that the placer before had there. */
	adopt(req: TaskRequest, isStarted: boolean, onEnd: OnTaskEnd): Run
	/** What runs here now, with whether its start was answered. */
	runs(): readonly {readonly run: Run; readonly isStarted: boolean}[]
	/** Ends a run that nobody wants any more; its `onEnd` follows when it has ended. */
	cancel(run: Run, cause?: StopCause): void
	/** Offers the runs that nobody here started, and ends that nobody watched, to the kept jobs. */
	offerOrphans(): void
	/** The list no longer names it: nothing new, and gone once nothing runs. */
	retire(): void
	/** Stops talking to it; its runs are left to the next fence. */
	close(): void
	/** Stops talking to it and forgets its runs, which another placer has. */
	release(): void
}

export function createExecutorLink(record: ExecutorRecord, deps: LinkDeps): ExecutorLink {
	const link = newLinkState(record, deps)
	void holdLoop(link)
	return {
		get record() {
			return link.record
		},
		update(next) {
			link.record = next
			link.isRetired = link.isClosed
		},
		isUsable: () => isUsable(link),
		isFenceTaken: () => link.isFenceTaken,
		isUsableSoon: () => isPromising(link),
		freeCpu: () => freeCpu(link),
		hasRoom: req => hasRoom(link, req),
		isCompatible: req => isCompatible(link, req),
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
		countOf(stepName) {
			let count = 0
			for (const task of link.runs.keys()) if (stepNameOf(task) === stepName) count++
			return count
		},
		start: (req, onEnd) => startRun(link, req, onEnd),
		adopt(req, isStarted, onEnd) {
			const run = inheritedRun(link, req, onEnd)
			adoptRun(link, run, isStarted)
			return run
		},
		runs: () =>
			[...link.runs.values()].map(run => ({run, isStarted: run.listedFrom !== undefined})),
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
