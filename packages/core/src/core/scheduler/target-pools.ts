/**
 * The targets of this instance by pool, with the health of each pool.
 */
import type {Target} from "../../types/types-external.js"
import {createHealth, type Health, type HealthDeps} from "../health.js"
import {poolOf, type Attempt} from "./attempt.js"
import {
	costOf,
	isFitting,
	isLeaving,
	canAccept,
	createTargetState,
	type TargetState,
} from "./target-state.js"

export interface TargetPools {
	/** Replaces the targets; those that stay keep their state. */
	set(targets: readonly Target[]): void
	/**
	 * Returns the target with the least cost that may take an attempt now; undefined when there is
	 * none.
	 */
	pick(attempt: Attempt, racks: ReadonlyMap<string, number>): TargetState | undefined
	/** Returns whether any target could run an attempt when idle. */
	hasFittingTarget(attempt: Attempt): boolean
	healthOf(pool: string): Health
	/** Free processors (slots) of the usable targets of a pool. */
	freeIn(pool: string): number
	/** All processors (slots) of the usable targets of a pool, free or not. */
	usableCapacityOf(pool: string): number
	sizeOf(pool: string): number
	names(): Iterable<string>
	all(): readonly {readonly pool: string; readonly state: TargetState}[]
}

export interface TargetPoolsDeps {
	readonly now: () => number
	readonly random: () => number
	readonly health: Omit<HealthDeps, "now" | "onChange">
	readonly onHealth: HealthDeps["onChange"]
}

export function createTargetPools(deps: TargetPoolsDeps): TargetPools {
	const pools = new Map<string, Map<string, TargetState>>()
	const healths = new Map<string, Health>()

	function statesOf(pool: string): Iterable<TargetState> {
		return pools.get(pool)?.values() ?? []
	}

	function healthOf(pool: string): Health {
		let health = healths.get(pool)
		if (!health) {
			health = createHealth({now: deps.now, ...deps.health, onChange: deps.onHealth})
			healths.set(pool, health)
		}
		return health
	}

	function upsertTarget(target: Target) {
		const pool = poolOf(target)
		const states = pools.get(pool) ?? new Map<string, TargetState>()
		pools.set(pool, states)
		const known = states.get(target.id)
		if (known) known.target = target
		else states.set(target.id, createTargetState(target))
	}

	/** Sums a value over the targets that are neither leaving nor set aside. */
	function sumUsable(pool: string, valueOf: (state: TargetState) => number): number {
		const health = healthOf(pool)
		const now = deps.now()
		let sum = 0
		for (const state of statesOf(pool)) {
			if (!isLeaving(state, now) && !health.isAside(state.target.id)) sum += valueOf(state)
		}
		return sum
	}

	return {
		set(targets) {
			for (const target of targets) upsertTarget(target)
			const kept = new Set(targets.map(target => target.id))
			for (const [pool, states] of pools) {
				for (const id of states.keys()) {
					if (kept.has(id)) continue
					states.delete(id)
					healthOf(pool).forget(id)
				}
			}
		},
		pick(attempt, racks) {
			const health = healthOf(attempt.pool)
			const now = deps.now()
			let best: TargetState | undefined
			let bestCost = Infinity
			let ties = 1
			for (const state of statesOf(attempt.pool)) {
				if (!canAccept(state, attempt, health, now)) continue
				const cost = costOf(state, attempt, racks)
				if (cost > bestCost) continue
				// Breaks ties evenly in one pass: the n-th tie wins with probability 1/n.
				ties = cost === bestCost ? ties + 1 : 1
				if (ties > 1 && deps.random() * ties >= 1) continue
				best = state
				bestCost = cost
			}
			return best
		},
		hasFittingTarget(attempt) {
			for (const state of statesOf(attempt.pool)) if (isFitting(state, attempt)) return true
			return false
		},
		healthOf,
		freeIn: pool =>
			sumUsable(pool, ({target, used}) => Math.max(0, target.capacity.cpu - used.cpu)),
		usableCapacityOf: pool => sumUsable(pool, ({target}) => target.capacity.cpu),
		sizeOf: pool => pools.get(pool)?.size ?? 0,
		names: () => pools.keys(),
		all: () =>
			[...pools].flatMap(([pool, states]) => [...states.values()].map(state => ({pool, state}))),
	}
}
