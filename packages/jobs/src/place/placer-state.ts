/** The state of a placer, shared by the modules of this folder. */
import type {Clock} from "@cottonwood/core"
import type {Advisor} from "../types/advisor.js"
import type {ExecutorOrders, ExecutorRecord} from "../types/executor.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import type {ExecutorLink} from "../link/executor-link.js"
import type {ExecutorAssessment} from "./executor-assessment.js"
import type {LeaseRule} from "../decide/lease-rule.js"
import type {KeptRuns} from "../link/state.js"
import type {LossDetector} from "../link/loss-detector.js"
import type {Speeds} from "./executor-speeds.js"
import type {StallDetector} from "./stall-detector.js"
import type {PassTurns} from "./pass-turns.js"
import type {ParkedTasks} from "./parked-tasks.js"
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
	/** Whether operators evacuate the failure domain, so that no task may start. */
	readonly isEvacuated: () => boolean
	/** How long unknown runs of the previous placer wait to be handed over, in milliseconds. */
	readonly orphansWaitMs: number
	/** Whether all runs of previous placers are on executors that are linked here. */
	readonly knowsAllExecutors: boolean
	/** Whether no executor answered when the claim was written: the domain is lost, or cut off and at work under the previous placer. */
	readonly isCutOff: boolean
	readonly kept: KeptRuns
	/** Speeds that outlast the placer; by default it learns its own. */
	readonly speeds?: Speeds
	/** Hands a task to another domain's placer; returns false when none has room. */
	readonly handOver: (item: WaitingTask) => boolean
	/** Called when an executor reports a higher fence. */
	readonly onFenced: (executor: ExecutorRecord) => void
	/** Called when the room reported to other placers may have changed. */
	readonly onRoomChange: () => void
}

export interface RunLocation {
	readonly executor: string
	/** The executor's record, since the successor's list may lack it by now. */
	readonly record?: ExecutorRecord
	readonly isStarted: boolean
	/** Why the run is being stopped; undefined while it is wanted. */
	readonly stopCause?: StopCause
}

export type Links = ReadonlyMap<string, ExecutorLink>

export interface PlacerState {
	readonly deps: PlacerDeps
	readonly createdAt: number
	readonly queue: TaskQueue
	readonly parked: ParkedTasks
	readonly links: Map<string, ExecutorLink>
	readonly assessment: ExecutorAssessment
	readonly tickets: Tickets
	readonly losses: LossDetector
	readonly stallDetector: StallDetector
	/** The number of runs of each task, over all links. */
	readonly runCounts: Map<string, number>
	/** The queue item of each run, for handing it over. */
	readonly started: Map<Run, WaitingTask>
	/** Receives all tasks once the placer has transferred everything to its successor. */
	successor: ((item: WaitingTask, from?: RunLocation) => void) | undefined
	/** The turns of the scheduling pass. */
	readonly turns: PassTurns
	/** The turns of a sweep of the groups behind those of a pass. */
	readonly sweepTurns: PassTurns
	/** Whether a turn is scheduled. */
	isPassDue: boolean
	/** When the last turn of a scheduling pass was made, in milliseconds on the monotonic clock. */
	passedAt: number
	/** When the last sweep ended, in milliseconds on the monotonic clock; Infinity during one. */
	sweptAt: number
	/** Whether a waiting task lacks a recent confirmation, so that a later pass may be able to start it. */
	awaitsConfirmation: boolean
	isDeadlineCheckDue: boolean
	isClosed: boolean
}
