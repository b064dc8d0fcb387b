/**
 * Follows the keys under a prefix of the store: a listing, then its changes, and a listing again whenever the changes
 * were lost, somebody asks for it, or the last one is old.
 *
 * A connection may go silent for good while the store serves others, so no watch is waited for longer than the bound on a
 * change of its prefix allows. A change is handed on as the store told it: its writes in their order, then what is gone.
 */
import type {Clock, Store, StoreChange, StoreListing} from "@cottonwood/core"
import type {EventLog} from "../utils/log.js"

/** After a failed listing, and between two listings while watches fail; doubled up to the longest until one is answered. */
const FIRST_PAUSE_MS = 80
/** The store's return is noticed so much later at most; five listings within the shortest bound, should it answer those alone. */
const LONGEST_PAUSE_MS = 400
/** How often a prefix that nobody needs is looked at. */
const IDLE_MS = 650

export interface FollowDeps {
	readonly clock: Clock
	readonly store: Store
	readonly log: EventLog
	readonly prefix: string
	/**
	 * A waiting watch is renewed after this, in milliseconds. One that was lost without a word is missed so much later at
	 * most, and the patience for its answer (0.9 s); each renewal is a call.
	 */
	readonly waitMs: number
	/**
	 * After an answer with changes the next watch is asked so much later, in milliseconds, so that changes of many keys come
	 * together; 0 by default.
	 */
	readonly batchMs?: number
	/** The whole prefix is listed this often, in milliseconds, whatever the changes said. */
	readonly relistMs: number
	/** Nobody here needs the prefix while this is false; always needed by default. */
	readonly isNeeded?: () => boolean
	readonly onListing: (listing: StoreListing) => void
	/** Called for each answer of a watch, one without changes included. */
	readonly onChange: (change: StoreChange) => void
	/** A listing was not answered. */
	readonly onListFailed?: () => void
}

export interface Follower {
	/** Lists now instead of waiting for the next change; once more if a listing is under way, which may be older. */
	refresh(): void
	/** Milliseconds since the store last answered for the prefix; Infinity if never. */
	heardMs(): number
	close(): void
}

const isNews = ({items, deleted}: StoreChange) => items.length + deleted.length > 0

/** Begins to follow at once; goes on until it is closed. */
export function followPrefix(deps: FollowDeps): Follower {
	const {clock, store, log, prefix, waitMs, relistMs: wholeMs, batchMs: gatherMs = 0} = deps
	const isNeeded = deps.isNeeded ?? (() => true)
	let isClosed = false
	let isRefreshDue = false
	/** Ends the pause or the watch that the loop is in. */
	let interrupt: () => void = () => undefined
	let pauseMs = FIRST_PAUSE_MS
	let lostSince: number | undefined
	let heardAt = -Infinity

	/** `outcome` is the call that was not answered, which began at `sentAt`. */
	function noteLost(outcome: "listing" | "watch", sentAt: number) {
		if (lostSince !== undefined) return
		lostSince = clock.now()
		const waitedMs = Math.round(lostSince - sentAt)
		const fields = {detail: prefix, outcome, waitedMs}
		log.event("store", "prefix_lost", "store: changes are no longer heard.", fields)
	}

	function noteHeard() {
		heardAt = clock.now()
		if (lostSince === undefined) return
		const inputAgeMs = Math.round(heardAt - lostSince)
		lostSince = undefined
		log.event("store", "prefix_heard", "store: listed again.", {detail: prefix, inputAgeMs})
	}

	/** Until the time is over, or it is interrupted. */
	function pause(ms: number): Promise<void> {
		return new Promise(resolve => {
			interrupt = resolve
			clock.schedule(ms, resolve)
		})
	}

	/** The next pause is longer, until a watch is answered. */
	function nextPauseMs(): number {
		const ms = pauseMs
		pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2)
		return ms
	}

	async function list(): Promise<number | undefined> {
		const sentAt = clock.now()
		isRefreshDue = false
		const listing = await store.list(prefix)
		if (isClosed) return undefined
		if (!listing) {
			noteLost("listing", sentAt)
			deps.onListFailed?.()
			return undefined
		}
		noteHeard()
		deps.onListing(listing)
		return listing.revision
	}

	/** What changes after a revision; undefined when the watch was lost or interrupted. */
	async function watch(revision: number): Promise<StoreChange | undefined> {
		const sentAt = clock.now()
		const stop = new AbortController()
		const interrupted = new Promise<undefined>(resolve => {
			interrupt = () => {
				stop.abort()
				resolve(undefined)
			}
		})
		const answer = store.watch(prefix, revision, waitMs, stop.signal)
		const change = await Promise.race([answer, interrupted])
		if (!change && !stop.signal.aborted) noteLost("watch", sentAt)
		return change
	}

	/** Takes changes in as they come, until it is time for a listing; false when they were not heard. */
	async function followFrom(revision: number, listedAt: number): Promise<boolean> {
		let next: number | undefined = revision
		const isCurrent = () => !isRefreshDue && isNeeded() && clock.now() - listedAt < wholeMs
		while (next !== undefined && isCurrent()) {
			const change: StoreChange | undefined = await watch(next)
			if (isClosed) return false
			if (change) {
				pauseMs = FIRST_PAUSE_MS
				noteHeard()
				deps.onChange(change)
			}
			next = change?.revision
			if (change && isNews(change) && gatherMs > 0) await pause(gatherMs)
		}
		return next !== undefined
	}

	async function listAndFollow() {
		const listedAt = clock.now()
		const revision = await list()
		if (isClosed) return
		if (revision === undefined) return clock.sleep(nextPauseMs())
		const isHeard = await followFrom(revision, listedAt)
		if (isHeard || isClosed || isRefreshDue) return
		const restMs = listedAt + nextPauseMs() - clock.now()
		if (restMs > 0) await pause(restMs)
	}

	async function loop() {
		while (!isClosed) {
			if (isNeeded()) await listAndFollow()
			else await pause(IDLE_MS)
		}
	}

	void loop()
	return {
		refresh() {
			isRefreshDue = true
			interrupt()
		},
		heardMs: () => clock.now() - heardAt,
		close() {
			isClosed = true
			interrupt()
		},
	}
}
