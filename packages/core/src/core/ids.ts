/**
 * Submission keys, attempt ids, and the mint time inside an id where it has one.
 */
import type {SubmissionKey} from "../types/types-external.js"

const SEPARATOR = "/"
const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i

/** Joins caller and id; both are percent-encoded, so no two pairs share a key. */
export function submissionKey(caller: string, id: string): SubmissionKey {
	return `${encodeURIComponent(caller)}${SEPARATOR}${encodeURIComponent(id)}`
}

/** Splits a key into the caller and the id that made it. */
export function splitKey(key: SubmissionKey): {readonly caller: string; readonly id: string} {
	const [caller = "", id = ""] = key.split(SEPARATOR)
	return {caller: decodeURIComponent(caller), id: decodeURIComponent(id)}
}

/** Returns the wall-clock milliseconds at which a UUID version 7 was made; undefined for others. */
export function mintedAt(id: string): number | undefined {
	const match = UUID_V7.exec(id)
	return match ? parseInt(match[1]! + match[2]!, 16) : undefined
}

/** Names one try of one task; the answer must carry it back. */
export function attemptId(key: SubmissionKey, task: number, session: string, serial: number) {
	return `${key}#${task}@${session}.${serial}`
}
