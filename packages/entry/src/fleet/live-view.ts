/**
 * A local copy of the store's live keys: sessions, ownership map and configuration. A long-polling
 * watch keeps it current; while the store is unreachable the last state holds.
 */
import {backoffMs, type Clock, type OwnershipMap, type SessionId} from "@cottonwood/core"
import type {Log} from "../utils/log.js"
import type {Store, StoreItem} from "@cottonwood/core"
import {CONFIG_KEY, LIVE_PREFIX, OWNERSHIP_KEY, SESSION_PREFIX} from "./keys.js"

/** What an instance publishes about itself while its session lasts. */
export interface SessionInfo {
	readonly session: SessionId
	readonly instance: string
	readonly failureDomain: string
	/** The address for peers, host:port. */
	readonly peer: string
	/** Addresses for peers of certain failure domains, by domain. */
	readonly peerFor: Readonly<Record<string, string>>
	/** The URL for callers. */
	readonly http: string
	readonly draining: boolean
}

export interface LiveView {
	start(): void
	stop(): void
	/** Lists all keys again; returns false when the store does not answer. */
	refresh(): Promise<boolean>
	sessions(): ReadonlyMap<SessionId, SessionInfo>
	ownership(): {readonly map: OwnershipMap | undefined; readonly revision: number}
	config(): StoreItem | undefined
	isLoaded(): boolean
}

export interface LiveViewDeps {
	readonly store: Store
	readonly clock: Clock
	readonly random: () => number
	readonly log: Log
	readonly onChange: () => void
}

/** With the call's timeout, limits how long changes are missed on a connection that went silent. */
const WATCH_TIMEOUT_MS = 2_000
const RETRY_BASE_MS = 100
const RETRY_CAP_MS = 2_000

export function createLiveView(deps: LiveViewDeps): LiveView {
	const {store, clock} = deps
	let items = new Map<string, StoreItem>()
	let sessions: ReadonlyMap<SessionId, SessionInfo> = new Map()
	let revision = 0
	let isStopped = false
	let isLoaded = false

	function rebuild() {
		const entries = [...items.values()]
			.filter(item => item.key.startsWith(SESSION_PREFIX))
			.map(item => item.value as SessionInfo)
		sessions = new Map(entries.map(info => [info.session, info]))
		deps.onChange()
	}

	async function refresh(): Promise<boolean> {
		const listed = await store.list(LIVE_PREFIX)
		if (!listed) return false
		if (isLoaded && listed.revision < revision) return true
		isLoaded = true
		items = new Map(listed.items.map(item => [item.key, item]))
		revision = listed.revision
		rebuild()
		return true
	}

	async function watchOnce(): Promise<boolean> {
		const change = await store.watch(LIVE_PREFIX, revision, WATCH_TIMEOUT_MS)
		if (!change) return false
		if (change.revision < revision) return true
		revision = change.revision
		for (const key of change.deleted) items.delete(key)
		for (const item of change.items) items.set(item.key, item)
		if (change.deleted.length + change.items.length > 0) rebuild()
		return true
	}

	async function loop() {
		let failures = 0
		while (!isStopped) {
			const isFresh = failures === 0 && isLoaded ? await watchOnce() : await refresh()
			if (isStopped) return
			if (isFresh) {
				if (failures > 1) deps.log.info("The store is reachable again.")
				failures = 0
				continue
			}
			failures++
			if (failures === 2) deps.log.warn("The store does not answer; keeping the last known state.")
			await clock.sleep(backoffMs(failures, RETRY_BASE_MS, RETRY_CAP_MS, deps.random))
		}
	}

	return {
		start: () => void loop(),
		stop: () => void (isStopped = true),
		refresh,
		sessions: () => sessions,
		ownership() {
			const item = items.get(OWNERSHIP_KEY)
			return {map: item?.value as OwnershipMap | undefined, revision: item?.revision ?? 0}
		},
		config: () => items.get(CONFIG_KEY),
		isLoaded: () => isLoaded,
	}
}
