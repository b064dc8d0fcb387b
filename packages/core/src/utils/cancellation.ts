/**
 * A one-way switch that stops a submission. Plain in place of AbortController, whose signals cost
 * more than the rest of a short request's bookkeeping.
 */

export interface Cancellation {
	isCancelled(): boolean
	/** Calls back at the cancellation; returns the function that takes the callback off. */
	onCancel(callback: () => void): () => void
}

export interface CancellationSource extends Cancellation {
	cancel(): void
}

/** Never cancelled. */
export const NOT_CANCELLED: Cancellation = Object.freeze({
	isCancelled: () => false,
	onCancel: () => () => undefined,
})

export function createCancellation(): CancellationSource {
	const callbacks = new Set<() => void>()
	let cancelled = false
	return {
		isCancelled: () => cancelled,
		onCancel(callback) {
			callbacks.add(callback)
			return () => void callbacks.delete(callback)
		},
		cancel() {
			if (cancelled) return
			cancelled = true
			for (const callback of callbacks) callback()
		},
	}
}
