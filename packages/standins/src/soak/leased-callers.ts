/**
 * Callers of the users' platform: they keep their connections open, come back as the contract says, and note
 * what they were told.
 */
import {askJob, handIn, type Edge, type EdgeFleet} from "../leased/edges.js"
import {sleep} from "../utils/sleep.js"

export interface CalledJob {
	readonly id: string
	readonly tasks: number
	readonly isKept: boolean
	/** Statuses of all tries; 0 for a broken connection. */
	readonly statuses: number[]
	/** What the last state was, for a kept job. */
	state: string | undefined
	isCancelAsked: boolean
}

export interface LeasedLoad {
	readonly random: () => number
	/** New jobs come while this holds. */
	readonly isNeeded: () => boolean
	readonly callers: number
	readonly shareKept: number
	readonly shareCancelled: number
}

/** From the contract: after silence, 502 or 504 the same id comes again after this. */
const RESUBMIT_MS = 1_300
const PAUSE_MS = 120
const MAX_TASKS = 5
const MAX_TRIES = 40
const MAX_WORK_MS = 500
/** Work of a kept job may take longer than its caller waits. */
const MAX_KEPT_WORK_MS = 1_500

function anyEdge({edges}: EdgeFleet, random: () => number): Edge {
	const newest = [...new Map(edges.map(edge => [edge.name, edge])).values()]
	return newest[Math.floor(random() * newest.length)] as Edge
}

async function tryOnce(fleet: EdgeFleet, job: CalledJob, workMs: number, load: LeasedLoad) {
	const body = {"best-effort": !job.isKept}
	const options = {count: job.tasks, spec: {workMs}, body}
	try {
		const answer = await handIn(anyEdge(fleet, load.random), job.id, options)
		job.statuses.push(answer.status)
		if (!job.isKept && answer.status === 200)
			job.state = (answer.body as {state: string} | undefined)?.state
		return answer.status
	} catch {
		job.statuses.push(0)
		return 0
	}
}

async function submit(fleet: EdgeFleet, job: CalledJob, workMs: number, load: LeasedLoad) {
	for (let tries = 0; tries < MAX_TRIES; tries++) {
		const status = await tryOnce(fleet, job, workMs, load)
		if (status === 200) return
		// A refused best-effort job is given up now and then, to see that it never ran.
		if (status === 503 && !job.isKept && load.random() < 0.3) return
		await sleep(RESUBMIT_MS)
	}
}

async function runCaller(
	fleet: EdgeFleet,
	load: LeasedLoad,
	jobs: CalledJob[],
	newId: () => string,
) {
	const {random} = load
	while (load.isNeeded()) {
		const isKept = random() < load.shareKept
		const tasks = 1 + Math.floor(random() * MAX_TASKS)
		const job: CalledJob = {
			id: newId(),
			tasks,
			isKept,
			statuses: [],
			state: undefined,
			isCancelAsked: false,
		}
		jobs.push(job)
		await submit(fleet, job, 10 + random() * (isKept ? MAX_KEPT_WORK_MS : MAX_WORK_MS), load)
		if (isKept && random() < load.shareCancelled) await cancel(fleet, job, random)
		await sleep(PAUSE_MS * random())
	}
}

async function cancel(fleet: EdgeFleet, job: CalledJob, random: () => number) {
	job.isCancelAsked = true
	for (let tries = 0; tries < MAX_TRIES; tries++) {
		try {
			const {status} = await askJob(anyEdge(fleet, random), job.id, "DELETE")
			if (status === 200 || status === 410) return
		} catch {
			// The instance is gone; another one is asked.
		}
		await sleep(PAUSE_MS)
	}
}

/** Runs callers until no more jobs are needed. */
export async function runLeasedCallers(
	fleet: EdgeFleet,
	load: LeasedLoad,
): Promise<readonly CalledJob[]> {
	const jobs: CalledJob[] = []
	let serial = 0
	const prefix = Math.floor(load.random() * 0xffff_ffff)
		.toString(16)
		.padStart(8, "0")
	const newId = () => prefix + (++serial).toString(16).padStart(8, "0")
	const callers = Array.from({length: load.callers}, () => runCaller(fleet, load, jobs, newId))
	await Promise.all(callers)
	return jobs
}

/** Asks for the states of kept jobs until all have ended, or time is over. */
export async function untilEnded(fleet: EdgeFleet, jobs: readonly CalledJob[], patienceMs: number) {
	const until = performance.now() + patienceMs
	const open = new Set(jobs.filter(job => job.isKept && job.statuses.includes(200)))
	while (open.size > 0 && performance.now() < until) {
		for (const job of open) {
			const answer = await askJob(anyEdge(fleet, Math.random), job.id).catch(() => undefined)
			if (answer?.status === 410) job.state = "unknown"
			else job.state = (answer?.body as {state?: string} | undefined)?.state ?? job.state
			if (["completed", "failed", "cancelled"].includes(job.state ?? "")) open.delete(job)
		}
		await sleep(PAUSE_MS)
	}
}
