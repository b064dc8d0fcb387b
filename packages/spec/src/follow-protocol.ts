/**
 * A reader's copy of a key prefix in the store: a listing of two pages that form no snapshot, watch answers that hold
 * several changes, and a peer that reports a newer revision meanwhile.
 */
import type {Specification} from "./explore.js"

/** Revision of the last write, by key; absent keys have no entry. */
type Keys = Readonly<Record<string, number>>

interface Change {
	readonly revision: number
	readonly key: string
	readonly type: "write" | "removal"
}

export interface FollowState {
	readonly changes: readonly Change[]
	readonly phase: "before the first page" | "before the second page" | "following"
	/** The reader's copy of the store's content. */
	readonly known: Keys
	/** The revision after which the reader watches for changes. */
	readonly revision: number
	/** The newest revision that a peer has reported. */
	readonly peerRevision: number
	readonly isRefreshDue: boolean
}

export interface FollowGuards {
	/** The watch begins at the revision of the first page. */
	readonly firstPage: boolean
	/** The last of several writes in an answer wins. */
	readonly lastWrite: boolean
	/** The later of a write and a removal in an answer wins. */
	readonly lastChange: boolean
	/** A refresh requested during a listing triggers another listing. */
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

/** Copies one page as the store has it now. */
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
	// The watch's connection may be silently dead, so a revision that a peer reports must not wait for it.
	if (state.peerRevision > state.revision) return "a revision that a peer reported was forgotten"
	if (state.revision < revisionOf(state)) return undefined
	const isSame = KEYS.every(key => state.known[key] === contentOf(state)[key])
	return isSame ? undefined : "an up-to-date reader differs from the store"
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
