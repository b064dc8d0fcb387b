/**
 * Probes whether executors of a failure domain are reachable from here, a condition for taking over
 * another domain.
 */
import type {Clock, Store, StoreItem} from "@cottonwood/core"
import type {ExecutorOrders, ExecutorRecord} from "../types/executor.js"

const REACH_TIMEOUT_MS = 250
/** Number of executors probed per domain: the one that answered last, and others by turns, as entries of dead ones may stay. */
const REACH_SAMPLES = 3
/**
 * How long a list that was read serves all domains: executors seldom move, and reading it (25 KB for
 * 66 executors) for each probe would fill a link of 2 Mbit/s, so that no heartbeat gets through and the
 * probes go on.
 */
const LIST_MS = 5_000

export interface ReachDeps {
	readonly clock: Clock
	readonly store: Store
	readonly orders: Pick<ExecutorOrders, "isReachable">
	readonly executorPrefix: string
	readonly decodeExecutor: (item: StoreItem) => ExecutorRecord | undefined
	/** The list of executors as followed here; undefined while it isn't followed. */
	readonly latestExecutors: () => readonly ExecutorRecord[] | undefined
}

export interface ReachabilityProbe {
	/** Whether any of a few executors of a failure domain answers. */
	canReachExecutors(failureDomain: string): Promise<boolean>
}

export function createReachabilityProbe(deps: ReachDeps): ReachabilityProbe {
	const {clock, store, orders, executorPrefix, decodeExecutor, latestExecutors} = deps
	let lastList: Promise<readonly ExecutorRecord[]> | undefined
	let listedAt = -Infinity
	/** The executor that answered last, by domain. */
	const answering = new Map<string, string>()
	/** How many executors were probed so far, by domain. */
	const probed = new Map<string, number>()

	/** The last list, possibly still being read. */
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

	function samplesOf(failureDomain: string, records: readonly ExecutorRecord[]) {
		const own = records.filter(record => record.failureDomain === failureDomain)
		const known = own.filter(({id}) => id === answering.get(failureDomain))
		const others = own.filter(record => !known.includes(record))
		const start = (probed.get(failureDomain) ?? 0) % Math.max(1, others.length)
		const inTurn = [...others.slice(start), ...others.slice(0, start)]
		return [...known, ...inTurn].slice(0, REACH_SAMPLES)
	}

	return {
		async canReachExecutors(failureDomain) {
			const samples = samplesOf(failureDomain, latestExecutors() ?? (await listed()))
			probed.set(failureDomain, (probed.get(failureDomain) ?? 0) + samples.length)
			const answers = await Promise.all(
				samples.map(record => orders.isReachable(record, REACH_TIMEOUT_MS)),
			)
			const answered = samples[answers.indexOf(true)]
			if (answered) answering.set(failureDomain, answered.id)
			return answered !== undefined
		},
	}
}
