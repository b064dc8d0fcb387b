/**
 * Kept jobs: durable jobs that are accepted once their record is in the store, and run until they
 * end or are cancelled, also when instances fail.
 */
import type {Queue} from "./fleet-config.js"
import type {Step} from "./job.js"

/** A kept job as submitted. */
export interface KeptJobRequest {
	readonly id: string
	readonly queue: string
	/** Passed to the executors unchanged. */
	readonly spec: string
	readonly steps: readonly Step[]
	/** Runs the steps several times; without it they run once, at once. */
	readonly schedule?: Schedule
}

export interface Schedule {
	readonly times: number
	/** When occurrence 0 is due, in milliseconds since 1970. */
	readonly firstDueMs: number
	readonly periodMs: number
}

/** The stored record of a job that has not ended. */
export interface JobRecord extends KeptJobRequest {
	/** The failure domain whose placer runs the job. */
	readonly home: string
	/** The fence of the home's placer when the job came there; the base of its run numbers. */
	readonly homeFence: number
	/** Offset of run numbers used before the job came to this home. */
	readonly runBase: number
	/** Milliseconds since 1970. */
	readonly acceptedAtMs: number
	/** The queue's settings when the job was accepted, for a configuration that lacks the queue; absent in older records. */
	readonly settings?: Queue
	/** Completed tasks, as TIME.STEP.INDEX with the index of the occurrence first. */
	readonly done: readonly string[]
	/**
	 * The first and last numbers of consecutive occurrences that are over, whose tasks are not listed elsewhere; absent in short
	 * and older records.
	 */
	readonly endedTimes?: readonly (readonly [number, number])[]
	/** Number of failed attempts, by task. */
	readonly failures: Readonly<Record<string, number>>
	/** Numbers of the runs that are counted in `failures`, by task; absent in older records. */
	readonly failedRuns?: Readonly<Record<string, readonly number[]>>
	/** Executors known to have crashed under a task, by task; absent in older records. */
	readonly crashes?: Readonly<Record<string, number>>
	/** Moves to other homes since a task of the job last started; absent in older records. */
	readonly fruitlessMoves?: number
	readonly isCancelled: boolean
	/** The writer and its change number; identifies an own write whose answer was lost. Absent if another program wrote it. */
	readonly writer?: string
}

/** Whether a stored value is the end of a job. */
export function isEndRecord(value: unknown): value is EndRecord {
	const {state, endedAtMs} = (value ?? {}) as Partial<EndRecord>
	return typeof state === "string" && Number.isFinite(endedAtMs)
}

export type EndedState = "completed" | "failed" | "cancelled"
export type JobState = "pending" | "running" | EndedState

/** The stored end of a job, deleted after the retention time. */
export interface EndRecord {
	readonly state: EndedState
	/** Milliseconds since 1970. */
	readonly endedAtMs: number
}

/** Outside the fleet's own prefix, which every instance watches. */
export const OPEN_JOBS_PREFIX = "job/open/"
export const ENDED_JOBS_PREFIX = "job/end/"
export const openJobKey = (id: string) => OPEN_JOBS_PREFIX + id
export const openJobIdOf = (key: string) => key.slice(OPEN_JOBS_PREFIX.length)
export const endedJobKey = (id: string) => ENDED_JOBS_PREFIX + id
