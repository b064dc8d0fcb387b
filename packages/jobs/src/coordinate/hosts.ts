/**
 * The placers that this instance hosts: one for each failure domain whose claim it holds.
 */
import type {Placer, PlacerCounts, PlacerDeps} from "../place/placer.js"
import {createPlacer} from "../place/placer.js"
import type {TaskRequest} from "../place/run.js"
import type {ExecutorRecord} from "../types/executor.js"
import type {Queue} from "../types/fleet-config.js"
import type {Claim, Member, Room} from "../types/fleet.js"
import type {Job, JobEnd} from "../types/job.js"
import {longestChainMs, startJobRun, type JobRun} from "./job-run.js"

/** A job that would start later than this many objectives from now is refused. */
const MAX_WAIT_OBJECTIVES = 1.5

export interface Host {
	readonly claim: Claim
	readonly placer: Placer
	readonly jobs: Set<JobRun>
}

export interface HostsDeps extends Pick<
	PlacerDeps,
	"clock" | "orders" | "log" | "metrics" | "maxLeaseMs" | "handOver" | "onRoomChange"
> {
	readonly self: Member
	/** The failure domain's executors by the last list. */
	readonly executorsOf: (failureDomain: string) => readonly ExecutorRecord[]
}

export interface Hosts {
	of(failureDomain: string): Host | undefined
	/** Begins or ends placing after a claim changed. */
	noteClaim(claim: Claim): void
	setExecutors(records: readonly ExecutorRecord[]): void
	/** Runs a job at a placer here, or refuses it at once. */
	run(host: Host, job: Job, queue: Queue, onCancel: (callback: () => void) => void): Promise<JobEnd>
	/** Placers elsewhere may have room now. */
	walk(): void
	rooms(): Readonly<Record<string, Room>>
	isPlacing(): boolean
	counts(): PlacerCounts
	close(): void
}

export function createHosts(deps: HostsDeps): Hosts {
	const {clock, log, metrics, self} = deps
	const hosts = new Map<string, Host>()

	function beginPlacing(claim: Claim) {
		const {failureDomain, fence} = claim
		const onFenced = () => endPlacing(failureDomain, fence, "a higher fence was seen")
		const placer = createPlacer({...deps, failureDomain, fence, onFenced})
		hosts.set(failureDomain, {claim, placer, jobs: new Set()})
		placer.setExecutors(deps.executorsOf(failureDomain))
		const fields = {failureDomain, fence}
		log.alarm("placer", "placing_begun", "placer: places a failure domain now.", fields)
	}

	function endPlacing(failureDomain: string, fence: number, cause: string) {
		const host = hosts.get(failureDomain)
		if (!host || host.claim.fence !== fence) return
		hosts.delete(failureDomain)
		host.placer.close()
		const fields = {failureDomain, fence, cause, count: host.jobs.size}
		log.alarm("placer", "placing_ended", "placer: no longer places a failure domain.", fields)
		for (const job of host.jobs) job.abandon(cause)
	}

	function refusalOf(job: Job, queue: Queue, placer: Placer): JobEnd | undefined {
		const objectiveMs = queue.stretch * longestChainMs(job.steps) + queue.slackMs
		const waitMs = placer.expectedWaitMs()
		if (waitMs <= objectiveMs * MAX_WAIT_OBJECTIVES) return undefined
		const cause = `${Math.round(waitMs)} ms of work wait here`
		return {type: "refused", kind: waitMs === Infinity ? "no_capacity" : "overloaded", cause}
	}

	return {
		of: failureDomain => hosts.get(failureDomain),
		noteClaim(claim) {
			const host = hosts.get(claim.failureDomain)
			if (host && host.claim.fence < claim.fence)
				endPlacing(claim.failureDomain, host.claim.fence, "another claim was written")
			if (claim.placer.session === self.session && !hosts.has(claim.failureDomain))
				beginPlacing(claim)
		},
		setExecutors(records) {
			for (const [failureDomain, {placer}] of hosts)
				placer.setExecutors(records.filter(record => record.failureDomain === failureDomain))
		},
		async run(host, job, queue, onCancel) {
			const refusal = refusalOf(job, queue, host.placer)
			if (refusal) return refusal
			const submit = (
				req: TaskRequest,
				onEnd: Parameters<Placer["submit"]>[1],
				onStart: () => void,
			) => host.placer.submit(req, onEnd, onStart)
			const run = startJobRun(job, queue, {clock, log, metrics, submit})
			host.jobs.add(run)
			onCancel(() => run.cancel())
			const end = await run.ended
			host.jobs.delete(run)
			return end
		},
		walk() {
			for (const {placer} of hosts.values()) placer.walk()
		},
		rooms() {
			const rooms: Record<string, Room> = {}
			for (const [failureDomain, {placer}] of hosts) rooms[failureDomain] = placer.room()
			return rooms
		},
		isPlacing: () => hosts.size > 0,
		counts() {
			const sum = {waiting: 0, running: 0, usable: 0}
			for (const {placer} of hosts.values()) {
				const counts = placer.counts()
				sum.waiting += counts.waiting
				sum.running += counts.running
				sum.usable += counts.usable
			}
			return sum
		},
		close() {
			for (const {placer} of hosts.values()) placer.close()
		},
	}
}
