/**
 * Moves kept jobs that have no room in their failure domain to one that reported free capacity.
 */
import type {Clock} from "@cottonwood/core"
import type {Claim} from "../types/fleet.js"
import type {JobRecord} from "../types/kept-job.js"
import type {KeptJob} from "./kept-job.js"
import type {Ledger} from "./ledger.js"
import type {OpenJobs} from "./open-jobs.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"

/** A job without a running task for this long is moved. */
const MAX_IDLE_MS = 700
/** Offset between the run numbers of two placers of a job; more than any job's runs. */
const RUNS_PER_FENCE = 10_000

export interface JobMovesDeps {
	readonly clock: Clock
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly claim: Claim
	/** Returns another domain that reported this many free thousandths of a core, if any. */
	readonly domainWithRoom: (cpu: number) => Claim | undefined
	/** Notifies the placer of another domain that it now owns the job. */
	readonly notifyHome: (claim: Claim, id: string) => void
	readonly jobs: OpenJobs
	readonly ledger: Ledger
	readonly isClosed: () => boolean
}

/** Returns the run number before the first one that a job may use under a claim of its home. */
export function runBaseFor({runBase, homeFence}: JobRecord, {fence}: Claim): number {
	return runBase + Math.max(0, fence - homeFence) * RUNS_PER_FENCE
}

/** Checks for idle jobs until the keeper is closed. */
export function startJobMoves(deps: JobMovesDeps): void {
	const {clock, jobs, isClosed} = deps
	async function loop() {
		while (!isClosed()) {
			await clock.sleep(MAX_IDLE_MS / 2)
			const idle = jobs.all().filter(job => job.idleMs() > MAX_IDLE_MS)
			for (const job of idle) await move(job, deps)
		}
	}
	void loop()
}

async function move(job: KeptJob, deps: JobMovesDeps): Promise<void> {
	const {jobs, ledger, claim, log, metrics} = deps
	const record = job.record()
	const target = deps.domainWithRoom(job.largestNeedCpu())
	if (!target || deps.isClosed() || job.idleMs() === 0) return
	job.stop()
	const moved: JobRecord = {
		...record,
		home: target.failureDomain,
		homeFence: target.fence,
		runBase: runBaseFor(record, claim) + RUNS_PER_FENCE,
	}
	const written = await ledger.release(moved)
	// A listing that was read before the write still names this home.
	jobs.remove(record.id)
	const fields = {job: record.id, failureDomain: target.failureDomain, outcome: written}
	log.event("job", "job_moved", "job: move to a domain with free capacity.", fields)
	metrics.count("jobs_moved", written === "written" ? "moved" : "not_moved")
	if (written === "written") deps.notifyHome(target, record.id)
}
