/**
 * Places attempts on the targets of this instance.
 *
 * Each target is placed by exactly one instance of its failure domain, so its load is known exactly
 * and nothing is sent to a full target. Attempts that do not fit are forwarded to a peer with room,
 * own failure domain first; the others wait in the fair queue.
 */
import type {Result} from "neverthrow"
import type {Clock} from "../../utils/clock.js"
import type {DispatchError} from "../../utils/errors.js"
import type {SubmissionKey, Target} from "../../types/types-external.js"
import type {Estimates} from "../estimates.js"
import {createFairQueue} from "../fair-queue.js"
import {checkAdmission, type AdmissionQuery} from "./admission.js"
import type {Attempt, AttemptResult} from "./attempt.js"
import {createPeerRooms, type PeerRoom} from "./peer-rooms.js"
import {createRunningSet, isPeer, type Place, type Running} from "./running-set.js"
import {createTargetPools} from "./target-pools.js"
import type {TargetState} from "./target-state.js"

export interface SchedulerDeps {
	readonly clock: Clock
	readonly random: () => number
	readonly estimates: Estimates
	readonly send: (target: Target, attempts: readonly Attempt[]) => void
	readonly forward: (peer: string, attempts: readonly Attempt[]) => void
	readonly stop: (target: Target, attempts: readonly Attempt[]) => void
	readonly stopForwarded: (peer: string, attempts: readonly Attempt[]) => void
	readonly peers: () => readonly PeerRoom[]
	readonly weightOf: (team: string) => number
	/** Attempts of a team that may run at once through this instance. */
	readonly maxRunning: (team: string) => number
	readonly maxQueued: (team: string) => number
	readonly maxQueuedTotal: () => number
	readonly health: {readonly maxAsideShare: () => number; readonly probeAfterMs: () => number}
	readonly onHealth: (target: string, state: "aside" | "back", cause: string) => void
	readonly onPlaced: (attempt: Attempt, where: string, why: string) => void
	readonly count: (name: string, by?: number) => void
}

export interface Scheduler {
	/** Replaces the targets that this instance places. */
	setTargets(targets: readonly Target[]): void
	/** Returns an error when the attempts must not be queued now. */
	admit(query: AdmissionQuery): Result<void, DispatchError>
	/** Queues an attempt; `done` is called once, with its result. */
	submit(attempt: Attempt, done: (result: AttemptResult) => void): void
	/** Reports the result of an attempt that was sent. */
	settle(id: string, result: AttemptResult): void
	/** Cancels all attempts of a key: removes queued ones, and sends a stop for running ones. */
	cancel(key: SubmissionKey): void
	/** Free processors (slots) for peers: free capacity less what is queued here. */
	roomIn(pool: string): number
	/** `roomIn` for each pool. */
	rooms(): ReadonlyMap<string, number>
	/** Handles a peer's report of its room, which includes all attempts sent before it. */
	onPeerRoomReport(peer: string, pool?: string): void
	/** Places the queued attempts that fit now. */
	placeQueued(): void
	snapshot(): SchedulerSnapshot
}

export interface SchedulerSnapshot {
	readonly queued: number
	readonly running: number
	readonly aside: number
}

interface WaitingAttempt extends Attempt {
	readonly done: (result: AttemptResult) => void
	readonly queuedAt: number
	/** When an unplaced attempt expires, or is returned to the peer. */
	readonly expiresAt: number
}

const BUSY_BLOCK_MS = 25
const EXPIRY_SWEEP_MS = 50
/** Shorter waits are not worth a message to a peer. */
const MIN_WAIT_TO_FORWARD_MS = 10
/** How long an attempt from a peer waits before it is returned. */
const MAX_FORWARDED_WAIT_MS = 500
const LEAVING_TTL_MS = 30_000

/** Adds an attempt to the batch of its destination. */
function addToBatch<K>(batches: Map<K, Attempt[]>, place: K, attempt: Attempt) {
	const batch = batches.get(place)
	if (batch) batch.push(attempt)
	else batches.set(place, [attempt])
}

/** Creates the scheduler of one instance. */
export function createScheduler(deps: SchedulerDeps): Scheduler {
	const {clock, estimates} = deps
	const {now} = clock
	const pools = createTargetPools({...deps, now})
	const queue = createFairQueue<WaitingAttempt>()
	const running = createRunningSet()
	const rooms = createPeerRooms(deps.peers)
	/** Attempts that were sent a stop; their results do not count for the health of their targets. */
	const stopping = new Set<string>()
	let isPlacingScheduled = false
	let isSweepScheduled = false

	/** Returns whether an attempt waits long enough to be forwarded. */
	function isWorthForwarding({pool, queuedAt}: WaitingAttempt): boolean {
		if (now() - queuedAt > MIN_WAIT_TO_FORWARD_MS) return true
		const capacity = pools.usableCapacityOf(pool)
		return capacity === 0 || queue.costMs(pool) / capacity > MIN_WAIT_TO_FORWARD_MS
	}

	function findPlace(attempt: WaitingAttempt): Place | undefined {
		const racks = attempt.spreadRacks ? running.racksOf(attempt.key) : new Map<string, number>()
		const target = pools.pick(attempt, racks)
		if (target) return target
		if (attempt.isForwarded || !isWorthForwarding(attempt)) return undefined
		return rooms.pick(attempt)
	}

	/** Places queued attempts and sends one batch to each destination. */
	function placeNow() {
		isPlacingScheduled = false
		const toTargets = new Map<TargetState, Attempt[]>()
		const toPeers = new Map<string, Attempt[]>()
		const start = (item: WaitingAttempt): boolean => {
			if (running.sizeOf(item.team) >= deps.maxRunning(item.team)) return false
			const place = findPlace(item)
			if (place === undefined) return false
			running.add({attempt: item, place, sentAt: now(), done: item.done})
			if (isPeer(place)) {
				rooms.recordSent(place, item)
				addToBatch(toPeers, place, item)
				deps.onPlaced(item, `peer ${place}`, "no room here, the peer reported room")
				return true
			}
			pools.healthOf(item.pool).beginProbe(place.target.id)
			addToBatch(toTargets, place, item)
			deps.onPlaced(item, place.target.id, `least loaded of ${pools.sizeOf(item.pool)}`)
			return true
		}
		queue.drain(start, deps.weightOf)
		for (const [state, attempts] of toTargets) deps.send(state.target, attempts)
		for (const [peer, attempts] of toPeers) deps.forward(peer, attempts)
	}

	function schedulePlacing() {
		if (isPlacingScheduled) return
		isPlacingScheduled = true
		queueMicrotask(placeNow)
	}

	function scheduleSweep() {
		if (isSweepScheduled) return
		isSweepScheduled = true
		clock.schedule(EXPIRY_SWEEP_MS, sweepExpired)
	}

	function expiredResult(item: WaitingAttempt, at: number): AttemptResult {
		return item.deadlineAt <= at
			? {type: "not started", reason: "deadline", detail: "no place before the deadline"}
			: {type: "not started", reason: "peer full", detail: "no room at the peer"}
	}

	function sweepExpired() {
		isSweepScheduled = false
		const at = now()
		for (const item of queue.remove(waiting => waiting.expiresAt <= at))
			item.done(expiredResult(item, at))
		if (queue.size() === 0) return
		schedulePlacing()
		scheduleSweep()
	}

	/** Blocks a target for a moment after a refusal, or treats it as leaving. */
	function recordRefusal(state: TargetState, pool: string, reason: string) {
		const health = pools.healthOf(pool)
		health.endProbe(state.target.id)
		if (reason === "busy" || reason === "refused") state.blockedUntil = now() + BUSY_BLOCK_MS
		if (reason === "leaving") state.leavingUntil = now() + LEAVING_TTL_MS
		if (reason === "refused") {
			health.observe({target: state.target.id, failed: true, slowness: 1})
		}
	}

	function recordResult(item: Running, state: TargetState, result: AttemptResult) {
		const {pool, kind} = item.attempt
		if (result.type === "not started") return recordRefusal(state, pool, result.reason)
		const tookMs = now() - item.sentAt
		const slowness = tookMs / Math.max(1, estimates.expectedMs(kind))
		const failed = result.type !== "ok"
		pools.healthOf(pool).observe({target: state.target.id, failed, slowness})
		if (!failed) estimates.observe(kind, tookMs)
	}

	function roomIn(pool: string): number {
		return Math.max(0, pools.freeIn(pool) - queue.sizeIn(pool))
	}

	/**
	 * Returns the expected wait of a new attempt: queued work divided by usable capacity, in
	 * milliseconds.
	 */
	function expectedWaitMs(pool: string): number {
		let capacity = pools.usableCapacityOf(pool)
		for (const peer of deps.peers()) capacity += peer.free.get(pool) ?? 0
		return queue.costMs(pool) / Math.max(1, capacity)
	}

	return {
		setTargets(targets) {
			pools.set(targets)
			schedulePlacing()
		},
		admit: query =>
			checkAdmission(query, deps, {
				total: queue.size(),
				inPool: queue.sizeIn(query.pool),
				ofTeam: queue.sizeOf(query.team) + running.sizeOf(query.team),
				waitMs: expectedWaitMs(query.pool),
			}),
		submit(attempt, done) {
			if (attempt.isForwarded && !pools.hasFittingTarget(attempt)) {
				return done({type: "not started", reason: "peer full", detail: "no target here fits"})
			}
			const queuedAt = now()
			const maxWaitUntil = attempt.isForwarded ? queuedAt + MAX_FORWARDED_WAIT_MS : Infinity
			const expiresAt = Math.min(attempt.deadlineAt, maxWaitUntil)
			queue.push({...attempt, done, queuedAt, expiresAt})
			schedulePlacing()
			scheduleSweep()
		},
		settle(id, result) {
			const item = running.take(id)
			if (!item) return deps.count("wasted.late_answer")
			if (queue.size() > 0) schedulePlacing()
			const wasStopped = stopping.delete(id)
			if (isPeer(item.place)) return item.done(result)
			if (wasStopped) pools.healthOf(item.attempt.pool).endProbe(item.place.target.id)
			else recordResult(item, item.place, result)
			const isAtFault = result.type === "failed" || result.type === "unknown"
			item.done(isAtFault ? {...result, target: item.place.target.id} : result)
		},
		cancel(key) {
			for (const item of queue.remove(waiting => waiting.key === key)) {
				item.done({type: "not started", reason: "cancelled", detail: "cancelled in the queue"})
			}
			const stops = new Map<Place, Attempt[]>()
			for (const {place, attempt} of running.ofKey(key)) {
				stopping.add(attempt.id)
				addToBatch(stops, place, attempt)
			}
			for (const [place, attempts] of stops) {
				if (isPeer(place)) deps.stopForwarded(place, attempts)
				else deps.stop(place.target, attempts)
			}
		},
		roomIn,
		rooms: () => new Map([...pools.names()].map(pool => [pool, roomIn(pool)])),
		onPeerRoomReport(peer, pool) {
			rooms.resetSent(peer, pool)
			if (queue.size() > 0) schedulePlacing()
		},
		placeQueued: () => {
			if (queue.size() > 0) schedulePlacing()
		},
		snapshot: () => ({
			queued: queue.size(),
			running: running.size(),
			aside: pools.all().filter(({pool, state}) => pools.healthOf(pool).isAside(state.target.id))
				.length,
		}),
	}
}
