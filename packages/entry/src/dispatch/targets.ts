/**
 * The targets of the fleet as this instance sees them, and which of them it places itself.
 */
import {assignEvenly, poolOf, type Clock, type Scheduler, type Target} from "@cottonwood/core"
import type {InstanceList, InstanceListing, ListedEntry} from "../platform/instance-list.js"
import type {Log} from "../utils/log.js"
import type {Metrics} from "../utils/metrics.js"

export interface TargetBoard {
	start(): void
	stop(): void
	/** All listed targets of all failure domains. */
	all(): readonly Target[]
	/** Computes anew which targets are placed here, and how; called when the members or the configuration changed. */
	assign(): void
	placerOf(target: Target): string | undefined
}

export interface TargetBoardDeps {
	readonly instance: string
	readonly failureDomain: string
	readonly list: InstanceList
	readonly clock: Clock
	readonly log: Log
	readonly metrics: Metrics
	readonly everyMs: number
	readonly isDraining: () => boolean
	/** Whether operators are emptying a failure domain. */
	readonly isEvacuated: (failureDomain: string) => boolean
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
	let known = new Map<string, {readonly target: Target; seenAt: number}>()
	let lastListing: InstanceListing | undefined
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

	/** A target of a domain that is emptied counts as leaving: what runs there ends in peace, and nothing new comes. */
	function asUsed(target: Target): Target {
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
			const members = placersFor(group[0]!.failureDomain)
			const ids = group.map(target => target.id)
			for (const [id, member] of assignEvenly(ids, members)) all.set(id, member)
		}
		return all
	}

	function assign() {
		placers = assignAll()
		const mine = targets.filter(target => placers.get(target.id) === deps.instance)
		deps.scheduler.setTargets(mine.map(asUsed))
		deps.metrics.gauge("targets.placed", mine.length)
	}

	/** Keeps a target for a while after it left the list, since lists lag. */
	function take(listing: InstanceListing) {
		const now = clock.now()
		const next = new Map(listing.targets.map(target => [target.id, {target, seenAt: now}]))
		for (const [id, item] of known) {
			if (!next.has(id) && now - item.seenAt <= GONE_MS) next.set(id, item)
		}
		known = next
		targets = [...next.values()].map(({target}) => target)
		if (listing.malformed > 0) deps.metrics.count("list.malformed", listing.malformed)
		deps.onEntries(listing.entries)
		deps.onTargets(targets)
		assign()
	}

	/** An unchanged list renews what it names; it is taken in again while something is about to go. */
	function refresh(listing: InstanceListing, answer: InstanceListing | "unchanged") {
		if (answer !== "unchanged" || known.size > listing.targets.length) return take(listing)
		const now = clock.now()
		for (const item of known.values()) item.seenAt = now
	}

	async function loop() {
		while (!isStopped) {
			const answer = await deps.list.read()
			if (answer === undefined) deps.metrics.count("list.no_answer")
			else if (answer !== "unchanged") lastListing = answer
			if (lastListing && answer !== undefined && !isStopped) refresh(lastListing, answer)
			await clock.sleep(deps.everyMs)
		}
	}

	return {
		start: () => void loop(),
		stop: () => void (isStopped = true),
		all: () => targets.map(asUsed),
		assign,
		placerOf: target => placers.get(target.id),
	}
}
