/**
 * Composes an instance of the job fleet from its parts.
 */
import {randomUUID} from "node:crypto"
import type {StoreItem, TransactionalStore} from "@cottonwood/core"
import {systemClock} from "@cottonwood/core/clock"
import type {Result} from "neverthrow"
import {createHeartbeatHandler} from "./coordinate/heartbeat-handler.js"
import {createRescheduler} from "./coordinate/lost-job-rescheduler.js"
import {createDispatcher, type Dispatcher} from "./coordinate/dispatcher.js"
import {
	createHostedPlacers,
	type HostedPlacers,
	type HostedPlacersDeps,
} from "./coordinate/hosted-placers.js"
import {createHandover} from "./coordinate/handover.js"
import {createSlicing} from "./coordinate/slicing.js"
import {borrowableCoresOf} from "./coordinate/borrowable-cores.js"
import {createOverflow} from "./coordinate/overflow.js"
import {createWholeJobMoves} from "./coordinate/whole-job-moves.js"
import {isHeartbeat} from "./fleet/heartbeat-validation.js"
import {createHeartbeats} from "./fleet/heartbeats.js"
import {createClaimsLoop, type ClaimsLoop} from "./fleet/claims.js"
import {followConfiguration, type Configuration} from "./fleet/configuration.js"
import {createEvacuations} from "./fleet/evacuations.js"
import {createFleetView, type FleetView} from "./fleet/members.js"
import {openPeerPort, type PortRange} from "./fleet/peer-port.js"
import {createPeers} from "./fleet/peers.js"
import {createReachabilityProbe} from "./fleet/reachability.js"
import type {InvalidReport} from "./fleet/room-validation.js"
import {beginRegistration} from "./fleet/registration.js"
import {speedStoreOpenerFor} from "./fleet/speed-store.js"
import {createLagMonitor} from "./fleet/lag-monitor.js"
import {registerInstanceMetrics} from "./instance-metrics.js"
import {createOwnClaims, followExecutors, followFleet, ofConfiguredServices} from "./followers.js"
import type {KeptJobRouter} from "./keep/kept-job-router.js"
import {createKeptJobService} from "./keep/kept-job-service.js"
import type {LeaseRule} from "./decide/lease-rule.js"
import {sliceNames} from "./decide/slices.js"
import type {Advisor} from "./types/advisor.js"
import type {ExecutorOrders, ExecutorRecord} from "./types/executor.js"
import type {FleetConfig, Queue} from "./types/fleet-config.js"
import type {Claim, Member} from "./types/fleet.js"
import type {Caller, Job, JobEnd} from "./types/job.js"
import type {PlacingSettings} from "./types/placing.js"
import {shortSession, type EventLog} from "./utils/log.js"
import type {JobMetrics} from "./utils/metrics.js"
import {trackInputWatermark} from "./utils/input-watermark.js"

/** A missing clock reading of the home placer; other placers are then contacted in advance. */
const HOME_QUIET_LIMIT_MS = 150

export interface InstanceSettings {
	readonly name: string
	readonly failureDomain: string
	readonly failureDomains: readonly string[]
	/** The host for peers, and the ports that may be used. */
	readonly peers: {readonly host: string; readonly ports: PortRange}
	/** How long runs may continue while their caller is not heard. */
	readonly leaseRule: LeaseRule
	/** Time that a stopping run may take, in milliseconds. */
	readonly stopGraceMs: number
	/** The cores that this instance may use. */
	readonly cpuShare: number
	/** Bandwidth of this instance's link in Mbit/s. */
	readonly linkMbps: number
	/** Rate limit of the store for all instances together. */
	readonly storeWritesPerSecond: number
	/** How long the state of an ended job can be queried, in milliseconds. */
	readonly endedStateMs: number
	/** Memory for the open kept jobs of this process, in bytes by an estimate; unbounded by default. */
	readonly maxKeptBytes?: number
	readonly placing: PlacingSettings
}

/** The platform's implementations of what an instance needs. */
export interface InstanceDeps {
	readonly store: TransactionalStore
	readonly orders: ExecutorOrders
	readonly advisor: Advisor
	readonly log: EventLog
	readonly metrics: JobMetrics
	/** Prefix of the keys that operators write. */
	readonly operatorPrefix: string
	readonly configKey: string
	readonly decodeConfig: (item: StoreItem) => Result<FleetConfig, string> | undefined
	/** The failure domain to evacuate; `undefined` for items of other kinds. */
	readonly decodeEvacuation: (item: StoreItem) => Result<string, string> | undefined
	readonly executorPrefix: string
	readonly decodeExecutor: (item: StoreItem) => ExecutorRecord | undefined
	/** Whether the process was asked to end meanwhile; a start then waits for no port. */
	readonly isUnwanted?: () => boolean
}

export interface JobInstance {
	config(): FleetConfig | undefined
	dispatch(job: Job, queue: Queue, caller: Caller): Promise<JobEnd>
	/**
	 * Registers an accepted connection; the returned function gives the time up to which its data
	 * has been read, in milliseconds on the monotonic clock.
	 */
	trackConnection(): () => number
	/** Requests for kept jobs. */
	readonly kept: KeptJobRouter
	/** Why no caller should be routed here; undefined when ready. */
	notReadyCause(): string | undefined
	isLeaving(): boolean
	/**
	 * Accepts no work from peers and hands over the placed domains; own callers are still served.
	 */
	leave(): Promise<void>
	/** Whether jobs or tasks are in progress here. */
	isWorking(): boolean
	close(): Promise<void>
}

/** Starts an instance; rejects when its ports stay taken. */
export async function startJobInstance(
	settings: InstanceSettings,
	deps: InstanceDeps,
): Promise<JobInstance> {
	const clock = systemClock
	const {store, log, metrics} = deps
	const {leaseRule, placing} = settings
	const isUnwanted = deps.isUnwanted ?? (() => false)
	const peerPort = await openPeerPort(settings.peers.host, settings.peers.ports, {
		...deps,
		isUnwanted,
	})
	const self = newMember(settings, peerPort.address)
	let isLeaving = false
	let claims: ClaimsLoop | undefined = undefined
	let isListed = false
	const lagMonitor = createLagMonitor(clock)
	const watermark = trackInputWatermark(clock)
	const evacuations = createEvacuations({...deps, onChange: () => hosts.noteEvacuations()})
	const onInForce = () => executors.notifyAgain()
	const config = followConfiguration({...deps, clock, onInForce, evacuations})

	const peers = createPeers(metrics)
	const ownClaims = createOwnClaims(self)
	function noteClaim(claim: Claim) {
		logClaim(log, claim)
		hosts.noteClaim(claim)
		if (ownClaims.update(claim)) executors.refresh()
	}
	const view = createFleetView(clock, noteClaim, (reason, claim) => logInvalid(deps, reason, claim))
	const {isUnderWay: isEvacuated} = evacuations
	const common = {clock, peers, view, self, log, metrics}
	const {rooms, ...wholeJobs} = createWholeJobMoves({...common, isEvacuated}, placing)
	const overflow = createOverflow({...common, leaseRule, rooms})

	const slicing = createSlicing({
		...common,
		leaseRule,
		overflow,
		executorsPerPlacer: placing.executorsPerPlacer,
		executorsOf: domain => ofConfiguredServices(executors.recordsOf(domain), config.current()),
		isPlacing: name => hosts.of(name) !== undefined,
		isLeaving: () => isLeaving,
	})
	const hosts: HostedPlacers = createHostedPlacers({
		...common,
		orders: deps.orders,
		advisor: deps.advisor,
		leaseRule,
		stopGraceMs: settings.stopGraceMs,
		handOver: item => overflow.handOver(item),
		onRoomChange: () => heartbeats.noteRoomChange(),
		createKeeper: (claim, onDeposed) => keptJobs.createKeeper(claim, onDeposed),
		executorsOf: slicing.executorsOf,
		slices: slicing,
		isEvacuated,
		openSpeedStore: speedStoreOpenerFor(placing, {...deps, clock}),
		forecasting: forecastingOf(settings, view, self, config),
		...wholeJobs,
	})
	const dispatcher = createDispatcher({
		...common,
		hosts,
		config: config.current,
		refreshConfig: config.refresh,
		isLeaving: () => isLeaving,
		ownLateMs: lagMonitor.lateMs,
		isEvacuated,
		...wholeJobs,
		rescheduleLostJob: placing.placesAnew ? createRescheduler({...common, leaseRule}) : undefined,
	})

	const keptJobs = createKeptJobService({
		...deps,
		...settings,
		clock,
		peers,
		view,
		hosts,
		candidates: () => dispatcher.candidates(),
		queueOf: name => config.current()?.queues.find(queue => queue.name === name),
		isConfigured: () => config.current() !== undefined,
		executorsOf: slicing.executorsOf,
	})

	const executors = followExecutors(clock, deps, hosts, ownClaims, config.current)

	const heartbeatHandler = createHeartbeatHandler({
		...common,
		hosts,
		lagMonitor,
		config,
		evacuations,
		isLeaving: () => isLeaving,
	})

	const fleetFollower = followFleet(clock, deps, view, () => {
		isListed = true
		claims?.checkNow()
	})
	const heartbeats = createHeartbeats({
		...common,
		send: peerPort.send,
		ownHeartbeat: heartbeatHandler.own,
		rooms: hosts.rooms,
		onHeartbeat: heartbeatHandler.applyHeartbeat,
		onRoomUpdate: heartbeatHandler.applyRoomUpdate,
		onInvalid: reason => logInvalid(deps, reason),
		needsOthers: () => evacuations.isUnderWay(self.failureDomain) || isHomeQuiet(),
		linkMbps: settings.linkMbps,
	})
	function isHomeQuiet(): boolean {
		const home = view.claimOf(self.failureDomain)?.placer
		return home !== undefined && peers.unansweredMs(home.address) > HOME_QUIET_LIMIT_MS
	}

	const registration = beginRegistration(self, {clock, store, log, metrics})

	const handover = createHandover({
		...common,
		hosts,
		overflow,
		claims: () => claims as ClaimsLoop,
		placedDomains: () =>
			Object.keys(hosts.rooms()).filter(name => hosts.of(name)?.placer.mayHandOver()),
		isLeaving: () => isLeaving,
		isStrained: lagMonitor.isStrained,
	})
	claims = createClaimsLoop({
		...common,
		store,
		failureDomains: () =>
			settings.failureDomains.flatMap(name => sliceNames(name, view.sliceCount(name))),
		isLeaving: () => isLeaving,
		ping: heartbeats.ping,
		ownLateMs: lagMonitor.lateMs,
		hasKeptJobs: keptJobs.hasOpenJobs,
		onCutOff: hosts.expectCutOff,
		...createReachabilityProbe({...deps, clock, latestExecutors: executors.latest}),
	})
	peerPort.serve({
		beat(heartbeat) {
			if (isHeartbeat(heartbeat)) heartbeatHandler.applyHeartbeat(heartbeat)
			else logInvalid(deps, "heartbeat")
			return heartbeatHandler.own()
		},
		runJob: dispatcher.runJob,
		runTask: dispatcher.runTask,
		takeOver: handover.takeOver,
		kept: keptJobs.front.answer,
		receive: heartbeats.receive,
	})

	if (isListed) claims.checkNow()
	registerInstanceMetrics(clock, metrics, hosts, store, watermark, config)
	metrics.gauge("kept_bytes", keptJobs.keptBytes)

	return {
		config: config.current,
		dispatch: dispatcher.dispatch,
		trackConnection: watermark.trackConnection,
		kept: keptJobs.front,
		notReadyCause: () => notReadyCauseOf(isLeaving, config.current(), dispatcher),
		isLeaving: () => isLeaving,
		async leave() {
			isLeaving = true
			logLeaving(log, dispatcher.workCount())
			await handover.handOverAll()
		},
		isWorking: () => dispatcher.workCount() > 0,
		async close() {
			await registration.end()
			const deciding = [lagMonitor, watermark, claims as ClaimsLoop, handover, slicing]
			const telling = [keptJobs, heartbeats, config]
			const serving = [fleetFollower, executors, hosts, peerPort, peers]
			for (const part of [...deciding, ...telling, ...serving]) part.close()
		},
	}
}

function newMember({name, failureDomain, cpuShare}: InstanceSettings, address: string): Member {
	return {name, session: randomUUID(), failureDomain, address, cpuShare}
}

/** Defined only when jobs are admitted by forecast. */
function forecastingOf(
	{placing}: InstanceSettings,
	view: FleetView,
	self: Member,
	config: Pick<Configuration, "current">,
): HostedPlacersDeps["forecasting"] {
	if (placing.admission !== "forecast") return undefined
	return {
		borrowableCores: () => borrowableCoresOf(view, self, systemClock.now()),
		queues: () => config.current()?.queues ?? [],
	}
}

function notReadyCauseOf(
	isLeaving: boolean,
	config: FleetConfig | undefined,
	dispatcher: Dispatcher,
): string | undefined {
	if (isLeaving) return "leaving"
	if (!config) return "no configuration yet"
	return dispatcher.canPlace() ? undefined : "no placer can be reached"
}

function logClaim(log: EventLog, {failureDomain, fence, placer}: Claim) {
	const fields = {failureDomain, fence, peer: placer.name, session: shortSession(placer.session)}
	log.event("fleet", "claim_known", "fleet: a claim is in force.", fields)
}

/** Reports an invalid message or claim of a peer; what was known before stays in force. */
function logInvalid({metrics, log}: InstanceDeps, reason: InvalidReport, claim?: Claim) {
	metrics.count("broken_assumptions", reason)
	if (!claim) return
	const {failureDomain, fence, placer} = claim
	const fields = {failureDomain, fence, peer: placer.name}
	log.alarm("fleet", "claim_dropped", "fleet: ignored a claim that no slice can have.", fields)
}

function logLeaving(log: EventLog, count: number) {
	log.alarm("instance", "leaving", "instance: finishing work in progress.", {count})
}
