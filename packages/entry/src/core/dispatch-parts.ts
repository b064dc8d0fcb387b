/**
 * Creates the parts that handle submissions: scheduler, targets and their clients, owner, router and
 * the service for peers.
 */
import {
	attemptId,
	createEstimates,
	createOwner,
	createRetryBudget,
	createScheduler,
	endpointPool,
	fail,
	NOT_CANCELLED,
	outcomeOf,
	runSubmission,
	WORKER_POOL,
	type Attempt,
	type Cancellation,
	type DispatchError,
	type Estimates,
	type Outcome,
	type RetryBudget,
	type RunDeps,
	type Scheduler,
	type SessionId,
	type Submission,
	type SubmissionKey,
	type Target,
} from "@cottonwood/core"
import type {Result} from "neverthrow"
import {forwardAttempts} from "../dispatch/forwarding.js"
import {checkCanRun, planSubmission, selectorText} from "../dispatch/plans.js"
import {createRouter} from "../dispatch/router.js"
import {createTargetRegistry} from "../dispatch/target-registry.js"
import {fromOutcomeReply} from "../peers/messages.js"
import {createServerForPeers} from "../peers/peer-server.js"
import {createInstanceList} from "../platform/instance-list.js"
import {createExecutorClient} from "../targets/executor-client.js"
import {createWorkerClient} from "../targets/worker-client.js"
import {logOf} from "../utils/log.js"
import type {Base} from "./base.js"
import type {FleetParts} from "./fleet-parts.js"

const PAST_OWNER_TIMEOUT_MS = 10_000

export type DispatchParts = ReturnType<typeof createDispatchParts>

/** Creates the clients of executors and workers behind one interface. */
function createTargetClients(base: Base) {
	const executors = createExecutorClient(base.clock)
	const workers = createWorkerClient(base.clock)
	return {
		send(target: Target, attempts: readonly Attempt[], settle: Scheduler["settle"]) {
			base.metrics.count("sent.batches")
			base.metrics.count("sent.attempts", attempts.length)
			if (target.type === "worker") return void workers.run(target, attempts, settle)
			for (const attempt of attempts) {
				void executors.invoke(target, attempt).then(result => settle(attempt.id, result))
			}
		},
		stop(target: Target, attempts: readonly Attempt[]) {
			if (target.type === "worker") void workers.stop(target, attempts)
		},
		keep(targets: readonly Target[]) {
			executors.keep(targets.filter(target => target.type === "executor"))
			workers.keep(targets.filter(target => target.type === "worker"))
		},
		close: () => Promise.all([executors.close(), workers.close()]),
	}
}

type TargetClients = ReturnType<typeof createTargetClients>

/** Returns this instance's share of a fleet-wide quota, at least 1. */
function instanceShare(quota: number | undefined, fleet: FleetParts): number {
	if (quota === undefined) return Infinity
	return Math.max(1, Math.ceil(quota / (fleet.peers.live().length + 1)))
}

function createFleetScheduler(
	base: Base,
	fleet: FleetParts,
	clients: TargetClients,
	estimates: Estimates,
): Scheduler {
	const {clock, random, metrics, explainer} = base
	const {configNow, peers} = fleet
	const {count} = metrics
	const log = logOf(base.log, "targets")
	const selectorTextsOf = (attempt: Attempt) => ({
		selector: selectorText(attempt.selector),
		prefer: selectorText(attempt.prefer),
	})
	const settle: Scheduler["settle"] = (id, result) => scheduler.settle(id, result)
	const scheduler = createScheduler({
		clock,
		random,
		estimates,
		send: (target, attempts) => clients.send(target, attempts, settle),
		stop: clients.stop,
		forward: (peer, attempts) =>
			forwardAttempts({clock, peers, selectorTextsOf, settle, count}, peer, attempts),
		stopForwarded(peer, attempts) {
			peers.byInstance(peer)?.client.stop({key: attempts[0]!.key}, () => undefined)
		},
		peers: () => peers.rooms(),
		weightOf: team => configNow()?.teams[team]?.weight ?? 1,
		maxRunning: team => instanceShare(configNow()?.teams[team]?.maxRunning, fleet),
		maxQueued: team => instanceShare(configNow()?.teams[team]?.maxQueued, fleet),
		maxQueuedTotal: () => configNow()?.limits.maxQueuedPerInstance ?? 0,
		health: {
			maxAsideShare: () => configNow()?.health.maxAsideShare ?? 0,
			probeAfterMs: () => configNow()?.health.probeAfterMs ?? Infinity,
		},
		onHealth(target, change, cause) {
			count(`target.${change}`)
			log.warn(`${target} is ${change === "aside" ? "set aside" : "back"}: ${cause}.`)
		},
		onPlaced: (attempt, where, why) =>
			explainer.add(attempt.key, "placed", `task ${attempt.task} on ${where}: ${why}`),
		count,
	})
	return scheduler
}

function createRunDeps(
	base: Base,
	fleet: FleetParts,
	scheduler: Scheduler,
	estimates: Estimates,
): RunDeps {
	const {clock, random, explainer, metrics, settings} = base
	const {configNow, session} = fleet
	const budgets = new Map<string, RetryBudget>()
	let serial = 0
	return {
		clock,
		random,
		submit: scheduler.submit,
		cancel: scheduler.cancel,
		nextAttemptId: (key, task) => attemptId(key, task, session.id() ?? settings.instance, ++serial),
		budgetOf(team, pool) {
			const name = `${team}|${pool}`
			const known = budgets.get(name)
			if (known) return known
			const budget = createRetryBudget(() => configNow()?.retries.ratio ?? 0, clock.now)
			budgets.set(name, budget)
			return budget
		},
		maxRetries: () => configNow()?.retries.maxPerTask ?? 0,
		isHedging: () => configNow()?.retries.hedge ?? false,
		estimates,
		explainer,
		count: metrics.count,
	}
}

/** Asks the past owner of an inherited submission; returns undefined unless the outcome is final. */
function askPastOwner(
	fleet: FleetParts,
	past: SessionId,
	key: SubmissionKey,
): Promise<Outcome | undefined> {
	const peer = fleet.peers.bySession(past)
	if (!peer) return Promise.resolve(undefined)
	return new Promise(resolve => {
		const deadline = Date.now() + PAST_OWNER_TIMEOUT_MS
		peer.client.find({key, waitMs: PAST_OWNER_TIMEOUT_MS}, {deadline}, (error, reply) => {
			const outcome = error || !reply ? undefined : fromOutcomeReply(reply)
			const isFinal = outcome !== undefined && (outcome.ok || outcome.kind !== "wait_ended")
			resolve(isFinal ? outcome : undefined)
		})
	})
}

export function createDispatchParts(base: Base, fleet: FleetParts) {
	const {settings, clock, random, log, metrics, explainer, state} = base
	const {configNow, peers, ownership, session} = fleet
	const estimates = createEstimates()
	const clients = createTargetClients(base)
	const scheduler = createFleetScheduler(base, fleet, clients, estimates)
	const runDeps = createRunDeps(base, fleet, scheduler, estimates)

	const targetRegistry = createTargetRegistry({
		instance: settings.instance,
		failureDomain: settings.failureDomain,
		list: createInstanceList(settings.platform.list),
		clock,
		log: logOf(log, "targets"),
		metrics,
		pollMs: settings.timings.listMs,
		isDraining: () => state.draining,
		isEvacuated: domain => configNow()?.evacuated.includes(domain) ?? false,
		livePeersIn: peers.liveIn,
		livePeers: peers.live,
		scheduler,
		onTargets: clients.keep,
		onEntries: fleet.updateListed,
	})

	function admit(submission: Submission): Result<void, DispatchError> {
		const config = configNow()
		if (!config) return fail("no_configuration", "none is in force")
		const plans = planSubmission(submission, config, estimates)
		const {team, deadlineAt} = submission.head
		const isJob = submission.type === "job"
		const pool = isJob ? WORKER_POOL : endpointPool(submission.request.endpoint)
		const query = {pool, team, attempts: plans.length, deadlineAt, kind: plans[0]!.kind}
		return checkCanRun(plans, targetRegistry.all()).andThen(() => scheduler.admit(query))
	}

	async function execute(submission: Submission, cancellation: Cancellation): Promise<Outcome> {
		const plans = planSubmission(submission, configNow()!, estimates)
		explainer.add(submission.head.key, "queued", `${plans.length} tasks`)
		return runSubmission(runDeps, submission, plans, cancellation)
	}

	/** Runs repeatable requests on this instance, without an owner. */
	async function runLocally(submission: Submission): Promise<Outcome> {
		const admitted = admit(submission)
		if (admitted.isOk()) return execute(submission, NOT_CANCELLED)
		metrics.count(`refusal.${admitted.error.kind}`)
		explainer.add(submission.head.key, "refused", admitted.error.detail)
		return outcomeOf(admitted.error)
	}

	const owner = createOwner({
		clock,
		random,
		isOwned: ownership.isOwned,
		journal: session.journal,
		execute,
		admit,
		askPastOwner: (past, key) => askPastOwner(fleet, past, key),
		retentionMs: fleet.retentionMs,
		explainer,
		count: metrics.count,
	})
	const router = createRouter({
		clock,
		random,
		view: fleet.view,
		storeSilentMs: fleet.store.silentMs,
		peers,
		owner: () => owner,
		selfSession: session.id,
		isOwned: ownership.isOwned,
		runLocally,
		explainer,
		metrics,
		ownerRetryMs: settings.timings.ownerPatienceMs,
	})
	const peerServer = createServerForPeers({
		clock,
		owner: () => owner,
		scheduler,
		config: fleet.config,
		explainer,
		metrics,
		instance: settings.instance,
		describe: fleet.describe,
		onHeartbeat: peers.onHeartbeat,
	})
	return {clients, scheduler, targetRegistry, owner, router, peerServer}
}
