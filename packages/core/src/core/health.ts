/**
 * Outlier detection: targets that fail or run far slower than their peers are set aside, then
 * probed until they recover. Used by the scheduler and by the placers of jobs.
 *
 * A target is compared with its peers, so a task that fails everywhere sets no target aside. Only a
 * configured share of a pool is aside at once.
 */

const DECAY = 0.8
const MIN_RUNS = 3
const FAILING_SHARE = 0.6
const PEER_FAILING_SHARE = 0.3
const SLOW_FACTOR = 3
const MIN_SLOW_RUNS = 8
const MAX_PROBE_DELAY_FACTOR = 16

interface TargetRecord {
	runs: number
	failures: number
	/** Smoothed ratio of run time to the kind's expected run time. */
	slowness: number
	asideSince: number | undefined
	probeAt: number
	isProbing: boolean
	probeBegunAt: number
	probeDelayFactor: number
}

export interface Observation {
	readonly target: string
	readonly failed: boolean
	/** Run time divided by the expected run time of its kind. */
	readonly slowness: number
}

export interface HealthDeps {
	readonly now: () => number
	readonly maxAsideShare: () => number
	readonly probeAfterMs: () => number
	readonly onChange: (target: string, state: "aside" | "back", cause: string) => void
}

export interface Health {
	observe(observation: Observation): void
	/** Returns whether work may be sent: the target is healthy or due for a probe. */
	isUsable(target: string): boolean
	isAside(target: string): boolean
	/** Marks the attempt just sent as a probe if the target is set aside. */
	beginProbe(target: string): void
	/** Ends a probe without a result, so that another may follow. */
	endProbe(target: string): void
	forget(target: string): void
	asideCount(): number
}

export function createHealth(deps: HealthDeps): Health {
	const records = new Map<string, TargetRecord>()

	function recordOf(target: string): TargetRecord {
		let record = records.get(target)
		if (!record) {
			record = {
				runs: 0,
				failures: 0,
				slowness: 1,
				asideSince: undefined,
				probeAt: 0,
				isProbing: false,
				probeBegunAt: 0,
				probeDelayFactor: 0,
			}
			records.set(target, record)
		}
		return record
	}

	/** Returns the failure share of the other targets; 1 while they have too few runs. */
	function peerFailureShare(subject: TargetRecord): number {
		let runs = 0
		let failures = 0
		for (const record of records.values()) {
			if (record === subject || record.asideSince !== undefined) continue
			runs += record.runs
			failures += record.failures
		}
		return runs < MIN_RUNS ? 1 : failures / runs
	}

	function asideCount(): number {
		let count = 0
		for (const record of records.values()) if (record.asideSince !== undefined) count++
		return count
	}

	function canSetAside(): boolean {
		const allowed = Math.max(1, Math.floor(records.size * deps.maxAsideShare()))
		return records.size > 1 && asideCount() < allowed
	}

	function setAside(target: string, record: TargetRecord, cause: string) {
		record.asideSince = deps.now()
		record.probeAt = deps.now() + deps.probeAfterMs()
		deps.onChange(target, "aside", cause)
	}

	function evaluateProbe(target: string, record: TargetRecord, observation: Observation) {
		record.isProbing = false
		if (observation.failed || observation.slowness > SLOW_FACTOR) {
			record.probeDelayFactor = Math.min(MAX_PROBE_DELAY_FACTOR, record.probeDelayFactor * 2 || 1)
			record.probeAt = deps.now() + deps.probeAfterMs() * record.probeDelayFactor
			return
		}
		records.delete(target)
		recordOf(target)
		deps.onChange(target, "back", "a probe succeeded")
	}

	function evaluate(target: string, record: TargetRecord) {
		if (record.runs < MIN_RUNS) return
		const share = record.failures / record.runs
		const isFailing = share >= FAILING_SHARE && peerFailureShare(record) <= PEER_FAILING_SHARE
		const isSlow = record.runs * DECAY >= 3 && record.slowness > SLOW_FACTOR
		if (!isFailing && !isSlow) return
		if (!canSetAside()) return
		const cause = isFailing
			? `failed ${Math.round(share * 100)}% of its last runs, its peers few`
			: `ran ${record.slowness.toFixed(1)} times slower than expected`
		setAside(target, record, cause)
	}

	/** Another probe may follow one that takes longer than the delay between two, and may never end. */
	function mayBeProbed({probeAt, isProbing, probeBegunAt}: TargetRecord): boolean {
		const now = deps.now()
		return now >= probeAt && (!isProbing || now - probeBegunAt >= deps.probeAfterMs())
	}

	return {
		observe(observation) {
			const record = recordOf(observation.target)
			if (record.asideSince !== undefined) {
				if (record.isProbing) evaluateProbe(observation.target, record, observation)
				return
			}
			record.runs = record.runs * DECAY + 1
			record.failures = record.failures * DECAY + (observation.failed ? 1 : 0)
			if (!observation.failed)
				record.slowness += (observation.slowness - record.slowness) / MIN_SLOW_RUNS
			evaluate(observation.target, record)
		},
		isUsable(target) {
			const record = records.get(target)
			return !record || record.asideSince === undefined || mayBeProbed(record)
		},
		isAside: target => records.get(target)?.asideSince !== undefined,
		beginProbe(target) {
			const record = records.get(target)
			if (record?.asideSince === undefined) return
			record.isProbing = true
			record.probeBegunAt = deps.now()
		},
		endProbe(target) {
			const record = records.get(target)
			if (record) record.isProbing = false
		},
		forget: target => void records.delete(target),
		asideCount,
	}
}
