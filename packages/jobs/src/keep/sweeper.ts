/**
 * Deletes the ends of kept jobs after their retention time; one instance of the fleet does it.
 */
import type {Clock, StoreItem, TransactionalStore} from "@cottonwood/core"
import {ENDED_JOBS_PREFIX, isEndRecord} from "../types/kept-job.js"
import type {EventLog} from "../utils/log.js"
import type {WallClock} from "../utils/wall-clock.js"
import type {JobMetrics} from "../utils/metrics.js"
import {keepGoing} from "../utils/keep-going.js"

/** Interval between sweeps; each reads all ends. */
const SWEEP_INTERVAL_MS = 60_000
/** Allowance for differences between the machines' times of day. */
const CLOCK_MARGIN_MS = 60_000
/** Maximum number of removes in one transaction of the store. */
const MAX_REMOVES = 32

export interface SweeperDeps {
	readonly clock: Clock
	readonly wall: WallClock
	readonly store: TransactionalStore
	readonly log: EventLog
	readonly metrics: Pick<JobMetrics, "count">
	/** How long an end can be queried, in milliseconds. */
	readonly retentionMs: number
	readonly isOnDuty: () => boolean
}

/** Sweeps until it is closed. */
export function startSweeper(deps: SweeperDeps): {close(): void} {
	const {clock, wall, store, log, retentionMs} = deps
	let isClosed = false

	const isExpired = ({value}: StoreItem) =>
		isEndRecord(value) && wall.now() - value.endedAtMs > retentionMs + CLOCK_MARGIN_MS

	async function sweep() {
		const listing = await store.list(ENDED_JOBS_PREFIX)
		const old = (listing?.items ?? []).filter(isExpired).map(({key}) => key)
		for (let at = 0; at < old.length && !isClosed; at += MAX_REMOVES) {
			const removes = old.slice(at, at + MAX_REMOVES)
			await store.transact({expect: [], puts: [], removes})
		}
		const fields = {count: old.length, outcome: listing ? "swept" : "store away"}
		log.event("store", "ends_swept", "store: deleted expired ends of jobs.", fields)
	}

	async function loop() {
		while (!isClosed) {
			await clock.sleep(SWEEP_INTERVAL_MS)
			if (!isClosed && deps.isOnDuty()) await sweep()
		}
	}

	void keepGoing("sweeper", loop, deps)
	return {
		close() {
			isClosed = true
		},
	}
}
