/**
 * The caller of a job whose id comes again while the job is under way.
 *
 * A caller comes again only once its connection before is over, whether or not that has been heard here. So the last one that came
 * is the one that counts: it is over when that hangs up, and it is wanted as of when that was heard.
 */
import type {Caller} from "../types/job.js"

export interface SharedCaller extends Caller {
	/** Takes the place of whoever came before. */
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
