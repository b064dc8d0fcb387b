/**
 * What an instance follows in the store besides what operators write: the fleet, and where it places, the executors.
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

/** Claims are told by beats too, within a fifth of a second; who is a member changes seldom. */
const FLEET_WATCH_MS = 5_000
/** All members and claims, some 0.4 KB each as they are listed: 100 of them are 0.7 KB a second. */
const FLEET_WHOLE_MS = 60_000

/** The claims in this instance's name. Those of a life before are there to be taken back as soon as they are read. */
export interface OwnClaims {
	/** Takes a claim in; whether it is the first one of its failure domain in this name. */
	take(claim: Claim): boolean
	/** Whether any is in this name. */
	hasAny(): boolean
}

export function createOwnClaims({name}: Member): OwnClaims {
	const domains = new Set<string>()
	return {
		take({failureDomain, placer}) {
			const wasOwn = domains.has(failureDomain)
			if (placer.name === name) domains.add(failureDomain)
			else domains.delete(failureDomain)
			return domains.has(failureDomain) && !wasOwn
		},
		hasAny: () => domains.size > 0,
	}
}

/** Where it is followed, and how what is found is read. */
interface Followed {
	readonly store: Store
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly executorPrefix: string
	readonly decodeExecutor: (item: StoreItem) => ExecutorRecord | undefined
}

/** Members and claims in the store. */
export function followFleet(
	clock: Clock,
	{store, log}: Followed,
	view: FleetView,
	onListed: () => void,
): Follower {
	return followPrefix({
		clock,
		store,
		log,
		prefix: FLEET_PREFIX,
		waitMs: FLEET_WATCH_MS,
		relistMs: FLEET_WHOLE_MS,
		onListing({items}) {
			view.applyListing(items)
			onListed()
		},
		onChange: ({items, deleted}) => view.applyChanges(items, deleted),
	})
}

/**
 * The platform's list of executors, for the domains that are placed here, or were by a life before: after a loss of all it is read
 * while the claim is written, and not after that.
 */
export function followExecutors(
	clock: Clock,
	{store, log, metrics, executorPrefix, decodeExecutor}: Followed,
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
		onList: records => hosts.setExecutors(servedBy(records, config())),
		isNeeded: () => hosts.isPlacing() || ownClaims.hasAny(),
	})
}

/** An entry with a service that the configuration does not name is another writer's. */
export function servedBy(
	records: readonly ExecutorRecord[],
	config: FleetConfig | undefined,
): readonly ExecutorRecord[] {
	if (!config) return records
	return records.filter(({service}) => config.services.some(({name}) => name === service))
}
