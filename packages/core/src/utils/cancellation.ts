/**
 * A cancellation token for submissions. AbortController is not used, since its signals cost more
 * than the rest of a short request's bookkeeping.
 */

export interface Cancellation {
	isCancelled(): boolean
	/** Registers a callback for the cancellation; returns the function that removes it. */
	onCancel(callback: () => void): () => void
}

export interface CancellationSource extends Cancellation {
	cancel(): void
}

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
