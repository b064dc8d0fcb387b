/**
 * How old what this process knows may be: the time as of which everything that had arrived at it has been read.
 *
 * A process that stands still, or gets little processor time, does not know what lies unread in its connections: that
 * a caller has left, for one. Its clock goes on meanwhile, so what it has not heard is no proof of anything.
 */
import type {Clock} from "@cottonwood/core"

/** Between two looks; half of the time between two readings of a placer's clock, so that they make up the smaller part. */
const LOOK_MS = 50
/**
 * Turns of the loop after which what had arrived on open connections before them has been read and told on: one reads the
 * end of a connection, and it takes two more until the connection counts as closed.
 */
const TURNS = 3

export interface News {
	/** Steady milliseconds: what arrived before then on connections that were open has been read. */
	knownAt(): number
	/**
	 * Notes that a connection has just been accepted; returns as of when what arrived on it has been read. Until it has been
	 * looked at, that is the last time when no connection waited to be accepted: each turn of the loop accepts one.
	 */
	noteAccepted(): () => number
	close(): void
}

export function watchNews(
	clock: Clock,
	nextTurn: (callback: () => void) => unknown = setImmediate,
): News {
	let knownAt = clock.now()
	let noneWaitedAt = knownAt
	let accepted = 0
	let isClosed = false

	function afterTurns(turns: number, callback: () => void) {
		if (turns === 0) callback()
		else nextTurn(() => afterTurns(turns - 1, callback))
	}

	/** A turn that accepts none shows that none waited when it began. */
	function lookForWaiting() {
		const at = clock.now()
		const before = accepted
		nextTurn(() => {
			if (accepted === before) noneWaitedAt = at
			else lookForWaiting()
		})
	}

	function look() {
		const at = clock.now()
		lookForWaiting()
		afterTurns(TURNS, () => {
			knownAt = at
			if (!isClosed) clock.schedule(LOOK_MS, look)
		})
	}

	look()
	return {
		knownAt: () => knownAt,
		noteAccepted() {
			accepted++
			const acceptedAt = clock.now()
			const arrivedAfter = noneWaitedAt
			return () => (knownAt >= acceptedAt ? knownAt : arrivedAfter)
		},
		close() {
			isClosed = true
		},
	}
}
