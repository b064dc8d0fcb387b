/**
 * Follows what an instance reads from the store besides the configuration: the fleet's members and
 * claims, and the executors of the domains that it places.
 */
import type {Clock, Store, StoreItem} from "@cottonwood/core"
import type {HostedPlacers} from "./coordinate/hosted-placers.js"
import {followPrefix, type Follower} from "./fleet/follow.js"
import {FLEET_PREFIX, type FleetView} from "./fleet/members.js"
import {createExecutorList, type ExecutorList} from "./place/executor-list.js"
import type {ExecutorRecord} from "./types/executor.js"
import type {Claim, Member} from "./types/fleet.js"
import type {FleetConfig} from "./types/fleet-config.js"
import type {EventLog} from "./utils/log.js"
import type {JobMetrics} from "./utils/metrics.js"

/** Heartbeats report claims sooner, and members change seldom. */
const FLEET_WATCH_MS = 5_000
/** A listing of 100 members and claims is some 40 KB, so 0.7 KB/s. */
const FLEET_RELIST_MS = 60_000

/** Claims in this instance's name, including those of its previous process, which it takes back. */
export interface OwnClaims {
	/** Applies a claim; returns whether its failure domain is new in this instance's name. */
	update(claim: Claim): boolean
	/** Whether any claim has this instance's name. */
	hasAny(): boolean
}

export function createOwnClaims({name}: Member): OwnClaims {
	const domains = new Set<string>()
	return {
		update({failureDomain, placer}) {
			const wasOwn = domains.has(failureDomain)
			if (placer.name === name) domains.add(failureDomain)
			else domains.delete(failureDomain)
			return domains.has(failureDomain) && !wasOwn
		},
		hasAny: () => domains.size > 0,
	}
}

/** The store, and how its executor entries are decoded. */
interface FollowSource {
	readonly store: Store
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly executorPrefix: string
	readonly decodeExecutor: (item: StoreItem) => ExecutorRecord | undefined
}

/** Follows members and claims in the store. */
export function followFleet(
	clock: Clock,
	{store, log, metrics}: FollowSource,
	view: FleetView,
	onListed: () => void,
): Follower {
	return followPrefix({
		clock,
		store,
		log,
		metrics,
		prefix: FLEET_PREFIX,
		waitMs: FLEET_WATCH_MS,
		relistMs: FLEET_RELIST_MS,
		onListing({items}) {
			view.applyListing(items)
			onListed()
		},
		onChange: ({items, deleted}) => view.applyChanges(items, deleted),
	})
}

/**
 * Follows the platform's list of executors while this instance places a failure domain or has a
 * claim of its previous process, so that a restarted fleet reads it while claims are written.
 */
export function followExecutors(
	clock: Clock,
	{store, log, metrics, executorPrefix, decodeExecutor}: FollowSource,
	hosts: HostedPlacers,
	ownClaims: OwnClaims,
	config: () => FleetConfig | undefined,
): ExecutorList {
	return createExecutorList({
		clock,
		store,
		log,
		metrics,
		prefix: executorPrefix,
		decode: decodeExecutor,
		onList: records => hosts.setExecutors(ofConfiguredServices(records, config())),
		isNeeded: () => hosts.isPlacing() || ownClaims.hasAny(),
	})
}

/** Excludes entries of unknown services, which another system writes. */
export function ofConfiguredServices(
	records: readonly ExecutorRecord[],
	config: FleetConfig | undefined,
): readonly ExecutorRecord[] {
	if (!config) return records
	return records.filter(({service}) => config.services.some(({name}) => name === service))
}
