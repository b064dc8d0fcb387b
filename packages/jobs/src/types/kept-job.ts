/**
 * Jobs that are kept: accepted once they stand in the store, run until they end or are cancelled,
 * whatever becomes of the instances meanwhile.
 */
import type {Step} from "./job.js"

/** A kept job as its submitter handed it in. */
export interface KeptJobRequest {
	readonly id: string
	readonly queue: string
	/** Handed to the executors as it came. */
	readonly spec: string
	readonly steps: readonly Step[]
	/** The steps run this often, each time due on its own; undefined: once, now. */
	readonly schedule?: Schedule
}

export interface Schedule {
	readonly times: number
	/** Time of day, in milliseconds from 1970, at which time 0 is due. */
	readonly firstDueMs: number
	readonly periodMs: number
}

/** What the store holds of a job that has not ended. */
export interface JobRecord extends KeptJobRequest {
	/** The failure domain whose placer runs it. */
	readonly home: string
	/** The fence of that placer when the job came to this home; run numbers are reckoned from it. */
	readonly homeFence: number
	/** Run numbers used before the job came to this home. */
	readonly runBase: number
	/** Time of day, in milliseconds from 1970. */
	readonly acceptedAtMs: number
	/** Tasks whose end as done has been noted, as TIME.STEP.INDEX. */
	readonly done: readonly string[]
	/** Attempts that ended as failed, by task. */
	readonly failures: Readonly<Record<string, number>>
	/** Executors that are known to have crashed under a task, by task; absent in records of earlier writers. */
	readonly crashes?: Readonly<Record<string, number>>
	readonly isCancelled: boolean
	/** Who wrote this, and its count: recognises a write whose answer was lost. */
	readonly writer: string
}

export type EndedState = "completed" | "failed" | "cancelled"
export type JobState = "pending" | "running" | EndedState

/** What the store holds of a job that has ended, until nobody may ask any more. */
export interface EndRecord {
	readonly state: EndedState
	/** Time of day, in milliseconds from 1970. */
	readonly endedAtMs: number
}

/** Not below the fleet's own prefix, which every instance follows. */
export const OPEN_JOBS_PREFIX = "job/open/"
export const ENDED_JOBS_PREFIX = "job/end/"
export const openJobKey = (id: string) => OPEN_JOBS_PREFIX + id
export const endedJobKey = (id: string) => ENDED_JOBS_PREFIX + id
