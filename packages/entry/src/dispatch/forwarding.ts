/**
 * Forwards attempts to a peer for the scheduler: one streaming call per batch, one event per attempt.
 */
import type {Attempt, AttemptResult, Clock} from "@cottonwood/core"
import type {RunEvent__Output} from "@cottonwood/wire"
import {fromRunEvent, toAttemptMessage, type SelectorTexts} from "../peers/messages.js"
import type {PeerTable} from "../peers/peer-table.js"

export interface ForwardDeps {
	readonly clock: Clock
	readonly peers: PeerTable
	readonly selectorTextsOf: (attempt: Attempt) => SelectorTexts
	readonly settle: (id: string, result: AttemptResult) => void
	readonly count: (name: string, by?: number) => void
}

const CALL_SLACK_MS = 1_000

/** Sends attempts to a peer and settles each once, as `unknown` when the stream breaks. */
export function forwardAttempts(deps: ForwardDeps, instance: string, attempts: readonly Attempt[]) {
	const peer = deps.peers.byInstance(instance)
	const unsettled = new Set(attempts.map(attempt => attempt.id))
	if (!peer) {
		for (const id of unsettled) {
			deps.settle(id, {type: "not started", reason: "refused", detail: `${instance} is gone`})
		}
		return
	}
	deps.count("forwarded.attempts", attempts.length)
	const now = deps.clock.now()
	const longestRemainingMs = Math.max(...attempts.map(attempt => attempt.deadlineAt - now))
	const messages = attempts.map(attempt =>
		toAttemptMessage(attempt, deps.selectorTextsOf(attempt), attempt.deadlineAt - now),
	)
	const deadline = Date.now() + longestRemainingMs + CALL_SLACK_MS
	const call = peer.client.run({attempts: messages}, {deadline})
	const settleRemaining = (detail: string) => {
		for (const id of unsettled) deps.settle(id, {type: "unknown", detail})
		unsettled.clear()
	}
	call.on("data", (event: RunEvent__Output) => {
		if (!unsettled.delete(event.id)) return deps.count("wasted.late_answer")
		deps.peers.onRoomReport(instance, event.pool, event.free)
		deps.settle(event.id, fromRunEvent(event))
	})
	call.on("error", error => settleRemaining(`${instance}: ${error.message}`))
	call.on("end", () => settleRemaining(`${instance} ended the stream early`))
}
