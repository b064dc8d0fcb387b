/**
 * Detects that the event loop stalled: the process was frozen, or got no processor time.
 *
 * Peers may have taken over its work meanwhile, and their messages are still unread in its sockets. So a placer starts nothing
 * after a stall until the event loop has completed a turn.
 */
import type {Clock} from "@cottonwood/core"

const TICK_MS = 100
/** Two thirds of the silence after which peers give up on an instance's calls (600 ms). */
const STALL_MS = 400

export interface StallDetector {
	/** Whether the event loop has just stalled and may not have read its sockets yet. */
	hasStalled(): boolean
	close(): void
}

export function startStallDetector(clock: Clock): StallDetector {
	let tickedAt = clock.now()
	let isClosed = false

	function tick() {
		tickedAt = clock.now()
		if (!isClosed) clock.schedule(TICK_MS, tick)
	}

	tick()
	return {
		hasStalled: () => clock.now() - tickedAt > STALL_MS,
		close() {
			isClosed = true
		},
	}
}
