/**
 * Tracks the fleet's listed targets and gives the scheduler those that this instance places.
 */
import {assignEvenly, poolOf, type Clock, type Scheduler, type Target} from "@cottonwood/core"
import type {InstanceList, InstanceListing, ListedEntry} from "../platform/instance-list.js"
import type {Log} from "../utils/log.js"
import type {Metrics} from "../utils/metrics.js"

export interface TargetRegistry {
	start(): void
	stop(): void
	/** All listed targets of all failure domains. */
	all(): readonly Target[]
	/** Recomputes which targets this instance places; to be called when peers or configuration change. */
	assign(): void
	/** Returns the instance that places the target, or undefined when none does. */
	placerOf(target: Target): string | undefined
}

export interface TargetRegistryDeps {
	readonly instance: string
	readonly failureDomain: string
	readonly list: InstanceList
	readonly clock: Clock
	readonly log: Log
	readonly metrics: Metrics
	readonly pollMs: number
	readonly isDraining: () => boolean
	/** Whether operators have evacuated a failure domain. */
	readonly isEvacuated: (failureDomain: string) => boolean
	readonly livePeersIn: (failureDomain: string) => readonly string[]
	readonly livePeers: () => readonly string[]
	readonly scheduler: Scheduler
	readonly onTargets: (targets: readonly Target[]) => void
	readonly onEntries: (entries: readonly ListedEntry[]) => void
}

/** Targets stay for this long after they leave the list, since lists lag. */
const UNLISTED_GRACE_MS = 10_000

export function createTargetRegistry(deps: TargetRegistryDeps): TargetRegistry {
	const {clock} = deps
	let knownTargets = new Map<string, {readonly target: Target; seenAt: number}>()
	let lastListing: InstanceListing | undefined
	let targets: readonly Target[] = []
	let placers: ReadonlyMap<string, string> = new Map()
	let isStopped = false

	/** Returns the live instances that may place targets of a failure domain, preferring its own. */
	function placerCandidates(failureDomain: string): readonly string[] {
		const isOwn = failureDomain === deps.failureDomain
		const self = deps.isDraining() ? [] : [deps.instance]
		const near = [...deps.livePeersIn(failureDomain), ...(isOwn ? self : [])]
		return near.length > 0 ? near : [...deps.livePeers(), ...self]
	}

	/** Marks targets of an evacuated domain as leaving: running tasks finish, new ones go elsewhere. */
	function withEvacuation(target: Target): Target {
		return deps.isEvacuated(target.failureDomain) ? {...target, state: "leaving"} : target
	}

	/** Assigns the targets of each failure domain and pool evenly to its placers. */
	function assignAll(): ReadonlyMap<string, string> {
		const groups = new Map<string, Target[]>()
		for (const target of targets) {
			const name = `${target.failureDomain}|${poolOf(target)}`
			groups.set(name, [...(groups.get(name) ?? []), target])
		}
		const all = new Map<string, string>()
		for (const group of groups.values()) {
			const members = placerCandidates(group[0]!.failureDomain)
			const ids = group.map(target => target.id)
			for (const [id, member] of assignEvenly(ids, members)) all.set(id, member)
		}
		return all
	}

	function assign() {
		placers = assignAll()
		const mine = targets.filter(target => placers.get(target.id) === deps.instance)
		deps.scheduler.setTargets(mine.map(withEvacuation))
		deps.metrics.gauge("targets.placed", mine.length)
	}

	function applyListing(listing: InstanceListing) {
		const now = clock.now()
		const next = new Map(listing.targets.map(target => [target.id, {target, seenAt: now}]))
		for (const [id, item] of knownTargets) {
			if (!next.has(id) && now - item.seenAt <= UNLISTED_GRACE_MS) next.set(id, item)
		}
		knownTargets = next
		targets = [...next.values()].map(({target}) => target)
		if (listing.malformed > 0) deps.metrics.count("list.malformed", listing.malformed)
		deps.onEntries(listing.entries)
		deps.onTargets(targets)
		assign()
	}

	/** An unchanged list only renews its targets, unless unlisted ones are still due to expire. */
	function refresh(listing: InstanceListing, answer: InstanceListing | "unchanged") {
		if (answer !== "unchanged" || knownTargets.size > listing.targets.length)
			return applyListing(listing)
		const now = clock.now()
		for (const item of knownTargets.values()) item.seenAt = now
	}

	async function loop() {
		while (!isStopped) {
			const answer = await deps.list.read()
			if (answer === undefined) deps.metrics.count("list.no_answer")
			else if (answer !== "unchanged") lastListing = answer
			if (lastListing && answer !== undefined && !isStopped) refresh(lastListing, answer)
			await clock.sleep(deps.pollMs)
		}
	}

	return {
		start: () => void loop(),
		stop: () => void (isStopped = true),
		all: () => targets.map(withEvacuation),
		assign,
		placerOf: target => placers.get(target.id),
	}
}
