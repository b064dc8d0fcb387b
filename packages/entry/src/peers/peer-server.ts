/**
 * The gRPC service for peers: submissions, forwarded attempts, heartbeats and configuration.
 */
import * as grpc from "@grpc/grpc-js"
import {
	outcomeOf,
	DispatchError,
	submissionKey,
	type Clock,
	type Explainer,
	type JobBody,
	type Owner,
	type RequestBody,
	type Scheduler,
	type Submission,
	type SubmissionKey,
} from "@cottonwood/core"
import {
	createPeerServer,
	packJson,
	peerService,
	unpackJson,
	type HeartbeatMessage,
	type HeartbeatMessage__Output,
	type PeerHandlers,
	type SubmitRequest__Output,
} from "@cottonwood/wire"
import {findLocally} from "../dispatch/local-lookup.js"
import type {ConfigStore} from "../fleet/config-store.js"
import type {Metrics} from "../utils/metrics.js"
import {fromAttemptMessage, toOutcomeReply, toRunEvent} from "./messages.js"

export interface PeerServerDeps {
	readonly clock: Clock
	readonly owner: () => Owner
	readonly scheduler: Scheduler
	readonly config: ConfigStore
	readonly explainer: Explainer
	readonly metrics: Metrics
	readonly instance: string
	readonly describe: () => HeartbeatMessage
	readonly onHeartbeat: (message: HeartbeatMessage__Output) => void
}

export interface PeerServer {
	/** Resolves with the bound port; rejects when the port is taken. */
	listen(host: string, port: number): Promise<number>
	/** Waits for calls in flight for up to `limitMs` milliseconds, then closes by force. */
	close(limitMs: number): Promise<void>
}

function toSubmission(message: SubmitRequest__Output, now: number): Submission {
	const head = {
		key: submissionKey(message.caller, message.id),
		digest: message.digest,
		team: message.team,
		deadlineAt: now + message.remainingMs,
		repeatable: message.repeatable,
	}
	const body = unpackJson(message.body)
	if (message.type === "job") return {head, type: "job", job: body as JobBody}
	return {head, type: "request", request: body as RequestBody}
}

function createHandlers(deps: PeerServerDeps): PeerHandlers {
	const {clock, owner, scheduler} = deps

	async function find(key: SubmissionKey, waitMs: number) {
		const found = await findLocally(owner(), clock, key, waitMs)
		if (found.type === "unknown key") return undefined
		if (found.type === "outcome") return found.outcome
		return outcomeOf(new DispatchError("wait_ended", "still running"))
	}

	return {
		Submit(call, callback) {
			void owner()
				.submit(toSubmission(call.request, clock.now()))
				.then(outcome => callback(null, toOutcomeReply(outcome)))
		},
		Find(call, callback) {
			const {key, waitMs} = call.request
			void find(key, waitMs).then(outcome => callback(null, toOutcomeReply(outcome)))
		},
		Cancel(call, callback) {
			void owner()
				.cancel(call.request.key)
				.then(outcome => callback(null, toOutcomeReply(outcome)))
		},
		Explain(call, callback) {
			const steps = deps.explainer.explain(call.request.key)
			callback(null, {instance: deps.instance, steps: [...steps]})
		},
		Run(call) {
			const {attempts} = call.request
			let unsettled = attempts.length
			for (const message of attempts) {
				const attempt = fromAttemptMessage(message, clock.now())
				scheduler.submit(attempt, result => {
					call.write(toRunEvent(attempt, result, scheduler.roomIn(attempt.pool)))
					if (--unsettled === 0) call.end()
				})
			}
		},
		Stop(call, callback) {
			scheduler.cancel(call.request.key)
			callback(null, {})
		},
		Heartbeat(call, callback) {
			deps.onHeartbeat(call.request)
			callback(null, deps.describe())
		},
		GetConfig(_call, callback) {
			const current = deps.config.current()
			callback(null, {config: current ? packJson(current) : Buffer.alloc(0)})
		},
	} as PeerHandlers
}

export function createServerForPeers(deps: PeerServerDeps): PeerServer {
	const server = createPeerServer()
	server.addService(peerService, createHandlers(deps))
	return {
		listen: (host, port) =>
			new Promise((resolve, reject) => {
				const credentials = grpc.ServerCredentials.createInsecure()
				server.bindAsync(`${host}:${port}`, credentials, (error, bound) =>
					error ? reject(error) : resolve(bound),
				)
			}),
		close: limitMs =>
			new Promise(resolve => {
				const timer = setTimeout(() => {
					server.forceShutdown()
					resolve()
				}, limitMs)
				server.tryShutdown(() => {
					clearTimeout(timer)
					resolve()
				})
			}),
	}
}
