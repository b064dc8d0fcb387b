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

export type ReplayTrouble = {
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

export interface ReplayDay {
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
	readonly troubles: readonly ReplayTrouble[]
	/** How a domain's executor speeds are stored; by default each placer learns them for itself. */
	readonly keepSpeeds?: ReplayWorldOptions["keepSpeeds"]
	/** Jobs are judged by forecasts. */
	readonly isForecasting?: boolean
	readonly shares?: ReplayShares
}

/** Ratios of earned to possible credit; a late answer earns a fifth. */
export interface ReplayFigures {
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
	readonly worth: number
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

interface Told {
	readonly job: ReplayJob
	readonly credit: number
	readonly outcome: "inTime" | "late" | "refused" | "failed"
}

function judge(job: ReplayJob, type: string, tookMs: number): Told {
	if (type === "refused") return {job, credit: 0, outcome: "refused"}
	const isUseless = tookMs > job.objectiveMs * USELESS_OBJECTIVES
	if (type !== "completed" || isUseless) return {job, credit: 0, outcome: "failed"}
	if (tookMs > job.objectiveMs) return {job, credit: LATE_SHARE * job.worth, outcome: "late"}
	return {job, credit: job.worth, outcome: "inTime"}
}

function shareOf(told: readonly Told[]): number {
	const owed = told.reduce((sum, {job}) => sum + job.worth, 0)
	return owed === 0 ? 1 : told.reduce((sum, {credit}) => sum + credit, 0) / owed
}

function groupsOf(told: readonly Told[], keyOf: (one: Told) => string) {
	const groups: Record<string, number> = {}
	for (const key of new Set(told.map(keyOf)))
		groups[key] = shareOf(told.filter(one => keyOf(one) === key))
	return groups
}

/** The sum of a counter over its reasons. */
function countOf(counters: string, name: string): number {
	const lines = counters.split("\n").filter(line => line.startsWith(`cottonwood_${name}{`))
	return lines.reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0)
}

async function figuresOf(told: readonly Told[], world: ReplayWorld): Promise<ReplayFigures> {
	const counters = await world.counters()
	const whole = shareOf(told)
	const kinds = groupsOf(told, ({job}) => job.kind.name)
	const domains = groupsOf(told, ({job}) => job.failureDomain)
	const isServed = ({outcome}: Told) => outcome === "inTime" || outcome === "late"
	const served: Record<string, number> = {}
	for (const kind of Object.keys(kinds)) {
		const ofKind = told.filter(({job}) => job.kind.name === kind)
		served[kind] = ofKind.filter(isServed).length / ofKind.length
	}
	const windows = Object.values(groupsOf(told, ({job}) => String(Math.floor(job.at / WINDOW_MS))))
	const [worst = 1, next = worst] = windows.sort((a, b) => a - b)
	const worstSeconds = (worst + next) / 2
	const worstOf = (groups: Readonly<Record<string, number>>) => Math.min(...Object.values(groups))
	const share = (outcome: Told["outcome"]) =>
		told.filter(one => one.outcome === outcome).length / told.length
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
		worth:
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
function pick(world: ReplayWorld, share: number, random: () => number): readonly ReplayExecutor[] {
	const sound = world.executors.filter(({faults}) => !faults.isDead)
	const chosen: ReplayExecutor[] = []
	for (let left = Math.round(sound.length * share); left > 0; left--)
		chosen.push(...sound.splice(Math.floor(random() * sound.length), 1))
	return chosen
}

type Clock = ReturnType<typeof createReplayClock>

function arrange(world: ReplayWorld, clock: Clock, trouble: ReplayTrouble, random: () => number) {
	const during = (begin: () => () => void) =>
		clock.schedule(trouble.at, () => {
			const end = begin()
			clock.schedule(trouble.forMs, end)
		})
	const struck = (share: number, change: Parameters<ReplayExecutor["setFault"]>[0]) =>
		during(() => {
			const chosen = pick(world, share, random)
			const before = chosen.map(({faults}) => ({...faults}))
			for (const executor of chosen) executor.setFault(change)
			return () => chosen.forEach((executor, at) => executor.setFault(before[at] ?? {}))
		})
	switch (trouble.type) {
		case "surge":
			return
		case "crash":
			return during(() => {
				const chosen = pick(world, trouble.share, random)
				for (const executor of chosen) {
					executor.setFault({isDead: true})
					clock.schedule(DEAD_LISTED_MS, () => world.setListed(executor, false))
				}
				return () =>
					clock.schedule(RETURN_LISTED_MS, () => chosen.forEach(one => world.replace(one)))
			})
		case "hang":
			return struck(trouble.share, {isHanging: true})
		case "slow":
			return struck(trouble.share, {slowness: trouble.times})
		case "late orders":
			return struck(1, {lateShare: trouble.share})
		case "failing":
			return struck(trouble.share, {failShare: 1})
		case "evacuation":
			return during(() => {
				world.setEvacuated(trouble.failureDomain, true)
				return () => world.setEvacuated(trouble.failureDomain, false)
			})
		case "cut":
			return during(() => {
				world.setCut(trouble.failureDomain, true)
				return () => world.setCut(trouble.failureDomain, false)
			})
	}
}

/** Factor on the rate of a kind of job at a time. */
function surgeOf(troubles: readonly ReplayTrouble[]) {
	return (at: number, kind: ReplayKind) =>
		troubles.reduce((times, trouble) => {
			if (trouble.type !== "surge" || (trouble.kind && trouble.kind !== kind.name)) return times
			const isNow = at >= trouble.at && at < trouble.at + trouble.forMs
			return isNow ? times * trouble.times : times
		}, 1)
}

/** Replays one seed of a day. The same seed gives the same jobs and faults. */
export async function replay(day: ReplayDay, seed: number): Promise<ReplayFigures> {
	const clock = createReplayClock()
	const {work = EARLIER_WORK, failureDomains = ["a", "b", "c"]} = day
	const jobs = drawJobs(
		{
			work,
			failureDomains,
			jobsPerSecond: day.jobsPerSecond,
			demand: day.demand,
			lengthMs: day.lengthMs,
			surge: surgeOf(day.troubles),
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
		keepSpeeds: day.keepSpeeds,
		isForecasting: day.isForecasting,
		shares: day.shares,
	})
	await clock.runUntil(LEAD_MS)
	const luck = seededRandom(seed + 2_000_003)
	for (const trouble of day.troubles) arrange(world, clock, trouble, luck)
	const told: Told[] = []
	for (const job of jobs)
		clock.schedule(job.at, () => {
			void world.submit(job).then(({end, tookMs}) => told.push(judge(job, end.type, tookMs)))
		})
	await clock.runUntil(LEAD_MS + day.lengthMs + TAIL_MS)
	return figuresOf(told, world)
}
