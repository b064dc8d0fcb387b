/**
 * Connects kept jobs to the instance: keepers of its placers, callers' requests, expired ends.
 */
import type {Clock, TransactionalStore} from "@cottonwood/core"
import type {HostedPlacers} from "../coordinate/hosted-placers.js"
import type {FleetView} from "../fleet/members.js"
import type {KeptMessage, Peers} from "../fleet/peers.js"
import type {LeaseRule} from "../decide/lease-rule.js"
import {couldRunStep} from "../decide/suitability.js"
import type {ExecutorRecord} from "../types/executor.js"
import type {Queue} from "../types/fleet-config.js"
import type {Claim, Room} from "../types/fleet.js"
import type {Step} from "../types/job.js"
import {OPEN_JOBS_PREFIX} from "../types/kept-job.js"
import {homeOf, isJobRecord} from "./record-validation.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import {createWallClock} from "../utils/wall-clock.js"
import type {NoRoomCause} from "./job-moves.js"
import {createKeeper, type Keeper} from "./keeper.js"
import {createKeptMemory} from "./kept-memory.js"
import {createKeptJobRouter, type KeptJobRouter} from "./kept-job-router.js"
import {startSweeper} from "./sweeper.js"

/** Reported capacity is ignored when it is older than two heartbeats. */
const MAX_REPORT_AGE_MS = 500
/** Share of the store's write rate for job records; the rest is for claims and leases. */
const LEDGER_SHARE = 0.6
const MS_PER_S = 1_000
/** A home that misses the notification finds the job at its next listing. */
const NOTIFY_TIMEOUT_MS = 250
/** A placer answers from memory; this allows for a slow machine. */
const ROOM_TIMEOUT_MS = 200

export interface KeptJobServiceDeps {
	readonly clock: Clock
	readonly store: TransactionalStore
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly peers: Peers
	readonly view: FleetView
	readonly hosts: HostedPlacers
	readonly leaseRule: LeaseRule
	readonly storeWritesPerSecond: number
	/** How long the state of an ended job can be queried, in milliseconds. */
	readonly endedStateMs: number
	/** Memory for the open jobs of this process, in bytes by an estimate; unbounded by default. */
	readonly maxKeptBytes?: number
	readonly failureDomains: readonly string[]
	readonly candidates: () => readonly Claim[]
	readonly queueOf: (name: string) => Queue | undefined
	readonly isConfigured: () => boolean
	/** The executors of a failure domain or slice by the last list; empty while the list is not followed. */
	readonly executorsOf: (failureDomain: string) => readonly ExecutorRecord[]
}

export interface KeptJobService {
	readonly front: KeptJobRouter
	/** Whether the store has open jobs of this home; false without an answer. */
	hasOpenJobs(home: string): Promise<boolean>
	createKeeper(claim: Claim, onDeposed: () => void): Keeper
	/** Memory that the open jobs of this process take, in bytes by an estimate. */
	keptBytes(): number
	close(): void
}

export function createKeptJobService(deps: KeptJobServiceDeps): KeptJobService {
	const {clock, log, peers, view, hosts} = deps
	const wall = createWallClock(clock)
	const memory = createKeptMemory(deps.maxKeptBytes ?? Infinity)

	/** Returns a domain's free capacity, from the placer hosted here or from a recent report. */
	function roomOf(domain: string): Room | undefined {
		const own = hosts.of(domain)
		if (own) return own.placer.room()
		const report = view.roomOf(domain)
		return report && clock.now() - report.at < MAX_REPORT_AGE_MS ? report.room : undefined
	}

	/** Asks the placers of the domains whose executors could run one of the steps, the least busy ones first. */
	async function findRoom(
		own: string,
		service: string,
		steps: readonly Step[],
	): Promise<Claim | NoRoomCause> {
		const suitable = view
			.claims()
			.filter(({failureDomain, placer}) => failureDomain !== own && !view.isLeaving(placer.session))
			.filter(({failureDomain: name}) =>
				steps.some(step => couldRunStep(deps.executorsOf(name), step, service)),
			)
		if (suitable.length === 0) return "no other executor could run it"
		const waitingWork = ({failureDomain}: Claim) => roomOf(failureDomain)?.waitingWork ?? Infinity
		// A placer that has not reported lately is not asked: it would hold up the jobs behind this one.
		const answering = suitable.filter(claim => waitingWork(claim) < Infinity)
		for (const claim of answering.sort((a, b) => waitingWork(a) - waitingWork(b)))
			if (await hasRoom(claim, service, steps)) return claim
		return "no room at such an executor"
	}

	async function hasRoom(claim: Claim, service: string, steps: readonly Step[]) {
		const message = {type: "room", service, steps, failureDomain: claim.failureDomain} as const
		const reply = await askPlacer(claim, message, ROOM_TIMEOUT_MS)
		return reply?.type === "room" && reply.hasRoom
	}

	/** Whether a task of one of the steps could start now, or all members of a gang. */
	function hasRoomNow(domain: string, service: string, steps: readonly Step[]): boolean {
		const placer = hosts.of(domain)?.placer
		const fits = (step: Step) =>
			placer?.hasRoomFor(step.isGang ? step : {...step, count: 1}, service) ?? false
		return steps.some(fits)
	}

	/** Divides the store's write rate among all placers. */
	function spacingMs(): number {
		const placers = Math.max(1, view.claims().length)
		return (MS_PER_S * placers) / (deps.storeWritesPerSecond * LEDGER_SHARE)
	}

	/** Resolves with `undefined` without an answer. */
	function askPlacer({failureDomain, placer}: Claim, message: KeptMessage, timeoutMs: number) {
		if (hosts.of(failureDomain)) return front.answer(message)
		return peers.kept(placer.address, message, timeoutMs).reply
	}

	async function notifyPlacer(claim: Claim, id: string) {
		const {failureDomain, placer} = claim
		const message = {type: "fetch", id, failureDomain} as const
		const reply = await askPlacer(claim, message, NOTIFY_TIMEOUT_MS)
		const fields = {job: id, peer: placer.name, failureDomain, outcome: reply?.type ?? "silent"}
		log.event("job", "home_told", "job: notified its new home.", fields)
	}

	const front = createKeptJobRouter({
		...deps,
		keeperOf: domain => hosts.of(domain)?.keeper,
		hasRoomNow,
		roomOf,
	})
	const sweeper = startSweeper({
		...deps,
		wall,
		retentionMs: deps.endedStateMs,
		// One instance of the fleet sweeps: the one that places the first failure domain.
		isOnDuty: () => hosts.of([...deps.failureDomains].sort()[0] as string) !== undefined,
	})
	async function hasOpenJobs(home: string): Promise<boolean> {
		const listing = await deps.store.list(OPEN_JOBS_PREFIX)
		return (listing?.items ?? []).some(({value}) => homeOf(value) === home && isJobRecord(value))
	}

	return {
		front,
		hasOpenJobs,
		createKeeper: (claim, onDeposed) =>
			createKeeper({
				...deps,
				wall,
				claim,
				onDeposed,
				memory: memory.share(),
				spacingMs,
				findRoom: (service, steps) => findRoom(claim.failureDomain, service, steps),
				notifyHome: (home, id) => void notifyPlacer(home, id),
			}),
		keptBytes: memory.used,
		close: () => sweeper.close(),
	}
}
