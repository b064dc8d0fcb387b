/**
 * Routes callers' requests to the placer that accepts, cancels or knows a kept job, and reads the
 * store when no placer can answer.
 */
import type {Clock, Store} from "@cottonwood/core"
import {noteUnsent, type FleetView} from "../fleet/members.js"
import type {KeptMessage, KeptReply, Peers} from "../fleet/peers.js"
import {couldRunStep} from "../decide/suitability.js"
import type {ExecutorRecord} from "../types/executor.js"
import type {Queue} from "../types/fleet-config.js"
import type {Claim, Room} from "../types/fleet.js"
import type {Step} from "../types/job.js"
import {
	endedJobKey,
	isEndRecord,
	openJobKey,
	type EndRecord,
	type JobRecord,
	type JobState,
	type KeptJobRequest,
} from "../types/kept-job.js"
import type {EventLog} from "../utils/log.js"
import type {AcceptReply, Keeper} from "./keeper.js"
import {createPendingCount} from "./pending-count.js"
import {hasProgress} from "./record-size.js"
import {isJobRecord} from "./record-validation.js"

/** A placer waits up to 900 ms for the store before it answers an acceptance or a cancellation. */
const WRITE_TIMEOUT_MS = 1_100
/** A placer answers from memory; this allows for a slow machine. */
const ASK_TIMEOUT_MS = 200
/** Maximum number of placers tried in turn for a new job. */
const MAX_PLACERS_TRIED = 3
/** A job may be redirected when the wait in its own domain is longer than this. */
const BUSY_WAIT_MS = 300
/** The wait in the other domain must be at most this share of the own one. */
const LESS_BUSY_SHARE = 0.5

export interface KeptJobRouterDeps {
	readonly clock: Clock
	readonly store: Store
	readonly log: EventLog
	readonly peers: Peers
	readonly view: FleetView
	/** Returns the keeper of a failure domain that is placed by this instance. */
	readonly keeperOf: (failureDomain: string) => Keeper | undefined
	/** Returns the capacity that a placer reported lately, if any. */
	readonly roomOf: (failureDomain: string) => Room | undefined
	/** Whether the placer hosted here could start a task of one of the steps now. */
	readonly hasRoomNow: (failureDomain: string, service: string, steps: readonly Step[]) => boolean
	readonly executorsOf: (failureDomain: string) => readonly ExecutorRecord[]
	readonly queueOf: (name: string) => Queue | undefined
	/** Placers in the order in which this instance would ask them. */
	readonly candidates: () => readonly Claim[]
}

export interface KeptJobRouter {
	accept(request: KeptJobRequest): Promise<AcceptReply>
	/** `absent`: not open, and not ended within the retention time. `unknown`: no answer. */
	stateOf(id: string): Promise<JobState | "absent" | "unknown">
	cancel(id: string): Promise<"cancelled" | "ended" | "absent" | "unknown">
	/** Accepted jobs of a queue of which no task has begun; undefined when that cannot be known now. */
	pendingOf(queue: string): Promise<number | undefined>
	/** Handles a request of another instance for the placers hosted here. */
	answer(message: KeptMessage): Promise<KeptReply>
}

export function createKeptJobRouter(deps: KeptJobRouterDeps): KeptJobRouter {
	const {store, log, peers, view, keeperOf} = deps

	async function ask(claim: Claim, message: KeptMessage, timeoutMs: number) {
		if (keeperOf(claim.failureDomain)) return answer(message)
		const call = peers.kept(claim.placer.address, message, timeoutMs)
		const reply = await call.reply
		if (reply) return reply
		if (!call.wasUnsent()) return {type: "silent" as const}
		noteUnsent(view, claim.placer, call)
		return {type: "unsent" as const}
	}

	async function accept(request: KeptJobRequest): Promise<AcceptReply> {
		const tried = new Set<string>()
		let next: Claim | undefined = deps.candidates()[0]
		let refusal: AcceptReply = {type: "refused", cause: "no placer can be reached"}
		while (next && tried.size < MAX_PLACERS_TRIED) {
			const {failureDomain} = next
			const mayRedirect = tried.size === 0
			tried.add(failureDomain)
			const message = {type: "accept", request, mayRedirect, failureDomain} as const
			const reply = await ask(next, message, WRITE_TIMEOUT_MS)
			logAsked(request.id, next, reply.type)
			if (reply.type === "accepted" || reply.type === "unknown") return reply as AcceptReply
			if (reply.type === "silent") return {type: "unknown", cause: `${next.placer.name} is silent`}
			if (reply.type === "refused") refusal = reply as AcceptReply
			const wanted = reply.type === "redirect" ? view.claimOf(reply.failureDomain) : undefined
			next = wanted ?? deps.candidates().find(claim => !tried.has(claim.failureDomain))
		}
		return refusal
	}

	function logAsked(job: string, {placer, fence, failureDomain}: Claim, outcome: string) {
		const fields = {job, peer: placer.name, failureDomain, fence, outcome}
		log.event("job", "keeper_asked", "job: asked a placer to accept it.", fields)
	}

	/**
	 * Returns the job's record; `null` when it is not open, `undefined` when the store does not
	 * answer.
	 */
	async function recordOf(id: string): Promise<JobRecord | null | undefined> {
		const item = await store.get(openJobKey(id))
		if (!item) return item
		return isJobRecord(item.value) ? item.value : null
	}

	async function endOf(id: string): Promise<EndRecord | null | undefined> {
		const item = await store.get(endedJobKey(id))
		if (!item) return item
		return isEndRecord(item.value) ? item.value : null
	}

	/** Reads the end after the record, since one transaction replaces the record by the end. */
	async function stateOf(id: string): Promise<JobState | "absent" | "unknown"> {
		for (const claim of view.claims()) {
			const state = keeperOf(claim.failureDomain)?.stateOf(id)
			if (state) return state
		}
		const record = await recordOf(id)
		if (record) return openStateOf(record)
		if (record === undefined) return "unknown"
		const end = await endOf(id)
		if (end === undefined) return "unknown"
		return end ? end.state : "absent"
	}

	async function openStateOf(record: JobRecord): Promise<JobState> {
		const claim = view.claimOf(record.home)
		const message = {type: "state", id: record.id, failureDomain: record.home} as const
		const reply = claim && (await ask(claim, message, ASK_TIMEOUT_MS))
		if (reply?.type === "state" && reply.state) return reply.state
		return hasProgress(record) ? "running" : "pending"
	}

	async function cancel(id: string) {
		const record = await recordOf(id)
		if (record === undefined) return "unknown"
		if (!record) {
			const end = await endOf(id)
			if (end === undefined) return "unknown"
			return end ? "ended" : "absent"
		}
		const claim = view.claimOf(record.home)
		const message = {type: "cancel", id, failureDomain: record.home} as const
		const reply = claim && (await ask(claim, message, WRITE_TIMEOUT_MS))
		if (reply?.type === "cancelled") return "cancelled"
		return markCancelled(id)
	}

	/** Marks the record as cancelled for the next placer that reads it. */
	async function markCancelled(id: string) {
		const item = await store.get(openJobKey(id))
		if (item === undefined) return "unknown"
		if (!item) return (await endOf(id)) ? "ended" : "unknown"
		const record = {...(item.value as JobRecord), isCancelled: true, writer: ""}
		const put = await store.put(item.key, record, {expect: item.revision})
		return put.type === "done" ? "cancelled" : "unknown"
	}

	const pendingOf = createPendingCount({
		clock: deps.clock,
		store,
		claims: () => view.claims(),
		async askPlacer(claim, queue) {
			const {failureDomain} = claim
			const reply = await ask(claim, {type: "pending", queue, failureDomain}, ASK_TIMEOUT_MS)
			return reply.type === "pending" ? reply.count : undefined
		},
	})

	async function answer(message: KeptMessage): Promise<KeptReply> {
		const keeper = keeperOf(message.failureDomain)
		if (!keeper) return {type: "not placer"}
		switch (message.type) {
			case "accept": {
				const better = message.mayRedirect && betterHome(message.failureDomain, message.request)
				if (better) return {type: "redirect", failureDomain: better}
				return keeper.accept(message.request)
			}
			case "cancel":
				return keeper.cancel(message.id)
			case "state":
				return {type: "state", state: keeper.stateOf(message.id)}
			case "fetch":
				await keeper.fetch(message.id)
				return {type: "fetched"}
			case "pending": {
				const count = keeper.pendingOf(message.queue)
				return count === undefined ? {type: "not placer"} : {type: "pending", count}
			}
			case "room": {
				const {failureDomain, service, steps} = message
				return {type: "room", hasRoom: deps.hasRoomNow(failureDomain, service, steps)}
			}
		}
	}

	/** Returns another domain that suits more of the steps, or is far less busy. */
	function betterHome(own: string, {queue, steps}: KeptJobRequest): string | undefined {
		const service = deps.queueOf(queue)?.service
		const fit = (domain: string) => {
			const executors = deps.executorsOf(domain)
			const labels = deps.roomOf(domain)?.labels ?? []
			const isRunnable = (step: Step) =>
				(step.label === undefined || labels.includes(step.label)) &&
				(service === undefined || couldRunStep(executors, step, service))
			const isRackThere = ({rack}: Step) => rack !== undefined && labels.includes(rack)
			return steps.filter(isRunnable).length + steps.filter(isRackThere).length
		}
		const wait = (domain: string) => {
			const room = deps.roomOf(domain)
			return room && room.totalCpu > 0 ? (room.waitingWork * 1_000) / room.totalCpu : Infinity
		}
		const others = view
			.claims()
			.map(claim => claim.failureDomain)
			.filter(domain => domain !== own && wait(domain) < Infinity)
			.sort((a, b) => fit(b) - fit(a) || wait(a) - wait(b))
		const best = others[0]
		if (best === undefined) return undefined
		if (fit(best) !== fit(own)) return fit(best) > fit(own) ? best : undefined
		return wait(own) > BUSY_WAIT_MS && wait(best) < wait(own) * LESS_BUSY_SHARE ? best : undefined
	}

	return {accept, stateOf, cancel, pendingOf, answer}
}
