/**
 * State of a placer's link to one executor, shared by the modules of this folder: its runs, used
 * capacity, clock, and whether it answers.
 */
import type {Clock} from "@cottonwood/core"
import type {ExecutorOrders, ExecutorRecord, RunEnd} from "../types/executor.js"
import type {EventLog, RunProof} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import {createExecutorClock, type ExecutorClock} from "./executor-clock.js"
import type {LeaseRule} from "../decide/lease-rule.js"
import type {Run, TaskEnd, EndRecorded} from "../place/run.js"
import {newRunCounts, type RunCounts} from "./run-counts.js"
import type {LossDetector} from "./loss-detector.js"
import type {Tickets} from "../place/tickets.js"

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
	/** Counts of these runs. */
	readonly counts: RunCounts
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
		counts: newRunCounts(),
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
