/**
 * A timer as a promise, for stand-ins, soaks and experiments.
 */

/** Waits for `ms` milliseconds; for one when `ms` is zero or negative. */
export const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms))
