/**
 * Detects that the event loop stalled: the process was frozen, or got no processor time.
 *
 * Peers may have taken over its work meanwhile, and their messages are still unread in its sockets. So a placer starts nothing
 * after a stall until the event loop has completed a turn.
 */
import type {Clock} from "@cottonwood/core"

const BEAT_MS = 100
/** Two thirds of the silence after which peers give up on an instance's calls (600 ms). */
const STOOD_STILL_MS = 400

export interface Pulse {
	/** Whether the event loop has just stalled and may not have read its sockets yet. */
	hasStoodStill(): boolean
	close(): void
}

export function startPulse(clock: Clock): Pulse {
	let beatAt = clock.now()
	let isClosed = false

	function beat() {
		beatAt = clock.now()
		if (!isClosed) clock.schedule(BEAT_MS, beat)
	}

	beat()
	return {
		hasStoodStill: () => clock.now() - beatAt > STOOD_STILL_MS,
		close() {
			isClosed = true
		},
	}
}
