/**
 * What a placer of a slice has to know of the others: which executors are its own, and who has those that it had before.
 *
 * A placer is told of a new slice by its claim. From then on it has none of the executors that went there, and hands over what
 * runs on them, as on a planned stop. An executor that refuses its fence before it has heard of any claim goes on running what
 * it runs, under the leases that were asked for; so the placer leaves it alone, and waits for the news.
 */
import type {Clock} from "@cottonwood/core"
import {certainEndAt, type LeaseRule} from "../decide/lease-rule.js"
import {executorsOfSlice, failureDomainOf, sliceName, sliceOf} from "../decide/slices.js"
import type {FleetView} from "../fleet/members.js"
import type {RunLocation} from "../place/placer-state.js"
import type {WaitingTask} from "../place/task-queue.js"
import type {ExecutorRecord} from "../types/executor.js"
import type {Claim} from "../types/fleet.js"
import type {Overflow} from "./overflow.js"

export interface HostSlicesDeps {
	readonly clock: Clock
	readonly leaseRule: LeaseRule
	readonly view: Pick<FleetView, "sliceCount" | "claimOf">
	readonly overflow: Pick<Overflow, "sendTo">
	/** Whether a failure domain has more executors than one placer should have. */
	readonly isTooLarge: (failureDomain: string) => boolean
}

export interface HostSlices {
	/** Those of the executors that the slice's placer has. */
	ownOf(name: string, records: readonly ExecutorRecord[]): readonly ExecutorRecord[]
	/** Whether another slice's placer may be the one whose fence an executor has seen. */
	mayBeDivided(name: string): boolean
	/** Hands a run that a slice's placer had over to the placer that has its executor now. */
	sendOn(name: string, item: WaitingTask, from: RunLocation): void
}

export function createHostSlices(deps: HostSlicesDeps): HostSlices {
	const {clock, leaseRule, view, overflow} = deps

	/** The claim of the slice that an executor is in. */
	function claimFor(name: string, record: ExecutorRecord): Claim | undefined {
		const index = sliceOf(record, view.sliceCount(name))
		return view.claimOf(sliceName(failureDomainOf(name), index))
	}

	/** Nobody renews its lease any more: its new placer does not know it, or stops what it does not want. */
	function tellWhenOver({req, onEnd}: WaitingTask, executor: string) {
		const now = clock.now()
		const endAt = certainEndAt(leaseRule, Math.min(now, req.confirmedAt()))
		const end = {type: "lost", executor, cause: "another placer has its executor"} as const
		clock.schedule(Math.max(0, endAt - now), () => void onEnd(end))
	}

	return {
		ownOf: (name, records) => executorsOfSlice(name, view.sliceCount(name), records),
		mayBeDivided: name => view.sliceCount(name) > 1 || deps.isTooLarge(failureDomainOf(name)),
		sendOn(name, item, from) {
			const claim = from.record && claimFor(name, from.record)
			const isElsewhere = claim !== undefined && claim.failureDomain !== name
			// A kept job is not handed over with its run: its home stays where it is, and runs it again.
			if (isElsewhere && !item.req.isKept) overflow.sendTo(claim, item, from)
			else tellWhenOver(item, from.executor)
		},
	}
}
