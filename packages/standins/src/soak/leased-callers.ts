/**
 * Callers of the platform soak. They resubmit as the contract says, with connections kept open, and record every
 * answer.
 */
import {askJob, handIn, type Edge, type EdgeFleet} from "../leased/edges.js"
import {sleep} from "../utils/sleep.js"

export interface CalledJob {
	readonly id: string
	readonly tasks: number
	readonly isKept: boolean
	/** HTTP statuses of all tries, 0 for a failed connection. */
	readonly statuses: number[]
	/** Last reported state. */
	state: string | undefined
	isCancelAsked: boolean
}

export interface LeasedLoad {
	readonly random: () => number
	/** New jobs are submitted while this returns true. */
	readonly isNeeded: () => boolean
	readonly callers: number
	readonly keptShare: number
	readonly cancelledShare: number
}

/** Contract delay before the same id is resubmitted after silence, 502 or 504. */
const RESUBMIT_MS = 1_300
const PAUSE_MS = 120
const MAX_TASKS = 5
const MAX_TRIES = 40
const MAX_WORK_MS = 500
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
		// Gives up some refused best-effort jobs, to check that they never ran.
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
		const isKept = random() < load.keptShare
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
		if (isKept && random() < load.cancelledShare) await cancel(fleet, job, random)
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
			// The instance is down: the next try asks another one.
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

/** Polls the states of accepted kept jobs until all have ended or the time is over. */
export async function waitUntilEnded(
	fleet: EdgeFleet,
	jobs: readonly CalledJob[],
	timeoutMs: number,
) {
	const until = performance.now() + timeoutMs
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
