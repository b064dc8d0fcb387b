/** The types of one run of a task: the request to a placer, the run on an executor, and its end. */
import type {AdviceTiming} from "../types/fleet-config.js"
import type {TaskNeed} from "../types/job.js"
import type {Crash, Isolation} from "../decide/crashes.js"

/** A request to a placer to run a task once. */
export interface TaskRequest {
	readonly job: string
	/** The task's name at executors. */
	readonly task: string
	/** Increases with each run of the task. */
	readonly run: number
	readonly spec: string
	readonly service: string
	readonly need: TaskNeed
	readonly estimateMs: number
	/** The latest start that can meet the objective, in milliseconds on the monotonic clock. */
	readonly startBy: number
	/** When a result becomes useless, in milliseconds on the monotonic clock. */
	readonly uselessAt: number
	/** When the task must have ended, in milliseconds on the monotonic clock. */
	readonly deadlineAt: number
	/**
	 * The caller's last confirmation that it still waits, in milliseconds on the monotonic clock. Constant once the caller has left;
	 * Infinity where nothing bounds the run. For kept jobs, which no caller waits for, the placer confirms its claim instead.
	 */
	readonly confirmedAt: () => number
	/** Whether other tasks of the job have started, whose work would be lost with this one. */
	readonly isBegun: boolean
	readonly priority: number
	readonly label?: string
	readonly rack?: string
	readonly maxPerExecutor?: number
	/** Executors where the task failed or was lost before. */
	readonly avoid: readonly string[]
	/** Whether the task should or must run alone, since executors crashed while running it. */
	readonly isolation?: Isolation
	/** The session of the instance that sent the task, or its job, to the placer here; absent if it was this instance. */
	readonly askedBy?: string
	/** Whether the task came from another placer; it is not handed over again. */
	readonly isForeign: boolean
	/** Failure domains that had its job before, to which it never returns. */
	readonly been?: readonly string[]
	/** Whether the task belongs to a kept job, so that its end is stored before its executor may forget it. */
	readonly isKept?: boolean
	/** Whether the task runs until it is stopped, without progress to watch. */
	readonly isLasting?: boolean
	/** Whether the task uses only the processor time that others leave. */
	readonly isFilling?: boolean
	/** Whether filling tasks on the same executor harm the task. */
	readonly isServing?: boolean
	/** Present if the step may run only on executors for which the advisor gave a ticket. */
	readonly advice?: AdviceTiming
	/** Present if the tasks of its step must all start at once. */
	readonly gang?: {readonly size: number; readonly wantsOneRack: boolean}
}

/** Resolves once the end is recorded, so that the executor may forget it; undefined: at once. */
export type EndRecorded = Promise<unknown> | undefined | void
export type OnTaskEnd = (end: TaskEnd) => EndRecorded

/** A task submitted to a placer. */
export interface TaskHandle {
	/** Removes the task from the queue or stops its run; `onEnd` is called when it has ended. */
	cancel(): void
}

/** A task that a supply has just made. */
export interface SuppliedTask {
	readonly req: TaskRequest
	/** When its turn came, in milliseconds on the monotonic clock. */
	readonly dueAt: number
	readonly onEnd: OnTaskEnd
	readonly onStart: () => void
	/** Called at once with the handle of the task. */
	readonly onQueued: (handle: TaskHandle) => void
}

/** Tasks of a kept job with the same requirements, made one by one when the placer gets to them. */
export interface TaskSupply {
	/** A request like those of its tasks. */
	readonly req: TaskRequest
	/** The number of tasks that are still to be made; not exact where some have run before. */
	size(): number
	/** Makes the next task; undefined when none is left, and the placer then drops the supply. */
	next(): SuppliedTask | undefined
}

export type TaskEnd =
	| {readonly type: "done"; readonly executor: string}
	/** The task or its executor failed. */
	| {readonly type: "failed"; readonly executor: string; readonly cause: string}
	/** The run has certainly ended without a result; `crash` is set if its executor crashed, or may have. */
	| {
			readonly type: "lost"
			readonly executor: string
			readonly cause: string
			readonly crash?: Crash
	  }
	/** The task has not started here and will not. */
	| {readonly type: "returned"; readonly cause: string}
	/** The executor has seen this run number or a higher one; a higher one is needed. */
	| {readonly type: "outnumbered"; readonly executor: string}
	| {readonly type: "stopped"}

/**
 * `uncertain`: its start was not answered, so it may or may not run. `unheard`: its caller's last confirmation is so old that it
 * shortens the leases of its neighbours.
 */
export type StopCause = "cancelled" | "stuck" | "uncertain" | "unheard"

/** A run on an executor. */
export interface Run {
	readonly req: TaskRequest
	readonly startedAt: number
	state: "starting" | "running" | "stopping"
	/**
	 * An executor's list made after this time without the run proves that it has ended: when the executor last answered a start, or
	 * a stop plus the time that a stop may take; undefined before the first answer.
	 */
	absenceProvesEndFrom: number | undefined
	/** Whether a start order was not answered, and none was answered since. */
	hasUnansweredStart: boolean
	/** Whether a start order may have been carried out. */
	mayHaveStarted: boolean
	/** Why the run is being stopped; undefined while it is wanted. */
	stopCause: StopCause | undefined
	percent: number
	/** When `percent` last rose. */
	progressAt: number
	/** When the run was last known to be running. */
	lastSeenAt: number
	readonly onEnd: OnTaskEnd
}
