/**
 * Counts the accepted jobs of a queue of which no task has begun, over all failure domains.
 *
 * A placer that does not answer has not ended its jobs: its last count holds for a while, then the records in the store are
 * counted, of which those without a completed task count as pending.
 */
import type {Clock, Store} from "@cottonwood/core"
import type {Claim} from "../types/fleet.js"
import {OPEN_JOBS_PREFIX, type JobRecord} from "../types/kept-job.js"
import {hasProgress} from "./record-size.js"
import {isJobRecord} from "./record-validation.js"

/** Callers accept counts of this age. */
const COUNT_VALID_MS = 2_000

export interface PendingCountDeps {
	readonly clock: Clock
	readonly store: Pick<Store, "list">
	readonly claims: () => readonly Claim[]
	/** Asks a failure domain's placer; undefined when it does not answer or does not know its jobs yet. */
	readonly askPlacer: (claim: Claim, queue: string) => Promise<number | undefined>
}

interface KnownCount {
	readonly count: number
	/** Milliseconds on the monotonic clock. */
	readonly at: number
}

/** Returns a function that counts a queue's pending jobs; undefined when a placer and the store do not answer. */
export function createPendingCount(deps: PendingCountDeps) {
	const {clock, store, claims, askPlacer} = deps
	/** By failure domain and queue. */
	const known = new Map<string, KnownCount>()

	const keyOf = (failureDomain: string, queue: string) => `${failureDomain} ${queue}`

	/** The placer's count, or a recent one; undefined without either. */
	async function countOf(claim: Claim, queue: string): Promise<number | undefined> {
		const key = keyOf(claim.failureDomain, queue)
		const count = await askPlacer(claim, queue)
		if (count !== undefined) known.set(key, {count, at: clock.now()})
		const last = known.get(key)
		return last && clock.now() - last.at < COUNT_VALID_MS ? last.count : undefined
	}

	/** Counts the pending jobs in the store whose homes did not answer; undefined without an answer of the store. */
	async function countStored(homes: readonly string[], queue: string) {
		const listing = await store.list(OPEN_JOBS_PREFIX)
		if (!listing) return undefined
		const records = listing.items.map(({value}) => value).filter(isJobRecord)
		let sum = 0
		for (const home of homes) {
			const pending = records.filter(record => isPending(record, home, queue))
			known.set(keyOf(home, queue), {count: pending.length, at: clock.now()})
			sum += pending.length
		}
		return sum
	}

	return async (queue: string): Promise<number | undefined> => {
		const asked = claims()
		const counts = await Promise.all(asked.map(claim => countOf(claim, queue)))
		const sum = counts.reduce<number>((total, count) => total + (count ?? 0), 0)
		const silent = asked.filter((_, at) => counts[at] === undefined)
		if (silent.length === 0) return sum
		const stored = await countStored(
			silent.map(({failureDomain}) => failureDomain),
			queue,
		)
		return stored === undefined ? undefined : sum + stored
	}
}

const isPending = (record: JobRecord, home: string, queue: string) =>
	record.home === home && record.queue === queue && !hasProgress(record)
