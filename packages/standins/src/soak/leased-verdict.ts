/**
 * Checks the platform contract for one job after a soak, from the job's answers and the runs that executors recorded.
 */
import type {EdgeFleet} from "../leased/edges.js"
import type {LeasedPlatform} from "../leased/platform.js"
import type {CalledJob} from "./leased-callers.js"

export interface ProcessCounts {
	readonly started: number
	/** SIGHUP sent to processes that ended since. */
	readonly hangUps: number
	/** Processes that a SIGHUP ended before the program began to load its code, which no program can prevent. */
	readonly earlyHangUps: number
}

export const countProcesses = ({edges, ends, earlyHangUps}: EdgeFleet): ProcessCounts => ({
	started: edges.length,
	hangUps: ends.reduce((sum, {hangUps}) => sum + hangUps, 0),
	earlyHangUps: earlyHangUps().length,
})

const taskNames = ({id, tasks}: CalledJob) =>
	Array.from({length: tasks}, (_, at) => `${id}.0.0.${at}`)

/** Returns one line for each guarantee that was violated for the job. */
export function violationsOf(job: CalledJob, platform: LeasedPlatform): readonly string[] {
	const {id, isKept, statuses, state} = job
	const found: string[] = []
	const starts = taskNames(job).map(platform.startsOf)
	const dones = taskNames(job).map(platform.donesOf)
	const isAlwaysRefused = statuses.length > 0 && statuses.every(status => status === 503)
	if (isAlwaysRefused && starts.some(count => count > 0))
		found.push(`REFUSED: ${id} was refused each time, and started`)
	if (state === "completed" && dones.some(count => count === 0))
		found.push(`MIXED: ${id} is shown as completed, and a task never ended so`)
	if (!isKept) return found
	const isAccepted = statuses.includes(200)
	if (isAccepted && state === "unknown") found.push(`LOST: ${id} is unknown`)
	if (isAccepted && !job.isCancelAsked && state !== "completed" && state !== "failed")
		found.push(`LOST: ${id} is ${state} at the end`)
	return found
}
