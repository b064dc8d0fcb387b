/**
 * Connects kept jobs to the instance: keepers of its placers, callers' requests, expired ends.
 */
import type {Clock, TransactionalStore} from "@cottonwood/core"
import type {HostedPlacers} from "../coordinate/hosted-placers.js"
import type {FleetView} from "../fleet/members.js"
import type {Peers} from "../fleet/peers.js"
import type {Queue} from "../types/fleet-config.js"
import type {Claim, Room} from "../types/fleet.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import {createWallClock} from "../utils/wall-clock.js"
import {createKeeper, type Keeper} from "./keeper.js"
import {createKeptJobRouter, type KeptJobRouter} from "./kept-job-router.js"
import {startSweeper} from "./sweeper.js"

/** Reported capacity is ignored when it is older than two heartbeats. */
const MAX_REPORT_AGE_MS = 500
/** Share of the store's write rate for job records; the rest is for claims and leases. */
const LEDGER_SHARE = 0.6
const MS_PER_S = 1_000
/** A home that misses the notification finds the job at its next listing. */
const NOTIFY_TIMEOUT_MS = 250

export interface KeptJobServiceDeps {
	readonly clock: Clock
	readonly store: TransactionalStore
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly peers: Peers
	readonly view: FleetView
	readonly hosts: HostedPlacers
	readonly storeWritesPerSecond: number
	/** How long the state of an ended job can be queried, in milliseconds. */
	readonly endedStateMs: number
	readonly failureDomains: readonly string[]
	readonly candidates: () => readonly Claim[]
	readonly queueOf: (name: string) => Queue | undefined
}

export interface KeptJobService {
	readonly front: KeptJobRouter
	createKeeper(claim: Claim, onDeposed: () => void): Keeper
	close(): void
}

export function createKeptJobService(deps: KeptJobServiceDeps): KeptJobService {
	const {clock, log, peers, view, hosts} = deps
	const wall = createWallClock(clock)

	/** Returns a domain's free capacity, from the placer hosted here or from a recent report. */
	function roomOf(domain: string): Room | undefined {
		const own = hosts.of(domain)
		if (own) return own.placer.room()
		const report = view.roomOf(domain)
		return report && clock.now() - report.at < MAX_REPORT_AGE_MS ? report.room : undefined
	}

	function domainWithRoom(own: string, cpu: number): Claim | undefined {
		const others = view.claims().filter(({failureDomain}) => failureDomain !== own)
		return others.find(({failureDomain, placer}) => {
			const [free] = roomOf(failureDomain)?.freeCpu ?? []
			return free !== undefined && free >= cpu && !view.isLeaving(placer.session)
		})
	}

	/** Divides the store's write rate among all placers. */
	function spacingMs(): number {
		const placers = Math.max(1, view.claims().length)
		return (MS_PER_S * placers) / (deps.storeWritesPerSecond * LEDGER_SHARE)
	}

	async function notifyPlacer({failureDomain, placer}: Claim, id: string) {
		const message = {type: "fetch", id, failureDomain} as const
		const reply = hosts.of(failureDomain)
			? await front.answer(message)
			: await peers.kept(placer.address, message, NOTIFY_TIMEOUT_MS).reply
		const fields = {job: id, peer: placer.name, failureDomain, outcome: reply?.type ?? "silent"}
		log.event("job", "home_told", "job: notified its new home.", fields)
	}

	const front = createKeptJobRouter({
		...deps,
		keeperOf: domain => hosts.of(domain)?.keeper,
		roomOf,
	})
	const sweeper = startSweeper({
		...deps,
		wall,
		retentionMs: deps.endedStateMs,
		// One instance of the fleet sweeps: the one that places the first failure domain.
		isOnDuty: () => hosts.of([...deps.failureDomains].sort()[0] as string) !== undefined,
	})
	return {
		front,
		createKeeper: (claim, onDeposed) =>
			createKeeper({
				...deps,
				wall,
				claim,
				onDeposed,
				spacingMs,
				domainWithRoom: cpu => domainWithRoom(claim.failureDomain, cpu),
				notifyHome: (home, id) => void notifyPlacer(home, id),
			}),
		close: () => sweeper.close(),
	}
}
