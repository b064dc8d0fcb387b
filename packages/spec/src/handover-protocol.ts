/**
 * The handover of a shard between two running sessions: `a` releases it by one write to the ownership
 * map; `b` sees the write, reads `a`'s journal and serves. The store may apply the write late or lose
 * its answer.
 */
import type {Specification} from "./explore.js"

export interface HandoverState {
	readonly aServes: boolean
	readonly bServes: boolean
	/** `a` has accepted an intent that is not yet durable. */
	readonly aPending: boolean
	readonly aDurable: boolean
	/** Progress of `a`'s release. */
	readonly release: "none" | "flushing" | "writing" | "in doubt" | "done"
	/** The map write is in flight to the store. */
	readonly message: boolean
	readonly mapOwner: "a" | "b"
	readonly bHasIntent: boolean
	readonly starts: number
	/** Copies of the submission that have not been sent. */
	readonly copies: number
}

export interface HandoverGuards {
	/** `a` waits for its pending intents before it writes the map. */
	readonly flush: boolean
	/** `a` repeats an unanswered map write until its outcome is known. */
	readonly definite: boolean
}

export const ALL_HANDOVER_GUARDS: HandoverGuards = Object.freeze({flush: true, definite: true})

export interface HandoverEvent {
	readonly type:
		| "submit to a"
		| "intent is durable"
		| "begin release"
		| "write map"
		| "store takes"
		| "answer is lost"
		| "a decides"
		| "b serves"
		| "submit to b"
}

const INITIAL: HandoverState = Object.freeze({
	aServes: true,
	bServes: false,
	aPending: false,
	aDurable: false,
	release: "none",
	message: false,
	mapOwner: "a",
	bHasIntent: false,
	starts: 0,
	copies: 2,
})

function next(state: HandoverState, event: HandoverEvent, guards: HandoverGuards): HandoverState {
	switch (event.type) {
		case "submit to a":
			return {...state, copies: state.copies - 1, aPending: !state.aDurable}
		case "intent is durable":
			return {...state, aPending: false, aDurable: true, starts: state.starts + 1}
		case "begin release":
			return {...state, aServes: false, release: "flushing"}
		case "write map":
			return {...state, release: "writing", message: true}
		case "store takes":
			return {...state, message: false, mapOwner: "b"}
		case "answer is lost":
			return {...state, release: "in doubt"}
		case "a decides": {
			// Without the guard, an unanswered write counts as failed, and `a` keeps serving.
			const isHandedOver = guards.definite || state.mapOwner === "b"
			return {...state, release: "done", aServes: !isHandedOver}
		}
		case "b serves":
			return {...state, bServes: true, bHasIntent: state.aDurable}
		case "submit to b": {
			const left = {...state, copies: state.copies - 1}
			return state.bHasIntent ? left : {...left, bHasIntent: true, starts: state.starts + 1}
		}
	}
}

function enabled(state: HandoverState, guards: HandoverGuards): readonly HandoverEvent[] {
	const events: HandoverEvent["type"][] = []
	if (state.copies > 0 && state.aServes && !state.aPending) events.push("submit to a")
	if (state.copies > 0 && state.bServes) events.push("submit to b")
	if (state.aPending) events.push("intent is durable")
	if (state.release === "none") events.push("begin release")
	if (state.release === "flushing" && (!guards.flush || !state.aPending)) events.push("write map")
	if (state.message) events.push("store takes")
	if (state.release === "writing") events.push("answer is lost")
	// With the guard, `a` decides only once the write has taken effect.
	const isDefinite = state.mapOwner === "b"
	if (state.release === "writing" && isDefinite) events.push("a decides")
	if (state.release === "in doubt" && (isDefinite || !guards.definite)) events.push("a decides")
	if (state.mapOwner === "b" && !state.bServes) events.push("b serves")
	return events.map(type => ({type}))
}

export function handoverProtocol(
	guards: HandoverGuards = ALL_HANDOVER_GUARDS,
): Specification<HandoverState, HandoverEvent> {
	return {
		initial: INITIAL,
		next: (state, event) => next(state, event, guards),
		enabled: state => enabled(state, guards),
		violation: state => (state.starts > 1 ? "the work started twice" : undefined),
	}
}
