/**
 * Journals as values of the store: creating entries, listing a journal, trimming old segments.
 */
import type {CreateResult, JournalEntry, SessionId} from "@cottonwood/core"
import type {Store} from "../platform/store.js"
import {entryKey, journalPrefix, segmentPrefix, seqOfKey} from "./keys.js"

export interface ListedEntry {
	readonly seq: number
	readonly entry: JournalEntry
}

/** Creates one number of a journal if the store has it not. */
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

/** Lists a journal by ascending number; `undefined` means that the store gave no answer. */
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

/** Deletes one segment of a journal by one call. */
export function deleteSegment(store: Store, session: SessionId, segment: number): Promise<boolean> {
	return store.deletePrefix(segmentPrefix(session, segment))
}
