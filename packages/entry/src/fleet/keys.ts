/**
 * Keys in the key-value store: sessions, ownership map, configuration and journals.
 */
import {SEGMENT_LENGTH, type SessionId} from "@cottonwood/core"

/** Every instance watches the keys under this prefix. */
export const LIVE_PREFIX = "cottonwood/live/"
export const OWNERSHIP_KEY = `${LIVE_PREFIX}ownership`
export const CONFIG_KEY = `${LIVE_PREFIX}config`
export const SESSION_PREFIX = `${LIVE_PREFIX}sessions/`
export const HISTORY_PREFIX = "cottonwood/config-history/"

const JOURNAL_PREFIX = "cottonwood/journals/"
const NUMBER_WIDTH = 10

const pad = (value: number) => String(value).padStart(NUMBER_WIDTH, "0")

export const sessionKey = (session: SessionId) => `${SESSION_PREFIX}${session}`
export const historyKey = (version: number) => `${HISTORY_PREFIX}${pad(version)}`
export const journalPrefix = (session: SessionId) => `${JOURNAL_PREFIX}${session}/`

export const segmentOf = (seq: number) => Math.floor(seq / SEGMENT_LENGTH)

export const segmentPrefix = (session: SessionId, segment: number) =>
	`${journalPrefix(session)}${pad(segment)}/`

/** The segment follows from the sequence number, so that each number has exactly one key. */
export const entryKey = (session: SessionId, seq: number) =>
	`${segmentPrefix(session, segmentOf(seq))}${pad(seq)}`

export const seqOfKey = (key: string) => Number(key.slice(key.lastIndexOf("/") + 1))
