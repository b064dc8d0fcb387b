/**
 * Tracks for how long executors of other failure domains have answered here, or none has, by probes that an instance makes only
 * while it considers taking such a domain over.
 */
import type {Clock} from "@cottonwood/core"
import {failureDomainOf} from "../decide/slices.js"

/** Least time between two probes of a domain or slice. */
const PROBE_MS = 500

export interface ReachDeps {
	readonly clock: Clock
	/** Whether any executor of the domain answers this instance. */
	readonly canReachExecutors: (failureDomain: string) => Promise<boolean>
}

export interface Reach {
	/** Probes some executors of a domain or slice, unless that was just done; the answer is known at the next look. */
	probe(name: string): void
	/** For how long executors have answered, in milliseconds; undefined while none does or nothing is known. */
	reachableMs(name: string): number | undefined
	/** For how long no executor has answered, in milliseconds; undefined while one does or nothing is known. */
	unreachableMs(name: string): number | undefined
	/** Forgets what was found, since the domain's placer answers. */
	forget(name: string): void
}

interface Found {
	readonly canReach: boolean
	readonly since: number
}

export function trackReach({clock, canReachExecutors}: ReachDeps): Reach {
	const probedAt = new Map<string, number>()
	const found = new Map<string, Found>()

	function note(name: string, canReach: boolean) {
		if (found.get(name)?.canReach !== canReach) found.set(name, {canReach, since: clock.now()})
	}

	function durationMs(name: string, canReach: boolean): number | undefined {
		const known = found.get(name)
		return known?.canReach === canReach ? clock.now() - known.since : undefined
	}

	return {
		probe(name) {
			if (clock.now() - (probedAt.get(name) ?? -Infinity) < PROBE_MS) return
			probedAt.set(name, clock.now())
			void canReachExecutors(failureDomainOf(name)).then(canReach => note(name, canReach))
		},
		reachableMs: name => durationMs(name, true),
		unreachableMs: name => durationMs(name, false),
		forget: name => void found.delete(name),
	}
}
