/**
 * When a coordinator may reschedule a job whose placer became unreachable.
 *
 * The lost placer may have started tasks, so none may start elsewhere before every run has certainly ended. A job that would be
 * useless by then is answered at once.
 */
import {certainEndForCoordinator, type LeaseRule} from "./lease-rule.js"

/** A job whose placer became unreachable; times are milliseconds on the coordinator's monotonic clock. */
export interface LostJob {
	/** The latest confirmation by the caller that the placer was sent; Infinity when unknown. */
	readonly lastConfirmedAt: number
	/** The longest chain of dependent steps, by the estimates. */
	readonly chainMs: number
	/** A later result is useless to the caller. */
	readonly usefulUntil: number
}

/** The earliest time at which the job may be rescheduled; undefined when its result would be useless by then. */
export function rescheduleAt(rule: LeaseRule, lost: LostJob, now: number): number | undefined {
	const at = Math.max(now, certainEndForCoordinator(rule, lost.lastConfirmedAt))
	return at + lost.chainMs <= lost.usefulUntil ? at : undefined
}
