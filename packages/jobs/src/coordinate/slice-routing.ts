/**
 * Decides which executors a slice's placer may use, and hands runs on other executors to the placer that has them now.
 *
 * A placer learns of a new slice by its claim. An executor that refuses its fence before that keeps running its tasks under
 * the leases requested so far, so the placer leaves it alone until the claim is known.
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

export interface SliceRoutingDeps {
	readonly clock: Clock
	readonly leaseRule: LeaseRule
	readonly view: Pick<FleetView, "sliceCount" | "claimOf">
	readonly overflow: Pick<Overflow, "sendTo">
	/** Whether a failure domain has more executors than one placer should have. */
	readonly isTooLarge: (failureDomain: string) => boolean
}

export interface SliceRouting {
	/** The executors that belong to the slice. */
	ownExecutors(name: string, records: readonly ExecutorRecord[]): readonly ExecutorRecord[]
	/** Whether the higher fence that an executor has seen may be that of another slice. */
	mayBeSliced(name: string): boolean
	/** Hands a run over to the placer that has its executor now. */
	forwardRun(name: string, item: WaitingTask, from: RunLocation): void
}

export function createSliceRouting(deps: SliceRoutingDeps): SliceRouting {
	const {clock, leaseRule, view, overflow} = deps

	/** The claim of the slice that an executor belongs to. */
	function claimFor(name: string, record: ExecutorRecord): Claim | undefined {
		const index = sliceOf(record, view.sliceCount(name))
		return view.claimOf(sliceName(failureDomainOf(name), index))
	}

	/** Reports the run as lost once its lease has ended; no placer renews it any more. */
	function reportLostAfterLease({req, onEnd}: WaitingTask, executor: string) {
		const now = clock.now()
		const endAt = certainEndAt(leaseRule, Math.min(now, req.confirmedAt()))
		const end = {type: "lost", executor, cause: "another placer has its executor"} as const
		clock.schedule(Math.max(0, endAt - now), () => void onEnd(end))
	}

	return {
		ownExecutors: (name, records) => executorsOfSlice(name, view.sliceCount(name), records),
		mayBeSliced: name => view.sliceCount(name) > 1 || deps.isTooLarge(failureDomainOf(name)),
		forwardRun(name, item, from) {
			const claim = from.record && claimFor(name, from.record)
			const isElsewhere = claim !== undefined && claim.failureDomain !== name
			// A kept job isn't handed over with its run: its owner stays the same and runs it again.
			if (isElsewhere && !item.req.isKept) overflow.sendTo(claim, item, from)
			else reportLostAfterLease(item, from.executor)
		},
	}
}
