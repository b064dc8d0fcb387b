/**
 * Callers that keep to the contract: what stayed open is handed in again, under the same id, no sooner than
 * the contract says.
 */
import {handIn, type Edge, type EdgeAnswer} from "@cottonwood/standins"

/** How long a caller waits for an answer. */
export const CALLER_DEADLINE_MS = 1_500
/** From the contract: after silence, a broken connection, 502 or 504 the same id comes again after this. */
export const RESUBMIT_MS = 1_300

export const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms))

/** Whether a caller that has waited in vain hangs up, or leaves the connection to itself. */
export type AtDeadline = "hangs up" | "stays on the line"

/** What became of a call; 0 stands for silence until the deadline, or a broken connection. */
export interface CallEnd {
	readonly status: number
	readonly at: number
}

type Options = NonNullable<Parameters<typeof handIn>[2]>

/** Calls an instance, and waits for an answer no longer than the caller's deadline. */
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

/** A caller's tries, while they go on. */
export interface CallSequence {
	/** What became of those that are over. */
	readonly statuses: readonly number[]
	readonly ended: Promise<unknown>
}

/** Calls one instance, then, should the job's fate be open, the next one after the contract's wait. */
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
