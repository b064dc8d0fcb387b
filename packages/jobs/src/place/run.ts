/**
 * One run of a task: what a placer was asked for, and how it ended.
 */
import type {AdviceTiming} from "../types/fleet-config.js"
import type {TaskNeed} from "../types/job.js"
import type {Crash, Isolation} from "../decide/crashes.js"

/** Asks a placer to run a task once to an end. */
export interface TaskRequest {
	readonly job: string
	/** The name that executors know the task by. */
	readonly task: string
	/** Rises with each run of the task. */
	readonly run: number
	readonly spec: string
	readonly service: string
	readonly need: TaskNeed
	readonly estimateMs: number
	/** Steady milliseconds: a start after this cannot meet the objective any more. */
	readonly startBy: number
	/** Steady milliseconds: an end after this is late beyond any use. */
	readonly uselessAt: number
	/** Steady milliseconds: nothing runs beyond it. */
	readonly deadlineAt: number
	/**
	 * Steady milliseconds: as of when its caller is known to want it. Once nobody does it stays where it was. Infinity
	 * where no caller waits, as for kept jobs.
	 */
	readonly confirmedAt: () => number
	/** Tasks of its job have started before; what was done for them is lost with it. */
	readonly isBegun: boolean
	readonly priority: number
	readonly label?: string
	readonly rack?: string
	readonly maxPerExecutor?: number
	/** Executors where it failed or was lost before. */
	readonly avoid: readonly string[]
	/** Executors have crashed under it: it should run where nothing else does. */
	readonly isolation?: Isolation
	/** The session of the instance that handed it, or its job, to the placer here; absent when this one did. */
	readonly askedBy?: string
	/** It came from another placer and is not handed on again. */
	readonly isForeign: boolean
	/** Failure domains whose placers had its job before: it never goes back. */
	readonly been?: readonly string[]
	/** It belongs to a kept job: its end is noted in the store before its executor may forget it. */
	readonly isKept?: boolean
	/** It runs until it is stopped; it makes no progress that could be watched. */
	readonly isLasting?: boolean
	/** It takes what others leave of an executor's processors. */
	readonly isFilling?: boolean
	/** It is harmed by filling tasks beside it. */
	readonly isServing?: boolean
	/** Its step may run only on executors that the service with advice gave a ticket for. */
	readonly advice?: AdviceTiming
	/** It works only together with others of its step, all of which must start at once. */
	readonly gang?: {readonly size: number; readonly wantsOneRack: boolean}
}

/** Resolves when an end may be forgotten by its executor; undefined: at once. */
export type EndRecorded = Promise<unknown> | undefined | void
export type OnTaskEnd = (end: TaskEnd) => EndRecorded

/** A task that a placer was asked to run. */
export interface TaskHandle {
	/** Ends the task wherever it is; its end follows. */
	cancel(): void
}

export type TaskEnd =
	| {readonly type: "done"; readonly executor: string}
	/** It ended as failed, by its own fault or the executor's. */
	| {readonly type: "failed"; readonly executor: string; readonly cause: string}
	/** It certainly runs no more, without a result; `crash` when its executor's life ended, or may have. */
	| {
			readonly type: "lost"
			readonly executor: string
			readonly cause: string
			readonly crash?: Crash
	  }
	/** It has not started here and will not. */
	| {readonly type: "returned"; readonly cause: string}
	/** A run with this number or a higher one has been there; a higher one is needed. */
	| {readonly type: "outnumbered"; readonly executor: string}
	| {readonly type: "stopped"}

/**
 * `uncertain`: whether it runs is not known, since its start had no answer. `unheard`: nobody was known to want it for
 * so long that the leases of its neighbours suffer.
 */
export type StopCause = "cancelled" | "stuck" | "uncertain" | "unheard"

/** A run on an executor. */
export interface Run {
	readonly req: TaskRequest
	readonly startedAt: number
	state: "starting" | "running" | "stopping"
	/**
	 * From then on a list that does not name it proves that it is gone: when the executor last answered
	 * a start, or a stop and the time that a stop may take; undefined before the first answer.
	 */
	listedFrom: number | undefined
	/** A start order for it has stayed without an answer, and none was answered since. */
	hasUnansweredStart: boolean
	/** A start order may have been carried out. */
	mayHaveStarted: boolean
	/** Why it is being stopped; undefined while nobody wants that. */
	stopCause: StopCause | undefined
	percent: number
	/** When `percent` last rose. */
	progressAt: number
	/** When it was last known to run. */
	lastSeenAt: number
	readonly onEnd: OnTaskEnd
}
