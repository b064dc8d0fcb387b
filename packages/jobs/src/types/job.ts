/**
 * A job that is answered when it ends: steps of identical tasks that run on executors.
 */

/** The resources that a task occupies on an executor. */
export interface TaskNeed {
	/** Thousandths of a core. */
	readonly cpu: number
	readonly memoryMb: number
	readonly accelerators: number
}

export interface Step {
	readonly count: number
	readonly need: TaskNeed
	/** The submitter's rough estimate of one task's run time, in milliseconds. */
	readonly estimateMs: number
	/** Indexes of earlier steps that must be done first. */
	readonly after: readonly number[]
	/** A label that the executor must have. */
	readonly label?: string
	/** The rack that holds the data; tasks run slower elsewhere. */
	readonly rack?: string
	/** Maximum number of the step's tasks on one executor at the same time. */
	readonly maxPerExecutor?: number
	/** The step's tasks are started together and end together. */
	readonly isGang?: boolean
	/** Whether the gang runs slowly when it is spread over several racks. */
	readonly wantsOneRack?: boolean
	/** The step's tasks run until the job is cancelled, and start again whenever they end. */
	readonly isLasting?: boolean
	/** The step's tasks use idle processor time; their `cpu` occupies no capacity. */
	readonly isFilling?: boolean
	/** The step's tasks serve users, and are harmed by filling tasks on their executor. */
	readonly isServing?: boolean
}

export interface Job {
	readonly id: string
	readonly queue: string
	/** Passed to the executors unchanged. */
	readonly spec: string
	readonly steps: readonly Step[]
	/** Milliseconds on the monotonic clock of this process. */
	readonly receivedAt: number
	/** Milliseconds on the monotonic clock; nothing runs and no caller waits after it. */
	readonly deadlineAt: number
	/** The session of the instance that sent the job here; absent for an own caller. */
	readonly askedBy?: string
	/** Failure domains whose placers had the job before; absent when the job must not be moved. */
	readonly been?: readonly string[]
}

/** The caller that waits for a job or a task. */
export interface Caller {
	/** Registers a callback for when the caller stops waiting; called at most once. */
	readonly onCancel: (callback: () => void) => void
	/** Milliseconds on the monotonic clock: the call was not made before then. */
	readonly madeAt: number
	/** Milliseconds on the monotonic clock: the caller is known to have waited until then. */
	readonly confirmedAt: () => number
}

/** How a job ended, as reported to its submitter. */
export type JobEnd =
	| {readonly type: "completed"}
	/** A task failed as often as its queue allows. */
	| {readonly type: "failed"; readonly cause: string}
	/** No task has started or will start. */
	| {
			readonly type: "refused"
			readonly kind: RefusalKind
			readonly cause: string
			/** When the caller should retry, in milliseconds, if the placer has a forecast. */
			readonly retryAfterMs?: number
	  }
	/** The job was abandoned, and some tasks may have run. */
	| {readonly type: "given up"; readonly kind: GiveUpKind; readonly cause: string}

export type RefusalKind = "overloaded" | "no_capacity" | "no_configuration"
export type GiveUpKind = "deadline_exceeded" | "placer_lost" | "cancelled"
