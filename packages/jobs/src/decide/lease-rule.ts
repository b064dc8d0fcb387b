/**
 * The rule that bounds how long a run can outlive its caller's last confirmation, for placers and coordinators that cannot
 * observe the run's end.
 *
 * An executor is never asked for a lease under which one of its runs could go on for longer than `endsWithinMs` after the
 * caller's last confirmation of it. So the run has ended by then, whatever was slow, frozen or partitioned. The rule needs no
 * synchronised clocks: only the monotonic clocks of placer and executor, and a bound on the executor's rate.
 */

/** The slowest rate of an executor's clock, by the platform's contract (2%). */
export const SLOWEST_RATE = 0.98
/** How late an executor's lease timer may fire. */
const TIMER_MARGIN_MS = 10
/** Reserved for the network delay of callers that retry. */
const CALLER_DELAY_MS = 50
/**
 * The age of a confirmation that still allows a start: two clock readings of the placer and two connection checks of the
 * caller's instance. Leases are shorter by it.
 */
const TYPICAL_CONFIRMATION_AGE_MS = 220
/** The shortest lease for a start: two unanswered holds would end a shorter one. */
const MIN_START_LEASE_MS = 400

/**
 * A run with an older confirmation is stopped, since it halves its neighbours' leases. A broken connection is noticed within
 * 600 ms.
 */
const MAX_CONFIRMATION_AGE_MS = 700

/**
 * How long after the last confirmation of its placer's claim a kept job's run has certainly ended, on the placer's clock. Shorter
 * times end runs when the store is away for seconds; longer ones delay the jobs of a failure domain that is lost.
 */
const KEPT_ENDS_WITHIN_MS = 6_500

export interface LeaseRule {
	/** How long after its caller's last confirmation a run has certainly ended, in milliseconds. */
	readonly endsWithinMs: number
	/** The longest lease requested, in milliseconds of the executor's clock. */
	readonly longestLeaseMs: number
	/** How long after its request the longest lease has certainly ended, in milliseconds of this process's clock. */
	readonly longestEndMs: number
	/** How long a run may outlive its lease, in milliseconds. */
	readonly endMarginMs: number
}

/** The platform's guarantees about callers and executors, in milliseconds. */
export interface LeaseBounds {
	/** The earliest retry of a caller after a lost connection or an answer of unknown outcome. */
	readonly resubmitMs: number
	/** The longest lease that an executor grants. */
	readonly maxLeaseMs: number
	/** How long a run may go on after a stop. */
	readonly stopGraceMs: number
}

/** The longest lease that has certainly ended within `ms` of this process's clock. */
const leaseWithinMs = (ms: number, endMarginMs: number) => (ms - endMarginMs) * SLOWEST_RATE

/**
 * The rule for a platform. Where callers retry too soon for any lease, none of their runs may start; runs without a waiting
 * caller still get the shortest lease.
 */
export function leaseRuleFor({resubmitMs, maxLeaseMs, stopGraceMs}: LeaseBounds): LeaseRule {
	const endsWithinMs = resubmitMs - CALLER_DELAY_MS
	const endMarginMs = stopGraceMs + TIMER_MARGIN_MS
	const typicalMs = leaseWithinMs(endsWithinMs - TYPICAL_CONFIRMATION_AGE_MS, endMarginMs)
	const longestLeaseMs = Math.min(maxLeaseMs, Math.max(MIN_START_LEASE_MS, Math.floor(typicalMs)))
	const longestEndMs = longestLeaseMs / SLOWEST_RATE + endMarginMs
	return Object.freeze({endsWithinMs, longestLeaseMs, longestEndMs, endMarginMs})
}

/** When a run whose caller last confirmed it at `confirmedAt` has certainly ended, on the placer's clock. */
export function certainEndAt({endsWithinMs}: LeaseRule, confirmedAt: number): number {
	return confirmedAt + endsWithinMs
}

/** The same on the coordinator's clock, since the placer's clock may be as slow as an executor's. */
export function certainEndForCoordinator({endsWithinMs}: LeaseRule, confirmedAt: number): number {
	return confirmedAt + endsWithinMs / SLOWEST_RATE
}

/** The confirmation of a kept job's run whose placer's claim was last confirmed at `claimConfirmedAt`; it may lie ahead. */
export function keptConfirmedAt({endsWithinMs}: LeaseRule, claimConfirmedAt: number): number {
	return claimConfirmedAt + KEPT_ENDS_WITHIN_MS - endsWithinMs
}

/**
 * When all kept runs of the previous placers have certainly ended, on the clock of a successor whose claim was in the store by
 * `claimedAt`: whatever they read of the claim since then deposes them. Their clocks may be as slow as an executor's.
 */
export function keptRunsOverAt(claimedAt: number): number {
	return claimedAt + KEPT_ENDS_WITHIN_MS / SLOWEST_RATE
}

/** Whether the last confirmation of a run is too old. */
export function isUnheard(confirmedAt: number, now: number): boolean {
	return now - confirmedAt > MAX_CONFIRMATION_AGE_MS
}

/**
 * The lease to request, in milliseconds of the executor's clock, for an executor whose runs' oldest confirmation is
 * `confirmedAt`; below 1, none.
 */
export function leaseMsFor(rule: LeaseRule, confirmedAt: number, now: number): number {
	const leftMs = certainEndAt(rule, confirmedAt) - now
	return Math.min(rule.longestLeaseMs, leaseWithinMs(leftMs, rule.endMarginMs))
}

/** The inputs for starting a run on an executor; times on this process's clock. */
export interface RunStart {
	readonly confirmedAt: number
	/** The oldest confirmation of the runs there. */
	readonly neighboursConfirmedAt: number
	/** When the leases requested there have certainly ended. */
	readonly leasesEndAt: number
}

/**
 * Whether a run may start: it would not be stopped at once, the leases requested already do not outlast its confirmation, and its
 * neighbours allow a lease that is long enough.
 */
export function mayStart(
	rule: LeaseRule,
	{confirmedAt, neighboursConfirmedAt, leasesEndAt}: RunStart,
	now: number,
): boolean {
	if (isUnheard(confirmedAt, now)) return false
	if (leasesEndAt > certainEndAt(rule, confirmedAt)) return false
	const leaseMs = leaseMsFor(rule, Math.min(confirmedAt, neighboursConfirmedAt), now)
	return leaseMs >= Math.min(MIN_START_LEASE_MS, rule.longestLeaseMs)
}
