/**
 * Tracks the input watermark of a process: the time up to which everything that arrived has been
 * read.
 *
 * A stalled process does not know what lies unread, for example that a caller has disconnected, so
 * silence is only judged up to this time.
 */
import type {Clock} from "@cottonwood/core"

/** Half the interval between the clock readings of a placer. */
const UPDATE_INTERVAL_MS = 50
/** Turns of the event loop in which the end of an open connection is read and handled. */
const TURNS = 3

export interface InputWatermark {
	/**
	 * Milliseconds on the monotonic clock: everything that arrived before then on open connections
	 * has been read.
	 */
	readUpTo(): number
	/**
	 * Registers a connection that was just accepted; returns its watermark. Until its data has been
	 * read, that is the last time at which no connection waited to be accepted: each turn of the
	 * event loop accepts one.
	 */
	trackConnection(): () => number
	close(): void
}

export function trackInputWatermark(
	clock: Clock,
	nextTurn: (callback: () => void) => unknown = setImmediate,
): InputWatermark {
	let readUpTo = clock.now()
	let queueEmptyAt = readUpTo
	let accepted = 0
	let isClosed = false

	function afterTurns(turns: number, callback: () => void) {
		if (turns === 0) callback()
		else nextTurn(() => afterTurns(turns - 1, callback))
	}

	/** A turn that accepts no connection shows that none waited when it began. */
	function findTurnWithoutAccept() {
		const at = clock.now()
		const before = accepted
		nextTurn(() => {
			if (accepted === before) queueEmptyAt = at
			else findTurnWithoutAccept()
		})
	}

	function update() {
		const at = clock.now()
		findTurnWithoutAccept()
		afterTurns(TURNS, () => {
			readUpTo = at
			if (!isClosed) clock.schedule(UPDATE_INTERVAL_MS, update)
		})
	}

	update()
	return {
		readUpTo: () => readUpTo,
		trackConnection() {
			accepted++
			const acceptedAt = clock.now()
			const arrivedAfter = queueEmptyAt
			return () => (readUpTo >= acceptedAt ? readUpTo : arrivedAfter)
		},
		close() {
			isClosed = true
		},
	}
}
