/**
 * Stores journals in the key-value store: creates and lists entries, deletes old segments.
 */
import type {CreateResult, JournalEntry, SessionId} from "@cottonwood/core"
import type {Store} from "@cottonwood/core"
import {entryKey, journalPrefix, segmentOf, segmentPrefix, seqOfKey} from "./keys.js"

export interface ListedEntry {
	readonly seq: number
	readonly entry: JournalEntry
}

/** Creates an entry under its sequence number; returns the present one if there is any. */
export async function createEntry(
	store: Store,
	session: SessionId,
	seq: number,
	entry: JournalEntry,
): Promise<CreateResult> {
	const result = await store.put(entryKey(session, seq), entry, {expect: 0})
	if (result.type === "done") return {type: "created"}
	if (result.type !== "conflict" || !result.current) return {type: "unknown"}
	return {type: "exists", entry: result.current.value as JournalEntry}
}

/** Lists a journal in sequence order; returns undefined when the store does not answer. */
export async function listEntries(
	store: Store,
	session: SessionId,
): Promise<readonly ListedEntry[] | undefined> {
	const listed = await store.list(journalPrefix(session))
	return listed?.items.map(item => ({
		seq: seqOfKey(item.key),
		entry: item.value as JournalEntry,
	}))
}

/** Deletes one segment; returns whether the store confirmed it. */
export function deleteSegment(store: Store, session: SessionId, segment: number): Promise<boolean> {
	return store.deletePrefix(segmentPrefix(session, segment))
}

/**
 * Deletes a sealed journal except for its last segment: without the seal in it, an owner that was
 * paused for the whole retention time could append again.
 */
export async function trimSealed(store: Store, session: SessionId): Promise<void> {
	const entries = await listEntries(store, session)
	const last = entries?.at(-1)
	if (!entries || !last) return
	const segments = new Set(entries.map(({seq}) => segmentOf(seq)))
	segments.delete(segmentOf(last.seq))
	for (const segment of segments) await deleteSegment(store, session, segment)
}
