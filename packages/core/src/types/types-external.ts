/**
 * The public data types: what callers, operators and the entry instance hand to the core.
 */

/** What is certain about the work of a submission. */
export type RunStatus = "not run" | "unknown" | "failed" | "run"

/** Names a submission: the caller and the id that it chose, joined by `submissionKey`. */
export type SubmissionKey = string

/** One process of the entry role during one registration with the store. */
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
	/** Monotonic milliseconds on this instance. */
	readonly deadlineAt: number
	readonly repeatable: boolean
}

export interface RequestBody {
	readonly endpoint: string
	readonly payload: unknown
}

export interface TaskBody {
	/** Names the program; run times are learned per kind. */
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

/** The answer to a submission: complete, or an error; never a part. */
export type Outcome =
	| {readonly ok: true; readonly value: unknown}
	| {
			readonly ok: false
			readonly kind: string
			readonly detail: string
			readonly ran: RunStatus
			readonly retryAfterMs?: number
	  }

/** A place that runs work: an executor of an endpoint, or a worker. */
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
