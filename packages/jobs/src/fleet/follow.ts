/**
 * Follows the keys under a prefix of the store: a listing, then its changes, and a new listing when
 * the changes were lost, on request, or when the last one is old.
 *
 * A connection may go silent while the store serves others, so no watch waits longer than a change
 * of its prefix may stay unnoticed. A change is passed on as reported: writes in order, then
 * deletions.
 */
import type {Clock, Store, StoreChange, StoreListing} from "@cottonwood/core"
import type {EventLog} from "../utils/log.js"
import {causeOf} from "../utils/process-end.js"

/**
 * Pause after a failed listing, and between two listings while watches fail; doubled up to the
 * maximum until a watch is answered.
 */
const MIN_PAUSE_MS = 80
/** Bounds how late the store's return is noticed. */
const MAX_PAUSE_MS = 400
/** How often an idle follower checks whether its prefix is needed. */
const IDLE_MS = 650

export interface FollowDeps {
	readonly clock: Clock
	readonly store: Store
	readonly log: EventLog
	readonly prefix: string
	/**
	 * A pending watch is renewed after this, in milliseconds. A lost one is noticed this much later
	 * at most, plus the time-out of its answer (0.9 s). Each renewal is a call.
	 */
	readonly waitMs: number
	/**
	 * Pause between an answer with changes and the next watch, in milliseconds, which batches
	 * changes of many keys; 0 by default.
	 */
	readonly batchMs?: number
	/**
	 * Interval between listings of the whole prefix, in milliseconds, whatever the changes said.
	 */
	readonly relistMs: number
	/** Whether anybody here needs the prefix; always by default. */
	readonly isNeeded?: () => boolean
	readonly onListing: (listing: StoreListing) => void
	/** Called for each answer of a watch, including one without changes. */
	readonly onChange: (change: StoreChange) => void
	/** Called when a listing was not answered. */
	readonly onListFailed?: () => void
}

export interface Follower {
	/**
	 * Lists now instead of waiting for the next change; lists again if a listing is under way,
	 * which may be older.
	 */
	refresh(): void
	/** Milliseconds since the store last answered for the prefix; Infinity if never. */
	heardMs(): number
	close(): void
}

const hasChanges = ({items, deleted}: StoreChange) => items.length + deleted.length > 0

/** Follows a prefix until closed. */
export function followPrefix(deps: FollowDeps): Follower {
	const {clock, store, log, prefix, waitMs, relistMs, batchMs = 0} = deps
	const isNeeded = deps.isNeeded ?? (() => true)
	let isClosed = false
	let isRefreshDue = false
	/** Ends the current pause or watch. */
	let interrupt: () => void = () => undefined
	let pauseMs = MIN_PAUSE_MS
	let lostSince: number | undefined
	let heardAt = -Infinity

	/** `outcome` is the unanswered call, sent at `sentAt`. */
	function noteLost(outcome: "listing" | "watch", sentAt: number) {
		if (lostSince !== undefined) return
		lostSince = clock.now()
		const waitedMs = Math.round(lostSince - sentAt)
		const fields = {detail: prefix, outcome, waitedMs}
		log.event("store", "prefix_lost", "store: lost track of changes under a prefix.", fields)
	}

	function noteHeard() {
		heardAt = clock.now()
		if (lostSince === undefined) return
		const inputAgeMs = Math.round(heardAt - lostSince)
		lostSince = undefined
		log.event("store", "prefix_heard", "store: follows a prefix again.", {
			detail: prefix,
			inputAgeMs,
		})
	}

	/** Resolves after `ms`, or when interrupted. */
	function pause(ms: number): Promise<void> {
		return new Promise(resolve => {
			interrupt = resolve
			clock.schedule(ms, resolve)
		})
	}

	/** The current pause in milliseconds; doubles the next one. */
	function nextPauseMs(): number {
		const ms = pauseMs
		pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2)
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

	/** Changes after a revision; undefined when the watch was lost or interrupted. */
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

	/** Applies changes until the next listing is due; false when the changes were lost. */
	async function followFrom(revision: number, listedAt: number): Promise<boolean> {
		let next: number | undefined = revision
		const isCurrent = () => !isRefreshDue && isNeeded() && clock.now() - listedAt < relistMs
		while (next !== undefined && isCurrent()) {
			const change: StoreChange | undefined = await watch(next)
			if (isClosed) return false
			if (change) {
				pauseMs = MIN_PAUSE_MS
				noteHeard()
				deps.onChange(change)
			}
			next = change?.revision
			if (change && hasChanges(change) && batchMs > 0) await pause(batchMs)
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

	/** What a receiver missed by throwing is in the next listing. */
	async function recover(error: unknown) {
		const fields = {detail: prefix, cause: causeOf(error)}
		log.alarm("store", "prefix_failed", "store: what was read under a prefix failed here.", fields)
		await clock.sleep(nextPauseMs())
	}

	async function loop() {
		while (!isClosed) {
			if (isNeeded()) await listAndFollow().catch(recover)
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
