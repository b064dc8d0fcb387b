/**
 * Submission keys and attempt ids, and the creation time in UUIDs of version 7. Used by the owner
 * and by entry instances.
 */
import type {SubmissionKey} from "../types/types-external.js"

const SEPARATOR = "/"
const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i

/** Joins caller and id. Both are percent-encoded, so no two pairs share a key. */
export function submissionKey(caller: string, id: string): SubmissionKey {
	return `${encodeURIComponent(caller)}${SEPARATOR}${encodeURIComponent(id)}`
}

/** Returns the caller and the id of a key. */
export function splitKey(key: SubmissionKey): {readonly caller: string; readonly id: string} {
	const [caller = "", id = ""] = key.split(SEPARATOR)
	return {caller: decodeURIComponent(caller), id: decodeURIComponent(id)}
}

/** Returns the wall-clock time in a UUID of version 7, in milliseconds; undefined for other ids. */
export function creationTimeOf(id: string): number | undefined {
	const match = UUID_V7.exec(id)
	return match ? parseInt(match[1]! + match[2]!, 16) : undefined
}

/** Returns the id of one try of one task, which its result carries. */
export function attemptId(key: SubmissionKey, task: number, session: string, serial: number) {
	return `${key}#${task}@${session}.${serial}`
}
