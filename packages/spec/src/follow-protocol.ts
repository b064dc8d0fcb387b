/**
 * Following a prefix of the store: a listing of two pages that are no snapshot, watches that tell several changes in one
 * answer, and a peer that names a newer revision meanwhile.
 */
import type {Specification} from "./explore.js"

/** Keys by name, with the revision of their last write; absent keys are not there. */
type Keys = Readonly<Record<string, number>>

interface Change {
	readonly revision: number
	readonly key: string
	readonly type: "write" | "removal"
}

export interface FollowState {
	readonly changes: readonly Change[]
	readonly phase: "before the first page" | "before the second page" | "following"
	/** What the reader takes for the store's content. */
	readonly known: Keys
	/** What the reader asks to hear the changes after. */
	readonly revision: number
	/** The newest revision that a peer has named. */
	readonly peerRevision: number
	readonly isRefreshDue: boolean
}

export interface FollowGuards {
	/** Changes are asked for from the first page on. */
	readonly firstPage: boolean
	/** Of several writes in an answer the last counts. */
	readonly lastWrite: boolean
	/** A key that an answer writes and removes goes by what came last. */
	readonly lastChange: boolean
	/** A refresh that is asked for during a listing lists again. */
	readonly keepRefresh: boolean
}

export const ALL_FOLLOW_GUARDS: FollowGuards = Object.freeze({
	firstPage: true,
	lastWrite: true,
	lastChange: true,
	keepRefresh: true,
})

export type FollowEvent =
	| {readonly type: "write"; readonly key: string}
	| {readonly type: "remove"; readonly key: string}
	| {readonly type: "answerPage"}
	| {readonly type: "answerWatch"}
	| {readonly type: "peerNames"}
	| {readonly type: "refresh"}

const FIRST_PAGE = "a"
const SECOND_PAGE = "b"
const KEYS = [FIRST_PAGE, SECOND_PAGE]
const MAX_REVISION = 4

const INITIAL = Object.freeze<FollowState>({
	changes: [],
	phase: "before the first page",
	known: {},
	revision: 0,
	peerRevision: 0,
	isRefreshDue: false,
})

const revisionOf = ({changes}: FollowState) => changes.length

function withoutKey(keys: Keys, key: string): Keys {
	return Object.fromEntries(Object.entries(keys).filter(([name]) => name !== key))
}

function apply(keys: Keys, {key, type, revision}: Change): Keys {
	return type === "write" ? {...keys, [key]: revision} : withoutKey(keys, key)
}

const contentOf = ({changes}: FollowState): Keys => changes.reduce(apply, {})

function change(state: FollowState, key: string, type: Change["type"]): FollowState {
	const revision = revisionOf(state) + 1
	return {...state, changes: [...state.changes, {revision, key, type}]}
}

/** A page's answer: the keys on it as they are now. */
function applyPage(state: FollowState, key: string): Keys {
	const found = contentOf(state)[key]
	return found === undefined ? withoutKey(state.known, key) : {...state.known, [key]: found}
}

function answerPage(state: FollowState, guards: FollowGuards): FollowState {
	const now = revisionOf(state)
	if (state.phase === "before the first page") {
		const known = applyPage(state, FIRST_PAGE)
		return {...state, phase: "before the second page", known, revision: now}
	}
	const known = applyPage(state, SECOND_PAGE)
	const revision = guards.firstPage ? state.revision : now
	return {...state, phase: "following", known, revision}
}

/** What a reader makes of one answer. */
function applyAnswer(keys: Keys, told: readonly Change[], guards: FollowGuards): Keys {
	const writes = told.filter(({type}) => type === "write")
	const removals = told.filter(({type}) => type === "removal")
	const [firstWrite] = writes
	if (!guards.lastWrite && firstWrite) return [...removals, firstWrite].reduce(apply, keys)
	if (!guards.lastChange) return [...removals, ...writes].reduce(apply, keys)
	return told.reduce(apply, keys)
}

function answerWatch(state: FollowState, guards: FollowGuards): FollowState {
	const told = state.changes.filter(({revision}) => revision > state.revision)
	const known = applyAnswer(state.known, told, guards)
	return {...state, known, revision: revisionOf(state)}
}

function peerNames(state: FollowState, guards: FollowGuards): FollowState {
	const isRefreshNeeded = guards.keepRefresh || state.phase === "following"
	return {
		...state,
		peerRevision: revisionOf(state),
		isRefreshDue: state.isRefreshDue || isRefreshNeeded,
	}
}

function next(state: FollowState, event: FollowEvent, guards: FollowGuards): FollowState {
	switch (event.type) {
		case "write":
			return change(state, event.key, "write")
		case "remove":
			return change(state, event.key, "removal")
		case "answerPage":
			return answerPage(state, guards)
		case "answerWatch":
			return answerWatch(state, guards)
		case "peerNames":
			return peerNames(state, guards)
		case "refresh":
			return {...state, phase: "before the first page", isRefreshDue: false}
	}
}

function enabled(state: FollowState): readonly FollowEvent[] {
	const events: FollowEvent[] = []
	if (revisionOf(state) < MAX_REVISION) {
		for (const key of KEYS) {
			events.push({type: "write", key})
			if (contentOf(state)[key] !== undefined) events.push({type: "remove", key})
		}
	}
	if (state.peerRevision < revisionOf(state)) events.push({type: "peerNames"})
	if (state.phase !== "following") events.push({type: "answerPage"})
	else if (state.isRefreshDue) events.push({type: "refresh"})
	else if (state.revision < revisionOf(state)) events.push({type: "answerWatch"})
	return events
}

function violation(state: FollowState): string | undefined {
	if (state.phase !== "following" || state.isRefreshDue) return undefined
	// A watch may lie on a connection that says nothing more, so what a peer names must not wait for it.
	if (state.peerRevision > state.revision) return "what a peer named was forgotten"
	if (state.revision < revisionOf(state)) return undefined
	const isSame = KEYS.every(key => state.known[key] === contentOf(state)[key])
	return isSame ? undefined : "a reader that heard everything knows something else"
}

export function followProtocol(
	guards: FollowGuards = ALL_FOLLOW_GUARDS,
): Specification<FollowState, FollowEvent> {
	return {
		initial: INITIAL,
		next: (state, event) => next(state, event, guards),
		enabled,
		violation,
	}
}
