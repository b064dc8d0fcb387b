/**
 * Calls between instances: signs of life that are asked for, jobs handed to a placer, tasks handed from
 * placer to placer.
 *
 * A call is at the same time the proof that its caller still wants the work: when it is cancelled or
 * its connection dies, the work behind it is stopped.
 */
import {connectJson, listenJson, type JsonClient, type JsonServer} from "@cottonwood/wire/json"
import type {RunLocation} from "../place/placer-state.js"
import type {TaskEnd, TaskRequest} from "../place/run.js"
import type {ExecutorRecord} from "../types/executor.js"
import type {Heartbeat, Claim} from "../types/fleet.js"
import type {AcceptReply, CancelReply} from "../keep/keeper.js"
import type {Caller, Job, JobEnd} from "../types/job.js"
import type {Queue} from "../types/fleet-config.js"
import type {JobState, KeptJobRequest} from "../types/kept-job.js"
import type {JobMetrics} from "../utils/metrics.js"

const SERVICE = "cottonwood.Jobs"
/** Clients to addresses that nobody used for so many others are closed. */
const MAX_CLIENTS = 256

/** A job on its way: times are relative, since steady clocks differ between instances. */
export interface JobMessage {
	readonly job: Omit<Job, "receivedAt" | "deadlineAt">
	/** Its queue as the sender's configuration has it: the placer's may be older, and stay so for a while. */
	readonly queue: Queue
	readonly ageMs: number
	readonly leftMs: number
	/** The configuration under which it was accepted. */
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
	/** Where it runs already, when a placer hands over all that it has. */
	readonly runsAt?: RunLocation
}

/** Asks an instance to become the placer of a failure domain in the sender's place. */
export interface TakeOverMessage {
	readonly failureDomain: string
	readonly fence: number
	readonly executors: readonly ExecutorRecord[]
	readonly from: string
}

export interface TakeOverReply {
	readonly isTaken: boolean
}

/** What instances ask the placer of a failure domain about kept jobs. */
export type KeptMessage = {readonly failureDomain: string} & (
	| {readonly type: "accept"; readonly request: KeptJobRequest; readonly mayRedirect: boolean}
	| {readonly type: "cancel" | "state" | "fetch"; readonly id: string}
	| {readonly type: "pending"; readonly queue: string}
)

export type KeptReply =
	| AcceptReply
	| CancelReply
	/** Another domain suits the job better. */
	| {readonly type: "redirect"; readonly failureDomain: string}
	| {readonly type: "state"; readonly state: JobState | undefined}
	| {readonly type: "pending"; readonly count: number}
	| {readonly type: "fetched"}
	| {readonly type: "not placer"}

/** Nothing of the job has started, and another domain's placer is forecast to start it sooner. */
export interface JobMove {
	readonly type: "elsewhere"
	readonly claim: Claim
	/** Forecast waits at the placer that answers and at the other, in milliseconds. */
	readonly hereMs: number
	readonly thereMs: number
	readonly newsAgeMs: number
}

export type JobReply = JobEnd | JobMove | {readonly type: "not placer"}
export type TaskReply = TaskEnd | {readonly type: "not placer"}

export interface PeerHandlers {
	beat(beat: Heartbeat): Heartbeat
	runJob(message: JobMessage, caller: Caller): Promise<JobReply>
	runTask(message: TaskMessage, caller: Caller): Promise<TaskReply>
	takeOver(message: TakeOverMessage): Promise<TakeOverReply>
	kept(message: KeptMessage): Promise<KeptReply>
}

/** Serves the peers; rejects when the port is taken. */
export function listenPeers(address: string, handlers: PeerHandlers): Promise<JsonServer> {
	return listenJson(SERVICE, address, {
		beat: async message => handlers.beat(message as Heartbeat),
		runJob: (message, caller) => handlers.runJob(message as JobMessage, caller),
		runTask: (message, caller) => handlers.runTask(message as TaskMessage, caller),
		takeOver: message => handlers.takeOver(message as TakeOverMessage),
		kept: message => handlers.kept(message as KeptMessage),
	})
}

export interface PeerCall<T> {
	/** `undefined`: no answer; what was asked for may have been done. */
	readonly reply: Promise<T | undefined>
	/** After an `undefined` reply: whether the peer certainly never saw the call. */
	wasUnsent(): boolean
	/** After an `undefined` reply: whether nothing listens at the address, so that the peer's process is gone. */
	wasRefused(): boolean
	/**
	 * After an `undefined` reply: the peer was told of no later time as of which the call was wanted, in steady
	 * milliseconds; Infinity, or absent, when that is not known.
	 */
	readonly lastConfirmedAt?: () => number
	cancel(): void
}

export interface Peers {
	beat(address: string, beat: Heartbeat, timeoutMs: number): Promise<Heartbeat | undefined>
	/** `confirmedAt`: as of when the job is wanted here, in steady milliseconds; the peer is told again and again. */
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
	/** For how long nothing was read of a peer while calls to it were under way, in milliseconds. */
	quietMs(address: string): number
	/** A datagram came from there. */
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
		let wantedAt = Infinity
		const reply = sent.reply.then(answer => {
			isUnsent = answer.type === "no answer" && !answer.wasSent
			isRefused = answer.type === "no answer" && answer.wasRefused
			if (answer.type === "no answer") wantedAt = answer.lastConfirmedAt
			metrics.count("peer_calls", `${method}_${answer.type === "answer" ? "ok" : "silent"}`)
			return answer.type === "answer" ? (answer.value as T) : undefined
		})
		return {
			reply,
			wasUnsent: () => isUnsent,
			wasRefused: () => isRefused,
			lastConfirmedAt: () => wantedAt,
			cancel: sent.cancel,
		}
	}

	return {
		beat: (address, beat, timeoutMs) => call<Heartbeat>(address, "beat", beat, timeoutMs).reply,
		runJob: (address, message, timeoutMs, confirmedAt) =>
			call(address, "runJob", message, timeoutMs, confirmedAt),
		runTask: (address, message, timeoutMs, confirmedAt) =>
			call(address, "runTask", message, timeoutMs, confirmedAt),
		takeOver: (address, message, timeoutMs) => call(address, "takeOver", message, timeoutMs),
		kept: (address, message, timeoutMs) => call(address, "kept", message, timeoutMs),
		quietMs: address => clients.get(address)?.quietMs() ?? 0,
		noteReachable: address => clients.get(address)?.noteReachable(),
		close() {
			for (const client of clients.values()) client.close()
			clients.clear()
		},
	}
}
