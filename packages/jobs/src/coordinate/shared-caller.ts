/**
 * The caller of a job that is submitted again with the same id while it is in progress. Used by the entry instance.
 *
 * A caller submits again only after its previous connection has ended, whether or not that has been noticed here. So the
 * latest caller decides when the job is cancelled and as of when it is wanted.
 */
import type {Caller} from "../types/job.js"

export interface SharedCaller extends Caller {
	/** Replaces the previous caller. */
	readonly join: (caller: Caller) => void
}

export function createSharedCaller(first: Caller): SharedCaller {
	const listeners: (() => void)[] = []
	let current = first
	let isGone = false

	function noteGone() {
		isGone = true
		for (const listener of listeners) listener()
	}

	function join(caller: Caller) {
		current = caller
		caller.onCancel(() => {
			if (current === caller) noteGone()
		})
	}

	join(first)
	return {
		join,
		onCancel(listener) {
			if (isGone) listener()
			else listeners.push(listener)
		},
		madeAt: first.madeAt,
		confirmedAt: () => current.confirmedAt(),
	}
}
