/** A job's resource demand, as admission counts it. */
import type {Demand} from "../decide/forecast.js"
import type {Queue} from "../types/fleet-config.js"
import type {Job} from "../types/job.js"
import {criticalPathMs, answerUsefulMs} from "./job-run.js"

const MILLICORES = 1_000

/** Core-milliseconds of all its tasks, by the estimates. */
export const jobWork = ({steps}: Job) =>
	steps.reduce((sum, {count, need, estimateMs}) => sum + count * need.cpu * estimateMs, 0) /
	MILLICORES

export function demandOf({steps}: Job): Demand {
	const first = steps.filter(({after}) => after.length === 0)
	const cores = first.reduce((sum, {count, need}) => sum + count * need.cpu, 0) / MILLICORES
	return {cores, chainMs: criticalPathMs(steps)}
}

/** The latest start with which the job's answer can still be of use, in milliseconds on the monotonic clock. */
export const latestUsefulStart = (job: Job, queue: Queue) =>
	job.receivedAt + answerUsefulMs(job, queue) - criticalPathMs(job.steps)
