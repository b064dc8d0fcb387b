/**
 * The platform's list of executors in the store, followed by all placers: listed, leaving and gone executors.
 *
 * The list grows with the fleet and every placer reads it, so it is read whole once and then followed by its changes. 66 entries
 * are some 25 KB, which keep a link of 2 Mbit/s busy for 100 ms.
 *
 * Some executors leave without notice: their entry is deleted while they still serve, so a missing entry means that its executor
 * is leaving. Entries also lapse while the store is unavailable; executors that stay renew them within two seconds of its return.
 * An entry that another writer made unreadable names no executor.
 */
import type {Clock, Store, StoreChange, StoreItem, StoreListing} from "@cottonwood/core"
import {followPrefix} from "../fleet/follow.js"
import type {ExecutorRecord} from "../types/executor.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"

/** With the answer's timeout (0.9 s) and the batching, within the notice of a leaving executor (2 s). */
const WATCH_TIMEOUT_MS = 600
/**
 * Batches changes, since each executor renews its entry about once a second. Otherwise a placer of 378 executors would call the
 * store 158 times a second, and go through its list as often.
 */
const BATCH_MS = 400
/** By the platform's contract, entries that lapsed while the store was unavailable are renewed by then. */
const RETURN_GRACE_MS = 2_000
/** The whole list is read this often, in case a change was missed. */
const RELIST_MS = 5_000

export interface ExecutorListDeps {
	readonly clock: Clock
	readonly store: Store
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly prefix: string
	readonly decode: (item: StoreItem) => ExecutorRecord | undefined
	readonly onList: (records: readonly ExecutorRecord[]) => void
	/** The list is not followed while this is false. */
	readonly isNeeded: () => boolean
}

export interface ExecutorList {
	/** The latest known list; undefined while the list is not followed. */
	latest(): readonly ExecutorRecord[] | undefined
	recordsOf(failureDomain: string): readonly ExecutorRecord[]
	/** Reads the list at once, when it starts being needed. */
	refresh(): void
	/** Calls `onList` again with the latest known list. */
	notifyAgain(): void
	close(): void
}

export function createExecutorList(deps: ExecutorListDeps): ExecutorList {
	const {clock, store, prefix} = deps
	/** By key: the listed executors and, during the grace period, those listed before. */
	const known = new Map<string, ExecutorRecord>()
	const listed = new Set<string>()
	/** The text and record of each entry as last decoded. */
	const decoded = new Map<string, {readonly text: string; readonly record: ExecutorRecord}>()
	/** When the store became unavailable; undefined while it answers. */
	let unavailableSince: number | undefined
	let graceUntil = -Infinity

	/** Skips decoding for an entry that was renewed unchanged. */
	function decode(item: StoreItem): ExecutorRecord | undefined {
		const text = JSON.stringify(item.value)
		const last = decoded.get(item.key)
		if (last?.text === text && known.get(item.key) === last.record) return last.record
		const record = deps.decode(item)
		if (record) decoded.set(item.key, {text, record})
		else decoded.delete(item.key)
		return record
	}

	function applyItem(item: StoreItem) {
		const record = decode(item)
		if (!record) return dropUnreadable(item.key)
		listed.add(item.key)
		known.set(item.key, record)
	}

	/** Drops an entry that another writer made unreadable. */
	function dropUnreadable(key: string) {
		listed.delete(key)
		if (!known.delete(key)) return
		deps.metrics.count("broken_assumptions", "executor_entry")
		const fields = {executor: key.slice(prefix.length)}
		deps.log.alarm(
			"placer",
			"entry_unreadable",
			"placer: an entry of the executor list is unreadable.",
			fields,
		)
	}

	function applyListing({items, unreadable}: StoreListing) {
		if (unavailableSince !== undefined) noteAvailable(unavailableSince)
		listed.clear()
		for (const item of items) applyItem(item)
		for (const key of unreadable ?? []) dropUnreadable(key)
		notify()
	}

	function applyChange({items, deleted, unreadable}: StoreChange) {
		for (const item of items) applyItem(item)
		for (const key of deleted) listed.delete(key)
		for (const key of unreadable ?? []) dropUnreadable(key)
		notify()
	}

	function notify() {
		if (clock.now() >= graceUntil)
			for (const key of [...known.keys()]) if (!listed.has(key)) forget(key)
		deps.onList([...known.values()])
	}

	function forget(key: string) {
		known.delete(key)
		decoded.delete(key)
	}

	function noteAvailable(since: number) {
		const now = clock.now()
		unavailableSince = undefined
		graceUntil = now + RETURN_GRACE_MS
		const fields = {inputAgeMs: Math.round(now - since), count: known.size}
		deps.log.event(
			"placer",
			"list_returned",
			"placer: the executor list is available again.",
			fields,
		)
	}

	function noteUnavailable() {
		if (unavailableSince !== undefined) return
		unavailableSince = clock.now()
		const fields = {count: known.size}
		deps.log.event("placer", "list_away", "placer: the executor list is unavailable.", fields)
	}

	const follower = followPrefix({
		clock,
		store,
		log: deps.log,
		metrics: deps.metrics,
		prefix,
		waitMs: WATCH_TIMEOUT_MS,
		relistMs: RELIST_MS,
		batchMs: BATCH_MS,
		isNeeded: deps.isNeeded,
		onListing: applyListing,
		onChange: applyChange,
		onListFailed: noteUnavailable,
	})
	return {
		latest: () => (deps.isNeeded() ? [...known.values()] : undefined),
		recordsOf: failureDomain =>
			[...known.values()].filter(record => record.failureDomain === failureDomain),
		refresh: follower.refresh,
		notifyAgain: notify,
		close: follower.close,
	}
}
