/**
 * Decides which lease to request from an executor, by the lease rule and the runs there.
 */
import {leaseMsFor, mayStart} from "../decide/lease-rule.js"
import type {LinkState} from "./state.js"
import type {TaskRequest} from "../place/run.js"

/**
 * Whether the task's caller was confirmed recently enough to start a run here: the run would end in
 * time should the caller be lost, and the runs beside it leave a lease long enough to keep it.
 */
export function isConfirmed(link: LinkState, {confirmedAt}: TaskRequest): boolean {
	const {clock, leaseRule} = link.deps
	const now = clock.now()
	const leasesEndAt = link.executorClock.leasesEndAt(now)
	const neighboursConfirmedAt = oldestConfirmation(link)
	return mayStart(leaseRule, {confirmedAt: confirmedAt(), neighboursConfirmedAt, leasesEndAt}, now)
}

/** The oldest time as of which every run there, and every end that needs a lapse, is confirmed. */
function oldestConfirmation(link: LinkState): number {
	let oldest = hasBindingEnds(link) ? link.deps.kept.confirmedAt() : Infinity
	for (const confirmedAt of link.counts.confirmations.keys())
		oldest = Math.min(oldest, confirmedAt())
	return oldest
}

/**
 * Whether the executor holds ends that the store lacks, or may yet list some, under a lease that has not lapsed since. A
 * successor that cannot see them runs their tasks again, which is sound only once the lease has lapsed.
 */
function hasBindingEnds(link: LinkState): boolean {
	const {unrecordedEnds, unlistedRuns, lapsedSerial} = link
	if (unlistedRuns.size > 0) return true
	for (const serial of unrecordedEnds) if (serial > lapsedSerial) return true
	return false
}

/** Notes when all leases have ended: ends that are listed already need no further lapse. */
export function noteLapse(link: LinkState) {
	if (link.unrecordedEnds.size === 0) return
	if (link.executorClock.haveLeasesEnded(link.deps.clock.now())) link.lapsedSerial = link.seenSerial
}

/**
 * The end of the lease to request, on the executor's clock. Undefined before the executor's first
 * answer, and while a run there has been unconfirmed for so long that no lease may be requested.
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
 * Whether a hold should renew the lease. It must not while there are orphans, which the previous
 * placer or a kept job may still claim, or while a stop is unanswered, even though other runs there
 * may then end. Without a run to keep, no lease is needed: a start requests its own.
 * While ends are still to be listed one is, as an executor that is silent past its lease counts as
 * gone with them.
 */
export function shouldRenewLease(link: LinkState): boolean {
	const {runs, unlistedRuns, orphans, unansweredStops} = link
	if (unansweredStops.size + orphans.size > 0) return false
	if (unlistedRuns.size > 0) return true
	return [...runs.values()].some(({state}) => state !== "stopping")
}
