/**
 * Follows what operators wrote to the store: the newest readable version of the configuration, and
 * the evacuations. One follower serves both. The version in force never decreases.
 */
import type {Clock, Store, StoreItem, StoreListing} from "@cottonwood/core"
import type {Result} from "neverthrow"
import type {FleetConfig} from "../types/fleet-config.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import type {Evacuations} from "./evacuations.js"
import {followPrefix} from "./follow.js"

export interface ConfigurationDeps {
	readonly clock: Clock
	readonly store: Store
	readonly log: EventLog
	readonly metrics: JobMetrics
	/** Prefix of all keys that operators write. */
	readonly operatorPrefix: string
	readonly configKey: string
	/** Decodes an item under the prefix; undefined when the item is not the configuration. */
	readonly decodeConfig: (item: StoreItem) => Result<FleetConfig, string> | undefined
	/** Called when another version comes into force. */
	readonly onInForce: () => void
	/** Receives everything the store reports under the prefix. */
	readonly evacuations: Pick<Evacuations, "applyListing" | "applyChange">
}

/**
 * Together with the time-out of an answer (0.9 s) and a listing, instances whose connections went
 * silent see a change within 3 s. Each renewal is a call.
 */
const WATCH_MS = 1_500
/**
 * How often all keys are listed, which bounds how long a missed change stays unnoticed. They are
 * few, so a listing costs no more than a watch.
 */
const RELIST_MS = 10_000

type PrefixItems = Pick<StoreListing, "items" | "unreadable">

export interface Configuration {
	current(): FleetConfig | undefined
	/** A peer has this version: reads the store at once if it is newer. */
	noteNewer(version: number, peer: string): void
	/** Reads the store at once. */
	refresh(): void
	/** Milliseconds since the store last answered for the configuration; Infinity if never. */
	heardMs(): number
	close(): void
}

/** Follows the configuration in the store until closed. */
export function followConfiguration(deps: ConfigurationDeps): Configuration {
	const {clock, store, log, metrics, configKey, decodeConfig, evacuations} = deps
	let current: FleetConfig | undefined
	let newestAtPeers = 0

	function noteUnreadable(cause: string) {
		metrics.count("broken_assumptions", "config_undecodable")
		log.alarm(
			"config",
			"config_refused",
			"config: a version cannot be read; the last one stays in force.",
			{cause},
		)
	}

	/** Applies every version of an answer, in the order in which they were written. */
	function applyAll({items, unreadable = []}: PrefixItems, outcome: "listed" | "told") {
		for (const item of items) applyItem(item, outcome, items.length)
		if (unreadable.includes(configKey)) noteUnreadable("its bytes cannot be read")
	}

	function applyItem(item: StoreItem, outcome: "listed" | "told", told: number) {
		const decoded = decodeConfig(item)
		if (!decoded) return
		if (decoded.isErr()) return noteUnreadable(decoded.error)
		if (current && decoded.value.version <= current.version) return
		current = decoded.value
		const {version: configVersion, queues} = current
		const fields = {configVersion, count: queues.length, outcome, told}
		log.alarm("config", "config_in_force", "config: a version is in force.", fields)
		deps.onInForce()
	}

	const follower = followPrefix({
		clock,
		store,
		log,
		metrics,
		prefix: deps.operatorPrefix,
		waitMs: WATCH_MS,
		relistMs: RELIST_MS,
		onListing(listing) {
			applyAll(listing, "listed")
			evacuations.applyListing(listing)
		},
		onChange(change) {
			applyAll(change, "told")
			evacuations.applyChange(change)
		},
	})
	return {
		current: () => current,
		noteNewer(version, peer) {
			if (version <= (current?.version ?? 0)) return
			if (version > newestAtPeers) {
				newestAtPeers = version
				const fields = {configVersion: version, peer, inputAgeMs: Math.round(follower.heardMs())}
				log.event("config", "config_behind", "config: a peer has a newer version.", fields)
			}
			follower.refresh()
		},
		refresh: follower.refresh,
		heardMs: follower.heardMs,
		close: follower.close,
	}
}
