/**
 * What the platform's pages promise about one job, judged by its answers and by the runs that executors saw.
 */
import type {LeasedPlatform} from "../leased/platform.js"
import type {CalledJob} from "./leased-callers.js"

const taskNames = ({id, tasks}: CalledJob) =>
	Array.from({length: tasks}, (_, at) => `${id}.0.0.${at}`)

/** The promises that were broken for one job. */
export function violationsOf(job: CalledJob, platform: LeasedPlatform): readonly string[] {
	const {id, isKept, statuses, state} = job
	const found: string[] = []
	const starts = taskNames(job).map(platform.startsOf)
	const dones = taskNames(job).map(platform.donesOf)
	const isRefusedAlways = statuses.length > 0 && statuses.every(status => status === 503)
	if (isRefusedAlways && starts.some(count => count > 0))
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
