/**
 * Accepts, runs and ends the kept jobs of one failure domain, and restores them from the store
 * after a takeover. Each hosted placer has one keeper.
 *
 * A job is accepted once its record is in the store. Its home is the failure domain whose placer
 * wrote the record, and only the holder of that domain's claim updates it. A successor reads all
 * records of its home, adopts the runs that executors list, and starts the remaining tasks once no
 * unseen run of the previous placer can still be active.
 */
import type {StoreItem, TransactionalStore} from "@cottonwood/core"
import {keptConfirmedAt, type LeaseRule} from "../decide/lease-rule.js"
import type {Placer} from "../place/placer.js"
import type {TaskEnd, EndRecorded} from "../place/run.js"
import type {KeptRuns} from "../link/state.js"
import type {Claim} from "../types/fleet.js"
import type {Queue} from "../types/fleet-config.js"
import {
	OPEN_JOBS_PREFIX,
	endedJobKey,
	openJobIdOf,
	openJobKey,
	type EndedState,
	type JobRecord,
	type JobState,
	type KeptJobRequest,
} from "../types/kept-job.js"
import type {LogFields} from "../utils/log.js"
import type {WallClock} from "../utils/wall-clock.js"
import type {ClaimConfirmation} from "./claim-confirmation.js"
import {startJobMoves, runBaseFor, type JobMovesDeps} from "./job-moves.js"
import {startKeptJob, type KeptJob} from "./kept-job.js"
import type {KeptMemory} from "./kept-memory.js"
import type {Ledger} from "./ledger.js"
import {createOpenJobs} from "./open-jobs.js"
import {openLedger} from "./open-ledger.js"
import {createRecordReader} from "./record-reader.js"
import {isMarkedCancelled, isOfOtherHome} from "./record-validation.js"
import {isStoreAway} from "../utils/store-silence.js"
import {endOnFailure} from "../utils/keep-going.js"

/** Delay between attempts to read the store after a takeover. */
const RESTORE_RETRY_MS = 150
/** Interval at which the placer is asked whether its takeover is complete. */
const TAKEOVER_POLL_MS = 25
/**
 * Time limit for the write of an acceptance or a cancellation. After it the request is refused if
 * the write has certainly not been done, and its outcome is unknown otherwise.
 */
const WRITE_WAIT_MS = 900
/** Interval between full listings, which find jobs whose move to this home was not announced. */
const RELIST_MS = 2_500

const REFUSED_UNWRITTEN: AcceptReply = Object.freeze({
	type: "refused",
	cause: "the store takes no writes",
})

const REFUSED_BY_STORE: AcceptReply = Object.freeze({
	type: "refused",
	cause: "the store does not take its record",
})

const REFUSED_FOR_MEMORY: AcceptReply = Object.freeze({
	type: "refused",
	cause: "the open jobs take all memory for them",
})

export interface KeeperDeps extends Omit<JobMovesDeps, "jobs" | "ledger" | "placer" | "isClosed"> {
	readonly wall: WallClock
	readonly store: TransactionalStore
	readonly leaseRule: LeaseRule
	readonly spacingMs: () => number
	readonly queueOf: (name: string) => Queue | undefined
	/** Whether any configuration is known. */
	readonly isConfigured: () => boolean
	readonly onDeposed: () => void
	/** The memory for open jobs; without it nothing is refused for memory. */
	readonly memory?: KeptMemory
}

export type AcceptReply =
	| {readonly type: "accepted"}
	/** Nothing was written, and nothing will run. */
	| {readonly type: "refused"; readonly cause: string}
	/** The job may be accepted, now or later; submitting the same id again is safe. */
	| {readonly type: "unknown"; readonly cause: string}

export type CancelReply = {readonly type: "cancelled" | "not here" | "unknown"}

export interface Keeper extends KeptRuns {
	/** Starts to read the store and to run the jobs found there. */
	begin(placer: Placer): void
	accept(request: KeptJobRequest): Promise<AcceptReply>
	cancel(id: string): Promise<CancelReply>
	/** Loads a job that was just moved to this home. */
	fetch(id: string): Promise<void>
	stateOf(id: string): JobState | undefined
	/** Returns the number of accepted jobs of a queue of which no task has started; undefined until the store has been read. */
	pendingOf(queue: string): number | undefined
	jobCount(): number
	/** Leaves all jobs to the next holder of the claim. */
	close(): void
}

function closeAll(...parts: readonly ({close(): void} | undefined)[]) {
	for (const part of parts) part?.close()
}

/** Reports a job whose end is in the store. */
function noteEnd(
	{log, metrics}: KeeperDeps,
	job: KeptJob,
	state: EndedState,
	more: LogFields = {},
) {
	const {id, queue} = job.record()
	metrics.count("jobs_ended", `kept_${state}`)
	const fields = {job: id, queue, outcome: state, ...more}
	log.event("job", "kept_job_ended", "job: ended; its end is in the store.", fields)
}

const jobIdOf = (task: string) => task.slice(0, task.indexOf("."))

export function createKeeper(deps: KeeperDeps): Keeper {
	const {clock, wall, store, log, metrics, claim} = deps
	const home = claim.failureDomain
	const jobs = createOpenJobs(clock, deps.memory)
	const readRecord = createRecordReader(deps)
	const createdAt = clock.now()
	let ledger: Ledger | undefined
	let confirmation: ClaimConfirmation | undefined
	let placer: Placer | undefined
	let isRestored = false
	let isTakeoverComplete = false
	let isClosed = false

	async function begin() {
		const callbacks = {onCancelAsked: (id: string) => void cancel(id), onGone: drop}
		while (!isClosed && !ledger) {
			const opened = await openLedger({...deps, ...callbacks, jobs})
			ledger = opened?.ledger
			confirmation = opened?.confirmation
			if (!ledger) await clock.sleep(RESTORE_RETRY_MS)
		}
		if (isClosed) return closeAll(ledger, confirmation)
		while (!isClosed && !(await loadRecords())) await clock.sleep(RESTORE_RETRY_MS)
		isRestored = true
		// Without a configuration no job has a queue, and runs found at executors would be stopped.
		while (!isClosed && !deps.isConfigured()) await clock.sleep(TAKEOVER_POLL_MS)
		placer?.offerOrphans()
		const fields = {failureDomain: home, fence: claim.fence, count: jobs.count()}
		log.alarm("placer", "jobs_restored", "placer: restored the kept jobs of its domain.", fields)
		while (!isClosed && !placer?.hasTakenOver()) await clock.sleep(TAKEOVER_POLL_MS)
		isTakeoverComplete = true
		for (const job of jobs.all()) job.begin()
		endOnFailure(relistLoop())
		if (ledger && placer) startJobMoves({...deps, jobs, ledger, placer, isClosed: () => isClosed})
	}

	/** Without kept jobs nothing is bound; before the first reading the claim was written just now. */
	function confirmedAt(): number {
		if (isRestored && jobs.count() === 0) return Infinity
		return keptConfirmedAt(deps.leaseRule, confirmation?.confirmedAt() ?? createdAt)
	}

	/** Reads all records and adds the jobs of this home that are not known yet. */
	async function loadRecords(): Promise<boolean> {
		const sentAt = clock.now()
		const listing = await store.list(OPEN_JOBS_PREFIX)
		if (!listing || isClosed) return false
		for (const item of listing.items) loadRecord(item, sentAt)
		return true
	}

	async function relistLoop() {
		while (!isClosed) {
			await clock.sleep(RELIST_MS)
			if (!isClosed) await loadRecords()
		}
	}

	/** Adds a record from a read that began at `sentAt`, unless the job has left since then. */
	function loadRecord(item: StoreItem, sentAt: number) {
		const id = openJobIdOf(item.key)
		if (isOfOtherHome(item.value, home) || isClosed || jobs.hasLeftSince(id, sentAt)) return
		if (jobs.has(id)) return isMarkedCancelled(item.value) ? void cancel(id) : undefined
		const record = readRecord(item)
		if (!record) return
		ledger?.adopt(record, item.revision)
		addJob(record)
		if (record.isCancelled) void cancel(record.id)
		else if (isTakeoverComplete) jobs.get(record.id)?.begin()
	}

	function addJob(record: JobRecord): KeptJob {
		const job = startKeptJob(record, {
			clock,
			wall,
			log,
			metrics,
			queueOf: deps.queueOf,
			runBase: runBaseFor(record, claim),
			confirmedAt,
			placer: () => placer as Placer,
			save: next => (ledger as Ledger).update(next),
			onEnd: (state, cause) => void end(record.id, state, cause),
		})
		jobs.add(record.id, job)
		confirmation?.renew()
		return job
	}

	function drop(id: string) {
		jobs.get(id)?.stop()
		jobs.remove(id)
	}

	async function end(id: string, state: EndedState, cause: string) {
		const job = jobs.get(id)
		if (!job || !ledger) return
		const acceptedMs = Math.round(wall.now() - job.record().acceptedAtMs)
		const written = await ledger.finish(id, state, wall.now())
		if (written === "deposed") return
		jobs.remove(id)
		noteEnd(deps, job, state, {cause, tookMs: acceptedMs})
	}

	async function accept(request: KeptJobRequest): Promise<AcceptReply> {
		if (isStoreAway(store)) return {type: "refused", cause: "the store is away"}
		if (!ledger) return {type: "refused", cause: "its placer has only just begun"}
		if (jobs.has(request.id)) return {type: "accepted"}
		if (deps.memory?.hasRoomFor(request) === false) return refuseForMemory(request.id, deps)
		// Counted from here on, since its record is held until its write is answered.
		deps.memory?.add(request)
		const record = newRecord(request, claim, deps.queueOf(request.queue), wall.now())
		const writing = ledger.create(record).then(written => handleCreated(record, written))
		const waited = clock.sleep(WRITE_WAIT_MS).then(() => abandonCreate(record.id))
		return Promise.race([writing, waited])
	}

	function abandonCreate(id: string): AcceptReply {
		if (ledger?.withdraw(id)) return REFUSED_UNWRITTEN
		return {type: "unknown", cause: "the store has not answered the write of its record"}
	}

	/**
	 * Runs a job also when its record is written after its submitter was told that the outcome is
	 * unknown.
	 */
	function handleCreated(record: JobRecord, written: string): AcceptReply {
		if (written !== "written" && !jobs.has(record.id)) deps.memory?.remove(record.id)
		if (written === "exists") return {type: "accepted"}
		if (written === "withdrawn") return REFUSED_UNWRITTEN
		if (written === "rejected") return REFUSED_BY_STORE
		if (written !== "written") return {type: "unknown", cause: `its record: ${written}`}
		metrics.count("jobs_accepted")
		const job = jobs.get(record.id) ?? addJob(record)
		// A new job has no earlier runs, so it need not wait for the takeover.
		job.begin()
		return {type: "accepted"}
	}

	async function cancel(id: string): Promise<CancelReply> {
		const job = jobs.get(id)
		if (!job || !ledger) return {type: "not here"}
		job.stop()
		const finishing = ledger.finish(id, "cancelled", wall.now())
		const writing = finishing.then(written => handleCancelled(id, job, written))
		const waited = clock.sleep(WRITE_WAIT_MS).then((): CancelReply => ({type: "unknown"}))
		return Promise.race([writing, waited])
	}

	/**
	 * Ends a job also when the write succeeds after the caller was told that the outcome is unknown.
	 */
	function handleCancelled(id: string, job: KeptJob, written: string): CancelReply {
		if (written === "deposed") return {type: "unknown"}
		if (jobs.get(id) !== job) return {type: "cancelled"}
		jobs.remove(id)
		noteEnd(deps, job, "cancelled")
		return {type: "cancelled"}
	}

	return {
		begin(own) {
			placer = own
			endOnFailure(begin())
		},
		accept,
		cancel,
		async fetch(id) {
			const sentAt = clock.now()
			const item = await store.get(openJobKey(id))
			if (item && ledger && isRestored) loadRecord(item, sentAt)
		},
		stateOf: id => jobs.get(id)?.state(),
		pendingOf(queue) {
			if (!isRestored) return undefined
			const isPending = (job: KeptJob) => job.record().queue === queue && job.state() === "pending"
			return jobs.all().filter(isPending).length
		},
		jobCount: () => jobs.count(),
		confirmedAt,
		isRestoring: () => !isClosed && !(isRestored && deps.isConfigured()),
		knows: task => jobs.has(jobIdOf(task)),
		adopt: (executor, task, run) => jobs.get(jobIdOf(task))?.adopt(task, run, executor) ?? false,
		noteUnclaimedEnd: (task: string, run: number, end: TaskEnd): EndRecorded =>
			jobs.get(jobIdOf(task))?.noteUnclaimedEnd(task, run, end),
		close() {
			isClosed = true
			closeAll(ledger, confirmation, deps.memory)
			for (const job of jobs.all()) job.abandon()
		},
	}
}

/** Refuses a job, unless it was accepted before, here or elsewhere. */
async function refuseForMemory(
	id: string,
	{store, metrics}: Pick<KeeperDeps, "store" | "metrics">,
): Promise<AcceptReply> {
	const found = await Promise.all([store.get(openJobKey(id)), store.get(endedJobKey(id))])
	if (found.some(item => item)) return {type: "accepted"}
	if (found.includes(undefined)) return {type: "unknown", cause: "the store does not answer"}
	metrics.count("keep_refusals", "memory")
	return REFUSED_FOR_MEMORY
}

function newRecord(
	request: KeptJobRequest,
	{failureDomain, fence}: Claim,
	settings: Queue | undefined,
	acceptedAtMs: number,
): JobRecord {
	return {
		...request,
		home: failureDomain,
		homeFence: fence,
		runBase: 0,
		acceptedAtMs,
		settings,
		done: [],
		failures: {},
		isCancelled: false,
		writer: "",
	}
}
