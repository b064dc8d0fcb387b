/**
 * Makes the placers of this instance give up executors that have moved to another slice, with their runs. Used by hosted
 * placers.
 */
import type {Clock} from "@cottonwood/core"
import {failureDomainOf, sliceIndexOf} from "../decide/slices.js"
import type {ExecutorRecord} from "../types/executor.js"
import type {Claim} from "../types/fleet.js"
import type {EventLog} from "../utils/log.js"
import type {HostedPlacer} from "./hosted-placers.js"
import type {SliceRouting} from "./slice-routing.js"

/** A new slice's claim is known everywhere within three heartbeats. */
const CLAIM_KNOWN_MS = 650

export interface SliceMovesDeps {
	readonly clock: Clock
	readonly log: EventLog
	readonly hosts: ReadonlyMap<string, HostedPlacer>
	/** Undefined: no failure domain is sliced. */
	readonly slices: SliceRouting | undefined
	readonly endPlacing: (failureDomain: string, fence: number, cause: string) => void
}

export interface SliceMoves {
	/** The executors that the placer of a slice may use. */
	ownExecutors(name: string, records: readonly ExecutorRecord[]): readonly ExecutorRecord[]
	/** Handles an executor that obeys a higher fence than the claim's. */
	noteFenced(claim: Claim, executor: ExecutorRecord): void
	/** Handles a claim that may be that of a new slice. */
	noteClaim(claim: Claim): void
}

export function createSliceMoves({
	clock,
	log,
	hosts,
	slices,
	endPlacing,
}: SliceMovesDeps): SliceMoves {
	/** Hands executors over to their new placer, with the runs there. */
	function handOverExecutors(name: string, isMoved: (record: ExecutorRecord) => boolean) {
		const host = hosts.get(name)
		if (!host) return
		const count = host.placer.handOverExecutors(isMoved, (item, from) =>
			slices?.forwardRun(name, item, from),
		)
		if (count === 0) return
		const fields = {failureDomain: name, fence: host.claim.fence, count}
		log.alarm("placer", "executors_given", "placer: handed executors to another slice.", fields)
	}

	function isOwn(name: string, record: ExecutorRecord): boolean {
		return slices === undefined || slices.ownExecutors(name, [record]).length > 0
	}

	return {
		ownExecutors(name, records) {
			if (!slices) return records.filter(record => record.failureDomain === name)
			const fenced = hosts.get(name)?.fenced
			const own = slices.ownExecutors(name, records)
			return fenced?.size ? own.filter(({id}) => !fenced.has(id)) : own
		},
		noteFenced({failureDomain, fence}, {id}) {
			const host = hosts.get(failureDomain)
			// In an unsliced failure domain a higher fence is that of a new placer of the whole domain.
			if (host?.claim.fence !== fence || !slices?.mayBeSliced(failureDomain))
				return endPlacing(failureDomain, fence, "a higher fence was seen")
			host.fenced.add(id)
			clock.schedule(CLAIM_KNOWN_MS, () => {
				// The slice may have been handed over meanwhile, with all its runs.
				if (hosts.get(failureDomain) !== host) return
				handOverExecutors(failureDomain, record => record.id === id)
			})
		},
		noteClaim({failureDomain: name}) {
			if (sliceIndexOf(name) === 0) return
			const failureDomain = failureDomainOf(name)
			const others = [...hosts.keys()].filter(placed => placed !== name)
			for (const placed of others.filter(other => failureDomainOf(other) === failureDomain))
				handOverExecutors(placed, record => !isOwn(placed, record))
		},
	}
}
