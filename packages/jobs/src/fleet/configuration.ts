/**
 * What operators have written, as this instance has it: the newest version of the configuration that the store told and
 * that could be read, and the evacuations beside it. One follower serves both. The version in force only rises.
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
	/** What operators write lies below it. */
	readonly operatorPrefix: string
	readonly configKey: string
	/** Decodes an item under the prefix; `undefined` when it is not the configuration. */
	readonly decodeConfig: (item: StoreItem) => Result<FleetConfig, string> | undefined
	/** Another version has come into force. */
	readonly onInForce: () => void
	/** Gets all that the store tells of what operators have written. */
	readonly evacuations: Pick<Evacuations, "applyListing" | "applyChange">
}

/**
 * With the patience for an answer (0.9 s) and a listing within the 3 s that instances have whose connections went silent. Each
 * call is paid for: 0.6 s cost 0.004 of worth on a day of eight instances.
 */
const WATCH_MS = 1_500
/** Few keys, so that listing them costs what a watch does: a change that was never told is missed for so long at most. */
const WHOLE_MS = 10_000

type Told = Pick<StoreListing, "items" | "unreadable">

export interface Configuration {
	current(): FleetConfig | undefined
	/** Somebody has a newer version: reads the store at once. */
	noteNewer(version: number, peer: string): void
	/** Reads the store at once. */
	refresh(): void
	/** Milliseconds since the store was last heard of the configuration; Infinity if never. */
	heardMs(): number
	close(): void
}

/** Follows the configuration in the store. */
export function followConfiguration(deps: ConfigurationDeps): Configuration {
	const {clock, store, log, metrics, configKey, decodeConfig, evacuations} = deps
	let current: FleetConfig | undefined
	let newestElsewhere = 0

	function noteUnreadable(cause: string) {
		metrics.count("broken_assumptions", "config_undecodable")
		log.alarm("config", "config_refused", "config: cannot be read; the last stays.", {cause})
	}

	/** Every version that an answer tells, in the order in which they were written. */
	function takeAll({items, unreadable = []}: Told, outcome: "listed" | "told") {
		for (const item of items) take(item, outcome, items.length)
		if (unreadable.includes(configKey)) noteUnreadable("its bytes cannot be read")
	}

	function take(item: StoreItem, outcome: "listed" | "told", told: number) {
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
		prefix: deps.operatorPrefix,
		waitMs: WATCH_MS,
		relistMs: WHOLE_MS,
		onListing(listing) {
			takeAll(listing, "listed")
			evacuations.applyListing(listing)
		},
		onChange(change) {
			takeAll(change, "told")
			evacuations.applyChange(change)
		},
	})
	return {
		current: () => current,
		noteNewer(version, peer) {
			if (version <= (current?.version ?? 0)) return
			if (version > newestElsewhere) {
				newestElsewhere = version
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
