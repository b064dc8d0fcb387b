/**
 * The runs of a link: added when they are started, removed with the capacity that they use, and settled with their end.
 */
import type {Crash} from "../decide/crashes.js"
import type {EndRecorded, Run, TaskEnd} from "../place/run.js"
import type {RunProof} from "../utils/log.js"
import {occupy} from "./room.js"
import {countRun} from "./run-counts.js"
import type {LinkState} from "./state.js"

/** Identifies a run of a task. */
export const runName = (task: string, run: number) => `${task}/${run}`

export function isCurrent(link: LinkState, run: Run): boolean {
	return link.runs.get(run.req.task) === run
}

/** Counts the runs of a task over all links of the placer. */
function countByTask({deps: {runCounts}}: LinkState, {req: {task}}: Run, by: 1 | -1) {
	const count = (runCounts.get(task) ?? 0) + by
	if (count > 0) runCounts.set(task, count)
	else runCounts.delete(task)
}

export function addRun(link: LinkState, run: Run) {
	const {task} = run.req
	const previous = link.runs.get(task)
	if (previous) countRun(link.counts, previous, -1)
	else countByTask(link, run, 1)
	link.runs.set(task, run)
	countRun(link.counts, run, 1)
	occupy(link, run.req, 1)
}

function vacate(link: LinkState, run: Run) {
	link.runs.delete(run.req.task)
	countRun(link.counts, run, -1)
	occupy(link, run.req, -1)
}

/** Removes a run and frees its capacity; false when it has been removed before. */
function removeRun(link: LinkState, run: Run): boolean {
	const {task} = run.req
	if (isCurrent(link, run)) vacate(link, run)
	else if (link.unlistedRuns.get(task) === run) link.unlistedRuns.delete(task)
	else return false
	countByTask(link, run, -1)
	return true
}

/** Frees the capacity of a run that is gone; its end is still awaited. */
export function awaitUnlistedEnd(link: LinkState, run: Run) {
	vacate(link, run)
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

/** Drops runs and ends that nobody here watches. */
export function forgetUnwatched(link: LinkState) {
	link.orphans = new Set()
	link.stoppingOrphans.clear()
	link.unclaimedEnds.clear()
	link.unrecordedEnds.clear()
}
