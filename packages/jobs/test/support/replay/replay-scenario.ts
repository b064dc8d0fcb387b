/**
 * Replays a load with faults through the placement decisions in virtual time, and returns what callers got. Used by the
 * replay tests.
 */
import {seededRandom} from "@cottonwood/standins"
import {createReplayClock} from "./replay-clock.js"
import type {ReplayExecutor} from "./replay-executor.js"
import {drawJobs, type ReplayJob} from "./replay-load.js"
import {EARLIER_WORK, type ReplayKind, type ReplayWork} from "./replay-work.js"
import {
	createReplayWorld,
	type ReplayShares,
	type ReplayWorld,
	type ReplayWorldOptions,
} from "./replay-world.js"

export type ReplayDisturbance = {
	readonly at: number
	readonly forMs: number
} &
	/** `times` as many jobs arrive, of one kind or of all. */
	(
		| {readonly type: "surge"; readonly times: number; readonly kind?: string}
		/** A share of the executors crashes; they restart at the end. */
		| {readonly type: "crash"; readonly share: number}
		/** Tasks on a share of the executors make no progress. */
		| {readonly type: "hang"; readonly share: number}
		| {readonly type: "slow"; readonly share: number; readonly times: number}
		/** A share of all orders gets no reply and is carried out late. */
		| {readonly type: "late orders"; readonly share: number}
		| {readonly type: "failing"; readonly share: number}
		| {readonly type: "cut"; readonly failureDomain: string}
		| {readonly type: "evacuation"; readonly failureDomain: string}
	)

export interface ReplayScenario {
	/** `EARLIER_WORK` by default. */
	readonly work?: ReplayWork
	readonly failureDomains?: readonly string[]
	readonly executorsPerDomain?: number
	readonly jobsPerSecond: number
	/** Relative rate of jobs in each domain. */
	readonly demand?: readonly number[]
	/** Whole jobs move for a forecast gain of this many milliseconds. Absent: they stay. */
	readonly crossDomainMs?: number
	/** Callers reach instances that place nothing themselves. */
	readonly hasEntries?: boolean
	readonly lengthMs: number
	readonly disturbances: readonly ReplayDisturbance[]
	/** How a domain's executor speeds are stored; by default each placer learns them for itself. */
	readonly openSpeedStore?: ReplayWorldOptions["openSpeedStore"]
	/** Jobs are judged by forecasts. */
	readonly isForecasting?: boolean
	readonly shares?: ReplayShares
}

/** Ratios of earned to possible credit; a late answer earns a fifth. */
export interface ReplayResult {
	readonly whole: number
	readonly kinds: Readonly<Record<string, number>>
	readonly domains: Readonly<Record<string, number>>
	/** By kind, the share of jobs with a successful and still useful answer. */
	readonly served: Readonly<Record<string, number>>
	readonly worstSeconds: number
	/** Shares of jobs. */
	readonly inTime: number
	readonly late: number
	readonly refused: number
	readonly failed: number
	/** Weighted mean of the whole and of the worst kind, domain and seconds: one figure to compare by. */
	readonly score: number
	readonly wastedCoreSeconds: number
	readonly doubled: number
	readonly overfilled: number
	/** Whole jobs, and single tasks, that went to another domain. */
	readonly movedJobs: number
	readonly movedTasks: number
}

const LATE_SHARE = 0.2
const USELESS_OBJECTIVES = 3
const WINDOW_MS = 2_000
/** Time for placers to connect to their executors. */
const LEAD_MS = 1_000
const TAIL_MS = 6_000
const RETURN_LISTED_MS = 1_000
const DEAD_LISTED_MS = 3_000
const WEIGHTS = Object.freeze({whole: 0.32, kind: 0.24, domain: 0.36, seconds: 0.08})

interface JudgedJob {
	readonly job: ReplayJob
	readonly credit: number
	readonly outcome: "inTime" | "late" | "refused" | "failed"
}

function judgeJob(job: ReplayJob, type: string, tookMs: number): JudgedJob {
	if (type === "refused") return {job, credit: 0, outcome: "refused"}
	const isUseless = tookMs > job.objectiveMs * USELESS_OBJECTIVES
	if (type !== "completed" || isUseless) return {job, credit: 0, outcome: "failed"}
	if (tookMs > job.objectiveMs) return {job, credit: LATE_SHARE * job.credit, outcome: "late"}
	return {job, credit: job.credit, outcome: "inTime"}
}

function creditRatio(judged: readonly JudgedJob[]): number {
	const owed = judged.reduce((sum, {job}) => sum + job.credit, 0)
	return owed === 0 ? 1 : judged.reduce((sum, {credit}) => sum + credit, 0) / owed
}

function groupsOf(judged: readonly JudgedJob[], keyOf: (one: JudgedJob) => string) {
	const groups: Record<string, number> = {}
	for (const key of new Set(judged.map(keyOf)))
		groups[key] = creditRatio(judged.filter(one => keyOf(one) === key))
	return groups
}

/** The sum of a counter over its reasons. */
function countOf(counters: string, name: string): number {
	const lines = counters.split("\n").filter(line => line.startsWith(`cottonwood_${name}{`))
	return lines.reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0)
}

async function resultOf(judged: readonly JudgedJob[], world: ReplayWorld): Promise<ReplayResult> {
	const counters = await world.counters()
	const whole = creditRatio(judged)
	const kinds = groupsOf(judged, ({job}) => job.kind.name)
	const domains = groupsOf(judged, ({job}) => job.failureDomain)
	const isServed = ({outcome}: JudgedJob) => outcome === "inTime" || outcome === "late"
	const served: Record<string, number> = {}
	for (const kind of Object.keys(kinds)) {
		const ofKind = judged.filter(({job}) => job.kind.name === kind)
		served[kind] = ofKind.filter(isServed).length / ofKind.length
	}
	const windows = Object.values(groupsOf(judged, ({job}) => String(Math.floor(job.at / WINDOW_MS))))
	const [worst = 1, next = worst] = windows.sort((a, b) => a - b)
	const worstSeconds = (worst + next) / 2
	const worstOf = (groups: Readonly<Record<string, number>>) => Math.min(...Object.values(groups))
	const share = (outcome: JudgedJob["outcome"]) =>
		judged.filter(one => one.outcome === outcome).length / judged.length
	const {executors} = world
	return {
		whole,
		kinds,
		domains,
		served,
		worstSeconds,
		inTime: share("inTime"),
		late: share("late"),
		refused: share("refused"),
		failed: share("failed"),
		score:
			WEIGHTS.whole * whole +
			WEIGHTS.kind * worstOf(kinds) +
			WEIGHTS.domain * worstOf(domains) +
			WEIGHTS.seconds * worstSeconds,
		wastedCoreSeconds: executors.reduce((sum, {wasted}) => sum + wasted, 0) / 1_000,
		doubled: world.doubled.length,
		overfilled: executors.reduce((sum, {overfilled}) => sum + overfilled, 0),
		movedJobs: countOf(counters, "whole_jobs_moved"),
		movedTasks: countOf(counters, "tasks_handed_over"),
	}
}

/** A random share of the executors that are alive. */
function pickExecutors(
	world: ReplayWorld,
	share: number,
	random: () => number,
): readonly ReplayExecutor[] {
	const sound = world.executors.filter(({faults}) => !faults.isDead)
	const chosen: ReplayExecutor[] = []
	for (let left = Math.round(sound.length * share); left > 0; left--)
		chosen.push(...sound.splice(Math.floor(random() * sound.length), 1))
	return chosen
}

type Clock = ReturnType<typeof createReplayClock>

function scheduleDisturbance(
	world: ReplayWorld,
	clock: Clock,
	disturbance: ReplayDisturbance,
	random: () => number,
) {
	const during = (begin: () => () => void) =>
		clock.schedule(disturbance.at, () => {
			const end = begin()
			clock.schedule(disturbance.forMs, end)
		})
	const duringFault = (share: number, change: Parameters<ReplayExecutor["setFault"]>[0]) =>
		during(() => {
			const chosen = pickExecutors(world, share, random)
			const before = chosen.map(({faults}) => ({...faults}))
			for (const executor of chosen) executor.setFault(change)
			return () => chosen.forEach((executor, at) => executor.setFault(before[at] ?? {}))
		})
	switch (disturbance.type) {
		case "surge":
			return
		case "crash":
			return during(() => {
				const chosen = pickExecutors(world, disturbance.share, random)
				for (const executor of chosen) {
					executor.setFault({isDead: true})
					clock.schedule(DEAD_LISTED_MS, () => world.setListed(executor, false))
				}
				return () =>
					clock.schedule(RETURN_LISTED_MS, () => chosen.forEach(one => world.replace(one)))
			})
		case "hang":
			return duringFault(disturbance.share, {isHanging: true})
		case "slow":
			return duringFault(disturbance.share, {slowness: disturbance.times})
		case "late orders":
			return duringFault(1, {lateShare: disturbance.share})
		case "failing":
			return duringFault(disturbance.share, {failShare: 1})
		case "evacuation":
			return during(() => {
				world.setEvacuated(disturbance.failureDomain, true)
				return () => world.setEvacuated(disturbance.failureDomain, false)
			})
		case "cut":
			return during(() => {
				world.setCut(disturbance.failureDomain, true)
				return () => world.setCut(disturbance.failureDomain, false)
			})
	}
}

/** Factor on the rate of a kind of job at a time. */
function surgeOf(disturbances: readonly ReplayDisturbance[]) {
	return (at: number, kind: ReplayKind) =>
		disturbances.reduce((times, disturbance) => {
			if (disturbance.type !== "surge" || (disturbance.kind && disturbance.kind !== kind.name))
				return times
			const isNow = at >= disturbance.at && at < disturbance.at + disturbance.forMs
			return isNow ? times * disturbance.times : times
		}, 1)
}

/** Replays one seed of a day. The same seed gives the same jobs and faults. */
export async function replay(day: ReplayScenario, seed: number): Promise<ReplayResult> {
	const clock = createReplayClock()
	const {work = EARLIER_WORK, failureDomains = ["a", "b", "c"]} = day
	const jobs = drawJobs(
		{
			work,
			failureDomains,
			jobsPerSecond: day.jobsPerSecond,
			demand: day.demand,
			lengthMs: day.lengthMs,
			surge: surgeOf(day.disturbances),
		},
		seededRandom(seed),
	)
	const world = createReplayWorld({
		work,
		failureDomains,
		executorsPerDomain: day.executorsPerDomain ?? 11,
		crossDomainMs: day.crossDomainMs,
		hasEntries: day.hasEntries,
		clock,
		random: seededRandom(seed + 1_000_003),
		openSpeedStore: day.openSpeedStore,
		isForecasting: day.isForecasting,
		shares: day.shares,
	})
	await clock.runUntil(LEAD_MS)
	const faultRandom = seededRandom(seed + 2_000_003)
	for (const disturbance of day.disturbances)
		scheduleDisturbance(world, clock, disturbance, faultRandom)
	const judged: JudgedJob[] = []
	for (const job of jobs)
		clock.schedule(job.at, () => {
			void world.submit(job).then(({end, tookMs}) => judged.push(judgeJob(job, end.type, tookMs)))
		})
	await clock.runUntil(LEAD_MS + day.lengthMs + TAIL_MS)
	return resultOf(judged, world)
}
