/**
 * Delays between tries, with jitter.
 */

/**
 * Returns an exponential delay with equal jitter, in milliseconds.
 *
 * @example await clock.sleep(backoff(attempt, 20, 1000, random))
 */
export function backoffMs(
	attempt: number,
	baseMs: number,
	capMs: number,
	random: () => number,
): number {
	const ceiling = Math.min(capMs, baseMs * 2 ** attempt)
	return ceiling * (0.5 + random() / 2)
}

/** Returns a random delay in [ms, 2 ms), so that refused callers do not retry at the same time. */
export function addJitterMs(ms: number, random: () => number): number {
	return Math.round(ms * (1 + random()))
}
