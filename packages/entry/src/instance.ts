/**
 * One entry instance: its parts, and how they are joined, started and stopped.
 */
import {
	attemptId,
	createEstimates,
	createExplainer,
	createOwner,
	createRetryBudget,
	createScheduler,
	endpointPool,
	fail,
	outcomeOf,
	runSubmission,
	systemClock,
	WORKER_POOL,
	type Attempt,
	type Config,
	type DispatchError,
	type Outcome,
	type Owner,
	type RetryBudget,
	type RunDeps,
	type SessionId,
	type Submission,
	type SubmissionKey,
	type VersionedConfig,
} from "@cottonwood/core"
import {unpackJson, type HeartbeatMessage} from "@cottonwood/wire"
import type {Result} from "neverthrow"
import type {Settings} from "./core/settings.js"
import {forwardAttempts} from "./dispatch/forwarding.js"
import {checkCanRun, planSubmission, textOf} from "./dispatch/plans.js"
import {createRouter} from "./dispatch/router.js"
import {createTargetBoard} from "./dispatch/targets.js"
import {createConfigKeeper} from "./fleet/config-keeper.js"
import {createLiveView, type SessionInfo} from "./fleet/live-view.js"
import {createOwnershipLoop} from "./fleet/ownership-loop.js"
import {createSession} from "./fleet/session.js"
import {createApp, listenHttp} from "./http/app.js"
import {fromOutcomeReply} from "./peers/messages.js"
import {createServerForPeers} from "./peers/peer-server.js"
import {createPeerTable, type Peer} from "./peers/peer-table.js"
import {createInstanceList} from "./platform/instance-list.js"
import {createStore} from "./platform/store.js"
import {createExecutorClient} from "./targets/executor-client.js"
import {createWorkerClient} from "./targets/worker-client.js"
import {createLog, logOf} from "./utils/log.js"
import {createMetrics} from "./utils/metrics.js"

/** A running entry instance. */
export interface Instance {
	readonly httpPort: number
	readonly peerPort: number
	/** Stops without cutting a request: resolves when the process may exit. */
	drain(): Promise<void>
}

const GAUGE_MS = 1_000
const ASK_PAST_MS = 10_000
const EXPLAIN_MS = 1_000
const CLOSE_MS = 2_000
const DEFAULT_RETENTION_MS = 600_000
const DEFAULT_WRITES_PER_SECOND = 240

/** Wires up an instance; nothing starts before `start`. */
function createParts(settings: Settings) {
	const {instance, failureDomain, timings} = settings
	const clock = systemClock
	const random = Math.random
	const log = createLog(settings.log, instance)
	const metrics = createMetrics(settings.statsd, instance)
	const explainer = createExplainer(clock.wallNow)
	const estimates = createEstimates()
	const count = metrics.count
	const state = {draining: false, openRequests: 0, serial: 0, httpPort: 0, peerPort: 0}
	const budgets = new Map<string, RetryBudget>()

	const store = createStore({
		url: settings.platform.store,
		timeoutMs: timings.storeTimeoutMs,
		metrics,
	})
	const config = createConfigKeeper({
		store,
		clock,
		log: logOf(log, "config"),
		metrics,
		onChange: () => scheduler.pump(),
	})
	const configNow = (): Config | undefined => config.current()?.config
	const retentionMs = () => configNow()?.limits.retentionMs ?? DEFAULT_RETENTION_MS

	const view = createLiveView({
		store,
		clock,
		random,
		log: logOf(log, "store"),
		onChange: () => {
			const item = view.config()
			if (item) config.offer(item.value as VersionedConfig, "the store")
			peers.update(view.sessions().values(), listedEntries)
			ownership.nudge()
		},
	})
	let listedEntries: Parameters<typeof peers.update>[1] = []

	const describeSession = (session: SessionId): SessionInfo => ({
		session,
		instance,
		failureDomain,
		peer: settings.peer.advertise ?? `${settings.peer.host}:${state.peerPort}`,
		peerFor: settings.peer.advertiseTo,
		http: `http://${settings.http.host}:${state.httpPort}`,
		draining: state.draining,
	})
	const session = createSession({
		store,
		clock,
		random,
		log: logOf(log, "fleet"),
		metrics,
		leaseTtlMs: timings.leaseTtlMs,
		describe: describeSession,
		fleetWritesPerSecond: () =>
			configNow()?.limits.storeWritesPerSecond ?? DEFAULT_WRITES_PER_SECOND,
		fleetSize: () => Math.max(1, view.sessions().size),
		retentionMs,
		onLost: () => ownership.dropAll(),
		onOpen: () => ownership.nudge(),
	})
	const ownership = createOwnershipLoop({
		store,
		view,
		session,
		owner: () => owner,
		clock,
		random,
		log: logOf(log, "fleet"),
		metrics,
		retentionMs,
	})

	const describe = (): HeartbeatMessage => ({
		instance,
		session: session.id() ?? "",
		failureDomain,
		draining: state.draining,
		configVersion: config.current()?.version ?? 0,
		room: [...scheduler.free()].map(([pool, free]) => ({pool, free})),
	})

	function fetchConfig(peer: Peer, version: number) {
		if (version <= (config.current()?.version ?? 0)) return
		peer.client.getConfig({}, (error, reply) => {
			if (error || !reply || reply.config.length === 0) return
			config.offer(unpackJson(reply.config) as VersionedConfig, `peer ${peer.instance}`)
		})
	}

	const peers = createPeerTable({
		instance,
		failureDomain,
		clock,
		log: logOf(log, "peers"),
		metrics,
		heartbeatMs: timings.heartbeatMs,
		peerTimeoutMs: timings.peerTimeoutMs,
		describe,
		onMembers: () => board.assign(),
		onRoom: (peer, pool) => scheduler.notePeerRoom(peer, pool),
		onNewerConfig: fetchConfig,
	})

	const executors = createExecutorClient(clock)
	const workers = createWorkerClient(clock)
	const share = (quota: number) => Math.max(1, Math.ceil(quota / (peers.live().length + 1)))

	const scheduler = createScheduler({
		clock,
		random,
		estimates,
		send(target, attempts) {
			count("sent.batches")
			count("sent.attempts", attempts.length)
			if (target.type === "worker") {
				void workers.run(target, attempts, (id, result) => scheduler.settle(id, result))
				return
			}
			for (const attempt of attempts) {
				void executors.invoke(target, attempt).then(result => scheduler.settle(attempt.id, result))
			}
		},
		forward: (peer, attempts) =>
			forwardAttempts({clock, peers, textsOf, settle: scheduler.settle, count}, peer, attempts),
		stop(target, attempts) {
			if (target.type === "worker") void workers.stop(target, attempts)
		},
		stopForwarded(peer, attempts) {
			const key = attempts[0]!.key
			peers.byInstance(peer)?.client.stop({key}, () => undefined)
		},
		peers: () => peers.rooms(),
		weightOf: team => configNow()?.teams[team]?.weight ?? 1,
		maxRunning: team => share(configNow()?.teams[team]?.maxRunning ?? Infinity),
		maxQueued: team => share(configNow()?.teams[team]?.maxQueued ?? Infinity),
		maxQueuedTotal: () => configNow()?.limits.maxQueuedPerInstance ?? 0,
		health: {
			maxAsideShare: () => configNow()?.health.maxAsideShare ?? 0,
			probeAfterMs: () => configNow()?.health.probeAfterMs ?? Infinity,
		},
		onHealth(target, change, cause) {
			count(`target.${change}`)
			logOf(log, "targets").warn(
				`${target} is ${change === "aside" ? "set aside" : "back"}: ${cause}.`,
			)
		},
		onPlaced: (attempt, where, why) =>
			explainer.note(attempt.key, "placed", `task ${attempt.task} on ${where}: ${why}`),
		count,
	})

	function textsOf(attempt: Attempt) {
		return {selector: textOf(attempt.selector), prefer: textOf(attempt.prefer)}
	}

	const board = createTargetBoard({
		instance,
		failureDomain,
		list: createInstanceList(settings.platform.list),
		clock,
		log: logOf(log, "targets"),
		metrics,
		everyMs: timings.listMs,
		isDraining: () => state.draining,
		livePeersIn: peers.liveIn,
		livePeers: peers.live,
		scheduler,
		onTargets(targets) {
			executors.keep(targets.filter(target => target.type === "executor"))
			workers.keep(targets.filter(target => target.type === "worker"))
		},
		onEntries(entries) {
			listedEntries = entries
			peers.update(view.sessions().values(), entries)
		},
	})

	const runDeps: RunDeps = {
		clock,
		random,
		submit: scheduler.submit,
		cancel: scheduler.cancel,
		nextAttemptId: (key, task) => attemptId(key, task, session.id() ?? instance, ++state.serial),
		budgetOf(team, pool) {
			const name = `${team}|${pool}`
			const ratio = () => configNow()?.retries.ratio ?? 0
			const budget = budgets.get(name) ?? createRetryBudget(ratio)
			budgets.set(name, budget)
			return budget
		},
		maxRetries: () => configNow()?.retries.maxPerTask ?? 0,
		isHedging: () => configNow()?.retries.hedge ?? false,
		estimates,
		explainer,
		count,
	}

	function admit(submission: Submission): Result<void, DispatchError> {
		const now = configNow()
		if (!now) return fail("no_configuration", "none is in force")
		const plans = planSubmission(submission, now, estimates)
		const canRun = checkCanRun(plans, board.all())
		if (canRun.isErr()) return canRun
		const {team, deadlineAt} = submission.head
		const pool = submission.type === "job" ? WORKER_POOL : endpointPool(submission.request.endpoint)
		return scheduler.admit(pool, team, plans.length, deadlineAt, plans[0]!.kind)
	}

	async function execute(submission: Submission, signal: AbortSignal): Promise<Outcome> {
		const now = configNow()!
		const plans = planSubmission(submission, now, estimates)
		explainer.note(submission.head.key, "queued", `${plans.length} tasks`)
		return runSubmission(runDeps, submission, plans, signal)
	}

	async function runHere(submission: Submission): Promise<Outcome> {
		const admitted = admit(submission)
		if (admitted.isErr()) {
			count(`refusal.${admitted.error.kind}`)
			explainer.note(submission.head.key, "refused", admitted.error.detail)
			return outcomeOf(admitted.error)
		}
		return execute(submission, new AbortController().signal)
	}

	function askPast(past: SessionId, key: SubmissionKey): Promise<Outcome | undefined> {
		const peer = peers.bySession(past)
		if (!peer) return Promise.resolve(undefined)
		return new Promise(resolve => {
			const deadline = Date.now() + ASK_PAST_MS
			peer.client.find({key, waitMs: ASK_PAST_MS}, {deadline}, (error, reply) => {
				const outcome = error || !reply ? undefined : fromOutcomeReply(reply)
				const isFinal = outcome !== undefined && (outcome.ok || outcome.kind !== "wait_ended")
				resolve(isFinal ? outcome : undefined)
			})
		})
	}

	const owner: Owner = createOwner({
		clock,
		random,
		isOwned: ownership.isOwned,
		journal: session.journal,
		execute,
		admit,
		askPast,
		retentionMs,
		explainer,
		count,
	})
	const router = createRouter({
		clock,
		random,
		view,
		storeSilentMs: store.silentMs,
		peers,
		owner: () => owner,
		selfSession: session.id,
		isOwned: ownership.isOwned,
		runHere,
		explainer,
		metrics,
		patienceMs: timings.ownerPatienceMs,
	})
	const peerServer = createServerForPeers({
		clock,
		owner: () => owner,
		scheduler,
		config,
		explainer,
		metrics,
		instance,
		describe,
		onHeartbeat: peers.noteHeartbeat,
	})
	return {
		settings,
		clock,
		log,
		metrics,
		explainer,
		state,
		store,
		config,
		configNow,
		view,
		session,
		ownership,
		peers,
		executors,
		workers,
		scheduler,
		board,
		owner,
		router,
		peerServer,
	}
}

/**
 * Starts an entry instance.
 *
 * @example
 * const instance = await startInstance(settings, () => process.exit(0))
 * process.on("SIGTERM", () => void instance.drain())
 */
export async function startInstance(settings: Settings, onDrained: () => void): Promise<Instance> {
	const parts = createParts(settings)
	const {state, clock, metrics, config, store, view, session, ownership, peers, board} = parts
	const log = logOf(parts.log, "instance")
	let draining: Promise<void> | undefined

	const explain = async (key: SubmissionKey) => {
		const own = parts.explainer.explain(key).map(step => ({instance: settings.instance, ...step}))
		const others = await Promise.all([...peers.all()].map(peer => explainAt(peer, key)))
		return [...own, ...others.flat()].sort((a, b) => a.at - b.at)
	}

	function notReadyCause(): string | undefined {
		if (state.draining) return "draining"
		if (!config.current()) return "no configuration is in force"
		return undefined
	}

	async function stop() {
		state.draining = true
		log.info("Draining: readiness is off, shards are handed over.")
		await Promise.race([session.announceDraining(), clock.sleep(settings.timings.storeTimeoutMs)])
		ownership.nudge()
		board.assign()
		await clock.sleep(settings.timings.drainGraceMs)
		const limit = clock.sleep(settings.timings.drainLimitMs).then(() => "limit" as const)
		const idle = Promise.all([http.close(), whenHandedOver(), parts.owner.whenIdle()])
		const how = await Promise.race([idle.then(() => "idle" as const), limit])
		if (how === "limit") log.warn("The drain's time limit ended it with work in flight.")
		await session.end()
		await parts.peerServer.close(CLOSE_MS)
		ownership.stop()
		view.stop()
		board.stop()
		peers.stop()
		await Promise.all([store.close(), parts.executors.close(), parts.workers.close()])
		metrics.close()
		log.info("Drained.")
		onDrained()
	}

	/** Resolves when no shard is owned here, or nobody is there to take them. */
	async function whenHandedOver() {
		const until = clock.now() + settings.timings.leaseTtlMs
		while (ownership.ownedCount() > 0 && peers.live().length > 0 && clock.now() < until) {
			ownership.nudge()
			await clock.sleep(100)
		}
	}

	const drain = () => (draining ??= stop())
	const app = createApp({
		clock,
		router: parts.router,
		configKeeper: config,
		metrics,
		log: logOf(parts.log, "http"),
		bodyBytes: settings.limits.bodyBytes,
		config: parts.configNow,
		storeSilentMs: store.silentMs,
		beginRequest: () => void state.openRequests++,
		endRequest: () => void state.openRequests--,
		explain,
		listSubmissions: limit => parts.owner.list(limit),
		describeInstances: () => describeInstances(parts, notReadyCause),
		describeTargets: type =>
			board
				.all()
				.filter(target => target.type === type)
				.map(target => ({...target, placer: board.placerOf(target) ?? null})),
		drain: () => void drain(),
		notReadyCause,
	})
	state.peerPort = await parts.peerServer.listen(settings.peer.host, settings.peer.port)
	const http = await listenHttp(app, {...settings.http, ...settings.limits})
	state.httpPort = http.port
	view.start()
	session.start()
	ownership.start()
	peers.start()
	board.start()
	startGauges(parts)
	log.info(`Listening for callers on ${http.port}, for peers on ${state.peerPort}.`)
	return {httpPort: http.port, peerPort: state.peerPort, drain}
}

type Parts = ReturnType<typeof createParts>

interface LocatedStep {
	readonly instance: string
	readonly at: number
	readonly step: string
	readonly cause: string
}

function explainAt(peer: Peer, key: SubmissionKey): Promise<readonly LocatedStep[]> {
	return new Promise(resolve => {
		const deadline = Date.now() + EXPLAIN_MS
		peer.client.explain({key, waitMs: 0}, {deadline}, (error, reply) =>
			resolve(
				error || !reply ? [] : reply.steps.map(step => ({...step, instance: reply.instance})),
			),
		)
	})
}

function describeInstances(parts: Parts, notReadyCause: () => string | undefined) {
	const {settings, peers, clock, config, ownership, session} = parts
	const self = {
		instance: settings.instance,
		failureDomain: settings.failureDomain,
		session: session.id() ?? null,
		state: notReadyCause() ?? "ready",
		configVersion: config.current()?.version ?? 0,
		shards: ownership.ownedCount(),
	}
	const others = [...peers.all()].map(peer => ({
		instance: peer.instance,
		failureDomain: peer.failureDomain,
		session: peer.session,
		state: peer.draining ? "draining" : Number.isFinite(peer.lastAnswerAt) ? "seen" : "never seen",
		answeredMsAgo: Math.round(clock.now() - peer.lastAnswerAt),
		configVersion: peer.configVersion,
	}))
	return [self, ...others]
}

function startGauges(parts: Parts) {
	const {metrics, scheduler, owner, store, config, state} = parts
	const timer = setInterval(() => {
		const {queued, running, targets} = scheduler.snapshot()
		metrics.gauge("queue.length", queued)
		metrics.gauge("attempts.running", running)
		metrics.gauge(
			"slots.free",
			[...scheduler.free().values()].reduce((sum, n) => sum + n, 0),
		)
		metrics.gauge("targets.aside", targets.filter(target => target.aside).length)
		metrics.gauge("submissions.known", owner.size())
		metrics.gauge("requests.open", state.openRequests)
		metrics.gauge("store.silent_ms", store.silentMs())
		metrics.gauge("config.age_ms", config.inForceMs())
		metrics.gauge("memory.rss_bytes", process.memoryUsage.rss())
	}, GAUGE_MS)
	timer.unref()
}
