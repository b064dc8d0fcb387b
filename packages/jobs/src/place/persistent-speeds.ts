/** Executor speeds that outlast a placer: learnt by executor and by label, and passed on to successors through the store. */
import {
	priorLog,
	isOverdue,
	learnLabelRun,
	learnRun,
	mergeSpeeds,
	slownessOf,
	capOutlier,
	type Speed,
} from "../decide/speeds.js"
import {speedCost} from "../decide/speed-cost.js"
import type {Speeds} from "./executor-speeds.js"

/** Learnt speeds, by executor id and by label. */
export interface KnownSpeeds {
	readonly executors: ReadonlyMap<string, Speed>
	readonly labels: ReadonlyMap<string, Speed>
}

export interface SpeedStats {
	/** Executors with a learnt speed. */
	readonly known: number
	/** The slowest of them over the fastest; 1 with fewer than two. */
	readonly spread: number
}

export interface PersistentSpeeds extends Speeds {
	/** The speeds to pass on: of the executors here, and of inherited ones that may still appear. */
	known(): KnownSpeeds
	/** Merges the speeds that an earlier placer learnt into those learnt here. */
	merge(known: KnownSpeeds): void
	/** Drops inherited speeds of executors that have not appeared here; returns their number. */
	dropUnseen(): number
	stats(): SpeedStats
}

interface Entry {
	readonly label: string | undefined
	speed: Speed | undefined
	/** Cached, since it is read for each start and executor. */
	slowness: number
}

export function createPersistentSpeeds(now: () => number): PersistentSpeeds {
	const entries = new Map<string, Entry>()
	const labels = new Map<string, Speed>()
	/** Inherited speeds of executors that have not appeared here yet. */
	const inherited = new Map<string, Speed>()

	const expectedFor = ({label}: Entry) => (label === undefined ? 0 : priorLog(labels.get(label)))

	function setSpeed(entry: Entry, speed: Speed) {
		entry.speed = speed
		entry.slowness = slownessOf(speed, expectedFor(entry))
	}

	function mergeInherited(id: string, entry: Entry) {
		const before = inherited.get(id)
		if (!inherited.delete(id) || !before) return
		setSpeed(entry, entry.speed ? mergeSpeeds(before, entry.speed) : before)
	}

	function expectedSlowness(executor: string): number {
		const entry = entries.get(executor)
		if (!entry) return 1
		// Without runs of its own the value follows its label's, so it is not cached.
		return entry.speed ? entry.slowness : slownessOf(undefined, expectedFor(entry))
	}

	return {
		add({id, labels: [label]}) {
			if (entries.has(id)) return
			const entry: Entry = {label, speed: undefined, slowness: 1}
			entries.set(id, entry)
			mergeInherited(id, entry)
		},
		observe(executor, slowness) {
			const entry = entries.get(executor)
			if (!entry) return
			setSpeed(entry, learnRun(entry.speed, expectedFor(entry), slowness))
			const {label} = entry
			if (label !== undefined) labels.set(label, learnLabelRun(labels.get(label), slowness))
		},
		isOverdue: (executor, ranEstimates) => isOverdue(ranEstimates, expectedSlowness(executor)),
		cappedSlowness: (executor, slowness) =>
			capOutlier(slowness, expectedSlowness(executor), entries.get(executor)?.speed),
		costOf: (executor, req) => speedCost(expectedSlowness(executor), req, now()),
		expectedSlowness,
		forget: executor => void entries.delete(executor),
		known() {
			// Otherwise speeds of executors that are not listed yet would be lost with this placer.
			const executors = new Map(inherited)
			for (const [id, {speed}] of entries) if (speed) executors.set(id, speed)
			return {executors, labels}
		},
		merge(known) {
			for (const [label, speed] of known.labels)
				labels.set(
					label,
					mergeSpeeds(speed, labels.get(label) ?? {mean: 0, weight: 0, outliers: 0}),
				)
			for (const [id, speed] of known.executors) {
				inherited.set(id, speed)
				const entry = entries.get(id)
				if (entry) mergeInherited(id, entry)
			}
		},
		dropUnseen() {
			const count = inherited.size
			inherited.clear()
			return count
		},
		stats() {
			let known = 0
			let min = Infinity
			let max = 0
			for (const {speed, slowness} of entries.values()) {
				if (!speed) continue
				known++
				min = Math.min(min, slowness)
				max = Math.max(max, slowness)
			}
			return {known, spread: known > 1 ? max / min : 1}
		},
	}
}
