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
import {err, ok, type Result} from "neverthrow"

/** The slowest that an executor's clock may run; from the platform's contract (2%). */
export const SLOWEST_RATE = 0.98
/** What is being stopped at a lease's end takes up to 50 ms by the contract, and 10 ms for its timer there. */
export const END_MARGIN_MS = 60
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
}

/** What a lease of so many milliseconds on an executor's clock may last here, with the end of what runs under it. */
const lastsMs = (leaseMs: number) => leaseMs / SLOWEST_RATE + END_MARGIN_MS

/** The longest lease that has certainly ended within so many milliseconds here. */
const leaseWithinMs = (ms: number) => (ms - END_MARGIN_MS) * SLOWEST_RATE

/**
 * The rule for callers that come back after `resubmitMs`, and executors that grant leases of `maxLeaseMs`. Refused when
 * callers come back so soon that no lease is long enough to keep a run.
 */
export function leaseRuleFor({
	resubmitMs,
	maxLeaseMs,
}: {
	readonly resubmitMs: number
	readonly maxLeaseMs: number
}): Result<LeaseRule, string> {
	const endsWithinMs = resubmitMs - CALLER_WAY_MS
	const longestLeaseMs = Math.floor(
		Math.min(maxLeaseMs, leaseWithinMs(endsWithinMs - USUAL_AGE_MS)),
	)
	if (longestLeaseMs < LEAST_START_LEASE_MS)
		return err(`callers come back after ${resubmitMs} ms: no lease ends in time before that`)
	return ok({endsWithinMs, longestLeaseMs, longestEndMs: lastsMs(longestLeaseMs)})
}

/** When a run whose caller was last known to want it at `confirmedAt` has certainly ended. */
export function certainEndAt({endsWithinMs}: LeaseRule, confirmedAt: number): number {
	return confirmedAt + endsWithinMs
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
	return Math.min(rule.longestLeaseMs, leaseWithinMs(certainEndAt(rule, confirmedAt) - now))
}

/** A run that may begin on an executor. */
export interface Beginning {
	readonly confirmedAt: number
	/** The oldest confirmation of what runs there. */
	readonly besideAt: number
	/** The leases that were asked for there end by then, on this process's clock. */
	readonly leasesEndAt: number
}

/**
 * Whether a run may begin: it would go on under the leases asked for already, whatever its own start asks for, and under no
 * longer one than its neighbours allow.
 */
export function mayBegin(
	rule: LeaseRule,
	{confirmedAt, besideAt, leasesEndAt}: Beginning,
	now: number,
): boolean {
	if (leasesEndAt > certainEndAt(rule, confirmedAt)) return false
	return leaseMsFor(rule, Math.min(confirmedAt, besideAt), now) >= LEAST_START_LEASE_MS
}
