/**
 * The work and the executors of a replayed deployment: kinds of request, sizes of tasks and of executors, waves.
 */
import type {Queue} from "@cottonwood/jobs"

/** An objective is this many times a job's longest chain of work, and this much more. */
export const STRETCH = 1.6
export const SLACK_MS = 60

export interface ReplayKind {
	readonly name: string
	readonly priority: number
	/** Share of arrivals. */
	readonly weight: number
	/** Tasks of a job, on average. */
	readonly width: number
	/** Run time of a task, on average. */
	readonly workMs: number
	/** What a job of average work earns when it is in time. */
	readonly worth: number
}

export interface ReplayWork {
	readonly kinds: readonly ReplayKind[]
	readonly meanCpu: number
	readonly maxCpu: number
	/** Room of the executors of a domain, in turn, in thousandths of a core. */
	readonly roomCpu: readonly number[]
	/** How many times as long tasks take there. */
	readonly slowness: readonly number[]
	/** The rate of arrivals swings by this share around its mean, with a phase of its own in each domain. */
	readonly swing: number
	readonly swingPeriodMs: number
	/** This share of tasks takes so many times as long as its job's work says; none by default. */
	readonly tails?: {readonly share: number; readonly times: number}
}

/** Many short tasks, a few long ones, two of middle length: a third of the worth each. Two or three fit an executor. */
export const EARLIER_WORK: ReplayWork = {
	kinds: [
		{name: "short", priority: 0, weight: 0.245, width: 8, workMs: 60, worth: 0.0291},
		{name: "long", priority: 2, weight: 0.044, width: 4, workMs: 900, worth: 0.16},
		{name: "middle", priority: 1, weight: 0.711, width: 2, workMs: 200, worth: 0.01},
	],
	meanCpu: 27_000,
	maxCpu: 41_000,
	roomCpu: [64_000, 64_000, 96_000],
	slowness: [1, 1, 1.15],
	swing: 0,
	swingPeriodMs: 1,
}

/** More long tasks, and sizes of which two fit an executor every other time, in waves that move from domain to domain. */
export const PAIRED_WORK: ReplayWork = {
	kinds: [
		{name: "short", priority: 0, weight: 0.236, width: 8, workMs: 60, worth: 0.00485},
		{name: "long", priority: 2, weight: 0.0746, width: 4, workMs: 900, worth: 0.0267},
		{name: "middle", priority: 1, weight: 0.689, width: 2, workMs: 200, worth: 0.00167},
	],
	meanCpu: 16_000,
	maxCpu: 32_000,
	roomCpu: [32_000, 32_000, 48_000],
	slowness: [1, 1, 1],
	swing: 0.27,
	swingPeriodMs: 11_000,
}

/** Executors of three speeds and two sizes, in waves, with long tails. */
export const UNEVEN_WORK: ReplayWork = {
	kinds: [
		{name: "short", priority: 0, weight: 0.244, width: 8, workMs: 51, worth: 0.00485},
		{name: "long", priority: 2, weight: 0.0444, width: 4, workMs: 760, worth: 0.0267},
		{name: "middle", priority: 1, weight: 0.7116, width: 2, workMs: 170, worth: 0.00167},
	],
	meanCpu: 16_000,
	maxCpu: 32_000,
	roomCpu: [32_000, 32_000, 48_000, 32_000, 32_000, 48_000, 32_000, 32_000, 48_000],
	slowness: [0.6, 1, 1.6, 1, 1.6, 0.6, 1.6, 0.6, 1],
	swing: 0.55,
	swingPeriodMs: 11_000,
	tails: {share: 0.03, times: 7},
}

/** One queue for each kind of request. */
export function queuesOf({kinds}: ReplayWork): readonly Queue[] {
	return kinds.map(({name, priority}) => ({
		name,
		host: "jobs.example",
		pathPrefix: `/${name}/`,
		service: "svc",
		priority,
		maxAttempts: 3,
		stretch: STRETCH,
		slackMs: SLACK_MS,
	}))
}
