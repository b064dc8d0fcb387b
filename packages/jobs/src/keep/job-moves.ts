/**
 * Moves kept jobs of which no task can start in their failure domain to one whose placer has room at an executor that
 * could run such a task. Without one a job stays where it is.
 */
import type {Clock, Store} from "@cottonwood/core"
import type {Placer} from "../place/placer.js"
import type {Claim} from "../types/fleet.js"
import type {Step} from "../types/job.js"
import type {JobRecord} from "../types/kept-job.js"
import type {KeptJob} from "./kept-job.js"
import type {Ledger} from "./ledger.js"
import type {OpenJobs} from "./open-jobs.js"
import {isStoreAway} from "../utils/store-silence.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import {keepGoing} from "../utils/keep-going.js"

/** A job without a running task for this long is moved; the users allow 3 s. */
const MAX_IDLE_MS = 700
/**
 * That time doubles with each move after which nothing started, up to this often. A placer does not see every reason that
 * keeps a job from starting, such as tickets that are still to come.
 */
const MAX_DOUBLINGS = 3
/** How many jobs leave a lost failure domain together. */
const MOVES_AT_ONCE = 10
/** Offset between the run numbers of two placers of a job; more than any job's runs. */
const RUNS_PER_FENCE = 10_000

/** Why no other domain takes a job. */
export type NoRoomCause = "no other executor could run it" | "no room at such an executor"

export interface JobMovesDeps {
	readonly clock: Clock
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly claim: Claim
	/** Returns another domain where a task of one of the steps could start now, or why there is none. */
	readonly findRoom: (service: string, steps: readonly Step[]) => Promise<Claim | NoRoomCause>
	/** Notifies the placer of another domain that it now owns the job. */
	readonly notifyHome: (claim: Claim, id: string) => void
	readonly store: Pick<Store, "silentMs">
	readonly placer: Pick<Placer, "isStranded">
	readonly jobs: OpenJobs
	readonly ledger: Ledger
	readonly isClosed: () => boolean
}

/** Returns the run number before the first one that a job may use under a claim of its home. */
export function runBaseFor({runBase, homeFence}: JobRecord, {fence}: Claim): number {
	return runBase + Math.max(0, fence - homeFence) * RUNS_PER_FENCE
}

const maxIdleMs = (job: KeptJob) => MAX_IDLE_MS * 2 ** Math.min(job.fruitlessMoves(), MAX_DOUBLINGS)

/** Checks for idle jobs until the keeper is closed. */
export function startJobMoves(deps: JobMovesDeps): void {
	const {clock, jobs, isClosed} = deps
	const waits = createWaitLog(deps)
	async function loop() {
		while (!isClosed()) {
			// A job cannot leave without a write.
			if (!isStoreAway(deps.store)) await moveIdle()
			await clock.sleep(MAX_IDLE_MS / 2)
		}
	}

	/**
	 * Jobs leave one by one, since each takes room that the next one may have been promised; but soon and together a failure domain
	 * that was lost.
	 */
	async function moveIdle() {
		const causes = new Map<string, NoRoomCause>()
		const isStranded = deps.placer.isStranded()
		const idle = jobs.all().filter(job => job.idleMs() > (isStranded ? 0 : maxIdleMs(job)))
		const atOnce = isStranded ? MOVES_AT_ONCE : 1
		for (let at = 0; at < idle.length; at += atOnce)
			await Promise.all(idle.slice(at, at + atOnce).map(job => moveOrWait(job, causes)))
	}

	/** Asks once for jobs with the same needs while none of them finds room. */
	async function moveOrWait(job: KeptJob, causes: Map<string, NoRoomCause>) {
		const service = job.queue()?.service
		const steps = job.waitingSteps()
		if (service === undefined || steps.length === 0) return
		const needs = JSON.stringify([service, steps])
		const found = causes.get(needs) ?? (await deps.findRoom(service, steps))
		if (typeof found === "string") causes.set(needs, found)
		if (typeof found === "string") waits.note(job, found)
		else await move(job, found, deps)
	}

	void keepGoing("moves", loop, deps)
}

/** Logs why a job waits, once for each cause. */
function createWaitLog({log}: JobMovesDeps) {
	const causes = new WeakMap<KeptJob, NoRoomCause>()
	return {
		note(job: KeptJob, cause: NoRoomCause) {
			if (causes.get(job) === cause) return
			causes.set(job, cause)
			const {id, queue} = job.record()
			const fields = {job: id, queue, cause, waitedMs: Math.round(job.idleMs())}
			log.event("job", "job_waits", "job: no other domain can run it now.", fields)
		},
	}
}

async function move(job: KeptJob, target: Claim, deps: JobMovesDeps): Promise<void> {
	const {jobs, ledger, claim, log, metrics} = deps
	const record = job.record()
	// The job may have started, ended or left while other placers were asked.
	if (deps.isClosed() || job.idleMs() === 0 || jobs.get(record.id) !== job) return
	const moved: JobRecord = {
		...record,
		home: target.failureDomain,
		homeFence: target.fence,
		runBase: runBaseFor(record, claim) + RUNS_PER_FENCE,
		fruitlessMoves: job.fruitlessMoves() + 1,
	}
	job.stop()
	const written = await ledger.release(moved)
	// A listing that was read before the write still names this home.
	jobs.remove(record.id)
	const fields = {job: record.id, failureDomain: target.failureDomain, outcome: written}
	log.event("job", "job_moved", "job: move to a domain with free capacity.", fields)
	metrics.count("jobs_moved", written === "written" ? "moved" : "not_moved")
	if (written === "written") deps.notifyHome(target, record.id)
}
