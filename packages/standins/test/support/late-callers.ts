/**
 * Callers that keep to the contract: a job whose outcome is unknown is submitted again under the same id, no
 * sooner than the contract says.
 */
import {handIn, type Edge, type EdgeAnswer} from "@cottonwood/standins"

export const CALLER_DEADLINE_MS = 1_500
/** The contract's wait before the same id is submitted again after silence, a broken connection, 502 or 504. */
export const RESUBMIT_MS = 1_300

export const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms))

/** Whether a caller closes its connection when its deadline passes without an answer. */
export type AtDeadline = "hangs up" | "stays on the line"

/** The end of a call: HTTP status, or 0 for no answer by the deadline or a broken connection; time by performance.now(). */
export interface CallEnd {
	readonly status: number
	readonly at: number
}

type Options = NonNullable<Parameters<typeof handIn>[2]>

/** Submits a job to an instance and waits for the answer until the caller's deadline. */
export async function callOnce(
	edge: Edge,
	id: string,
	options: Options,
	atDeadline: AtDeadline = "hangs up",
): Promise<CallEnd> {
	const controller = new AbortController()
	const signal = controller.signal
	const answered: Promise<EdgeAnswer | undefined> = handIn(edge, id, {
		deadlineMs: CALLER_DEADLINE_MS,
		...options,
		signal,
	}).catch(() => undefined)
	const answer = await Promise.race([answered, sleep(CALLER_DEADLINE_MS)])
	if (atDeadline === "hangs up") controller.abort()
	return {status: answer ? answer.status : 0, at: performance.now()}
}

const isOpen = (status: number) => status === 0 || status === 502 || status === 504

/** A caller's attempts in progress. */
export interface CallSequence {
	/** Status of each finished attempt, in order. */
	readonly statuses: readonly number[]
	readonly ended: Promise<unknown>
}

/** Calls the instances in turn, each after the contract's wait, while the job's outcome is unknown. */
export function callWithResubmits(
	edges: readonly Edge[],
	id: string,
	options: Options,
	atDeadline: AtDeadline = "hangs up",
): CallSequence {
	const statuses: number[] = []

	async function call() {
		for (const edge of edges) {
			const {status, at} = await callOnce(edge, id, options, atDeadline)
			statuses.push(status)
			if (!isOpen(status)) return
			await sleep(at + RESUBMIT_MS - performance.now())
		}
	}

	return {statuses, ended: call()}
}
