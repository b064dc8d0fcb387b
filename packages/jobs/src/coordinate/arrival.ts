/**
 * Converts the times of arriving jobs and tasks to this process's clock, assuming the oldest possible age. Used by the
 * dispatcher.
 */
import type {TaskMessage} from "../fleet/peers.js"
import type {TaskRequest} from "../place/run.js"
import type {Caller, Job} from "../types/job.js"

/** A call that may have waited unread for this long counts as earlier for its objective too, not only for its deadline. */
const LONG_UNREAD_MS = 200

/** Another placer's task request, in times of this process. */
export function receivedRequest(message: TaskMessage, {madeAt, confirmedAt}: Caller): TaskRequest {
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

/**
 * Dates a job back by the time that its call may have waited unread, so that nothing runs for a caller that has given up.
 */
export function datedBack(job: Job, {madeAt}: Caller): Job {
	const {receivedAt, deadlineAt} = job
	const unreadMs = Math.max(0, receivedAt - madeAt)
	const isLate = unreadMs >= LONG_UNREAD_MS
	return {
		...job,
		receivedAt: isLate ? receivedAt - unreadMs : receivedAt,
		deadlineAt: deadlineAt - unreadMs,
	}
}

/** Limits the caller's confirmations to the job's deadline. */
export function limitedToDeadline(caller: Caller, {deadlineAt}: Job): Caller {
	return {...caller, confirmedAt: () => Math.min(deadlineAt, caller.confirmedAt())}
}
