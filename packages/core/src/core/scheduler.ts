/**
 * The placement of attempts on the targets that this instance places.
 *
 * Each executor and worker is placed by exactly one instance of its failure domain, so its load is
 * known here exactly and nothing is sent to a full target knowingly. What does not fit here is
 * forwarded to a peer that reported room, own failure domain first; the rest waits in the fair
 * queue.
 */
import {ok, type Result} from "neverthrow"
import {fail, type DispatchError} from "../utils/errors.js"
import {spreadMs} from "../utils/backoff.js"
import type {Clock} from "../utils/clock.js"
import type {Resources, SubmissionKey, Target} from "../types/types-external.js"
import type {Estimates} from "./estimates.js"
import {createFairQueue, type Queued} from "./fair-queue.js"
import {createHealth, type Health} from "./health.js"
import {isMatch, type Selector} from "./selector.js"

/** The pool of all workers; the pools of endpoints carry their names. */
export const WORKER_POOL = "workers"

export function endpointPool(endpoint: string): string {
	return `endpoint:${endpoint}`
}

export function poolOf(target: Target): string {
	return target.type === "worker" ? WORKER_POOL : endpointPool(target.endpoint)
}

/** One try of one task of a submission. */
export interface Attempt extends Queued {
	readonly id: string
	readonly key: SubmissionKey
	readonly task: number
	readonly pool: string
	readonly kind: string
	readonly need: Resources
	readonly selector: Selector
	readonly prefer: Selector
	readonly payload: unknown
	/** Targets that an earlier try of the task used. */
	readonly avoid: readonly string[]
	readonly spreadRacks: boolean
	readonly mayRetry: boolean
	/** From a peer: it is placed here at once or given back. */
	readonly isForwarded: boolean
	readonly mayLeaveDomain: boolean
}

export type AttemptResult =
	| {readonly type: "ok"; readonly value: unknown; readonly runMs: number}
	/** It ran and failed. */
	| {readonly type: "failed"; readonly detail: string; readonly target?: string}
	/** Certain: it did not start. */
	| {readonly type: "not started"; readonly reason: NotStarted; readonly detail: string}
	/** It may have run. */
	| {readonly type: "unknown"; readonly detail: string; readonly target?: string}

export type NotStarted = "busy" | "refused" | "peer full" | "deadline" | "cancelled" | "leaving"

export interface PeerRoom {
	readonly id: string
	readonly isSameDomain: boolean
	/** Processors (slots) that the peer can give in a pool now. */
	readonly free: ReadonlyMap<string, number>
}

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

interface TargetState {
	target: Target
	readonly used: {cpu: number; memoryMb: number; accelerators: number}
	running: number
	blockedUntil: number
}

interface Running {
	readonly attempt: Attempt
	readonly place: TargetState | string
	readonly sentAt: number
	readonly done: (result: AttemptResult) => void
}

interface Waiting extends Attempt {
	readonly done: (result: AttemptResult) => void
}

export interface Scheduler {
	/** Replaces the targets that this instance places. */
	setTargets(targets: readonly Target[]): void
	/** Says whether attempts of a team could be queued now. */
	admit(
		pool: string,
		team: string,
		count: number,
		deadlineAt: number,
		kind: string,
	): Result<void, DispatchError>
	submit(attempt: Attempt, done: (result: AttemptResult) => void): void
	settle(id: string, result: AttemptResult): void
	/** Gives up all attempts of a key: queued ones at once, running ones by a stop to their place. */
	cancel(key: SubmissionKey): void
	/** Marks a target as leaving on its own signal, before the list says so. */
	markLeaving(target: string): void
	/** Processors (slots) that peers may use here: what is free less what waits here already. */
	roomIn(pool: string): number
	free(): ReadonlyMap<string, number>
	/** Takes in that a peer reported its room; what was sent before it is counted in it. */
	notePeerRoom(peer: string, pool?: string): void
	/** Looks for work to place. */
	pump(): void
	snapshot(): SchedulerSnapshot
}

export interface SchedulerSnapshot {
	readonly queued: number
	readonly running: number
	readonly targets: readonly {
		readonly target: Target
		readonly running: number
		readonly aside: boolean
	}[]
}

const BUSY_BLOCK_MS = 25
const EXPIRY_SWEEP_MS = 50
const MIN_RETRY_AFTER_MS = 200
const MAX_RETRY_AFTER_MS = 10_000
const ACCELERATOR_PENALTY = 2
const AVOID_PENALTY = 4
const PREFER_BONUS = 1
const RACK_PENALTY = 0.25
const LEAVING_MEMORY_MS = 30_000

/** Creates the placement of one instance. */
export function createScheduler(deps: SchedulerDeps): Scheduler {
	const {clock, estimates} = deps
	const pools = new Map<string, Map<string, TargetState>>()
	const healths = new Map<string, Health>()
	const queue = createFairQueue<Waiting>()
	const running = new Map<string, Running>()
	const runningByTeam = new Map<string, number>()
	const runningByKey = new Map<SubmissionKey, Set<string>>()
	const leavingUntil = new Map<string, number>()
	const peerDebt = new Map<string, number>()
	let isPumpDue = false
	let sweep: (() => void) | undefined

	function healthOf(pool: string): Health {
		let health = healths.get(pool)
		if (!health) {
			health = createHealth({now: clock.now, ...deps.health, onChange: deps.onHealth})
			healths.set(pool, health)
		}
		return health
	}

	function isLeaving(state: TargetState): boolean {
		if (state.target.state === "leaving") return true
		const until = leavingUntil.get(state.target.id)
		return until !== undefined && clock.now() < until
	}

	function hasRoom(state: TargetState, need: Resources): boolean {
		const {capacity} = state.target
		const {used} = state
		return (
			used.cpu + need.cpu <= capacity.cpu &&
			used.memoryMb + need.memoryMb <= capacity.memoryMb &&
			used.accelerators + need.accelerators <= capacity.accelerators
		)
	}

	function isOpen(state: TargetState, attempt: Attempt, health: Health): boolean {
		if (!hasRoom(state, attempt.need)) return false
		if (isLeaving(state) || clock.now() < state.blockedUntil) return false
		if (!isMatch(attempt.selector, state.target.labels)) return false
		// A probe may fail, so only work that may be retried is sent to a target set aside.
		if (health.isAside(state.target.id) && !attempt.mayRetry) return false
		return health.isUsable(state.target.id)
	}

	/** Lower is better: load, then the job's own spread, then the preference. */
	function costOf(
		state: TargetState,
		attempt: Attempt,
		racks: ReadonlyMap<string, number>,
	): number {
		const {capacity, rack, labels} = state.target
		let cost = (state.used.cpu + attempt.need.cpu) / capacity.cpu
		if (attempt.need.accelerators === 0 && capacity.accelerators > 0) cost += ACCELERATOR_PENALTY
		if (attempt.avoid.includes(state.target.id)) cost += AVOID_PENALTY
		if (attempt.prefer.length > 0 && isMatch(attempt.prefer, labels)) cost -= PREFER_BONUS
		if (attempt.spreadRacks) cost += RACK_PENALTY * (racks.get(rack) ?? 0)
		return cost
	}

	function racksOf(attempt: Attempt): ReadonlyMap<string, number> {
		const racks = new Map<string, number>()
		if (!attempt.spreadRacks) return racks
		for (const id of runningByKey.get(attempt.key) ?? []) {
			const place = running.get(id)?.place
			if (place === undefined || typeof place === "string") continue
			racks.set(place.target.rack, (racks.get(place.target.rack) ?? 0) + 1)
		}
		return racks
	}

	function pickTarget(attempt: Attempt): TargetState | undefined {
		const health = healthOf(attempt.pool)
		const racks = racksOf(attempt)
		let best: TargetState | undefined
		let bestCost = Infinity
		let ties = 1
		for (const state of pools.get(attempt.pool)?.values() ?? []) {
			if (!isOpen(state, attempt, health)) continue
			const cost = costOf(state, attempt, racks)
			if (cost > bestCost) continue
			// Ties are broken evenly, in one pass: the n-th tie wins with chance 1/n.
			ties = cost === bestCost ? ties + 1 : 1
			if (ties > 1 && deps.random() * ties >= 1) continue
			best = state
			bestCost = cost
		}
		return best
	}

	function debtKey(peer: string, pool: string): string {
		return `${peer}|${pool}`
	}

	function pickPeer(attempt: Attempt): string | undefined {
		if (attempt.isForwarded) return undefined
		let best: string | undefined
		let bestRoom = 0
		for (const wantSameDomain of [true, false]) {
			if (!wantSameDomain && !attempt.mayLeaveDomain) break
			for (const peer of deps.peers()) {
				if (peer.isSameDomain !== wantSameDomain) continue
				const debt = peerDebt.get(debtKey(peer.id, attempt.pool)) ?? 0
				const room = (peer.free.get(attempt.pool) ?? 0) - debt
				if (room < attempt.need.cpu || room <= bestRoom) continue
				best = peer.id
				bestRoom = room
			}
			if (best !== undefined) return best
		}
		return best
	}

	function addRunning(item: Waiting, place: TargetState | string) {
		running.set(item.id, {attempt: item, place, sentAt: clock.now(), done: item.done})
		runningByTeam.set(item.team, (runningByTeam.get(item.team) ?? 0) + 1)
		const ids = runningByKey.get(item.key) ?? new Set<string>()
		ids.add(item.id)
		runningByKey.set(item.key, ids)
		if (typeof place === "string") {
			const debt = debtKey(place, item.pool)
			peerDebt.set(debt, (peerDebt.get(debt) ?? 0) + item.need.cpu)
			return
		}
		place.running++
		place.used.cpu += item.need.cpu
		place.used.memoryMb += item.need.memoryMb
		place.used.accelerators += item.need.accelerators
	}

	function removeRunning(id: string, item: Running) {
		const {attempt, place} = item
		running.delete(id)
		runningByTeam.set(attempt.team, runningByTeam.get(attempt.team)! - 1)
		const ids = runningByKey.get(attempt.key)
		ids?.delete(id)
		if (ids?.size === 0) runningByKey.delete(attempt.key)
		if (typeof place === "string") return
		place.running--
		place.used.cpu -= attempt.need.cpu
		place.used.memoryMb -= attempt.need.memoryMb
		place.used.accelerators -= attempt.need.accelerators
	}

	/** Places queued attempts, and sends what goes to one place as one batch. */
	function pumpNow() {
		isPumpDue = false
		const toTargets = new Map<TargetState, Attempt[]>()
		const toPeers = new Map<string, Attempt[]>()
		const start = (item: Waiting): boolean => {
			if ((runningByTeam.get(item.team) ?? 0) >= deps.maxRunning(item.team)) return false
			const target = pickTarget(item)
			const place = target ?? pickPeer(item)
			if (place === undefined) return false
			addRunning(item, place)
			if (target) {
				healthOf(item.pool).beginProbe(target.target.id)
				toTargets.set(target, [...(toTargets.get(target) ?? []), item])
				deps.onPlaced(item, target.target.id, `least loaded of ${pools.get(item.pool)!.size}`)
			} else {
				toPeers.set(place as string, [...(toPeers.get(place as string) ?? []), item])
				deps.onPlaced(item, `peer ${String(place)}`, "no room here, the peer reported room")
			}
			return true
		}
		queue.drain(start, deps.weightOf)
		returnForwarded()
		for (const [state, attempts] of toTargets) deps.send(state.target, attempts)
		for (const [peer, attempts] of toPeers) deps.forward(peer, attempts)
	}

	/** Gives back what a peer sent and what could not be placed at once. */
	function returnForwarded() {
		if (queue.size() === 0) return
		for (const item of queue.remove(waiting => waiting.isForwarded)) {
			item.done({type: "not started", reason: "peer full", detail: "no room at the peer"})
		}
	}

	function schedulePump() {
		if (isPumpDue) return
		isPumpDue = true
		queueMicrotask(pumpNow)
	}

	function sweepExpired() {
		sweep = undefined
		const now = clock.now()
		for (const item of queue.remove(waiting => waiting.deadlineAt <= now)) {
			item.done({type: "not started", reason: "deadline", detail: "no place before the deadline"})
		}
		if (queue.size() === 0) return
		schedulePump()
		sweep = clock.schedule(EXPIRY_SWEEP_MS, sweepExpired)
	}

	function observe(item: Running, result: AttemptResult) {
		const {attempt, place} = item
		if (typeof place === "string") return
		const health = healthOf(attempt.pool)
		if (result.type === "not started") {
			health.endProbe(place.target.id)
			if (result.reason === "busy" || result.reason === "refused") {
				place.blockedUntil = clock.now() + BUSY_BLOCK_MS
			}
			if (result.reason === "leaving") markLeaving(place.target.id)
			if (result.reason === "refused") {
				health.observe({target: place.target.id, failed: true, slowness: 1})
			}
			return
		}
		const tookMs = clock.now() - item.sentAt
		const slowness = tookMs / Math.max(1, estimates.expectedMs(attempt.kind))
		health.observe({target: place.target.id, failed: result.type !== "ok", slowness})
		if (result.type === "ok") estimates.observe(attempt.kind, tookMs)
	}

	function finish(item: Running, result: AttemptResult) {
		item.done(result)
		if (queue.size() > 0) schedulePump()
	}

	function markLeaving(target: string) {
		leavingUntil.set(target, clock.now() + LEAVING_MEMORY_MS)
	}

	function freeIn(pool: string): number {
		const health = healthOf(pool)
		let free = 0
		for (const state of pools.get(pool)?.values() ?? []) {
			if (isLeaving(state) || health.isAside(state.target.id)) continue
			free += Math.max(0, state.target.capacity.cpu - state.used.cpu)
		}
		return free
	}

	function roomIn(pool: string): number {
		return Math.max(0, freeIn(pool) - queue.size())
	}

	function capacityOf(pool: string): number {
		let capacity = 0
		for (const state of pools.get(pool)?.values() ?? []) capacity += state.target.capacity.cpu
		for (const peer of deps.peers()) capacity += peer.free.get(pool) ?? 0
		return capacity
	}

	return {
		setTargets(targets) {
			const seen = new Set<string>()
			for (const target of targets) {
				seen.add(target.id)
				const pool = poolOf(target)
				const states = pools.get(pool) ?? new Map<string, TargetState>()
				pools.set(pool, states)
				const known = states.get(target.id)
				if (known) known.target = target
				else {
					const used = {cpu: 0, memoryMb: 0, accelerators: 0}
					states.set(target.id, {target, used, running: 0, blockedUntil: 0})
				}
			}
			for (const [pool, states] of pools) {
				for (const id of states.keys()) {
					if (seen.has(id)) continue
					states.delete(id)
					healthOf(pool).forget(id)
				}
			}
			schedulePump()
		},
		admit(pool, team, count, deadlineAt, kind) {
			const waitMs = queue.costMs() / Math.max(1, capacityOf(pool))
			const hint = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs))
			const retryAfterMs = spreadMs(hint, deps.random)
			if (queue.size() + count > deps.maxQueuedTotal()) {
				return fail("overloaded", `${queue.size()} attempts wait here`, {retryAfterMs})
			}
			const ofTeam = queue.sizeOf(team) + (runningByTeam.get(team) ?? 0)
			if (ofTeam + count > deps.maxQueued(team)) {
				return fail("quota_exceeded", `team ${team} has ${ofTeam} attempts here`, {retryAfterMs})
			}
			const leftMs = deadlineAt - clock.now()
			const neededMs = waitMs + estimates.expectedMs(kind)
			if (queue.size() > 0 && neededMs > leftMs) {
				const detail = `about ${Math.round(neededMs)} ms needed, ${Math.round(leftMs)} ms left`
				return fail("deadline_unreachable", detail, {retryAfterMs})
			}
			return ok(undefined)
		},
		submit(attempt, done) {
			queue.push({...attempt, done})
			schedulePump()
			sweep ??= clock.schedule(EXPIRY_SWEEP_MS, sweepExpired)
		},
		settle(id, result) {
			const item = running.get(id)
			if (!item) {
				deps.count("wasted.late_answer")
				return
			}
			removeRunning(id, item)
			if (typeof item.place === "string") return finish(item, result)
			observe(item, result)
			const isAtFault = result.type === "failed" || result.type === "unknown"
			finish(item, isAtFault ? {...result, target: item.place.target.id} : result)
		},
		cancel(key) {
			for (const item of queue.remove(waiting => waiting.key === key)) {
				item.done({type: "not started", reason: "cancelled", detail: "cancelled in the queue"})
			}
			const stops = new Map<TargetState | string, Attempt[]>()
			for (const id of runningByKey.get(key) ?? []) {
				const item = running.get(id)!
				stops.set(item.place, [...(stops.get(item.place) ?? []), item.attempt])
			}
			for (const [place, attempts] of stops) {
				if (typeof place === "string") deps.stopForwarded(place, attempts)
				else deps.stop(place.target, attempts)
			}
		},
		markLeaving,
		roomIn,
		free: () => new Map([...pools.keys()].map(pool => [pool, roomIn(pool)])),
		notePeerRoom(peer, pool) {
			for (const key of peerDebt.keys()) {
				const isMeant =
					pool === undefined ? key.startsWith(`${peer}|`) : key === debtKey(peer, pool)
				if (isMeant) peerDebt.delete(key)
			}
			if (queue.size() > 0) schedulePump()
		},
		pump: () => {
			if (queue.size() > 0) schedulePump()
		},
		snapshot: () => ({
			queued: queue.size(),
			running: running.size,
			targets: [...pools].flatMap(([pool, states]) =>
				[...states.values()].map(state => ({
					target: state.target,
					running: state.running,
					aside: healthOf(pool).isAside(state.target.id),
				})),
			),
		}),
	}
}
