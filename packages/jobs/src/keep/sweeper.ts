/**
 * Removes the ends of jobs that nobody may ask for any more.
 */
import type {Clock, StoreItem, TransactionalStore} from "@cottonwood/core"
import {ENDED_JOBS_PREFIX, type EndRecord} from "../types/kept-job.js"
import type {EventLog} from "../utils/log.js"
import type {WallClock} from "../utils/wall-clock.js"

/** Ends are read whole this often: some thousand records, a few pages each. */
const SWEEP_MS = 60_000
/** Times of day differ between machines, and jump by seconds. */
const MARGIN_MS = 60_000
/** Removals of one transaction; from the platform's contract. */
const MAX_REMOVES = 32

export interface SweeperDeps {
	readonly clock: Clock
	readonly wall: WallClock
	readonly store: TransactionalStore
	readonly log: EventLog
	/** For so long an end can be asked for, in milliseconds. */
	readonly keepMs: number
	readonly isOnDuty: () => boolean
}

/** Sweeps until it is closed. */
export function beginSweeping(deps: SweeperDeps): {close(): void} {
	const {clock, wall, store, log, keepMs} = deps
	let isClosed = false

	const isOver = ({value}: StoreItem) =>
		wall.now() - (value as EndRecord).endedAtMs > keepMs + MARGIN_MS

	async function sweep() {
		const listing = await store.list(ENDED_JOBS_PREFIX)
		const old = (listing?.items ?? []).filter(isOver).map(({key}) => key)
		for (let at = 0; at < old.length && !isClosed; at += MAX_REMOVES) {
			const removes = old.slice(at, at + MAX_REMOVES)
			await store.transact({expect: [], puts: [], removes})
		}
		const fields = {count: old.length, outcome: listing ? "swept" : "store away"}
		log.event("store", "ends_swept", "store: removed old ends of jobs.", fields)
	}

	async function loop() {
		while (!isClosed) {
			await clock.sleep(SWEEP_MS)
			if (!isClosed && deps.isOnDuty()) await sweep()
		}
	}

	void loop()
	return {
		close() {
			isClosed = true
		},
	}
}
