/**
 * What a placer holds: its queue, its executors, what it thinks of them, and what runs.
 */
import type {Clock} from "@cottonwood/core"
import type {Advisor} from "../types/advisor.js"
import type {ExecutorOrders, ExecutorRecord} from "../types/executor.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import type {ExecutorLink} from "../link/executor-link.js"
import type {Judgement} from "./judgement.js"
import type {LeaseRule} from "../decide/lease-rule.js"
import type {KeptRuns} from "../link/state.js"
import type {LossDetector} from "../link/loss-detector.js"
import type {Speeds} from "./executor-speeds.js"
import type {Pulse} from "./pulse.js"
import type {Run, StopCause} from "./run.js"
import type {TaskQueue, WaitingTask} from "./task-queue.js"
import type {Tickets} from "./tickets.js"

export interface PlacerDeps {
	readonly clock: Clock
	readonly orders: ExecutorOrders
	readonly advisor: Advisor
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly failureDomain: string
	readonly fence: number
	readonly leaseRule: LeaseRule
	readonly stopGraceMs: number
	/** Whether operators are emptying the failure domain: nothing further starts there. */
	readonly isEvacuated: () => boolean
	/** Runs left by the placer before wait this long to be handed over. */
	readonly orphansWaitMs: number
	/** Whether no run of a placer before can be on an executor that is not linked here. */
	readonly knowsAllExecutors: boolean
	readonly kept: KeptRuns
	/** How fast the executors are, where that outlasts the placer. */
	readonly speeds?: Speeds
	/** Hands a task to another domain's placer; false when none has room. */
	readonly handOver: (item: WaitingTask) => boolean
	/** A higher fence was seen at the executor. */
	readonly onFenced: (executor: ExecutorRecord) => void
	/** Called when the room told to others may have changed. */
	readonly onRoomChange: () => void
}

export interface RunLocation {
	readonly executor: string
	/** The executor as the placer before knew it: the successor's list may lack it by now. */
	readonly record?: ExecutorRecord
	readonly isStarted: boolean
	/** Why it is being stopped; undefined while somebody wants it. */
	readonly stopCause?: StopCause
}

export type Links = ReadonlyMap<string, ExecutorLink>

export interface PlacerState {
	readonly deps: PlacerDeps
	readonly createdAt: number
	readonly queue: TaskQueue
	readonly links: Map<string, ExecutorLink>
	readonly judgement: Judgement
	readonly tickets: Tickets
	readonly losses: LossDetector
	readonly pulse: Pulse
	/** How many runs of each task there are, over all links. */
	readonly runCounts: Map<string, number>
	/** What runs, by run; kept to be able to hand it over. */
	readonly started: Map<Run, WaitingTask>
	/** Takes everything once the placer has given all to a successor. */
	successor: ((item: WaitingTask, from?: RunLocation) => void) | undefined
	isWalkDue: boolean
	/** Something waits whose caller was not heard of late; the next walk may find that it was. */
	isHeldBack: boolean
	isSweepDue: boolean
	isClosed: boolean
}
