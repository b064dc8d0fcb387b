/**
 * Shard ownership for one key: session `a` owns the shard; session `b` takes over when `a`'s lease
 * expires, which may happen while `a` still runs. The store applies a write once, late, or not at
 * all, and may lose its answer. A session that takes no step is paused.
 */
import type {Specification} from "./explore.js"

export type Session = "a" | "b"
export type Entry = "none" | "pending" | "closing" | "parked" | "running" | "closed" | "inherited"
export type RecordType = "intent" | "closed"
export type JournalValue = RecordType | "seal"

export interface SessionState {
	readonly alive: boolean
	readonly owns: boolean
	readonly entry: Entry
	/** The record whose write is unconfirmed. */
	readonly writing: RecordType | "none"
	/** The write is in flight to the store. */
	readonly message: boolean
	/** The store's answer in flight. */
	readonly answer: "none" | "created" | "own" | "sealed"
	/** Copies of the submission that wait at this session. */
	readonly waiting: readonly number[]
}

export interface OwnerState {
	readonly a: SessionState
	readonly b: SessionState
	/** Each session's journal, in order. */
	readonly journalA: readonly JournalValue[]
	readonly journalB: readonly JournalValue[]
	/** Progress of the successor's takeover; a number is the journal length that the successor listed. */
	readonly takeover: "idle" | "sealed" | "done" | number
	/** Where each copy of the submission is. */
	readonly copies: readonly ("caller" | Session | "held" | "not run" | "unknown" | "value")[]
	readonly starts: number
}

export interface OwnerGuards {
	/** The successor seals the journal before serving. */
	readonly seal: boolean
	/** Work starts only after its intent is durable. */
	readonly intentFirst: boolean
	/** A write without an answer is repeated, never assumed to have succeeded. */
	readonly readBack: boolean
	/** `not run` is answered only after the `closed` record is durable. */
	readonly closeFirst: boolean
	/** Work in the sealed journal is not started again. */
	readonly inherit: boolean
}

export const ALL_OWNER_GUARDS: OwnerGuards = Object.freeze({
	seal: true,
	intentFirst: true,
	readBack: true,
	closeFirst: true,
	inherit: true,
})

export type OwnerEvent =
	| {readonly type: "send"; readonly copy: number; readonly to: Session}
	| {readonly type: "arrive"; readonly copy: number; readonly admit: boolean}
	| {readonly type: "storeTakes"; readonly session: Session; readonly answers: boolean}
	| {readonly type: "storeDrops"; readonly session: Session}
	| {readonly type: "answerArrives"; readonly session: Session}
	| {readonly type: "timeout"; readonly session: Session}
	| {readonly type: "giveUp"; readonly session: Session}
	| {readonly type: "crash"; readonly session: Session}
	| {readonly type: "list"}
	| {readonly type: "seal"}
	| {readonly type: "serve"}

const NEW_SESSION_STATE = Object.freeze<SessionState>({
	alive: true,
	owns: false,
	entry: "none",
	writing: "none",
	message: false,
	answer: "none",
	waiting: [],
})

export const OWNER_INITIAL = Object.freeze<OwnerState>({
	a: {...NEW_SESSION_STATE, owns: true},
	b: NEW_SESSION_STATE,
	journalA: [],
	journalB: [],
	takeover: "idle",
	copies: ["caller", "caller"],
	starts: 0,
})

function withSession(
	state: OwnerState,
	session: Session,
	change: Partial<SessionState>,
): OwnerState {
	return {...state, [session]: {...state[session], ...change}}
}

function withCopies(
	state: OwnerState,
	copies: readonly number[],
	where: OwnerState["copies"][number],
): OwnerState {
	return {...state, copies: state.copies.map((old, i) => (copies.includes(i) ? where : old))}
}

function answerAll(state: OwnerState, session: Session, answer: "not run" | "unknown" | "value") {
	const answered = withCopies(state, state[session].waiting, answer)
	return withSession(answered, session, {waiting: []})
}

function start(state: OwnerState, session: Session): OwnerState {
	const started = {...withSession(state, session, {entry: "running"}), starts: state.starts + 1}
	return answerAll(started, session, "value")
}

function write(state: OwnerState, session: Session, record: RecordType): OwnerState {
	return withSession(state, session, {writing: record, message: true, answer: "none"})
}

function hold(state: OwnerState, session: Session, copy: number): OwnerState {
	const held = withCopies(state, [copy], "held")
	return withSession(held, session, {waiting: [...held[session].waiting, copy]})
}

function arrive(state: OwnerState, copy: number, admit: boolean, guards: OwnerGuards): OwnerState {
	const session = state.copies[copy] as Session
	const side = state[session]
	if (!side.alive || !side.owns) return withCopies(state, [copy], "unknown")
	switch (side.entry) {
		case "pending":
		case "closing":
			return hold(state, session, copy)
		case "parked":
			return start(hold(state, session, copy), session)
		case "running":
			return withCopies(state, [copy], "value")
		case "closed":
			return withCopies(state, [copy], "not run")
		case "inherited":
			return withCopies(state, [copy], "unknown")
		case "none":
			return admit ? accept(state, session, copy, guards) : refuse(state, session, copy, guards)
	}
}

function accept(state: OwnerState, session: Session, copy: number, guards: OwnerGuards) {
	const held = hold(state, session, copy)
	const pending = write(withSession(held, session, {entry: "pending"}), session, "intent")
	return guards.intentFirst ? pending : start(pending, session)
}

function refuse(state: OwnerState, session: Session, copy: number, guards: OwnerGuards) {
	const held = hold(state, session, copy)
	const closing = write(withSession(held, session, {entry: "closing"}), session, "closed")
	if (guards.closeFirst) return closing
	return answerAll(withSession(closing, session, {entry: "closed"}), session, "not run")
}

function journalOf(state: OwnerState, session: Session): readonly JournalValue[] {
	return session === "a" ? state.journalA : state.journalB
}

/** One key has at most one record of a type per session, so the record itself identifies the write. */
function storeTakes(state: OwnerState, session: Session, answers: boolean): OwnerState {
	const journal = journalOf(state, session)
	const record = state[session].writing as RecordType
	const isOwn = journal.includes(record)
	const isSealed = !isOwn && journal.includes("seal")
	const taken = withSession(state, session, {
		message: false,
		answer: !answers ? "none" : isOwn ? "own" : isSealed ? "sealed" : "created",
	})
	if (isOwn || isSealed) return taken
	const appended = [...journal, record]
	return session === "a" ? {...taken, journalA: appended} : {...taken, journalB: appended}
}

function becomeDurable(state: OwnerState, session: Session): OwnerState {
	const side = state[session]
	const settled = withSession(state, session, {writing: "none", message: false, answer: "none"})
	if (side.entry === "closing") {
		return answerAll(withSession(settled, session, {entry: "closed"}), session, "not run")
	}
	if (side.entry !== "pending") return settled
	if (side.waiting.length > 0) return start(settled, session)
	// No copy waits: the intent stays in the journal, and the work starts with the next copy.
	return withSession(settled, session, {entry: "parked"})
}

function answerArrives(state: OwnerState, session: Session): OwnerState {
	const {answer} = state[session]
	if (answer !== "sealed") return becomeDurable(state, session)
	const lost = answerAll(state, session, "unknown")
	return withSession(lost, session, {writing: "none", answer: "none", entry: "none", owns: false})
}

function timeout(state: OwnerState, session: Session, guards: OwnerGuards): OwnerState {
	if (!guards.readBack) return becomeDurable(state, session)
	return withSession(state, session, {message: true})
}

function serve(state: OwnerState, guards: OwnerGuards): OwnerState {
	const listed = state.journalA.filter(value => value !== "seal")
	const entry: Entry = listed.includes("closed")
		? "closed"
		: listed.includes("intent")
			? "inherited"
			: "none"
	const served = withSession(state, "b", {owns: true, entry: guards.inherit ? entry : "none"})
	return {...served, takeover: "done"}
}

function next(state: OwnerState, event: OwnerEvent, guards: OwnerGuards): OwnerState {
	switch (event.type) {
		case "send":
			return withCopies(state, [event.copy], event.to)
		case "arrive":
			return arrive(state, event.copy, event.admit, guards)
		case "storeTakes":
			return storeTakes(state, event.session, event.answers)
		case "storeDrops":
			return withSession(state, event.session, {message: false})
		case "answerArrives":
			return answerArrives(state, event.session)
		case "timeout":
			return timeout(state, event.session, guards)
		case "giveUp":
			return answerAll(state, event.session, "unknown")
		case "crash":
			return withSession(answerAll(state, event.session, "unknown"), event.session, {
				alive: false,
				owns: false,
				answer: "none",
			})
		case "list":
			return {...state, takeover: guards.seal ? state.journalA.length : "sealed"}
		case "seal": {
			const isTail = state.takeover === state.journalA.length
			if (!isTail) return {...state, takeover: "idle"}
			return {...state, takeover: "sealed", journalA: [...state.journalA, "seal"]}
		}
		case "serve":
			return serve(state, guards)
	}
}

function sessionEvents(state: OwnerState, session: Session): readonly OwnerEvent[] {
	const side = state[session]
	const events: OwnerEvent[] = []
	if (side.message) {
		events.push({type: "storeTakes", session, answers: true})
		events.push({type: "storeTakes", session, answers: false})
		events.push({type: "storeDrops", session})
	}
	if (!side.alive) return events
	if (side.answer !== "none") events.push({type: "answerArrives", session})
	const isUnanswered = side.writing !== "none" && !side.message && side.answer === "none"
	if (isUnanswered) events.push({type: "timeout", session})
	if (side.waiting.length > 0) events.push({type: "giveUp", session})
	if (side.owns) events.push({type: "crash", session})
	return events
}

function enabled(state: OwnerState): readonly OwnerEvent[] {
	const events: OwnerEvent[] = [...sessionEvents(state, "a"), ...sessionEvents(state, "b")]
	state.copies.forEach((where, copy) => {
		if (where === "caller") {
			events.push({type: "send", copy, to: "a"}, {type: "send", copy, to: "b"})
		}
		if (where === "a" || where === "b") {
			events.push({type: "arrive", copy, admit: true}, {type: "arrive", copy, admit: false})
		}
	})
	if (state.takeover === "idle") events.push({type: "list"})
	if (typeof state.takeover === "number") events.push({type: "seal"})
	if (state.takeover === "sealed") events.push({type: "serve"})
	return events
}

function violation(state: OwnerState): string | undefined {
	if (state.starts > 1) return "the work started twice"
	if (state.starts > 0 && state.copies.includes("not run")) {
		return "a copy was answered `not run`, and the work started"
	}
	return undefined
}

/** Violated by a second start, or by a start after `not run` was answered. */
export function ownerProtocol(
	guards: OwnerGuards = ALL_OWNER_GUARDS,
): Specification<OwnerState, OwnerEvent> {
	return {
		initial: OWNER_INITIAL,
		next: (state, event) => next(state, event, guards),
		enabled,
		violation,
	}
}
