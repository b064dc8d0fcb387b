/** Task requests and queues for tests. */
import {leaseRuleFor, type Advisor, type Caller, type LeaseRule, type Queue} from "@cottonwood/jobs"
import type {KeptRuns, TaskRequest} from "@cottonwood/jobs/internals"

export function taskRequest(task: string, extra: Partial<TaskRequest> = {}): TaskRequest {
	return {
		job: task.split(".")[0] as string,
		task,
		run: 1,
		spec: "spec",
		service: "svc",
		need: {cpu: 27_000, memoryMb: 64, accelerators: 0},
		estimateMs: 100,
		startBy: 2_000,
		uselessAt: 50_000,
		deadlineAt: 60_000,
		confirmedAt: () => Infinity,
		isBegun: false,
		priority: 0,
		avoid: [],
		isForeign: false,
		...extra,
	}
}

export const QUEUE: Queue = {
	name: "orders",
	host: "orders.example",
	pathPrefix: "/orders/",
	service: "svc",
	priority: 0,
	maxAttempts: 2,
	stretch: 1.6,
	slackMs: 60,
}

/** Callers that come back after 1.3 s, and executors that grant leases of one second. */
export const LEASE_RULE: LeaseRule = leaseRuleFor({
	stopGraceMs: 50,
	resubmitMs: 1_300,
	maxLeaseMs: 1_000,
})

/** A caller that stays connected and always confirms. */
export const STAYING: Caller = {
	onCancel: () => undefined,
	madeAt: Infinity,
	confirmedAt: () => Infinity,
}

/** An advisor that must not be asked. */
export const NO_ADVISOR: Advisor = {
	ask: () => Promise.reject(new Error("no advice was needed")),
}

/** A placer whose domain has no kept jobs. */
export const NO_KEPT_RUNS: KeptRuns = {
	confirmedAt: () => Infinity,
	isRestoring: () => false,
	knows: () => false,
	adopt: () => false,
	noteUnclaimedEnd: () => undefined,
}
