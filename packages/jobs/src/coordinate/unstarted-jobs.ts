/**
 * The jobs at a placer that haven't started: those that can be on time by their latest useful start, then those admitted
 * late. Used by admission.
 */
import type {Forecast} from "../decide/forecast.js"
import type {Job} from "../types/job.js"
import type {Queue} from "../types/fleet-config.js"
import type {JobRun} from "./job-run.js"

export interface UnstartedJob {
	readonly job: Job
	readonly queue: Queue
	readonly run: JobRun
	/** Milliseconds on the monotonic clock. A later start can't be on time, or for a late job can't be of any use. */
	readonly startBy: number
	readonly isLate: boolean
	readonly takenAt: number
	readonly told: Forecast
	/** Core-milliseconds. */
	readonly work: number
}

export interface UnstartedJobs {
	add(item: UnstartedJob): void
	/** Returns whether the job was listed. */
	remove(item: UnstartedJob): boolean
	/** The jobs at the end of the order. */
	last(count: number): readonly UnstartedJob[]
	size(): number
	/** Core-milliseconds of the jobs admitted late. */
	lateWork(): number
}

function isBefore(a: UnstartedJob, b: UnstartedJob): boolean {
	return a.isLate === b.isLate ? a.startBy < b.startBy : b.isLate
}

export function createUnstartedJobs(): UnstartedJobs {
	const inOrder: UnstartedJob[] = []
	let lateWork = 0
	return {
		add(item) {
			let at = inOrder.length
			while (at > 0 && isBefore(item, inOrder[at - 1] as UnstartedJob)) at--
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
