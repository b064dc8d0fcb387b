/**
 * The load generator of the experiment: seeded open-loop arrivals, and the measurements of their answers.
 */
import {build, type Histogram} from "hdr-histogram-js"
import type {Profile, Scenario} from "./profiles.js"

/** One submission of the load. */
export interface Submission {
	readonly index: number
	readonly atMs: number
	readonly type: "request" | "once" | "job"
	/** Run time of each task. */
	readonly runMs: readonly number[]
}

export type Outcome = "complete" | "refused" | "failed"

export interface Percentiles {
	readonly p50: number
	readonly p99: number
	readonly p999: number
}

export interface Figures {
	readonly responseOverIdeal: Percentiles
	/** Ratios by type. `once` waits for a durable write, which the ideal does not include. */
	readonly responseOverIdealOf: Readonly<Record<Submission["type"], Percentiles>>
	readonly wastedPerNeeded: number
	/** Run time of complete submissions over the smaller of the total capacity and the offered run time. */
	readonly goodputOverCapacity: number
	/** Run time of complete submissions over the offered run time. */
	readonly goodputOverOffered: number
	readonly complete: number
	readonly refused: number
	readonly failed: number
	readonly startsPerSecond: number
	readonly wastedByReason: Readonly<Record<string, number>>
	readonly refusalsByReason: Readonly<Record<string, number>>
	readonly storeCallsPerSecond: number
}

/** Sends one submission and returns its outcome. */
export type Send = (work: Submission) => Promise<Outcome>

const RATIO_SCALE = 1_000
const JOB_TASKS = 20
const JOB_SHARE_OF_WORK = 0.5
const ONCE_SHARE = 0.3
const BURST_MS = 2_000
const MIN_RUN_MS = 50

/** Draws run times from 50 ms to a second, with a few of two to three seconds. */
function drawRunMs(random: () => number): number {
	if (random() < 0.005) return 2_000 + random() * 1_000
	return Math.min(1_000, MIN_RUN_MS - 330 * Math.log(1 - random()))
}

/** The mean of `drawRunMs`. */
const MEAN_RUN_MS = 372

function offeredLoadAt(scenario: Scenario, ms: number): number {
	const middle = scenario.durationMs / 2
	const isBurst = scenario.burst > 0 && ms >= middle && ms < middle + BURST_MS
	return isBurst ? scenario.burst : scenario.load
}

/** Draws all arrivals of a run, the same for the same random sequence, in the order of time. */
export function drawLoad(
	profile: Profile,
	scenario: Scenario,
	random: () => number,
): readonly Submission[] {
	const submissions: Submission[] = []
	const slots = profile.executors * profile.slots
	const cpus = profile.workers * profile.cpu
	const exponential = (rate: number) => (-Math.log(1 - random()) / rate) * 1_000
	let index = 0
	let at = 0
	while (at < scenario.durationMs) {
		const rate = (offeredLoadAt(scenario, at) * slots * 1_000) / MEAN_RUN_MS
		at += exponential(rate)
		const type = random() < ONCE_SHARE ? "once" : "request"
		submissions.push({index: index++, atMs: at, type, runMs: [drawRunMs(random)]})
	}
	at = 0
	while (at < scenario.durationMs) {
		const tasks = (offeredLoadAt(scenario, at) * cpus * 1_000) / MEAN_RUN_MS
		at += exponential((tasks * 2 * JOB_SHARE_OF_WORK) / JOB_TASKS)
		const runMs = Array.from({length: JOB_TASKS}, () => drawRunMs(random))
		submissions.push({index: index++, atMs: at, type: "job", runMs})
	}
	return submissions.sort((a, b) => a.atMs - b.atMs)
}

interface Tally {
	readonly ratios: Histogram
	readonly ratiosOf: Readonly<Record<Submission["type"], Histogram>>
	readonly ends: Record<Outcome, number>
	goodMs: number
	offeredMs: number
	needed: number
}

const newHistogram = () => build({numberOfSignificantValueDigits: 3})

const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0)

async function runOne(work: Submission, send: Send, tally: Tally) {
	const startedAt = performance.now()
	const end = await send(work)
	const tookMs = performance.now() - startedAt
	tally.ends[end]++
	tally.offeredMs += sum(work.runMs)
	if (end !== "complete") return
	tally.goodMs += sum(work.runMs)
	tally.needed += work.runMs.length
	const ratio = Math.max(1, Math.round((tookMs / Math.max(...work.runMs)) * RATIO_SCALE))
	tally.ratios.recordValue(ratio)
	tally.ratiosOf[work.type].recordValue(ratio)
}

export interface CounterSums {
	readonly wasted: Readonly<Record<string, number>>
	readonly refusals: Readonly<Record<string, number>>
	readonly storeCalls: number
}

/** Sends all submissions at their times and returns the measurements. `readSums` is called before and after. */
export async function runLoad(
	submissions: readonly Submission[],
	profile: Profile,
	scenario: Scenario,
	send: Send,
	readSums: () => Promise<CounterSums>,
): Promise<Figures> {
	const tally: Tally = {
		ratios: newHistogram(),
		ratiosOf: {request: newHistogram(), once: newHistogram(), job: newHistogram()},
		ends: {complete: 0, refused: 0, failed: 0},
		goodMs: 0,
		offeredMs: 0,
		needed: 0,
	}
	const before = await readSums()
	const startedAt = performance.now()
	const pending: Promise<void>[] = []
	for (const work of submissions) {
		const waitMs = startedAt + work.atMs - performance.now()
		if (waitMs > 0) await new Promise(resolve => setTimeout(resolve, waitMs))
		pending.push(runOne(work, send, tally))
	}
	await Promise.all(pending)
	const tookMs = performance.now() - startedAt
	const after = await readSums()
	return toFigures(tally, before, after, tookMs, profile, scenario)
}

function difference(
	after: Readonly<Record<string, number>>,
	before: Readonly<Record<string, number>>,
) {
	const entries = Object.entries(after).map(([name, value]) => [name, value - (before[name] ?? 0)])
	return Object.fromEntries(entries.filter(([, value]) => value !== 0)) as Record<string, number>
}

function percentilesOf(ratios: Histogram): Percentiles {
	const at = (percentile: number) => ratios.getValueAtPercentile(percentile) / RATIO_SCALE
	return {p50: at(50), p99: at(99), p999: at(99.9)}
}

function toFigures(
	tally: Tally,
	before: CounterSums,
	after: CounterSums,
	tookMs: number,
	profile: Profile,
	scenario: Scenario,
): Figures {
	const wasted = difference(after.wasted, before.wasted)
	const units = profile.executors * profile.slots + profile.workers * profile.cpu
	const capacityMs = units * scenario.durationMs
	const reachableMs = Math.min(capacityMs, tally.offeredMs)
	return {
		responseOverIdeal: percentilesOf(tally.ratios),
		responseOverIdealOf: {
			request: percentilesOf(tally.ratiosOf.request),
			once: percentilesOf(tally.ratiosOf.once),
			job: percentilesOf(tally.ratiosOf.job),
		},
		wastedPerNeeded: sum(Object.values(wasted)) / Math.max(1, tally.needed),
		goodputOverCapacity: tally.goodMs / reachableMs,
		goodputOverOffered: tally.goodMs / tally.offeredMs,
		complete: tally.ends.complete,
		refused: tally.ends.refused,
		failed: tally.ends.failed,
		startsPerSecond: (tally.needed / tookMs) * 1_000,
		wastedByReason: wasted,
		refusalsByReason: difference(after.refusals, before.refusals),
		storeCallsPerSecond: ((after.storeCalls - before.storeCalls) / tookMs) * 1_000,
	}
}
