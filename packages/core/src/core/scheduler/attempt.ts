/**
 * An attempt, which is one try of one task, and its result. Runs of submissions hand attempts to
 * the scheduler.
 */
import type {Resources, SubmissionKey, Target} from "../../types/types-external.js"
import type {QueueItem} from "../fair-queue.js"
import type {Selector} from "../selector.js"

/** The pool of all workers; each endpoint has a pool of its own. */
export const WORKER_POOL = "workers"

export function endpointPool(endpoint: string): string {
	return `endpoint:${endpoint}`
}

export function poolOf(target: Target): string {
	return target.type === "worker" ? WORKER_POOL : endpointPool(target.endpoint)
}

/** One try of one task of a submission. */
export interface Attempt extends QueueItem {
	readonly id: string
	readonly key: SubmissionKey
	readonly task: number
	readonly kind: string
	readonly need: Resources
	readonly selector: Selector
	readonly prefer: Selector
	readonly payload: unknown
	/** Targets that an earlier try of the task used. */
	readonly avoid: readonly string[]
	readonly spreadRacks: boolean
	readonly mayRetry: boolean
	/**
	 * The attempt came from a peer: it is not forwarded again, and returned when it is not placed
	 * soon.
	 */
	readonly isForwarded: boolean
	readonly mayLeaveDomain: boolean
}

export type AttemptResult =
	| {readonly type: "ok"; readonly value: unknown; readonly runMs: number}
	/** The attempt ran and failed. */
	| {readonly type: "failed"; readonly detail: string; readonly target?: string}
	/** The attempt certainly did not start. */
	| {readonly type: "not started"; readonly reason: NotStartedReason; readonly detail: string}
	/** The attempt may have run. */
	| {readonly type: "unknown"; readonly detail: string; readonly target?: string}

export type NotStartedReason =
	"busy" | "refused" | "peer full" | "deadline" | "cancelled" | "leaving"
