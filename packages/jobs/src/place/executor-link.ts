/**
 * The placer's link to one executor, as the placer uses it.
 */
import type {ExecutorRecord} from "../types/executor.js"
import {adoptRun, holdLoop} from "./link-hold.js"
import {inheritedRun, startRun, stopRun} from "./link-orders.js"
import {
	closeLink,
	freeCpu,
	hasRoom,
	isPromising,
	isUsable,
	newLinkState,
	type LinkDeps,
} from "./link-state.js"
import type {Run, TaskEnd, TaskRequest} from "./run.js"

export interface ExecutorLink {
	readonly record: ExecutorRecord
	/** Takes over what the list says now. */
	update(record: ExecutorRecord): void
	/** Whether new work may go there. */
	isUsable(): boolean
	/** Whether it is likely to take work within a moment, if not now. */
	isPromising(): boolean
	/** Thousandths of a core that are free. */
	freeCpu(): number
	hasRoom(req: TaskRequest): boolean
	runCount(): number
	/** Tasks of one job's step that run there. */
	countOf(stepName: string): number
	start(req: TaskRequest, onEnd: (end: TaskEnd) => void): Run
	/** Takes over a run that the placer before had there. */
	adopt(req: TaskRequest, isStarted: boolean, onEnd: (end: TaskEnd) => void): Run
	/** What runs here now, with whether its start was answered. */
	runs(): readonly {readonly run: Run; readonly isStarted: boolean}[]
	/** Ends a run that nobody wants any more; its `onEnd` follows when it has ended. */
	cancel(run: Run): void
	/** The list no longer names it: nothing new, and gone once nothing runs. */
	retire(): void
	/** Stops talking to it; its runs are left to the next fence. */
	close(): void
}

/** The part of a task's name before its index. */
export function stepNameOf(task: string): string {
	return task.slice(0, task.lastIndexOf("."))
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
		isPromising: () => isPromising(link),
		freeCpu: () => freeCpu(link),
		hasRoom: req => hasRoom(link, req),
		runCount: () => link.runs.size,
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
		cancel: run => stopRun(link, run, "cancelled"),
		retire() {
			link.isRetired = true
		},
		close: () => closeLink(link),
	}
}
