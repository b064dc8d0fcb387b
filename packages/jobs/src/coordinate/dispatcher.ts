/**
 * The coordinator: passes jobs from callers and other instances to placers, here or elsewhere, and returns how they ended.
 * Used by each instance.
 */
import type {Clock} from "@cottonwood/core"
import {failureDomainOf} from "../decide/slices.js"
import {noteUnsent, type FleetView} from "../fleet/members.js"
import type {JobMessage, JobMove, JobReply, Peers, TaskMessage, TaskReply} from "../fleet/peers.js"
import type {TaskEnd} from "../place/run.js"
import type {FleetConfig, Queue} from "../types/fleet-config.js"
import type {Claim, Member} from "../types/fleet.js"
import type {Caller, Job, JobEnd} from "../types/job.js"
import {shortSession, type EventLog} from "../utils/log.js"
import {outcomeUnknown, type LostAtPlacer, type RescheduleLostJob} from "./lost-job-rescheduler.js"
import {receivedRequest, datedBack, limitedToDeadline} from "./arrival.js"
import type {HostedPlacers} from "./hosted-placers.js"
import type {MovedJob} from "./moved-job.js"
import {createCandidates} from "./candidates.js"
import {latestStartOnTime} from "./job-run.js"
import type {Refusal} from "./refusals.js"

/** Maximum number of failure domains that are asked about one job. */
const MAX_DOMAINS_TRIED = 3
/** Maximum number of slices asked per failure domain; the second one shows whether the whole domain is full. */
const MAX_SLICES_TRIED = 2
/** A job that was refused for the backlog later than this after its arrival isn't tried elsewhere. */
const MAX_BACKLOG_REFUSAL_AGE_MS = 25
/** A placer is expected to appear within this time after the start of the process or a change of the claim. */
const STARTUP_MS = 1_000
/** Interval between looks for a placer while there is none. */
const PLACER_POLL_MS = 10
/** Wait before asking again when the placers asked don't place yet; they are busy starting. */
const ASK_AGAIN_MS = 50
/** An answer is awaited this long beyond the job's deadline. */
const ANSWER_SLACK_MS = 400

export interface DispatcherDeps {
	readonly clock: Clock
	readonly log: EventLog
	readonly peers: Peers
	readonly view: FleetView
	readonly self: Member
	readonly hosts: HostedPlacers
	readonly config: () => FleetConfig | undefined
	readonly refreshConfig: () => void
	readonly isLeaving: () => boolean
	/** Recent lateness of this instance's timers, in milliseconds. */
	readonly ownLateMs: () => number
	/** Whether operators are evacuating a failure domain. */
	readonly isEvacuated: (failureDomain: string) => boolean
	/** Tracks a job that placers may move to another failure domain. Absent: jobs are not moved. */
	readonly followMoves?: (job: Job) => MovedJob
	/** Handles jobs whose placer stopped responding. Absent: the caller gets an unknown outcome at once. */
	readonly rescheduleLostJob?: RescheduleLostJob
}

export interface Dispatcher {
	/** Runs a job at a placer here or at another instance, and resolves with its end. */
	dispatch(job: Job, queue: Queue, caller: Caller): Promise<JobEnd>
	/** Runs a job for another instance. Replies "not placer" when the failure domain isn't placed here. */
	runJob(message: JobMessage, caller: Caller): Promise<JobReply>
	/**
	 * Runs a task for another placer. Replies "not placer" when the failure domain isn't placed here, or this instance is
	 * leaving.
	 */
	runTask(message: TaskMessage, caller: Caller): Promise<TaskReply>
	/** Claims of the placers that a new job would ask, in that order. */
	candidates(): readonly Claim[]
	/** Whether a new job would find a placer, or can be refused because all failure domains are evacuated. */
	canPlace(): boolean
	/** Number of jobs and tasks in progress here, for callers and for peers. */
	workCount(): number
}

/** Log fields on the placer that was asked. The age of the last message is only meaningful for other instances. */
function placerFields({view, self}: DispatcherDeps, {placer, fence, failureDomain}: Claim) {
	const isOwn = placer.session === self.session
	const silentMs = isOwn ? Infinity : Math.round(view.silentMs(placer.session))
	return {
		peer: placer.name,
		session: shortSession(placer.session),
		isOwn,
		failureDomain,
		fence,
		inputAgeMs: Number.isFinite(silentMs) ? silentMs : undefined,
	}
}

/** The end of a job that its placer moves to a target that can't be used. */
const INVALID_MOVE: JobEnd = {
	type: "refused",
	kind: "no_capacity",
	cause: "its placer sent it nowhere",
}

type NotStarted = JobMove | {readonly type: "unsent" | "not placer"}

/** The placer asked hasn't started the job and won't. */
const isNotStarted = (
	end: JobReply | LostAtPlacer | {readonly type: "unsent"},
): end is NotStarted =>
	end.type === "unsent" || end.type === "not placer" || end.type === "elsewhere"
/** Result of asking placers in turn. No end: the job hasn't started, and no placer refused it. */
interface AskResult {
	readonly end: JobEnd | LostAtPlacer | undefined
	readonly wasAnyAsked: boolean
}

const countOf = (names: readonly string[], name: string) => names.filter(one => one === name).length

const noCapacity = (cause: string): JobEnd => ({type: "refused", kind: "no_capacity", cause})

/**
 * Whether another placer may still take a refused job. A refusal by forecast arrives early enough for that while the job
 * can still be on time.
 */
function mayTryElsewhere(job: Job, queue: Queue, {retryAfterMs}: Refusal, now: number): boolean {
	if (retryAfterMs !== undefined) return now < latestStartOnTime(job, queue)
	return now - job.receivedAt <= MAX_BACKLOG_REFUSAL_AGE_MS
}

export function createDispatcher(deps: DispatcherDeps): Dispatcher {
	const {clock, log, view, self, peers, hosts} = deps
	const startedAt = clock.now()
	let workCount = 0
	const {candidates, hasCandidates, isStateUnknown, areAllEvacuated} = createCandidates(deps)

	async function trackWork<T>(work: Promise<T>): Promise<T> {
		workCount++
		try {
			return await work
		} finally {
			workCount--
		}
	}

	function messageOf(job: Job, queue: Queue, claim: Claim): JobMessage {
		const {receivedAt, deadlineAt, ...rest} = job
		const now = clock.now()
		return {
			job: rest,
			queue,
			ageMs: now - receivedAt,
			leftMs: deadlineAt - now,
			configVersion: deps.config()?.version ?? 0,
			failureDomain: claim.failureDomain,
			from: self.session,
		}
	}

	async function runRemotely(
		claim: Claim,
		job: Job,
		queue: Queue,
		{onCancel, confirmedAt}: Caller,
	): Promise<JobReply | LostAtPlacer | {readonly type: "unsent"}> {
		const message = messageOf(job, queue, claim)
		const timeoutMs = message.leftMs + ANSWER_SLACK_MS
		const call = peers.runJob(claim.placer.address, message, timeoutMs, confirmedAt)
		let isCancelled = false
		onCancel(() => {
			isCancelled = true
			call.cancel()
		})
		const reply = await call.reply
		if (reply) return reply
		if (isCancelled) return {type: "given up", kind: "cancelled", cause: "its submitter left"}
		if (call.wasUnsent()) {
			noteUnsent(view, claim.placer, call)
			return {type: "unsent"}
		}
		const lastConfirmedAt = call.lastConfirmedAt?.() ?? Infinity
		return {type: "lost", cause: `${claim.placer.name} is silent`, lastConfirmedAt}
	}

	/** Whether the job may wait for a placer: shortly after a start or a change of placer one appears soon. */
	function mayWaitForPlacer(job: Job, queue: Queue): boolean {
		const now = clock.now()
		const isPlacerExpected =
			now - startedAt < STARTUP_MS || view.claimAgeMs(self.failureDomain) < STARTUP_MS
		return isPlacerExpected && now < latestStartOnTime(job, queue)
	}

	/** The target of a move, or else the next placer that hasn't been tried. */
	function nextClaim(tried: ReadonlySet<string>, wasRefused: boolean, moved?: MovedJob) {
		const target = moved?.next()
		const domains = [...tried].map(failureDomainOf)
		if (target || new Set(domains).size >= MAX_DOMAINS_TRIED) return target
		const isNext = ({failureDomain: name}: Claim) =>
			!tried.has(name) && countOf(domains, failureDomainOf(name)) < MAX_SLICES_TRIED
		const claim = candidates().find(isNext)
		return claim && wasRefused && isStateUnknown(claim) ? undefined : claim
	}

	async function ask(claim: Claim, job: Job, queue: Queue, caller: Caller, moved?: MovedJob) {
		const asked = moved?.withDomainsTried() ?? job
		const host = hosts.of(claim.failureDomain)
		const reply = host
			? await hosts.run(host, asked, queue, caller)
			: await runRemotely(claim, asked, queue, caller)
		const outcome = reply.type === "lost" ? "given up" : reply.type
		logAnswer(job, claim, outcome)
		moved?.noteOutcome(claim, outcome)
		if (reply.type !== "elsewhere" || moved?.accept(claim, reply)) return reply
		return INVALID_MOVE
	}

	/** Asks placers until one has started or refused the job; waits for a placer where that is likely to help. */
	async function tryPlacers(
		job: Job,
		queue: Queue,
		caller: Caller,
	): Promise<JobEnd | LostAtPlacer> {
		const moved = deps.followMoves?.(job)
		for (;;) {
			const {end, wasAnyAsked} = await askInTurn(job, queue, caller, moved)
			if (end) return end
			if (areAllEvacuated()) return noCapacity("all failure domains are emptied")
			if (!mayWaitForPlacer(job, queue)) return noCapacity("no placer can be reached")
			await clock.sleep(wasAnyAsked ? ASK_AGAIN_MS : PLACER_POLL_MS)
		}
	}

	/** Asks each placer once, as long as the previous ones have certainly not started the job. */
	async function askInTurn(
		job: Job,
		queue: Queue,
		caller: Caller,
		moved: MovedJob | undefined,
	): Promise<AskResult> {
		const tried = new Set<string>()
		let end: JobEnd | undefined
		for (;;) {
			const claim = nextClaim(tried, end !== undefined, moved)
			if (!claim) break
			tried.add(claim.failureDomain)
			const reply = await ask(claim, job, queue, caller, moved)
			if (isNotStarted(reply)) continue
			if (reply.type !== "refused") return {end: reply, wasAnyAsked: true}
			end = reply
			if (!mayTryElsewhere(job, queue, reply, clock.now())) break
		}
		return {end, wasAnyAsked: tried.size > 0}
	}

	async function place(job: Job, queue: Queue, caller: Caller): Promise<JobEnd> {
		const end = await tryPlacers(job, queue, caller)
		if (end.type !== "lost") return end
		return deps.rescheduleLostJob?.({job, queue, caller}, end, tryPlacers) ?? outcomeUnknown(end)
	}

	function logAnswer(job: Job, claim: Claim, outcome: string) {
		// The placer asked may have the job all the same, unless the call was never sent.
		const write = outcome === "given up" ? log.alarm : log.event
		write("job", "placer_asked", "job: a placer answered.", () => ({
			job: job.id,
			...placerFields(deps, claim),
			outcome,
			tookMs: Math.round(clock.now() - job.receivedAt),
		}))
	}

	/**
	 * The job's queue by the newer configuration of sender and receiver. A placer that is cut off from the store may keep
	 * an old version for long, and must not hold jobs up meanwhile.
	 */
	function queueFor({job, queue, configVersion}: JobMessage): Queue | undefined {
		const own = deps.config()
		if (own && own.version >= configVersion) return own.queues.find(({name}) => name === job.queue)
		deps.refreshConfig()
		const fields = {job: job.id, queue: queue.name, configVersion}
		log.event("config", "queue_from_peer", "config: a job arrived with a newer version.", fields)
		return queue
	}

	return {
		dispatch(submitted, queue, caller) {
			const job = datedBack(submitted, caller)
			return trackWork(place(job, queue, limitedToDeadline(caller, job)))
		},
		async runJob(message, caller) {
			// A leaving placer stays until a successor takes over; jobs that arrive until then are handed over too.
			const host = hosts.of(message.failureDomain)
			if (!host) return {type: "not placer"}
			const {madeAt} = caller
			const job: Job = {
				...message.job,
				askedBy: message.from,
				receivedAt: madeAt - message.ageMs,
				deadlineAt: madeAt + message.leftMs,
			}
			const queue = queueFor(message)
			if (!queue) return {type: "refused", kind: "no_configuration", cause: "unknown queue here"}
			return trackWork(hosts.run(host, job, queue, caller))
		},
		runTask(message, caller) {
			const host = hosts.of(message.failureDomain)
			if (!host || deps.isLeaving()) return Promise.resolve({type: "not placer"})
			const req = receivedRequest(message, caller)
			const {runsAt} = message
			const end = new Promise<TaskEnd>(resolve => {
				const handle = runsAt
					? host.placer.adopt(req, runsAt, resolve)
					: host.placer.submit(req, resolve, () => undefined)
				caller.onCancel(() => handle.cancel())
			})
			return trackWork(end)
		},
		candidates,
		// While all failure domains are evacuated no other instance could place the job either.
		canPlace: () => hasCandidates() || areAllEvacuated(),
		workCount: () => workCount,
	}
}
