/**
 * The placement of attempts on the targets that this instance places.
 *
 * Each executor and worker is placed by exactly one instance of its failure domain, so its load is
 * known here exactly and nothing is sent to a full target knowingly. What does not fit here is
 * forwarded to a peer that reported room, own failure domain first; the rest waits in the fair
 * queue.
 */
import type {Result} from "neverthrow"
import type {Clock} from "../../utils/clock.js"
import type {DispatchError} from "../../utils/errors.js"
import type {SubmissionKey, Target} from "../../types/types-external.js"
import type {Estimates} from "../estimates.js"
import {createFairQueue} from "../fair-queue.js"
import {admitTo, type AdmissionQuery} from "./admission.js"
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
	/** Says whether attempts of a team could be queued now and end in time. */
	admit(query: AdmissionQuery): Result<void, DispatchError>
	/** Queues an attempt; `done` is called once, with its result. */
	submit(attempt: Attempt, done: (result: AttemptResult) => void): void
	settle(id: string, result: AttemptResult): void
	/** Gives up all attempts of a key: queued ones at once, running ones by a stop to their place. */
	cancel(key: SubmissionKey): void
	/** Processors (slots) that peers may use here: what is free less what waits here already. */
	roomIn(pool: string): number
	rooms(): ReadonlyMap<string, number>
	/** Takes in that a peer reported its room; what was sent before it is counted in it. */
	onPeerRoomReport(peer: string, pool?: string): void
	/** Looks for work to place. */
	placeQueued(): void
	snapshot(): SchedulerSnapshot
}

export interface SchedulerSnapshot {
	readonly queued: number
	readonly running: number
	readonly aside: number
}

interface Waiting extends Attempt {
	readonly done: (result: AttemptResult) => void
	readonly queuedAt: number
	/** When an attempt that could not be placed is given up, or given back to the peer. */
	readonly waitsUntil: number
}

const BUSY_BLOCK_MS = 25
const EXPIRY_SWEEP_MS = 50
/** A wait that a forwarded message would not shorten by much, in milliseconds. */
const FORWARD_AFTER_MS = 10
/** How long an attempt from a peer waits here before it is given back, in milliseconds. */
const FORWARDED_PATIENCE_MS = 500
const LEAVING_MEMORY_MS = 30_000

/** Collects what goes to one place, so that it goes as one batch. */
function addToBatch<K>(batches: Map<K, Attempt[]>, place: K, attempt: Attempt) {
	const batch = batches.get(place)
	if (batch) batch.push(attempt)
	else batches.set(place, [attempt])
}

/** Creates the placement of one instance. */
export function createScheduler(deps: SchedulerDeps): Scheduler {
	const {clock, estimates} = deps
	const {now} = clock
	const pools = createTargetPools({...deps, now})
	const queue = createFairQueue<Waiting>()
	const running = createRunningSet()
	const rooms = createPeerRooms(deps.peers)
	/** Attempts that were told to stop; how they end says nothing about their target. */
	const stopping = new Set<string>()
	let isPumpDue = false
	let isSweepDue = false

	/** Says whether an attempt has waited, or will wait, longer than a message to a peer is worth. */
	function isWorthForwarding({pool, queuedAt}: Waiting): boolean {
		if (now() - queuedAt > FORWARD_AFTER_MS) return true
		const capacity = pools.usableCapacityOf(pool)
		return capacity === 0 || queue.costMs(pool) / capacity > FORWARD_AFTER_MS
	}

	function findPlace(attempt: Waiting): Place | undefined {
		const racks = attempt.spreadRacks ? running.racksOf(attempt.key) : new Map<string, number>()
		const target = pools.pick(attempt, racks)
		if (target) return target
		if (attempt.isForwarded || !isWorthForwarding(attempt)) return undefined
		return rooms.pick(attempt)
	}

	/** Places queued attempts, and sends what goes to one place as one batch. */
	function pumpNow() {
		isPumpDue = false
		const toTargets = new Map<TargetState, Attempt[]>()
		const toPeers = new Map<string, Attempt[]>()
		const start = (item: Waiting): boolean => {
			if (running.sizeOf(item.team) >= deps.maxRunning(item.team)) return false
			const place = findPlace(item)
			if (place === undefined) return false
			running.add({attempt: item, place, sentAt: now(), done: item.done})
			if (isPeer(place)) {
				rooms.noteSent(place, item)
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

	function schedulePump() {
		if (isPumpDue) return
		isPumpDue = true
		queueMicrotask(pumpNow)
	}

	function scheduleSweep() {
		if (isSweepDue) return
		isSweepDue = true
		clock.schedule(EXPIRY_SWEEP_MS, sweepExpired)
	}

	function giveUp(item: Waiting, at: number): AttemptResult {
		return item.deadlineAt <= at
			? {type: "not started", reason: "deadline", detail: "no place before the deadline"}
			: {type: "not started", reason: "peer full", detail: "no room at the peer"}
	}

	function sweepExpired() {
		isSweepDue = false
		const at = now()
		for (const item of queue.remove(waiting => waiting.waitsUntil <= at))
			item.done(giveUp(item, at))
		if (queue.size() === 0) return
		schedulePump()
		scheduleSweep()
	}

	/** Learns from a refusal: the target is blocked for a moment, or leaves. */
	function observeRefusal(state: TargetState, pool: string, reason: string) {
		const health = pools.healthOf(pool)
		health.endProbe(state.target.id)
		if (reason === "busy" || reason === "refused") state.blockedUntil = now() + BUSY_BLOCK_MS
		if (reason === "leaving") state.leavingUntil = now() + LEAVING_MEMORY_MS
		if (reason === "refused") {
			health.observe({target: state.target.id, failed: true, slowness: 1})
		}
	}

	function observe(item: Running, state: TargetState, result: AttemptResult) {
		const {pool, kind} = item.attempt
		if (result.type === "not started") return observeRefusal(state, pool, result.reason)
		const tookMs = now() - item.sentAt
		const slowness = tookMs / Math.max(1, estimates.expectedMs(kind))
		const failed = result.type !== "ok"
		pools.healthOf(pool).observe({target: state.target.id, failed, slowness})
		if (!failed) estimates.observe(kind, tookMs)
	}

	function roomIn(pool: string): number {
		return Math.max(0, pools.freeIn(pool) - queue.sizeIn(pool))
	}

	/** Milliseconds for which a new attempt would wait, by what waits and what could run it. */
	function expectedWaitMs(pool: string): number {
		let capacity = pools.usableCapacityOf(pool)
		for (const peer of deps.peers()) capacity += peer.free.get(pool) ?? 0
		return queue.costMs(pool) / Math.max(1, capacity)
	}

	return {
		setTargets(targets) {
			pools.set(targets)
			schedulePump()
		},
		admit: query =>
			admitTo(query, deps, {
				total: queue.size(),
				inPool: queue.sizeIn(query.pool),
				ofTeam: queue.sizeOf(query.team) + running.sizeOf(query.team),
				waitMs: expectedWaitMs(query.pool),
			}),
		submit(attempt, done) {
			if (attempt.isForwarded && !pools.couldRun(attempt)) {
				return done({type: "not started", reason: "peer full", detail: "no target here fits"})
			}
			const queuedAt = now()
			const patientUntil = attempt.isForwarded ? queuedAt + FORWARDED_PATIENCE_MS : Infinity
			const waitsUntil = Math.min(attempt.deadlineAt, patientUntil)
			queue.push({...attempt, done, queuedAt, waitsUntil})
			schedulePump()
			scheduleSweep()
		},
		settle(id, result) {
			const item = running.take(id)
			if (!item) return deps.count("wasted.late_answer")
			if (queue.size() > 0) schedulePump()
			const wasStopped = stopping.delete(id)
			if (isPeer(item.place)) return item.done(result)
			if (wasStopped) pools.healthOf(item.attempt.pool).endProbe(item.place.target.id)
			else observe(item, item.place, result)
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
			rooms.noteReport(peer, pool)
			if (queue.size() > 0) schedulePump()
		},
		placeQueued: () => {
			if (queue.size() > 0) schedulePump()
		},
		snapshot: () => ({
			queued: queue.size(),
			running: running.size(),
			aside: pools.all().filter(({pool, state}) => pools.healthOf(pool).isAside(state.target.id))
				.length,
		}),
	}
}
