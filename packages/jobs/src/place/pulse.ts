/**
 * Notices that the process stood still: it was frozen, or its machine got no processor time.
 *
 * Whoever waited for it may have given its work to somebody else meanwhile, and the news of that lies unread in
 * its connections. So nothing is started from what is believed until the loop has gone round once.
 */
import type {Clock} from "@cottonwood/core"

const BEAT_MS = 100
/** Two thirds of the silence after which peers take an instance's calls as broken (600 ms). */
const STOOD_STILL_MS = 400

export interface Pulse {
	/** Whether the loop has just come back from a standstill and may not have read its connections. */
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
