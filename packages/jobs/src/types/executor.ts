/**
 * Executors as the platform lists them, and the orders that placers send to them.
 *
 * An executor obeys only the highest fence it has seen. It ends its runs when their lease expires
 * on its own monotonic clock.
 */
import type {TaskNeed} from "./job.js"

export interface ExecutorRecord {
	/** Identifies one process; a restarted executor has a new id. */
	readonly id: string
	readonly service: string
	readonly address: string
	readonly failureDomain: string
	readonly capacity: TaskNeed
	readonly labels: readonly string[]
	/** One of the labels; executors of the same rack are close to each other. */
	readonly rack: string | undefined
	readonly isLeaving: boolean
}

export interface StartOrder {
	readonly task: string
	readonly run: number
	readonly spec: string
	readonly fence: number
	/**
	 * On the executor's clock; the order is refused after it, and the lease lasts at least until
	 * then.
	 */
	readonly leaseUntilMs: number
	/** The ticket of the advisor, where the task's queue requires one. */
	readonly ticket?: string
}

export type Reply<T> =
	| T
	/** The executor has seen a higher fence. */
	| {readonly type: "fenced"}
	/** A restarted executor answered; the addressed one is gone with all its runs. */
	| {readonly type: "replaced"}
	/**
	 * The order may have been done, or may still be done. `isRefused`: the connection was refused,
	 * so the process is gone and the order was not done.
	 */
	| {readonly type: "silent"; readonly cause: string; readonly isRefused?: boolean}

export type StartReply = Reply<
	| {readonly type: "started"; readonly clockMs: number}
	| {readonly type: "refused"; readonly cause: StartRefusal; readonly clockMs: number | undefined}
>

/**
 * `old`: not above a run seen there. `late`: the lease end has passed. `ticket`: no valid ticket.
 */
export type StartRefusal = "old" | "late" | "room" | "ticket" | "unhealthy" | "other"

export type StopReply = Reply<{readonly type: "stopping"; readonly clockMs: number}>

/** How a run ended, as its executor reports it. */
export type RunEndKind = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone"

export interface RunEnd {
	/** Numbers the ends of one executor process, from 1. */
	readonly serial: number
	readonly task: string
	readonly run: number
	readonly how: RunEndKind
}

export interface RunningTask {
	readonly task: string
	readonly run: number
	/** Progress, 0 to 100. */
	readonly percent: number
}

export interface HoldOrder {
	readonly fence: number
	/** The executor may forget ends up to this serial. */
	readonly seenSerial: number
	readonly leaseUntilMs: number | undefined
	/** How long the executor may delay the answer to wait for an end. */
	readonly waitMs: number
}

export type HoldReply = Reply<{
	readonly type: "held"
	readonly clockMs: number
	readonly running: readonly RunningTask[]
	/** The oldest ends, at most `maxListedEnds`. */
	readonly ends: readonly RunEnd[]
}>

/** Sends orders to executors; implemented by each platform. */
export interface ExecutorOrders {
	/**
	 * How many ends an executor lists at once, oldest first. A list of this length may be incomplete;
	 * further ends are listed once earlier ones are forgotten.
	 */
	readonly maxListedEnds: number
	start(executor: ExecutorRecord, order: StartOrder, timeoutMs: number): Promise<StartReply>
	stop(
		executor: ExecutorRecord,
		order: {readonly task: string; readonly run: number; readonly fence: number},
		timeoutMs: number,
	): Promise<StopReply>
	hold(executor: ExecutorRecord, order: HoldOrder, timeoutMs: number): Promise<HoldReply>
	/** Whether a process answers at the executor's address; has no effect there. */
	isReachable(executor: ExecutorRecord, timeoutMs: number): Promise<boolean>
	/** Closes the connections to an executor that is gone. */
	forget(executor: ExecutorRecord): void
}
