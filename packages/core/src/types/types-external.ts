/**
 * Public data types of the core: submissions, outcomes and targets.
 */

/** What is certain about whether the work of a submission ran. */
export type RunStatus = "not run" | "unknown" | "failed" | "run"

/** Identifies a submission: its caller and id, joined by `submissionKey`. */
export type SubmissionKey = string

/** Identifies one registration of an entry instance with the store. */
export type SessionId = string

/** Processor cores, memory in MiB, accelerators. */
export interface Resources {
	readonly cpu: number
	readonly memoryMb: number
	readonly accelerators: number
}

export type Labels = Readonly<Record<string, string>>

export interface SubmissionHead {
	readonly key: SubmissionKey
	readonly digest: string
	readonly team: string
	/** In milliseconds on the monotonic clock of this instance. */
	readonly deadlineAt: number
	readonly repeatable: boolean
}

export interface RequestBody {
	readonly endpoint: string
	readonly payload: unknown
}

export interface TaskBody {
	/** The program to run; run times are learned per kind. */
	readonly kind: string
	readonly payload: unknown
	readonly resources: Resources
	readonly labels: Labels
	readonly selector?: string
	readonly prefer?: string
	readonly repeatable?: boolean
}

export interface JobBody {
	readonly tasks: readonly TaskBody[]
	readonly spreadRacks?: boolean
}

export type Submission =
	| {readonly head: SubmissionHead; readonly type: "request"; readonly request: RequestBody}
	| {readonly head: SubmissionHead; readonly type: "job"; readonly job: JobBody}

/** The outcome of a submission: its whole value or an error, never a partial result. */
export type Outcome =
	| {readonly ok: true; readonly value: unknown}
	| {
			readonly ok: false
			readonly kind: string
			readonly detail: string
			readonly ran: RunStatus
			readonly retryAfterMs?: number
	  }

/** An executor of an endpoint, or a worker. */
export interface Target {
	readonly id: string
	readonly type: "executor" | "worker"
	/** The endpoint's name; empty for a worker. */
	readonly endpoint: string
	/** `http://host:port`. */
	readonly address: string
	readonly failureDomain: string
	readonly rack: string
	readonly labels: Labels
	/** An executor counts its slots as processors. */
	readonly capacity: Resources
	readonly state: "live" | "leaving"
}
