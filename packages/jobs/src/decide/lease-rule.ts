/**
 * The one rule by which a run's end is certain for those who do not see it.
 *
 * Each run has a time as of which its caller is known to have wanted it, told on the placer's own clock. An executor is
 * asked for no lease under which any of its runs could go on for longer than `endsWithinMs` after that
 * time. So whoever has stopped wanting a run, or is known to have been gone since, needs no word from
 * anybody: when `endsWithinMs` have passed the run is over, whatever was slow, frozen, cut off or lost in between.
 *
 * It rests on the steady clocks of the placer and of the executor alone, each used by itself, and on the slowest rate that
 * the executor's may have.
 */

/** The slowest that an executor's clock may run; from the platform's contract (2%). */
export const SLOWEST_RATE = 0.98
/** An executor's timer for the end of its lease. */
const TIMER_MS = 10
/** Left of the time after which callers come back, for the way of their packets. */
const CALLER_WAY_MS = 50
/**
 * A confirmation that is this old may still begin a run: two readings of a placer's clock, and two looks at the
 * connections of the instance that the caller reached. Leases are shorter by it.
 */
const USUAL_AGE_MS = 220
/** A shorter lease is not worth a start: two holds without an answer would end it. */
const LEAST_START_LEASE_MS = 400

/**
 * A run whose caller was not heard for so long is not waited for: its neighbours' leases are down to half their length. A
 * broken connection is noticed within 600 ms.
 */
const UNHEARD_MS = 700

export interface LeaseRule {
	/** Every run has ended so long after its caller was last known to want it, in milliseconds. */
	readonly endsWithinMs: number
	/** The longest lease that is ever asked for, in milliseconds of the executor's clock. */
	readonly longestLeaseMs: number
	/** On this process's clock, in milliseconds: a lease of that length, asked for now, has certainly ended so much later. */
	readonly longestEndMs: number
	/** What runs when a lease ends goes on for so long, in milliseconds. */
	readonly endMarginMs: number
}

/** What the platform says of its callers and executors, in milliseconds. */
export interface LeaseBounds {
	/** Callers come back so long after they lost their connection, or got an answer that leaves the end open. */
	readonly resubmitMs: number
	/** The longest lease that an executor grants. */
	readonly maxLeaseMs: number
	/** What is being stopped may go on for so long. */
	readonly stopGraceMs: number
}

/** The longest lease that has certainly ended within so many milliseconds here. */
const leaseWithinMs = (ms: number, endMarginMs: number) => (ms - endMarginMs) * SLOWEST_RATE

/**
 * The rule for a platform. Where callers come back so soon that no lease ends in time, none of their runs may begin; what no
 * caller waits for still gets the shortest lease that keeps a run.
 */
export function leaseRuleFor({resubmitMs, maxLeaseMs, stopGraceMs}: LeaseBounds): LeaseRule {
	const endsWithinMs = resubmitMs - CALLER_WAY_MS
	const endMarginMs = stopGraceMs + TIMER_MS
	const usualMs = leaseWithinMs(endsWithinMs - USUAL_AGE_MS, endMarginMs)
	const longestLeaseMs = Math.min(maxLeaseMs, Math.max(LEAST_START_LEASE_MS, Math.floor(usualMs)))
	const longestEndMs = longestLeaseMs / SLOWEST_RATE + endMarginMs
	return Object.freeze({endsWithinMs, longestLeaseMs, longestEndMs, endMarginMs})
}

/** When a run whose caller was last known to want it at `confirmedAt` has certainly ended. */
export function certainEndAt({endsWithinMs}: LeaseRule, confirmedAt: number): number {
	return confirmedAt + endsWithinMs
}

/**
 * The same by the clock of whoever told the run's placer that it was wanted as of `toldAt`, and of nothing later: the placer's own
 * may be as slow as an executor's.
 */
export function certainEndSinceTold({endsWithinMs}: LeaseRule, toldAt: number): number {
	return toldAt + endsWithinMs / SLOWEST_RATE
}

/** Whether a run's caller has not been known to want it for too long. */
export function isUnheard(confirmedAt: number, now: number): boolean {
	return now - confirmedAt > UNHEARD_MS
}

/**
 * The lease to ask for, in milliseconds of the executor's clock, when the oldest confirmation of all runs there is
 * `confirmedAt`; none below 1.
 */
export function leaseMsFor(rule: LeaseRule, confirmedAt: number, now: number): number {
	const leftMs = certainEndAt(rule, confirmedAt) - now
	return Math.min(rule.longestLeaseMs, leaseWithinMs(leftMs, rule.endMarginMs))
}

/** A run that may begin on an executor. */
export interface RunStart {
	readonly confirmedAt: number
	/** The oldest confirmation of what runs there. */
	readonly neighboursConfirmedAt: number
	/** The leases that were asked for there end by then, on this process's clock. */
	readonly leasesEndAt: number
}

/**
 * Whether a run may begin: it would go on under the leases asked for already, whatever its own start asks for, and under no
 * longer one than its neighbours allow.
 */
export function mayStart(
	rule: LeaseRule,
	{confirmedAt, neighboursConfirmedAt: besideAt, leasesEndAt}: RunStart,
	now: number,
): boolean {
	if (leasesEndAt > certainEndAt(rule, confirmedAt)) return false
	const leaseMs = leaseMsFor(rule, Math.min(confirmedAt, besideAt), now)
	return leaseMs >= Math.min(LEAST_START_LEASE_MS, rule.longestLeaseMs)
}
