/**
 * Tracks the failure domains that operators are evacuating: no further work is sent to their
 * executors until the evacuation ends.
 *
 * Each report carries a revision of the store. The latest revision counts, whether the store
 * reported it or a peer that could reach the store when this instance could not.
 */
import type {StoreChange, StoreItem, StoreListing} from "@cottonwood/core"
import type {Result} from "neverthrow"
import {failureDomainOf} from "../decide/slices.js"
import type {EvacuationSnapshot} from "../types/fleet.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"

export interface EvacuationsDeps {
	readonly log: EventLog
	readonly metrics: JobMetrics
	/**
	 * The failure domain that an item asks to evacuate; undefined when the item is something else.
	 */
	readonly decodeEvacuation: (item: StoreItem) => Result<string, string> | undefined
	/** Called when an evacuation begins or ends. */
	readonly onChange: () => void
}

export interface Evacuations {
	/**
	 * Whether no new work may start in the failure domain, or in the one that a slice belongs to.
	 */
	isUnderWay(failureDomain: string): boolean
	/** The state reported to peers; undefined while no evacuation was ever known here. */
	snapshot(): EvacuationSnapshot | undefined
	applyListing(listing: StoreListing): void
	applyChange(change: StoreChange): void
	/** Applies a peer's report if it is newer. */
	applySnapshot(report: EvacuationSnapshot, peer: string): void
}

/** What the store itself reported, by key, since a deletion names only the key. */
interface StoreState {
	readonly revision: number
	readonly byKey: ReadonlyMap<string, string>
}

export function createEvacuations(deps: EvacuationsDeps): Evacuations {
	const {log, metrics, decodeEvacuation, onChange} = deps
	let stored: StoreState = {revision: -Infinity, byKey: new Map()}
	let current: EvacuationSnapshot | undefined

	function noteUnreadable(key: string, cause: string) {
		metrics.count("broken_assumptions", "evacuation_undecodable")
		const fields = {detail: key, cause}
		const message = "config: an evacuation cannot be read; what was in force stays."
		log.alarm("config", "evacuation_refused", message, fields)
	}

	/** Adds an item's evacuation; an unreadable item changes nothing. */
	function addItem(byKey: Map<string, string>, item: StoreItem) {
		const decoded = decodeEvacuation(item)
		if (!decoded) return
		if (decoded.isOk()) return void byKey.set(item.key, decoded.value)
		noteUnreadable(item.key, decoded.error)
		keepKnown(byKey, item.key)
	}

	function keepKnown(byKey: Map<string, string>, key: string) {
		const known = stored.byKey.get(key)
		if (known !== undefined) byKey.set(key, known)
	}

	/** Whether the key of an unreadable item belongs to an evacuation. */
	function isEvacuationKey(key: string): boolean {
		return decodeEvacuation({key, value: undefined, revision: 0}) !== undefined
	}

	function noteUnreadableKeys(byKey: Map<string, string>, keys: readonly string[] = []) {
		for (const key of keys.filter(isEvacuationKey)) {
			noteUnreadable(key, "its bytes cannot be read")
			keepKnown(byKey, key)
		}
	}

	/** Applies the store's state, unless a peer has reported a later one. */
	function applyStored(next: StoreState) {
		stored = next
		if (current && current.revision > next.revision) return
		setCurrent({revision: next.revision, failureDomains: [...new Set(next.byKey.values())]})
	}

	function setCurrent(next: EvacuationSnapshot, peer?: string) {
		const before = current?.failureDomains ?? []
		// Heartbeats omit evacuations until there has been one.
		if (!current && next.failureDomains.length === 0) return
		current = next
		const {failureDomains} = next
		const begun = failureDomains.filter(domain => !before.includes(domain))
		const over = before.filter(domain => !failureDomains.includes(domain))
		for (const failureDomain of begun)
			log.alarm("config", "evacuation_begun", "config: nothing new starts in a failure domain.", {
				failureDomain,
				peer,
			})
		for (const failureDomain of over)
			log.alarm("config", "evacuation_over", "config: a failure domain is used again.", {
				failureDomain,
				peer,
			})
		if (begun.length + over.length > 0) onChange()
	}

	return {
		isUnderWay: name => current?.failureDomains.includes(failureDomainOf(name)) ?? false,
		snapshot: () => current,
		applyListing({items, unreadable, revision}) {
			const byKey = new Map<string, string>()
			for (const item of items) addItem(byKey, item)
			noteUnreadableKeys(byKey, unreadable)
			applyStored({revision, byKey})
		},
		applyChange({items, deleted, unreadable = [], revision}) {
			// A watch without changes proves nothing at its revision: it may have missed a change
			// that a peer reported.
			if (items.length + deleted.length === 0) return
			const byKey = new Map(stored.byKey)
			for (const item of items) addItem(byKey, item)
			for (const key of deleted) if (!unreadable.includes(key)) byKey.delete(key)
			noteUnreadableKeys(byKey, unreadable)
			applyStored({revision, byKey})
		},
		applySnapshot(report, peer) {
			if (report.revision > Math.max(stored.revision, current?.revision ?? -Infinity))
				setCurrent(report, peer)
		},
	}
}
