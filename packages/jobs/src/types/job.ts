/**
 * A job whose answer is the answer to its submission: some steps of like tasks, each run once to its
 * end on an executor.
 */

/** What a task takes of an executor while it runs. */
export interface TaskNeed {
	/** Thousandths of a core. */
	readonly cpu: number
	readonly memoryMb: number
	readonly accelerators: number
}

export interface Step {
	readonly count: number
	readonly need: TaskNeed
	/** The submitter's rough guess of one task's run time, in milliseconds. */
	readonly estimateMs: number
	/** Numbers of earlier steps whose tasks must all be done first. */
	readonly after: readonly number[]
	/** A label that the executor must have. */
	readonly label?: string
	/** The rack that holds the data; elsewhere the tasks take `remoteFactor` times as long. */
	readonly rack?: string
	/** At most this many tasks of the step on one executor at once. */
	readonly maxPerExecutor?: number
	/** Its tasks work only together: all of one run must be there, and they end together. */
	readonly isGang?: boolean
	/** A gang that is spread over more than one rack is slow. */
	readonly wantsOneRack?: boolean
	/** Its tasks run until the job is cancelled, and are started again however they end. */
	readonly isLasting?: boolean
	/** Its tasks take what others leave of an executor's processors; their `cpu` takes no room. */
	readonly isFilling?: boolean
	/** Its tasks serve users of their own, and are harmed by filling tasks beside them. */
	readonly isServing?: boolean
}

export interface Job {
	readonly id: string
	readonly queue: string
	/** Handed to the executors as it came. */
	readonly spec: string
	readonly steps: readonly Step[]
	/** Steady milliseconds of this process. */
	readonly receivedAt: number
	/** Steady milliseconds; nothing runs and nobody waits beyond it. */
	readonly deadlineAt: number
	/** The session of the instance that handed it to the placer here; absent for a caller of this one. */
	readonly askedBy?: string
	/** Failure domains whose placers had it before, for one that may be sent elsewhere as a whole; absent: it may not. */
	readonly been?: readonly string[]
}

/** Whoever waits for a job or a task. */
export interface Caller {
	/** Calls back once, when nobody waits any more. */
	readonly onCancel: (callback: () => void) => void
	/** Steady milliseconds: its call was not made before then, and not much later unless something was held up. */
	readonly madeAt: number
	/** Steady milliseconds: as of when it is known to wait; what has come since may lie unread. */
	readonly confirmedAt: () => number
}

/** How a job ended, as its submitter is told. */
export type JobEnd =
	| {readonly type: "completed"}
	/** A task failed as often as its queue allows. */
	| {readonly type: "failed"; readonly cause: string}
	/** No task of it has started or ever will. */
	| {
			readonly type: "refused"
			readonly kind: RefusalKind
			readonly cause: string
			/** When its caller should come back, in milliseconds, where its placer has a forecast. */
			readonly retryAfterMs?: number
	  }
	/** It was given up, and some task may have run. */
	| {readonly type: "given up"; readonly kind: GiveUpKind; readonly cause: string}

export type RefusalKind = "overloaded" | "no_capacity" | "no_configuration"
export type GiveUpKind = "deadline_exceeded" | "placer_lost" | "cancelled"
