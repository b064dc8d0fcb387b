/**
 * When a job is placed anew whose placer fell silent with the job under way.
 *
 * The load: a placer's machine is lost, or cut off, with all the jobs that its domain's callers wait for. Whoever was asked may
 * have started them, and may go on for as long as it believes that they are wanted. So nothing of them may start elsewhere before
 * every run is certainly over, and a job that could not be of use any more by then is answered at once: its caller knows better
 * what to do with the time than to wait for nothing.
 */
import {certainEndSinceTold, type LeaseRule} from "./lease-rule.js"

/** What is known of a job whose placer fell silent; times are steady milliseconds of its coordinator. */
export interface LostJob {
	/** The placer was told of no later time as of which the job was wanted; Infinity when that is not known. */
	readonly lastConfirmedAt: number
	/** Its longest chain of estimated work. */
	readonly chainMs: number
	/** An end after this is of no use to its caller. */
	readonly usefulUntil: number
}

/** When the job may be placed anew; undefined when its end would be of no use then. */
export function rescheduleAt(rule: LeaseRule, lost: LostJob, now: number): number | undefined {
	const at = Math.max(now, certainEndSinceTold(rule, lost.lastConfirmedAt))
	return at + lost.chainMs <= lost.usefulUntil ? at : undefined
}
