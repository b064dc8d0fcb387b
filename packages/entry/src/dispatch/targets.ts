/**
 * The targets of the fleet as this instance sees them, and which of them it places itself.
 */
import {assignEvenly, poolOf, type Clock, type Scheduler, type Target} from "@cottonwood/core"
import type {createInstanceList, InstanceListing, ListedEntry} from "../platform/instance-list.js"
import type {Log} from "../utils/log.js"
import type {Metrics} from "../utils/metrics.js"

export interface TargetBoard {
	start(): void
	stop(): void
	/** All listed targets of all failure domains. */
	all(): readonly Target[]
	/** Computes anew which targets are placed here; called when the members changed. */
	assign(): void
	placerOf(target: Target): string | undefined
}

export interface TargetBoardDeps {
	readonly instance: string
	readonly failureDomain: string
	readonly list: ReturnType<typeof createInstanceList>
	readonly clock: Clock
	readonly log: Log
	readonly metrics: Metrics
	readonly everyMs: number
	readonly isDraining: () => boolean
	readonly livePeersIn: (failureDomain: string) => readonly string[]
	readonly livePeers: () => readonly string[]
	readonly scheduler: Scheduler
	readonly onTargets: (targets: readonly Target[]) => void
	readonly onEntries: (entries: readonly ListedEntry[]) => void
}

/** A target that leaves the list is kept this long, since lists lag and readings fail. */
const GONE_MS = 10_000

export function createTargetBoard(deps: TargetBoardDeps): TargetBoard {
	const {clock} = deps
	let known = new Map<string, {readonly target: Target; readonly seenAt: number}>()
	let targets: readonly Target[] = []
	let placers: ReadonlyMap<string, string> = new Map()
	let isStopped = false

	/** The live instances that may place targets of a failure domain. */
	function placersFor(failureDomain: string): readonly string[] {
		const isOwn = failureDomain === deps.failureDomain
		const self = deps.isDraining() ? [] : [deps.instance]
		const near = [...deps.livePeersIn(failureDomain), ...(isOwn ? self : [])]
		return near.length > 0 ? near : [...deps.livePeers(), ...self]
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
			const members = placersFor(group[0]!.failureDomain)
			const ids = group.map(target => target.id)
			for (const [id, member] of assignEvenly(ids, members)) all.set(id, member)
		}
		return all
	}

	function assign() {
		placers = assignAll()
		const mine = targets.filter(target => placers.get(target.id) === deps.instance)
		deps.scheduler.setTargets(mine)
		deps.metrics.gauge("targets.placed", mine.length)
	}

	function take(listing: InstanceListing) {
		const now = clock.now()
		const next = new Map(known)
		for (const target of listing.targets) next.set(target.id, {target, seenAt: now})
		for (const [id, {seenAt}] of next) if (now - seenAt > GONE_MS) next.delete(id)
		known = next
		targets = [...next.values()].map(({target}) => target)
		if (listing.malformed > 0) deps.metrics.count("list.malformed", listing.malformed)
		deps.onEntries(listing.entries)
		deps.onTargets(targets)
		assign()
	}

	async function loop() {
		while (!isStopped) {
			const listing = await deps.list.read()
			if (listing && !isStopped) take(listing)
			else deps.metrics.count("list.no_answer")
			await clock.sleep(deps.everyMs)
		}
	}

	return {
		start: () => void loop(),
		stop: () => void (isStopped = true),
		all: () => targets,
		assign,
		placerOf: target => placers.get(target.id),
	}
}
