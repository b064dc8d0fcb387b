/**
 * Reconciles shard ownership with the assignment that all instances compute alike: claims the shards
 * of dead sessions after sealing their journals, releases those assigned to other instances, and
 * serves a shard only after reading the journals of its past owners.
 */
import {randomUUID} from "node:crypto"
import {
	backoffMs,
	emptyOwnership,
	moveShards,
	pastSessions,
	planOwnership,
	sealJournal,
	type Clock,
	type JournalRecord,
	type OwnershipMap,
	type Owner,
	type SessionId,
} from "@cottonwood/core"
import type {Log} from "../utils/log.js"
import type {Metrics} from "../utils/metrics.js"
import type {Store} from "@cottonwood/core"
import {createEntry, listEntries, trimSealed} from "./journals.js"
import {OWNERSHIP_KEY} from "./keys.js"
import type {LiveView} from "./live-view.js"
import type {Session} from "./session.js"

export interface OwnershipLoop {
	start(): void
	stop(): void
	/** Checks the assignment soon rather than at the next tick; no effect during a check. */
	checkSoon(): void
	isOwned(shard: number): boolean
	ownedCount(): number
	/** Drops all shards at once, because the session is lost. */
	dropAll(): void
}

export interface OwnershipLoopDeps {
	readonly store: Store
	readonly view: LiveView
	readonly session: Session
	readonly owner: () => Owner
	readonly clock: Clock
	readonly random: () => number
	readonly log: Log
	readonly metrics: Metrics
	readonly retentionMs: () => number
}

type Moves = readonly {readonly shard: number; readonly to: SessionId}[]

const CHECK_INTERVAL_MS = 1_000
const MAX_CHECK_DELAY_MS = 150
const RETRY_BASE_MS = 50
const RETRY_CAP_MS = 1_000

export function createOwnershipLoop(deps: OwnershipLoopDeps): OwnershipLoop {
	const {store, view, session, clock} = deps
	const owned = new Set<number>()
	/** The newest revision of the map seen; older copies are ignored. */
	let knownRevision = 0
	let isStopped = false
	let wake: (() => void) | undefined

	/**
	 * Writes the map and retries until the outcome is known: a write of unknown outcome could otherwise
	 * take effect after this instance has decided something else.
	 */
	async function writeMap(map: OwnershipMap, revision: number): Promise<boolean> {
		for (let attempt = 0; !isStopped; attempt++) {
			const result = await store.put(OWNERSHIP_KEY, map, {expect: revision})
			if (result.type === "done") {
				knownRevision = Math.max(knownRevision, result.revision)
				return true
			}
			if (result.type === "conflict") {
				knownRevision = Math.max(knownRevision, result.current?.revision ?? 0)
				return (result.current?.value as OwnershipMap | undefined)?.nonce === map.nonce
			}
			deps.metrics.count("retry.ownership_put")
			await clock.sleep(backoffMs(attempt, RETRY_BASE_MS, RETRY_CAP_MS, deps.random))
		}
		return false
	}

	async function move(map: OwnershipMap, revision: number, moves: Moves): Promise<boolean> {
		const keepPastMs = 2 * deps.retentionMs()
		const next = moveShards(map, moves, randomUUID(), clock.wallNow(), keepPastMs)
		const isWritten = await writeMap(next, revision)
		await view.refresh()
		if (isWritten) void trimUnreferenced(map, next)
		return isWritten
	}

	/** Trims the journals of sessions that the map no longer names. */
	async function trimUnreferenced(before: OwnershipMap, after: OwnershipMap) {
		const all = before.shards.map((_, index) => index)
		const kept = new Set(pastSessions(after, all))
		for (const past of pastSessions(before, all)) {
			if (kept.has(past) || view.sessions().has(past)) continue
			deps.metrics.count("journal.forgotten")
			await trimSealed(store, past)
		}
	}

	async function sealAll(sessions: readonly SessionId[], by: SessionId): Promise<boolean> {
		for (const dead of sessions) {
			const records = await sealJournal(dead, by, {
				list: name => listEntries(store, name),
				create: (name, seq, entry) => createEntry(store, name, seq, entry),
				clock,
				nonce: randomUUID,
			})
			if (records === undefined) return false
			deps.metrics.count("journal.sealed")
			deps.log.info(`Sealed the journal of ${dead} with ${records.length} records.`)
		}
		return true
	}

	async function recordsOf(past: SessionId): Promise<readonly JournalRecord[] | undefined> {
		const entries = await listEntries(store, past)
		return entries?.flatMap(({entry}) => ("sealedBy" in entry ? [] : entry.records))
	}

	/** Starts serving newly assigned shards after reading the journals of their past owners. */
	async function adopt(self: SessionId) {
		const {map, revision} = view.ownership()
		if (!map || revision < knownRevision) return
		const given = map.shards.flatMap((shard, index) =>
			shard.owner === self && !owned.has(index) ? [index] : [],
		)
		if (given.length === 0) return
		const shards = new Set(given)
		for (const past of pastSessions(map, given)) {
			const records = await recordsOf(past)
			if (records === undefined) return
			deps.owner().inherit(past, records, shards)
		}
		if (session.id() !== self) return
		for (const shard of given) owned.add(shard)
		deps.metrics.gauge("shards.owned", owned.size)
		deps.log.info(`Serving ${given.length} more shards, ${owned.size} in total.`)
	}

	async function release(map: OwnershipMap, revision: number, moves: Moves) {
		for (const {shard} of moves) owned.delete(shard)
		await session.journal().flush()
		const isWritten = await move(map, revision, moves)
		deps.metrics.gauge("shards.owned", owned.size)
		if (isWritten) deps.log.info(`Released ${moves.length} shards.`)
	}

	async function claim(map: OwnershipMap, revision: number, plan: readonly number[], self: string) {
		const moves = plan.map(shard => ({shard, to: self}))
		if (await move(map, revision, moves)) deps.log.info(`Took ${plan.length} shards.`)
	}

	async function reconcile() {
		const self = session.id()
		if (self === undefined || !view.isLoaded()) return
		const sessions = view.sessions()
		if (!sessions.has(self) || view.ownership().revision < knownRevision) {
			await view.refresh()
			return
		}
		const eligible = [...sessions.values()].filter(info => !info.draining)
		const {map: known, revision} = view.ownership()
		const map = known ?? emptyOwnership()
		const plan = planOwnership(map, {
			self,
			eligible: eligible.map(info => info.session).sort(),
			live: new Set(sessions.keys()),
		})
		if (plan.claims.length > 0 && (await sealAll(plan.seals, self))) {
			await claim(map, revision, plan.claims, self)
		} else if (plan.releases.length > 0) {
			await release(map, revision, plan.releases)
		}
		if (session.id() === self) await adopt(self)
	}

	async function loop() {
		while (!isStopped) {
			await reconcile().catch((error: unknown) =>
				deps.log.error(`Ownership check failed: ${String(error)}.`),
			)
			await new Promise<void>(resolve => {
				const cancel = clock.schedule(CHECK_INTERVAL_MS, resolve)
				wake = () => {
					cancel()
					clock.schedule(MAX_CHECK_DELAY_MS * deps.random(), resolve)
				}
			})
			wake = undefined
		}
	}

	return {
		start: () => void loop(),
		stop() {
			isStopped = true
			wake?.()
		},
		checkSoon: () => wake?.(),
		isOwned: shard => owned.has(shard),
		ownedCount: () => owned.size,
		dropAll: () => owned.clear(),
	}
}
