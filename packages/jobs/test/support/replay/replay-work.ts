/** The work and the executors of a replayed deployment: kinds of job, sizes of tasks and executors, and waves of demand. */
import type {Queue} from "@cottonwood/jobs"

/** A job's objective is `STRETCH` times its longest chain of work, plus `SLACK_MS`. */
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
	/** Credit of a job of average work that is on time. */
	readonly credit: number
}

export interface ReplayWork {
	readonly kinds: readonly ReplayKind[]
	readonly meanCpu: number
	readonly maxCpu: number
	/** Capacity of a domain's executors, in turn, in thousandths of a core. */
	readonly roomCpu: readonly number[]
	/** Factor on the run times there. */
	readonly slowness: readonly number[]
	/** The arrival rate swings by this share around its mean, with an own phase in each domain. */
	readonly swing: number
	readonly swingPeriodMs: number
	/** Share of tasks that take `times` as long as drawn; none by default. */
	readonly tails?: {readonly share: number; readonly times: number}
}

/**
 * Many short tasks, a few long ones and some of middle length, with a third of the credit each. Two or three fit an
 * executor.
 */
export const EARLIER_WORK: ReplayWork = {
	kinds: [
		{name: "short", priority: 0, weight: 0.245, width: 8, workMs: 60, credit: 0.0291},
		{name: "long", priority: 2, weight: 0.044, width: 4, workMs: 900, credit: 0.16},
		{name: "middle", priority: 1, weight: 0.711, width: 2, workMs: 200, credit: 0.01},
	],
	meanCpu: 27_000,
	maxCpu: 41_000,
	roomCpu: [64_000, 64_000, 96_000],
	slowness: [1, 1, 1.15],
	swing: 0,
	swingPeriodMs: 1,
}

/** More long tasks, in sizes of which two fit an executor only every other time; waves move from domain to domain. */
export const PAIRED_WORK: ReplayWork = {
	kinds: [
		{name: "short", priority: 0, weight: 0.236, width: 8, workMs: 60, credit: 0.00485},
		{name: "long", priority: 2, weight: 0.0746, width: 4, workMs: 900, credit: 0.0267},
		{name: "middle", priority: 1, weight: 0.689, width: 2, workMs: 200, credit: 0.00167},
	],
	meanCpu: 16_000,
	maxCpu: 32_000,
	roomCpu: [32_000, 32_000, 48_000],
	slowness: [1, 1, 1],
	swing: 0.27,
	swingPeriodMs: 11_000,
}

/** Executors of three speeds and two sizes, waves of demand, and tasks with long tails. */
export const UNEVEN_WORK: ReplayWork = {
	kinds: [
		{name: "short", priority: 0, weight: 0.244, width: 8, workMs: 51, credit: 0.00485},
		{name: "long", priority: 2, weight: 0.0444, width: 4, workMs: 760, credit: 0.0267},
		{name: "middle", priority: 1, weight: 0.7116, width: 2, workMs: 170, credit: 0.00167},
	],
	meanCpu: 16_000,
	maxCpu: 32_000,
	roomCpu: [32_000, 32_000, 48_000, 32_000, 32_000, 48_000, 32_000, 32_000, 48_000],
	slowness: [0.6, 1, 1.6, 1, 1.6, 0.6, 1.6, 0.6, 1],
	swing: 0.55,
	swingPeriodMs: 11_000,
	tails: {share: 0.03, times: 7},
}

/** One queue for each kind of job. */
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
