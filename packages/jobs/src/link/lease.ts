/**
 * The lease of one executor: what may be asked for, by the lease rule, for all that runs there.
 */
import {leaseMsFor, mayStart} from "../decide/lease-rule.js"
import type {LinkState} from "./state.js"
import type {TaskRequest} from "../place/run.js"

/**
 * Whether a run of the task would end in time for whoever may stop wanting it unheard, and could be kept beside what runs
 * there; see the lease rule.
 */
export function isConfirmed(link: LinkState, {confirmedAt}: TaskRequest): boolean {
	const {clock, leaseRule} = link.deps
	const now = clock.now()
	const leasesEndAt = link.executorClock.leasesEndAt(now)
	const besideAt = oldestConfirmation(link)
	return mayStart(
		leaseRule,
		{confirmedAt: confirmedAt(), neighboursConfirmedAt: besideAt, leasesEndAt},
		now,
	)
}

/** As of when all runs there are known to be wanted, or were before they were stopped. */
function oldestConfirmation({runs}: LinkState): number {
	let oldest = Infinity
	for (const {req} of runs.values()) oldest = Math.min(oldest, req.confirmedAt())
	return oldest
}

/**
 * The end of the lease to ask for, on the executor's clock; undefined before its first answer, and while a run there has
 * not been confirmed for so long that none may be asked for.
 */
export function nextLeaseUntil(link: LinkState): number | undefined {
	const {clock, leaseRule} = link.deps
	const now = clock.now()
	const reading = link.executorClock.lowestReading(now)
	if (reading === undefined) return undefined
	const leaseMs = leaseMsFor(leaseRule, oldestConfirmation(link), now)
	if (leaseMs < 1) return undefined
	const untilMs = Math.floor(reading + leaseMs)
	link.executorClock.noteLease(untilMs)
	return untilMs
}

/**
 * Whether the lease is to be renewed. It is not beside a run of which it is not known here whether anybody wants it: that the
 * placer before may still hand over, or that may be a kept job's once the store is read. Nor is it for runs that are being
 * stopped, or while a stop stays without an answer, at the risk of what else runs there. Where nothing runs no lease is
 * needed: a start asks for its own.
 */
export function needsLease({runs, orphans, unansweredStops}: LinkState): boolean {
	if (unansweredStops.size + orphans.size > 0) return false
	return [...runs.values()].some(({state}) => state !== "stopping")
}
