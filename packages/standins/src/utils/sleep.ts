/**
 * Waiting in stand-ins and experiments, by the runtime's own timers.
 */

/** Waits for so many milliseconds; for one when they are over already. */
export const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms))
