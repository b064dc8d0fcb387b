/**
 * Executors: what the platform's list says of them, and the orders that they take.
 *
 * An executor keeps the highest fence that it has seen and obeys no lower one. What runs there is
 * leased: when its lease ends by its own steady clock, it ends everything.
 */
import type {TaskNeed} from "./job.js"

export interface ExecutorRecord {
	/** One life of an executor; after a crash the id is another. */
	readonly id: string
	readonly service: string
	readonly address: string
	readonly failureDomain: string
	readonly capacity: TaskNeed
	readonly labels: readonly string[]
	/** One of the labels: tasks of one rack are near each other. */
	readonly rack: string | undefined
	readonly isLeaving: boolean
}

export interface StartOrder {
	readonly task: string
	readonly run: number
	readonly spec: string
	readonly fence: number
	/** On the executor's clock: the order is refused after it, and the lease lasts at least so long. */
	readonly leaseUntilMs: number
	/** Of the service with advice, where the task's queue asks for one. */
	readonly ticket?: string
}

export type Reply<T> =
	| T
	/** A higher fence has been seen there. */
	| {readonly type: "fenced"}
	/** Another life of the executor answered; the one that was meant is gone with all its runs. */
	| {readonly type: "replaced"}
	/**
	 * No answer: the order may have been done, or may be done later. `isRefused`: nothing listens at the address, so the
	 * process that was there is gone, and this order was not done.
	 */
	| {readonly type: "silent"; readonly cause: string; readonly isRefused?: boolean}

export type StartReply = Reply<
	| {readonly type: "started"; readonly clockMs: number}
	| {readonly type: "refused"; readonly cause: StartRefusal; readonly clockMs: number | undefined}
>

/** `old`: a run not below this one has been there. `late`: the lease time was over. `ticket`: none that holds. */
export type StartRefusal = "old" | "late" | "room" | "ticket" | "unhealthy" | "other"

export type StopReply = Reply<{readonly type: "stopping"; readonly clockMs: number}>

/** How a run ended by the executor's word. */
export type RunEndKind = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone"

export interface RunEnd {
	/** Counts the ends of this life of the executor, from 1. */
	readonly serial: number
	readonly task: string
	readonly run: number
	readonly how: RunEndKind
}

export interface RunningTask {
	readonly task: string
	readonly run: number
	/** How much of its work is done, 0 to 100. */
	readonly percent: number
}

export interface HoldOrder {
	readonly fence: number
	/** Ends up to this serial are forgotten there. */
	readonly seenSerial: number
	readonly leaseUntilMs: number | undefined
	/** The answer waits this long for an end. */
	readonly waitMs: number
}

export type HoldReply = Reply<{
	readonly type: "held"
	readonly clockMs: number
	readonly running: readonly RunningTask[]
	readonly ends: readonly RunEnd[]
}>

/** Sends orders to executors; implemented for each platform. */
export interface ExecutorOrders {
	start(executor: ExecutorRecord, order: StartOrder, timeoutMs: number): Promise<StartReply>
	stop(
		executor: ExecutorRecord,
		order: {readonly task: string; readonly run: number; readonly fence: number},
		timeoutMs: number,
	): Promise<StopReply>
	hold(executor: ExecutorRecord, order: HoldOrder, timeoutMs: number): Promise<HoldReply>
	/** Whether anything answers at the executor's address; changes nothing there. */
	isReachable(executor: ExecutorRecord, timeoutMs: number): Promise<boolean>
	/** Closes the connections to an executor that is gone. */
	forget(executor: ExecutorRecord): void
}
