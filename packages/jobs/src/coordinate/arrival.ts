/**
 * What arrives from callers and other instances, in times of this process: never taken for younger than it may be.
 */
import type {TaskMessage} from "../fleet/peers.js"
import type {TaskRequest} from "../place/run.js"
import type {Caller, Job} from "../types/job.js"

/** A call that may have lain unread for longer, four looks, is late by that for its objective too, not only for its deadline. */
const UNREAD_MS = 200

/** What another placer asks for, in times of this process. */
export function requestOf(message: TaskMessage, {madeAt, confirmedAt}: Caller): TaskRequest {
	return {
		...message.task,
		askedBy: message.from,
		startBy: madeAt + message.startInMs,
		uselessAt: madeAt + message.uselessInMs,
		deadlineAt: madeAt + message.leftMs,
		confirmedAt,
		isForeign: true,
	}
}

/** A call that lay unread here is as old as it may be, so that nothing runs for a caller that has given it up. */
export function sinceArrival(job: Job, {madeAt}: Caller): Job {
	const {receivedAt, deadlineAt} = job
	const unreadMs = Math.max(0, receivedAt - madeAt)
	const isLate = unreadMs >= UNREAD_MS
	return {
		...job,
		receivedAt: isLate ? receivedAt - unreadMs : receivedAt,
		deadlineAt: deadlineAt - unreadMs,
	}
}

/** Nobody waits beyond the job's deadline, whatever is heard. */
export function untilDeadline(caller: Caller, {deadlineAt}: Job): Caller {
	return {...caller, confirmedAt: () => Math.min(deadlineAt, caller.confirmedAt())}
}
