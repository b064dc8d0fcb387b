/**
 * Follows the keys under a prefix of the store: a listing, then its changes, and a listing again
 * whenever the changes were lost.
 */
import type {Clock, Store, StoreItem} from "@cottonwood/core"
import type {EventLog} from "../utils/log.js"

/** One waiting call each so often is what a quiet prefix costs. */
const WATCH_MS = 10_000
/** After a failed listing; doubled up to the longest, which is a third of the shortest bound on a change (2 s). */
const FIRST_PAUSE_MS = 80
const LONGEST_PAUSE_MS = 640

export interface FollowDeps {
	readonly clock: Clock
	readonly store: Store
	readonly log: EventLog
	readonly prefix: string
	readonly onListing: (items: readonly StoreItem[]) => void
	readonly onChanges: (items: readonly StoreItem[], deleted: readonly string[]) => void
}

export interface Follower {
	/** Lists now instead of waiting for the next change. */
	refresh(): void
	/** Milliseconds since the store last answered for the prefix; Infinity if never. */
	heardMs(): number
	close(): void
}

export function followPrefix(deps: FollowDeps): Follower {
	const {clock, store, log, prefix} = deps
	let isClosed = false
	let wake: () => void = () => undefined
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
		if (lostSince === undefined) return
		const inputAgeMs = Math.round(clock.now() - lostSince)
		lostSince = undefined
		log.event("store", "prefix_heard", "store: listed again.", {detail: prefix, inputAgeMs})
	}

	async function list(): Promise<number | undefined> {
		const sentAt = clock.now()
		const listing = await store.list(prefix)
		if (isClosed) return undefined
		if (!listing) {
			noteLost("listing", sentAt)
			await clock.sleep(pauseMs)
			pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2)
			return undefined
		}
		pauseMs = FIRST_PAUSE_MS
		heardAt = clock.now()
		noteHeard()
		deps.onListing(listing.items)
		return listing.revision
	}

	async function loop() {
		let revision: number | undefined
		while (!isClosed) {
			revision ??= await list()
			if (revision === undefined || isClosed) continue
			const sentAt = clock.now()
			const refreshed = new Promise<"refresh">(resolve => (wake = () => resolve("refresh")))
			const change = await Promise.race([store.watch(prefix, revision, WATCH_MS), refreshed])
			if (isClosed) return
			if (change === "refresh" || change === undefined) {
				if (change === undefined) noteLost("watch", sentAt)
				revision = undefined
				continue
			}
			heardAt = clock.now()
			if (change.items.length + change.deleted.length > 0)
				deps.onChanges(change.items, change.deleted)
			revision = change.revision
		}
	}

	void loop()
	return {
		refresh: () => wake(),
		heardMs: () => clock.now() - heardAt,
		close() {
			isClosed = true
			wake()
		},
	}
}
