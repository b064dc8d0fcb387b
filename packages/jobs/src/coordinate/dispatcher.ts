/**
 * Takes jobs from callers to placers: here, or at another instance.
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
import {requestOf, sinceArrival, untilDeadline} from "./arrival.js"
import type {HostedPlacers} from "./hosted-placers.js"
import type {MovedJob} from "./moved-job.js"
import {createCandidates} from "./candidates.js"
import {latestStartOnTime} from "./job-run.js"
import type {Refusal} from "./refusals.js"

/** Failure domains that are tried in turn for a job that no placer has seen yet. */
const MAX_DOMAINS_TRIED = 3
/** And placers of one that is divided: the second one shows whether it is the domain that is full. */
const MAX_SLICES_TRIED = 2
/** A job that was refused by a backlog after it had waited so long is not tried elsewhere. */
const ELSEWHERE_MS = 25
/** After a loss of all instances placers are there within this, from the start of the process. */
const BEGINNING_MS = 1_000
/** A fraction of the shortest task. */
const PLACER_POLL_MS = 10
/** Those who place nothing yet are asked again after this: at that moment each of them has more to do than it can. */
const ASKED_AGAIN_MS = 50
/** A placer's answer at the deadline itself takes a moment to arrive. */
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
	/** By how much this instance's own timers were late of late, in milliseconds. */
	readonly ownLateMs: () => number
	/** Whether operators are emptying a failure domain. */
	readonly isEvacuated: (failureDomain: string) => boolean
	/** Follows jobs that placers may send elsewhere as a whole; absent: none may. */
	readonly followMoves?: (job: Job) => MovedJob
	/** What becomes of jobs whose placer fell silent; without it their callers are told at once that their end is open. */
	readonly rescheduleLostJob?: RescheduleLostJob
}

export interface Dispatcher {
	/** Runs a job to its end, here or at another instance. */
	dispatch(job: Job, queue: Queue, caller: Caller): Promise<JobEnd>
	/** Runs a job that another instance's caller handed in. */
	runJob(message: JobMessage, caller: Caller): Promise<JobReply>
	/** Runs a task of a job that another placer has. */
	runTask(message: TaskMessage, caller: Caller): Promise<TaskReply>
	/** Placers in the order in which a job that comes now would ask them. */
	candidates(): readonly Claim[]
	/** Whether a job that comes now would find a placer. */
	canPlace(): boolean
	/** Jobs and tasks under way here, for callers and for peers. */
	workCount(): number
}

/** What this instance heard of itself, or of a life before it at its address, is no age of a placer's word. */
function whoIsAsked({view, self}: DispatcherDeps, {placer, fence, failureDomain}: Claim) {
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

/** A placer's word to ask another one that says nothing that could be followed. */
const NOWHERE: JobEnd = {
	type: "refused",
	kind: "no_capacity",
	cause: "its placer sent it nowhere",
}

type Unbegun = JobMove | {readonly type: "unsent" | "not placer"}

/** Whoever was asked has not begun the job, and will not. */
const isUnbegun = (end: JobReply | LostAtPlacer | {readonly type: "unsent"}): end is Unbegun =>
	end.type === "unsent" || end.type === "not placer" || end.type === "elsewhere"
/** What came of asking placers in turn; without an end the job has certainly not begun, and nobody has refused it. */
interface Asked {
	readonly end: JobEnd | LostAtPlacer | undefined
	readonly wasAnyAsked: boolean
}

const countOf = (names: readonly string[], name: string) => names.filter(one => one === name).length

const noCapacity = (cause: string): JobEnd => ({type: "refused", kind: "no_capacity", cause})

/** A refusal by forecast comes as soon as it is known, and elsewhere the job may still be in time. */
function mayGoElsewhere(job: Job, queue: Queue, {retryAfterMs}: Refusal, now: number): boolean {
	if (retryAfterMs !== undefined) return now < latestStartOnTime(job, queue)
	return now - job.receivedAt <= ELSEWHERE_MS
}

export function createDispatcher(deps: DispatcherDeps): Dispatcher {
	const {clock, log, view, self, peers, hosts} = deps
	const startedAt = clock.now()
	let workCount = 0
	const {candidates, hasCandidates, isUntold, areAllEmptied} = createCandidates(deps)

	async function counted<T>(work: Promise<T>): Promise<T> {
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

	async function runThere(
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
		const wantedAt = call.lastConfirmedAt?.() ?? Infinity
		return {type: "lost", cause: `${claim.placer.name} is silent`, lastConfirmedAt: wantedAt}
	}

	/** Just after a start, or a change of the placer, there is one within a moment; a job waits for it while it may be in time. */
	function mayWaitForPlacer(job: Job, queue: Queue): boolean {
		const now = clock.now()
		const isBeginning =
			now - startedAt < BEGINNING_MS || view.claimAgeMs(self.failureDomain) < BEGINNING_MS
		return isBeginning && now < latestStartOnTime(job, queue)
	}

	/** Where a job was sent, or else the next placer that suits it. */
	function nextClaim(tried: ReadonlySet<string>, wasRefused: boolean, moved?: MovedJob) {
		const target = moved?.next()
		const domains = [...tried].map(failureDomainOf)
		if (target || new Set(domains).size >= MAX_DOMAINS_TRIED) return target
		const isNext = ({failureDomain: name}: Claim) =>
			!tried.has(name) && countOf(domains, failureDomainOf(name)) < MAX_SLICES_TRIED
		const claim = candidates().find(isNext)
		return claim && wasRefused && isUntold(claim) ? undefined : claim
	}

	async function ask(claim: Claim, job: Job, queue: Queue, caller: Caller, moved?: MovedJob) {
		const asked = moved?.withDomainsTried() ?? job
		const host = hosts.of(claim.failureDomain)
		const reply = host
			? await hosts.run(host, asked, queue, caller)
			: await runThere(claim, asked, queue, caller)
		const outcome = reply.type === "lost" ? "given up" : reply.type
		noteTry(job, claim, outcome)
		moved?.noteOutcome(claim, outcome)
		if (reply.type !== "elsewhere" || moved?.accept(claim, reply)) return reply
		return NOWHERE
	}

	/** Asks placers in turn, and waits for one that begins as long as nobody has the job or has refused it. */
	async function tryPlacers(
		job: Job,
		queue: Queue,
		caller: Caller,
	): Promise<JobEnd | LostAtPlacer> {
		const moved = deps.followMoves?.(job)
		for (;;) {
			const {end, wasAnyAsked} = await askInTurn(job, queue, caller, moved)
			if (end) return end
			if (areAllEmptied()) return noCapacity("all failure domains are emptied")
			if (!mayWaitForPlacer(job, queue)) return noCapacity("no placer can be reached")
			await clock.sleep(wasAnyAsked ? ASKED_AGAIN_MS : PLACER_POLL_MS)
		}
	}

	/** Asks placers in turn, as long as those before have certainly not begun the job. */
	async function askInTurn(
		job: Job,
		queue: Queue,
		caller: Caller,
		moved: MovedJob | undefined,
	): Promise<Asked> {
		const tried = new Set<string>()
		let end: JobEnd | undefined
		for (;;) {
			const claim = nextClaim(tried, end !== undefined, moved)
			if (!claim) break
			tried.add(claim.failureDomain)
			const reply = await ask(claim, job, queue, caller, moved)
			if (isUnbegun(reply)) continue
			if (reply.type !== "refused") return {end: reply, wasAnyAsked: true}
			end = reply
			if (!mayGoElsewhere(job, queue, reply, clock.now())) break
		}
		return {end, wasAnyAsked: tried.size > 0}
	}

	async function place(job: Job, queue: Queue, caller: Caller): Promise<JobEnd> {
		const end = await tryPlacers(job, queue, caller)
		if (end.type !== "lost") return end
		return deps.rescheduleLostJob?.({job, queue, caller}, end, tryPlacers) ?? outcomeUnknown(end)
	}

	function noteTry(job: Job, claim: Claim, outcome: string) {
		// Whoever was asked may have the job all the same, but for what was never sent.
		const write = outcome === "given up" ? log.alarm : log.event
		write("job", "placer_asked", "job: a placer answered.", () => ({
			job: job.id,
			...whoIsAsked(deps, claim),
			outcome,
			tookMs: Math.round(clock.now() - job.receivedAt),
		}))
	}

	/**
	 * A job goes by the newer of both configurations. A placer that is cut off from the store may have an older
	 * one for long; waiting for it would hold every job that comes from elsewhere.
	 */
	function queueFor({job, queue, configVersion}: JobMessage): Queue | undefined {
		const own = deps.config()
		if (own && own.version >= configVersion) return own.queues.find(({name}) => name === job.queue)
		deps.refreshConfig()
		const fields = {job: job.id, queue: queue.name, configVersion}
		log.event("config", "queue_from_peer", "config: a job came under a newer version.", fields)
		return queue
	}

	return {
		dispatch(handedIn, queue, caller) {
			const job = sinceArrival(handedIn, caller)
			return counted(place(job, queue, untilDeadline(caller, job)))
		},
		async runJob(message, caller) {
			// A leaving placer has its host until somebody has taken the domain over; what comes until then goes along.
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
			return counted(hosts.run(host, job, queue, caller))
		},
		runTask(message, caller) {
			const host = hosts.of(message.failureDomain)
			if (!host || deps.isLeaving()) return Promise.resolve({type: "not placer"})
			const req = requestOf(message, caller)
			const {runsAt} = message
			const end = new Promise<TaskEnd>(resolve => {
				const handle = runsAt
					? host.placer.adopt(req, runsAt, resolve)
					: host.placer.submit(req, resolve, () => undefined)
				caller.onCancel(() => handle.cancel())
			})
			return counted(end)
		},
		candidates,
		// Callers are told at once that nothing may start; other instances could tell them no more.
		canPlace: () => hasCandidates() || areAllEmptied(),
		workCount: () => workCount,
	}
}
