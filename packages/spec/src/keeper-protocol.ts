/**
 * Recovery of a kept job after its placer fails: one job of one task, the placer that accepts it, a successor, and
 * an executor that lists ended runs until it may forget them. Writes to the store may arrive late.
 */
import type {Specification} from "./explore.js"

export interface KeeperState {
	/** The job's record in the store. */
	readonly record: "absent" | "open" | "done"
	/** The holder of the claim in the store. */
	readonly claim: "first" | "successor"
	/** The first placer's writes in flight. */
	readonly isCreateInFlight: boolean
	readonly isEndWriteInFlight: boolean
	readonly wasCreateSent: boolean
	readonly isAccepted: boolean
	readonly isFirstDead: boolean
	/** The run, as the executor has it. */
	readonly run: "unsent" | "running" | "listed as done" | "forgotten"
	readonly hasSuccessorFenced: boolean
	/** The record as the successor read it; undefined before the read. */
	readonly readRecord: "absent" | "open" | "done" | undefined
	/** The executor has listed the run, or its end, to the successor. */
	readonly isRunKnown: boolean
	/** The successor has started the task a second time. */
	readonly secondRuns: boolean
	readonly wasEndedBefore: boolean
}

export interface KeeperGuards {
	/** A submitter is told that its job is kept only once the record is in the store. */
	readonly recordFirst: boolean
	/** An executor may forget an ended run only once the store has its end. */
	readonly recordEndFirst: boolean
	/** A write takes effect only while the writer holds the claim. */
	readonly writeUnderClaim: boolean
	/** The successor reads the store only once it holds the claim. */
	readonly readAfterClaim: boolean
	/** The successor starts nothing before the executor has listed its runs. */
	readonly holdFirst: boolean
}

export const ALL_KEEPER_GUARDS: KeeperGuards = Object.freeze({
	recordFirst: true,
	recordEndFirst: true,
	writeUnderClaim: true,
	readAfterClaim: true,
	holdFirst: true,
})

export type KeeperEvent = {
	readonly type:
		| "send create"
		| "create arrives"
		| "tell accepted"
		| "start"
		| "run ends"
		| "send note"
		| "note arrives"
		| "forget"
		| "first dies"
		| "successor claims"
		| "successor reads"
		| "successor holds"
		| "successor starts"
}

const INITIAL: KeeperState = Object.freeze({
	record: "absent",
	claim: "first",
	isCreateInFlight: false,
	isEndWriteInFlight: false,
	wasCreateSent: false,
	isAccepted: false,
	isFirstDead: false,
	run: "unsent",
	hasSuccessorFenced: false,
	readRecord: undefined,
	isRunKnown: false,
	secondRuns: false,
	wasEndedBefore: false,
})

const mayWrite = ({claim}: KeeperState, {writeUnderClaim}: KeeperGuards) =>
	claim === "first" || !writeUnderClaim

function next(state: KeeperState, {type}: KeeperEvent, guards: KeeperGuards): KeeperState {
	switch (type) {
		case "send create":
			return {...state, isCreateInFlight: true, wasCreateSent: true}
		case "create arrives": {
			const isWritten = mayWrite(state, guards) && state.record === "absent"
			return {...state, isCreateInFlight: false, record: isWritten ? "open" : state.record}
		}
		case "tell accepted":
			return {...state, isAccepted: true}
		case "start":
			return {...state, run: "running"}
		case "run ends":
			return {...state, run: "listed as done"}
		case "send note":
			return {...state, isEndWriteInFlight: true}
		case "note arrives": {
			const isWritten = mayWrite(state, guards) && state.record === "open"
			return {...state, isEndWriteInFlight: false, record: isWritten ? "done" : state.record}
		}
		case "forget":
			return {...state, run: "forgotten"}
		case "first dies":
			return {...state, isFirstDead: true}
		case "successor claims":
			return {...state, claim: "successor"}
		case "successor reads":
			return {...state, readRecord: state.record}
		case "successor holds": {
			const isRunKnown = state.run === "running" || state.run === "listed as done"
			return {...state, hasSuccessorFenced: true, isRunKnown}
		}
		case "successor starts": {
			const wasEndedBefore = state.record === "done" || state.run === "forgotten"
			return {...state, secondRuns: true, wasEndedBefore}
		}
	}
}

/** The successor starts a job that it read as open and that the executor did not list. */
function mayStartAgain(state: KeeperState, {holdFirst}: KeeperGuards): boolean {
	const hasRead = state.claim === "successor" && state.readRecord === "open"
	const hasListedRuns = state.hasSuccessorFenced || !holdFirst
	return hasRead && hasListedRuns && !state.isRunKnown && !state.secondRuns
}

function enabled(state: KeeperState, guards: KeeperGuards): readonly KeeperEvent[] {
	const isFirst = !state.isFirstDead
	const mayOrder = isFirst && !state.hasSuccessorFenced
	const isRecorded = state.record !== "absent"
	const mayRead = state.claim === "successor" || !guards.readAfterClaim
	const rules: readonly (readonly [KeeperEvent["type"], boolean])[] = [
		["send create", isFirst && !state.wasCreateSent],
		["create arrives", state.isCreateInFlight],
		[
			"tell accepted",
			isFirst && state.wasCreateSent && !state.isAccepted && (isRecorded || !guards.recordFirst),
		],
		["start", mayOrder && isRecorded && state.run === "unsent"],
		["run ends", state.run === "running"],
		["send note", isFirst && state.run === "listed as done" && !state.isEndWriteInFlight],
		[
			"forget",
			mayOrder &&
				state.run === "listed as done" &&
				(state.record === "done" || !guards.recordEndFirst),
		],
		["note arrives", state.isEndWriteInFlight],
		["first dies", isFirst],
		["successor claims", state.claim === "first"],
		["successor reads", mayRead && state.readRecord === undefined],
		["successor holds", state.claim === "successor" && !state.hasSuccessorFenced],
		["successor starts", mayStartAgain(state, guards)],
	]
	return rules.filter(([, isEnabled]) => isEnabled).map(([type]) => ({type}))
}

function violation(state: KeeperState): string | undefined {
	if (state.secondRuns && state.run === "running") return "a task ran twice at once"
	if (state.wasEndedBefore) return "a task ran again after its end was noted"
	if (!state.isAccepted || !state.isFirstDead || state.isCreateInFlight) return undefined
	if (state.record === "absent") return "an accepted job was lost"
	const isOverlooked = state.record === "open" && state.readRecord === "absent"
	return isOverlooked ? "an accepted job belongs to nobody" : undefined
}

export function keeperProtocol(
	guards: KeeperGuards = ALL_KEEPER_GUARDS,
): Specification<KeeperState, KeeperEvent> {
	return {
		initial: INITIAL,
		next: (state, event) => next(state, event, guards),
		enabled: state => enabled(state, guards),
		violation,
	}
}
