/**
 * Creates the parts that connect an instance to the fleet: store, configuration, session, shard
 * ownership and peers.
 */
import type {Config, Owner, SessionId, VersionedConfig} from "@cottonwood/core"
import {unpackJson, type HeartbeatMessage} from "@cottonwood/wire"
import {createConfigStore} from "../fleet/config-store.js"
import {createLiveView, type SessionInfo} from "../fleet/live-view.js"
import {createOwnershipLoop} from "../fleet/ownership-loop.js"
import {createSession} from "../fleet/session.js"
import {createPeerTable, type Peer} from "../peers/peer-table.js"
import type {ListedEntry} from "../platform/instance-list.js"
import {createStore} from "../platform/store.js"
import {logOf} from "../utils/log.js"
import type {Base} from "./base.js"

/** Callbacks into parts that are created later. */
export interface FleetHooks {
	readonly owner: () => Owner
	readonly rooms: () => ReadonlyMap<string, number>
	readonly onMembers: () => void
	readonly onRoom: (peer: string, pool?: string) => void
	readonly onConfig: () => void
}

/** Defaults until the first configuration is known. */
const DEFAULT_RETENTION_MS = 600_000
const DEFAULT_WRITES_PER_SECOND = 240

export type FleetParts = ReturnType<typeof createFleetParts>

function describeSession(base: Base, session: SessionId): SessionInfo {
	const {settings, state} = base
	const {peer, http} = settings
	return {
		session,
		instance: settings.instance,
		failureDomain: settings.failureDomain,
		peer: peer.advertise ?? `${peer.host}:${state.peerPort}`,
		peerFor: peer.advertiseTo,
		http: `http://${http.host}:${state.httpPort}`,
		draining: state.draining,
	}
}

export function createFleetParts(base: Base, hooks: FleetHooks) {
	const {settings, clock, random, log, metrics, state} = base
	const {timings} = settings
	const {store: storeUrl} = settings.platform
	let listed: readonly ListedEntry[] = []

	const store = createStore({url: storeUrl, timeoutMs: timings.storeTimeoutMs, metrics})
	const config = createConfigStore({
		store,
		clock,
		log: logOf(log, "config"),
		metrics,
		onChange() {
			peers.heartbeatNow()
			hooks.onConfig()
		},
	})
	const configNow = (): Config | undefined => config.current()?.config
	const retentionMs = () => configNow()?.limits.retentionMs ?? DEFAULT_RETENTION_MS

	const view = createLiveView({
		store,
		clock,
		random,
		log: logOf(log, "store"),
		onChange() {
			const item = view.config()
			if (item) config.applyIfNewer(item.value as VersionedConfig, "the store")
			peers.update(view.sessions().values(), listed)
			ownership.checkSoon()
		},
	})

	const session = createSession({
		store,
		clock,
		random,
		log: logOf(log, "fleet"),
		metrics,
		leaseTtlMs: timings.leaseTtlMs,
		describe: id => describeSession(base, id),
		fleetWritesPerSecond: () =>
			configNow()?.limits.storeWritesPerSecond ?? DEFAULT_WRITES_PER_SECOND,
		fleetSize: () => Math.max(1, view.sessions().size),
		retentionMs,
		onLost: () => ownership.dropAll(),
		onOpen: () => ownership.checkSoon(),
	})

	const ownership = createOwnershipLoop({
		store,
		view,
		session,
		owner: hooks.owner,
		clock,
		random,
		log: logOf(log, "fleet"),
		metrics,
		retentionMs,
	})

	const describe = (): HeartbeatMessage => ({
		instance: settings.instance,
		session: session.id() ?? "",
		failureDomain: settings.failureDomain,
		draining: state.draining,
		configVersion: config.current()?.version ?? 0,
		room: [...hooks.rooms()].map(([pool, free]) => ({pool, free})),
	})

	/** Fetches a newer configuration from a peer, so that it spreads without the store. */
	function fetchConfig(peer: Peer, version: number) {
		if (version <= (config.current()?.version ?? 0)) return
		peer.client.getConfig({}, (error, reply) => {
			if (error || !reply || reply.config.length === 0) return
			config.applyIfNewer(unpackJson(reply.config) as VersionedConfig, `peer ${peer.instance}`)
		})
	}

	const peers = createPeerTable({
		instance: settings.instance,
		failureDomain: settings.failureDomain,
		clock,
		log: logOf(log, "peers"),
		metrics,
		heartbeatMs: timings.heartbeatMs,
		peerTimeoutMs: timings.peerTimeoutMs,
		describe,
		onMembers: hooks.onMembers,
		onRoom: hooks.onRoom,
		onNewerConfig: fetchConfig,
	})

	return {
		store,
		config,
		configNow,
		retentionMs,
		view,
		session,
		ownership,
		peers,
		describe,
		updateListed(entries: readonly ListedEntry[]) {
			listed = entries
			peers.update(view.sessions().values(), entries)
		},
	}
}
