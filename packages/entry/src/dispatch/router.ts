/**
 * Routes submissions: repeatable requests run on this instance, everything else goes to the owner of
 * its shard. Submitting again is safe, since an owner joins submissions with the same key.
 */
import {
	backoffMs,
	isRetryableWithSameId,
	outcomeOf,
	DispatchError,
	shardOf,
	splitKey,
	addJitterMs,
	type Clock,
	type ErrorKind,
	type Explainer,
	type Outcome,
	type Owner,
	type Submission,
	type SubmissionKey,
} from "@cottonwood/core"
import {packJson} from "@cottonwood/wire"
import {findLocally, type FindResult} from "./local-lookup.js"
import type {LiveView} from "../fleet/live-view.js"
import {fromOutcomeReply} from "../peers/messages.js"
import type {Peer, PeerTable} from "../peers/peer-table.js"
import type {Metrics} from "../utils/metrics.js"

export interface Router {
	/** Resolves with the outcome; retries while the shard's owner changes or is unreachable. */
	submit(submission: Submission): Promise<Outcome>
	/** Returns the outcome, or `running` when there is none within `waitMs` milliseconds. */
	find(key: SubmissionKey, waitMs: number): Promise<FindResult>
	/** Returns undefined when the key is unknown or its owner does not answer. */
	cancel(key: SubmissionKey): Promise<Outcome | undefined>
}

export interface RouterDeps {
	readonly clock: Clock
	readonly random: () => number
	readonly view: LiveView
	readonly storeSilentMs: () => number
	readonly peers: PeerTable
	readonly owner: () => Owner
	readonly selfSession: () => string | undefined
	readonly isOwned: (shard: number) => boolean
	readonly runLocally: (submission: Submission) => Promise<Outcome>
	readonly explainer: Explainer
	readonly metrics: Metrics
	readonly ownerRetryMs: number
}

const RETRY_BASE_MS = 20
const RETRY_CAP_MS = 500
const RETRY_AFTER_MS = 1_000
const CALL_SLACK_MS = 500
/** Retries end after this long without the store, since ownership cannot change without it. */
const MAX_STORE_SILENCE_MS = 3_000

type OwnerLocation =
	{readonly type: "here"} | {readonly type: "peer"; readonly peer: Peer} | {readonly type: "none"}

/** Sends a submission to a peer; returns undefined when no answer arrives. */
function callSubmit(peer: Peer, submission: Submission, remainingMs: number) {
	const {key, digest, team, repeatable} = submission.head
	const body = submission.type === "job" ? submission.job : submission.request
	const {caller, id} = splitKey(key)
	const message = {
		caller,
		id,
		type: submission.type,
		digest,
		team,
		repeatable,
		remainingMs,
		body: packJson(body),
	}
	const deadline = Date.now() + remainingMs + CALL_SLACK_MS
	return new Promise<Outcome | undefined>(resolve => {
		peer.client.submit(message, {deadline}, (error, reply) =>
			resolve(error || !reply ? undefined : fromOutcomeReply(reply)),
		)
	})
}

function callFind(peer: Peer, key: SubmissionKey, waitMs: number) {
	return new Promise<FindResult | undefined>(resolve => {
		const deadline = Date.now() + waitMs + CALL_SLACK_MS
		peer.client.find({key, waitMs}, {deadline}, (error, reply) => {
			if (error || !reply) return resolve(undefined)
			const outcome = fromOutcomeReply(reply)
			if (outcome === undefined) return resolve({type: "unknown key"})
			const isRunning = !outcome.ok && outcome.kind === "wait_ended"
			resolve(isRunning ? {type: "running"} : {type: "outcome", outcome})
		})
	})
}

export function createRouter(deps: RouterDeps): Router {
	const {clock, explainer} = deps

	function locateOwner(key: SubmissionKey): OwnerLocation {
		const shard = shardOf(key)
		if (deps.isOwned(shard)) return {type: "here"}
		const session = deps.view.ownership().map?.shards[shard]?.owner
		if (!session || session === deps.selfSession()) return {type: "none"}
		const peer = deps.peers.bySession(session)
		return peer ? {type: "peer", peer} : {type: "none"}
	}

	async function submitOnce(submission: Submission): Promise<Outcome> {
		const location = locateOwner(submission.head.key)
		if (location.type === "here") return deps.owner().submit(submission)
		if (location.type === "none") {
			return outcomeOf(new DispatchError("moved", "the shard has no owner yet"))
		}
		explainer.add(submission.head.key, "forwarded", `to its owner ${location.peer.instance}`)
		deps.metrics.count("forwarded.submission")
		const remainingMs = submission.head.deadlineAt - clock.now()
		const outcome = await callSubmit(location.peer, submission, remainingMs)
		if (outcome) return outcome
		const detail = `${location.peer.instance} gave no answer`
		return outcomeOf(new DispatchError("owner_unreachable", detail))
	}

	/** Whether a retry may reach an owner that can decide. */
	function isRetryable(outcome: Outcome): boolean {
		if (outcome.ok) return false
		return outcome.kind === "moved" || outcome.kind === "owner_unreachable"
	}

	function withRetryAfter(outcome: Outcome): Outcome {
		if (outcome.ok || !isRetryableWithSameId(outcome)) return outcome
		const retryAfterMs = outcome.retryAfterMs ?? addJitterMs(RETRY_AFTER_MS, deps.random)
		return {...outcome, retryAfterMs}
	}

	function toOwnerUnreachable(outcome: Outcome): Outcome {
		if (outcome.ok || outcome.kind !== "moved") return outcome
		return {...outcome, kind: "owner_unreachable" satisfies ErrorKind}
	}

	async function submitToOwner(submission: Submission): Promise<Outcome> {
		const {deadlineAt} = submission.head
		const until = Math.min(deadlineAt, clock.now() + deps.ownerRetryMs)
		for (let attempt = 0; ; attempt++) {
			const outcome = await submitOnce(submission)
			if (!isRetryable(outcome)) return withRetryAfter(outcome)
			const pauseMs = backoffMs(attempt, RETRY_BASE_MS, RETRY_CAP_MS, deps.random)
			const isStoreSilent = deps.storeSilentMs() > MAX_STORE_SILENCE_MS
			if (isStoreSilent || clock.now() + pauseMs >= until) {
				deps.metrics.count("refusal.owner_unreachable")
				return withRetryAfter(toOwnerUnreachable(outcome))
			}
			deps.metrics.count(`retry.${(outcome as {kind: string}).kind}`)
			await clock.sleep(pauseMs)
		}
	}

	return {
		async submit(submission) {
			const {key, repeatable} = submission.head
			explainer.add(key, "received", `a ${submission.type}, ${repeatable ? "" : "not "}repeatable`)
			if (submission.type === "request" && repeatable) return deps.runLocally(submission)
			return submitToOwner(submission)
		},
		async find(key, waitMs) {
			const location = locateOwner(key)
			if (location.type !== "peer") return findLocally(deps.owner(), clock, key, waitMs)
			const found = await callFind(location.peer, key, waitMs)
			if (found) return found
			const error = new DispatchError(
				"owner_unreachable",
				`${location.peer.instance} gave no answer`,
			)
			return {type: "outcome", outcome: withRetryAfter(outcomeOf(error))}
		},
		async cancel(key) {
			const location = locateOwner(key)
			if (location.type !== "peer") return deps.owner().cancel(key)
			return new Promise(resolve => {
				const deadline = Date.now() + RETRY_AFTER_MS * 5
				location.peer.client.cancel({key}, {deadline}, (error, reply) =>
					resolve(error || !reply ? undefined : fromOutcomeReply(reply)),
				)
			})
		},
	}
}
