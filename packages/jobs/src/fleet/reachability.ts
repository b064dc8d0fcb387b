/**
 * Whether executors of a failure domain are in reach from here, which a foreign domain must be before it is taken over.
 */
import type {Clock, Store, StoreItem} from "@cottonwood/core"
import type {ExecutorOrders, ExecutorRecord} from "../types/executor.js"

const REACH_TIMEOUT_MS = 250
/** Executors that are asked before a foreign failure domain is taken over. */
const REACH_SAMPLES = 3
/**
 * A list that was read serves so long for all domains: executors seldom move. Five looks each 0.5 s that read 25 KB each filled
 * a link of 2 Mbit/s, so that no placer was heard and the looks went on.
 */
const LIST_MS = 5_000

export interface ReachDeps {
	readonly clock: Clock
	readonly store: Store
	readonly orders: Pick<ExecutorOrders, "isReachable">
	readonly executorPrefix: string
	readonly decodeExecutor: (item: StoreItem) => ExecutorRecord | undefined
	/** The list of executors as it is followed here; undefined while it is not. */
	readonly latestExecutors: () => readonly ExecutorRecord[] | undefined
}

export interface ReachabilityProbe {
	/** Whether any of a few executors of a failure domain answers. */
	canReachExecutors(failureDomain: string): Promise<boolean>
}

export function createReachabilityProbe(deps: ReachDeps): ReachabilityProbe {
	const {clock, store, orders, executorPrefix, decodeExecutor, latestExecutors: followed} = deps
	let lastList: Promise<readonly ExecutorRecord[]> | undefined
	let listedAt = -Infinity

	/** The last list, which may be under way still. */
	function listed(): Promise<readonly ExecutorRecord[]> {
		if (lastList && clock.now() - listedAt < LIST_MS) return lastList
		listedAt = clock.now()
		lastList = readList()
		return lastList
	}

	async function readList(): Promise<readonly ExecutorRecord[]> {
		const listing = await store.list(executorPrefix)
		if (!listing) lastList = undefined
		return (listing?.items ?? []).flatMap(item => decodeExecutor(item) ?? [])
	}

	return {
		async canReachExecutors(failureDomain) {
			const records = followed() ?? (await listed())
			const samples = records
				.filter(record => record.failureDomain === failureDomain)
				.slice(0, REACH_SAMPLES)
			const answers = await Promise.all(
				samples.map(record => orders.isReachable(record, REACH_TIMEOUT_MS)),
			)
			return answers.includes(true)
		},
	}
}
