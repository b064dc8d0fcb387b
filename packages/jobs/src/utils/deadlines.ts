/** Waiting with a bound. */
import type {Clock} from "@cottonwood/core"

/** Resolves to `fallback` when the promise has not settled in time; rejections pass through. */
export async function within<T, F>(
	clock: Clock,
	promise: Promise<T>,
	ms: number,
	fallback: F,
): Promise<T | F> {
	let cancel: () => void = () => undefined
	const late = new Promise<F>(resolve => {
		cancel = clock.schedule(ms, () => resolve(fallback))
	})
	try {
		return await Promise.race([promise, late])
	} finally {
		cancel()
	}
}
