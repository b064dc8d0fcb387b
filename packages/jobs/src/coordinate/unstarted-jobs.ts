/**
 * The jobs at a placer of which nothing has started: those that can be in time by their latest useful start, then those
 * that were taken as late.
 */
import type {Forecast} from "../decide/forecast.js"
import type {Job} from "../types/job.js"
import type {Queue} from "../types/fleet-config.js"
import type {JobRun} from "./job-run.js"

export interface UnstartedJob {
	readonly job: Job
	readonly queue: Queue
	readonly run: JobRun
	/** Steady milliseconds: a start after this is of no use, for late ones to be of any use at all. */
	readonly startBy: number
	readonly isLate: boolean
	readonly takenAt: number
	readonly told: Forecast
	/** Core-milliseconds. */
	readonly work: number
}

export interface UnstartedJobs {
	add(item: UnstartedJob): void
	/** Whether it was there. */
	remove(item: UnstartedJob): boolean
	/** The last of the order. */
	last(count: number): readonly UnstartedJob[]
	size(): number
	/** Core-milliseconds of those that were taken as late. */
	lateWork(): number
}

function goesBefore(a: UnstartedJob, b: UnstartedJob): boolean {
	return a.isLate === b.isLate ? a.startBy < b.startBy : b.isLate
}

export function createUnstartedJobs(): UnstartedJobs {
	const inOrder: UnstartedJob[] = []
	let lateWork = 0
	return {
		add(item) {
			let at = inOrder.length
			while (at > 0 && goesBefore(item, inOrder[at - 1] as UnstartedJob)) at--
			inOrder.splice(at, 0, item)
			if (item.isLate) lateWork += item.work
		},
		remove(item) {
			const at = inOrder.indexOf(item)
			if (at < 0) return false
			inOrder.splice(at, 1)
			if (item.isLate) lateWork = Math.max(0, lateWork - item.work)
			return true
		},
		last: count => inOrder.slice(-count),
		size: () => inOrder.length,
		lateWork: () => lateWork,
	}
}
