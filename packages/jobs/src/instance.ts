/**
 * An instance of the job fleet: joins the store, the peers, the executors and the callers.
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
import {openDatagrams} from "@cottonwood/wire/datagrams"
import {createHeartbeats, type FleetDatagram} from "./fleet/heartbeats.js"
import {createClaimsLoop, type ClaimsLoop} from "./fleet/claims.js"
import {followConfiguration, type Configuration} from "./fleet/configuration.js"
import {createEvacuations} from "./fleet/evacuations.js"
import {createFleetView, type FleetView} from "./fleet/members.js"
import {createPeers, listenPeers} from "./fleet/peers.js"
import {createReachabilityProbe} from "./fleet/reachability.js"
import type {InvalidReport} from "./fleet/room-validation.js"
import {beginRegistration} from "./fleet/registration.js"
import {speedStoreOpenerFor} from "./fleet/speed-store.js"
import {createLagMonitor} from "./fleet/lag-monitor.js"
import {publishFigures} from "./figures.js"
import {createOwnClaims, followExecutors, followFleet, servedBy} from "./followers.js"
import type {KeptFront} from "./keep/kept-front.js"
import {createKeptParts} from "./keep/parts.js"
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
import {watchNews} from "./utils/news.js"

/** A reading of the home placer's clock is overdue by half; other placers are heard by the time when they may be needed. */
const HOME_OVERDUE_MS = 150

export interface InstanceSettings {
	readonly name: string
	readonly failureDomain: string
	readonly failureDomains: readonly string[]
	/** Where peers reach this instance: host and port. */
	readonly peerAddress: string
	/** How long runs may go on for a caller that is not heard. */
	readonly leaseRule: LeaseRule
	/** What is being stopped may go on for this long. */
	readonly stopGraceMs: number
	/** The cores that this instance may use. */
	readonly cpuShare: number
	/** What this instance's link carries, in millions of bits a second. */
	readonly linkMbps: number
	/** Writes that the store takes in a second from all instances together. */
	readonly storeWritesPerSecond: number
	/** For so long the state of an ended job can be asked for, in milliseconds. */
	readonly endedStateMs: number
	readonly placing: PlacingSettings
}

/** What the surroundings offer; implemented for each platform. */
export interface InstanceDeps {
	readonly store: TransactionalStore
	readonly orders: ExecutorOrders
	readonly advisor: Advisor
	readonly log: EventLog
	readonly metrics: JobMetrics
	/** What operators write lies below it. */
	readonly operatorPrefix: string
	readonly configKey: string
	readonly decodeConfig: (item: StoreItem) => Result<FleetConfig, string> | undefined
	/** The failure domain that an item asks to empty; `undefined` when it is about something else. */
	readonly decodeEvacuation: (item: StoreItem) => Result<string, string> | undefined
	readonly executorPrefix: string
	readonly decodeExecutor: (item: StoreItem) => ExecutorRecord | undefined
}

export interface JobInstance {
	config(): FleetConfig | undefined
	dispatch(job: Job, queue: Queue, caller: Caller): Promise<JobEnd>
	/** Notes that a caller's connection was accepted; returns as of when what arrived on it has been read, in steady milliseconds. */
	trackConnection(): () => number
	/** Jobs that are kept. */
	readonly kept: KeptFront
	/** Why no caller should be sent here; undefined when ready. */
	notReadyCause(): string | undefined
	isLeaving(): boolean
	/** Takes no more work of others and hands over what it places; its callers are served on. */
	leave(): Promise<void>
	/** Whether jobs or tasks are under way here. */
	isWorking(): boolean
	close(): Promise<void>
}

/** Starts an instance; rejects when its port is taken. */
export async function startJobInstance(
	settings: InstanceSettings,
	deps: InstanceDeps,
): Promise<JobInstance> {
	const clock = systemClock
	const {store, log, metrics} = deps
	const {leaseRule, placing} = settings
	const self = newMember(settings)
	let isLeaving = false
	let claims: ClaimsLoop | undefined = undefined
	let isListed = false
	const strain = createLagMonitor(clock)
	const news = watchNews(clock)
	const evacuations = createEvacuations({...deps, onChange: () => hosts.noteEvacuations()})
	const onInForce = () => executors.notifyAgain()
	const config = followConfiguration({...deps, clock, onInForce, evacuations})

	const peers = createPeers(metrics)
	const ownClaims = createOwnClaims(self)
	function noteClaim(claim: Claim) {
		noteClaimKnown(log, claim)
		hosts.noteClaim(claim)
		if (ownClaims.take(claim)) executors.readNow()
	}
	const view = createFleetView(clock, noteClaim, (reason, claim) => noteBroken(deps, reason, claim))
	const {isUnderWay: isEvacuated} = evacuations
	const common = {clock, peers, view, self, log, metrics}
	const {rooms, ...wholeJobs} = createWholeJobMoves({...common, isEvacuated}, placing)
	const overflow = createOverflow({...common, leaseRule, rooms})

	const slicing = createSlicing({
		...common,
		leaseRule,
		overflow,
		executorsPerPlacer: placing.executorsPerPlacer,
		executorsOf: domain => servedBy(executors.recordsOf(domain), config.current()),
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
		onRoomChange: () => beats.noteRoomChange(),
		createKeeper: (claim, onDeposed) => keptParts.createKeeper(claim, onDeposed),
		executorsOf: slicing.executorsOf,
		slices: slicing,
		isEvacuated,
		keepSpeeds: speedStoreOpenerFor(placing, {...deps, clock}),
		forecasting: forecastingOf(settings, view, self, config),
		...wholeJobs,
	})
	const dispatcher = createDispatcher({
		...common,
		hosts,
		config: config.current,
		refreshConfig: config.refresh,
		isLeaving: () => isLeaving,
		ownLateMs: strain.lateMs,
		isEvacuated,
		...wholeJobs,
		rescheduleLostJob: placing.placesAnew ? createRescheduler({...common, leaseRule}) : undefined,
	})

	const keptParts = createKeptParts({
		...deps,
		clock,
		peers,
		view,
		hosts,
		storeWritesPerSecond: settings.storeWritesPerSecond,
		endedStateMs: settings.endedStateMs,
		failureDomains: settings.failureDomains,
		candidates: () => dispatcher.candidates(),
		queueOf: name => config.current()?.queues.find(queue => queue.name === name),
	})

	const executors = followExecutors(clock, deps, hosts, ownClaims, config.current)

	const beatNews = createHeartbeatHandler({
		...common,
		hosts,
		strain,
		config,
		evacuations,
		isLeaving: () => isLeaving,
	})

	const fleetFollower = followFleet(clock, deps, view, () => {
		isListed = true
		claims?.checkNow()
	})
	const server = await listenPeers(self.address, {
		beat(beat) {
			beatNews.take(beat)
			return beatNews.own()
		},
		runJob: (message, caller) => dispatcher.runJob(message, caller),
		runTask: (message, caller) => dispatcher.runTask(message, caller),
		takeOver: message => handover.takeOver(message),
		kept: message => keptParts.front.answer(message),
	})
	const datagrams = await openDatagrams(
		self.address,
		message => beats.receive(message as FleetDatagram),
		error => noteDatagramError(deps, error),
	)
	const beats = createHeartbeats({
		...common,
		send: datagrams.send,
		ownHeartbeat: beatNews.own,
		rooms: hosts.rooms,
		onHeartbeat: beatNews.take,
		onRoomNews: beatNews.takeRoom,
		needsOthers: () => evacuations.isUnderWay(self.failureDomain) || isHomeQuiet(),
		linkMbps: settings.linkMbps,
	})
	function isHomeQuiet(): boolean {
		const home = view.claimOf(self.failureDomain)?.placer
		return home !== undefined && peers.quietMs(home.address) > HOME_OVERDUE_MS
	}

	const registration = beginRegistration(self, {clock, store, log})

	const handover = createHandover({
		...common,
		hosts,
		overflow,
		claims: () => claims as ClaimsLoop,
		placedDomains: () => Object.keys(hosts.rooms()),
		isLeaving: () => isLeaving,
		isStrained: strain.isStrained,
	})
	claims = createClaimsLoop({
		...common,
		store,
		failureDomains: () =>
			settings.failureDomains.flatMap(name => sliceNames(name, view.sliceCount(name))),
		isLeaving: () => isLeaving,
		ping: beats.ping,
		ownLateMs: strain.lateMs,
		...createReachabilityProbe({...deps, clock, latestExecutors: executors.latest}),
	})

	if (isListed) claims.checkNow()
	publishFigures(clock, metrics, hosts, store, news, config)

	return {
		config: config.current,
		dispatch: dispatcher.dispatch,
		trackConnection: news.noteAccepted,
		kept: keptParts.front,
		notReadyCause: () => notReadyCauseOf(isLeaving, config.current(), dispatcher),
		isLeaving: () => isLeaving,
		async leave() {
			isLeaving = true
			noteLeaving(log, dispatcher.workCount())
			await handover.handOverAll()
		},
		isWorking: () => dispatcher.workCount() > 0,
		async close() {
			await registration.end()
			const deciding = [
				strain,
				news,
				claims as ClaimsLoop,
				handover,
				slicing,
				keptParts,
				beats,
				config,
			]
			const serving = [fleetFollower, executors, hosts, datagrams, server, peers]
			for (const part of [...deciding, ...serving]) part.close()
		},
	}
}

function newMember({name, failureDomain, peerAddress, cpuShare}: InstanceSettings): Member {
	return {name, session: randomUUID(), failureDomain, address: peerAddress, cpuShare}
}

/** Present where jobs are judged by forecasts. */
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

function noteClaimKnown(log: EventLog, {failureDomain, fence, placer}: Claim) {
	const fields = {failureDomain, fence, peer: placer.name, session: shortSession(placer.session)}
	log.event("fleet", "claim_known", "fleet: a claim is in force.", fields)
}

/** What was in force before stays. */
function noteBroken({metrics, log}: InstanceDeps, reason: InvalidReport, claim: Claim | undefined) {
	metrics.count("broken_assumptions", reason)
	if (!claim) return
	const {failureDomain, fence, placer} = claim
	const fields = {failureDomain, fence, peer: placer.name}
	log.alarm("fleet", "claim_dropped", "fleet: no slice can have such a claim.", fields)
}

function noteDatagramError({metrics, log}: InstanceDeps, error: Error) {
	metrics.count("broken_assumptions", "datagram")
	log.event("fleet", "datagram_failed", "fleet: a datagram failed.", {cause: error.message})
}

function noteLeaving(log: EventLog, count: number) {
	log.alarm("instance", "leaving", "instance: finishes what is under way.", {count})
}
