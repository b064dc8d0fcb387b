/**
 * Calls between instances: heartbeats on request, jobs handed to a placer, tasks handed from placer
 * to placer.
 *
 * An open call proves that its caller still wants the work: when it is cancelled or its connection
 * breaks, the work behind it is stopped.
 */
import {
	connectJson,
	listenJson,
	type JsonClient,
	type JsonHandler,
	type JsonServer,
} from "@cottonwood/wire/json"
import type {RunLocation} from "../place/placer-state.js"
import type {TaskEnd, TaskRequest} from "../place/run.js"
import type {ExecutorRecord} from "../types/executor.js"
import type {Heartbeat, Claim} from "../types/fleet.js"
import type {AcceptReply, CancelReply} from "../keep/keeper.js"
import type {Caller, Job, JobEnd, Step} from "../types/job.js"
import type {Queue} from "../types/fleet-config.js"
import type {JobState, KeptJobRequest} from "../types/kept-job.js"
import type {JobMetrics} from "../utils/metrics.js"

const SERVICE = "cottonwood.Jobs"
/** The oldest client is closed when there are more. */
const MAX_CLIENTS = 256

/** A job in transit: times are relative, since monotonic clocks differ between instances. */
export interface JobMessage {
	readonly job: Omit<Job, "receivedAt" | "deadlineAt">
	/** The queue as the sender's configuration has it; the placer's may be older for a while. */
	readonly queue: Queue
	readonly ageMs: number
	readonly leftMs: number
	/** Version of the configuration under which the job was accepted. */
	readonly configVersion: number
	readonly failureDomain: string
	readonly from: string
}

export interface TaskMessage {
	readonly task: Omit<TaskRequest, "startBy" | "uselessAt" | "deadlineAt" | "confirmedAt">
	readonly startInMs: number
	readonly uselessInMs: number
	readonly leftMs: number
	readonly failureDomain: string
	readonly from: string
	/** Where the task already runs, when a placer hands over all its work. */
	readonly runsAt?: RunLocation
}

/** Asks an instance to replace the sender as the placer of a failure domain. */
export interface TakeOverMessage {
	readonly failureDomain: string
	readonly fence: number
	readonly executors: readonly ExecutorRecord[]
	readonly from: string
}

export interface TakeOverReply {
	readonly isTaken: boolean
}

/** Requests about kept jobs to the placer of a failure domain. */
export type KeptMessage = {readonly failureDomain: string} & (
	| {readonly type: "accept"; readonly request: KeptJobRequest; readonly mayRedirect: boolean}
	| {readonly type: "cancel" | "state" | "fetch"; readonly id: string}
	| {readonly type: "pending"; readonly queue: string}
	/** Whether a task of one of the steps could start now. */
	| {readonly type: "room"; readonly service: string; readonly steps: readonly Step[]}
)

export type KeptReply =
	| AcceptReply
	| CancelReply
	/** Another domain suits the job better. */
	| {readonly type: "redirect"; readonly failureDomain: string}
	| {readonly type: "state"; readonly state: JobState | undefined}
	| {readonly type: "pending"; readonly count: number}
	| {readonly type: "room"; readonly hasRoom: boolean}
	| {readonly type: "fetched"}
	| {readonly type: "not placer"}

/** The job has not started, and another domain's placer is forecast to start it sooner. */
export interface JobMove {
	readonly type: "elsewhere"
	readonly claim: Claim
	/** Forecast waits at the replying placer and at the other, in milliseconds. */
	readonly hereMs: number
	readonly thereMs: number
	readonly newsAgeMs: number
}

export type JobReply = JobEnd | JobMove | {readonly type: "not placer"}
export type TaskReply = TaskEnd | {readonly type: "not placer"}

export interface PeerHandlers {
	/** `heartbeat` may be anything that a peer sends; the answer is the own one. */
	beat(heartbeat: unknown): Heartbeat
	runJob(message: JobMessage, caller: Caller): Promise<JobReply>
	runTask(message: TaskMessage, caller: Caller): Promise<TaskReply>
	takeOver(message: TakeOverMessage): Promise<TakeOverReply>
	kept(message: KeptMessage): Promise<KeptReply>
}

/**
 * Serves peers' calls; rejects when the port is taken. `onBadFrame` is called for each message of unexpected shape, which is
 * dropped.
 */
export function listenPeers(
	address: string,
	handlers: PeerHandlers,
	onBadFrame: (error: Error) => void,
): Promise<JsonServer> {
	const methods: Readonly<Record<string, JsonHandler>> = {
		beat: async message => handlers.beat(message),
		runJob: (message, caller) => handlers.runJob(message as JobMessage, caller),
		runTask: (message, caller) => handlers.runTask(message as TaskMessage, caller),
		takeOver: message => handlers.takeOver(message as TakeOverMessage),
		kept: message => handlers.kept(message as KeptMessage),
	}
	return listenJson(SERVICE, address, methods, onBadFrame)
}

export interface PeerCall<T> {
	/** Undefined without an answer; the request may have been carried out. */
	readonly reply: Promise<T | undefined>
	/** After an undefined reply: whether the peer certainly never saw the call. */
	wasUnsent(): boolean
	/**
	 * After an undefined reply: whether nothing listens at the address, so the peer's process is
	 * gone.
	 */
	wasRefused(): boolean
	/**
	 * After an undefined reply: the latest time as of which the peer was told that the call is
	 * wanted, in milliseconds on the monotonic clock; Infinity or absent when unknown.
	 */
	readonly lastConfirmedAt?: () => number
	cancel(): void
}

export interface Peers {
	beat(address: string, heartbeat: Heartbeat, timeoutMs: number): Promise<Heartbeat | undefined>
	/**
	 * `confirmedAt` is the time as of which the job is wanted here, in milliseconds on the
	 * monotonic clock; the peer is told repeatedly.
	 */
	runJob(
		address: string,
		message: JobMessage,
		timeoutMs: number,
		confirmedAt: () => number,
	): PeerCall<JobReply>
	/** `confirmedAt` as for a job. */
	runTask(
		address: string,
		message: TaskMessage,
		timeoutMs: number,
		confirmedAt: () => number,
	): PeerCall<TaskReply>
	takeOver(address: string, message: TakeOverMessage, timeoutMs: number): PeerCall<TakeOverReply>
	kept(address: string, message: KeptMessage, timeoutMs: number): PeerCall<KeptReply>
	/** Milliseconds during which nothing was received from a peer while calls to it were open. */
	unansweredMs(address: string): number
	/** Records that a datagram came from the address. */
	noteReachable(address: string): void
	close(): void
}

export function createPeers(metrics: JobMetrics): Peers {
	const clients = new Map<string, JsonClient>()

	function clientOf(address: string): JsonClient {
		let client = clients.get(address)
		if (!client) {
			client = connectJson(SERVICE, address)
			clients.set(address, client)
			const [oldest] = clients
			if (clients.size > MAX_CLIENTS && oldest) {
				oldest[1].close()
				clients.delete(oldest[0])
			}
		}
		return client
	}

	function call<T>(
		address: string,
		method: string,
		message: unknown,
		timeoutMs: number,
		confirmedAt?: () => number,
	): PeerCall<T> {
		const sent = clientOf(address).call(method, message, timeoutMs, confirmedAt)
		let isUnsent = false
		let isRefused = false
		let lastConfirmedAt = Infinity
		const reply = sent.reply.then(answer => {
			isUnsent = answer.type === "no answer" && !answer.wasSent
			isRefused = answer.type === "no answer" && answer.wasRefused
			if (answer.type === "no answer") lastConfirmedAt = answer.lastConfirmedAt
			metrics.count("peer_calls", `${method}_${answer.type === "answer" ? "ok" : "silent"}`)
			return answer.type === "answer" ? (answer.value as T) : undefined
		})
		return {
			reply,
			wasUnsent: () => isUnsent,
			wasRefused: () => isRefused,
			lastConfirmedAt: () => lastConfirmedAt,
			cancel: sent.cancel,
		}
	}

	return {
		beat: (address, heartbeat, timeoutMs) =>
			call<Heartbeat>(address, "beat", heartbeat, timeoutMs).reply,
		runJob: (address, message, timeoutMs, confirmedAt) =>
			call(address, "runJob", message, timeoutMs, confirmedAt),
		runTask: (address, message, timeoutMs, confirmedAt) =>
			call(address, "runTask", message, timeoutMs, confirmedAt),
		takeOver: (address, message, timeoutMs) => call(address, "takeOver", message, timeoutMs),
		kept: (address, message, timeoutMs) => call(address, "kept", message, timeoutMs),
		unansweredMs: address => clients.get(address)?.unansweredMs() ?? 0,
		noteReachable: address => clients.get(address)?.noteReachable(),
		close() {
			for (const client of clients.values()) client.close()
			clients.clear()
		},
	}
}
