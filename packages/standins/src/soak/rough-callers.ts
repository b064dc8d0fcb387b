/**
 * Callers of the rough soak. They resubmit as the contract says, at any instance, while the earlier run of the id may
 * still go on.
 */
import {handIn, type Edge} from "../leased/edges.js"
import {seededRandom} from "../utils/random.js"
import type {CalledJob} from "./leased-callers.js"
import {newestEdges} from "./leased-faults.js"
import type {RoughWorld} from "./rough-world.js"
import {sleep} from "../utils/sleep.js"

interface JobPlan {
	readonly workMs: number
	/** How long the caller waits. */
	readonly deadlineMs: number
	/** Whether the caller then closes the connection. */
	readonly closes: boolean
}

export interface ReturnedJob extends CalledJob {
	readonly wish: JobPlan
	/** Time, instance, HTTP status and duration of each try. */
	readonly tries: {readonly at: string; readonly instance: string; status: number; tookMs: number}[]
}

export interface RoughLoad {
	readonly seed: number
	readonly callers: number
	/** New jobs are submitted while this returns true. */
	readonly isNeeded: () => boolean
	readonly keptShare: number
	/** Share of jobs whose caller closes the connection when it stops waiting. */
	readonly shareClosing: number
}

/** Contract delay before the same id is resubmitted. */
const RESUBMIT_MS = 1_300
/** Tries of one job, and tries once no more jobs are needed. */
const MAX_TRIES = 12
const MAX_FINAL_TRIES = 3
const MAX_TASKS = 4
/** CPU of a task, so that the callers together use most of the executors' capacity. */
const TASK_CPU = 2_000
const MAX_PAUSE_MS = 150
/** Share of jobs that last as long as a takeover. */
const LONG_SHARE = 0.5
const MIN_LONG_MS = 500
const MAX_LONG_MS = 3_000
const MIN_SHORT_MS = 20
const MAX_SHORT_MS = 400
/** Share of jobs with a short deadline. */
const SHORT_DEADLINE_SHARE = 0.35
const SHORT_DEADLINE_MS = 1_500
const LONG_DEADLINE_RANGE_MS = [4_000, 10_000] as const
const MIN_ESTIMATE_MS = 500

const between = (least: number, most: number, random: () => number) =>
	least + random() * (most - least)

/** Returns an id of 16 hexadecimal digits, as the contract requires. */
const idOf = (caller: number, serial: number) =>
	[caller, serial].map(part => part.toString(16).padStart(8, "0")).join("")

function drawJobPlan(random: () => number, shareClosing: number): JobPlan {
	const isLong = random() < LONG_SHARE
	const hasShortDeadline = random() < SHORT_DEADLINE_SHARE
	const workMs = isLong
		? between(MIN_LONG_MS, hasShortDeadline ? SHORT_DEADLINE_MS : MAX_LONG_MS, random)
		: between(MIN_SHORT_MS, MAX_SHORT_MS, random)
	const deadlineMs = hasShortDeadline
		? SHORT_DEADLINE_MS
		: Math.round(between(...LONG_DEADLINE_RANGE_MS, random))
	return {workMs, deadlineMs, closes: random() < shareClosing}
}

/** Submits once. Returns the status, or 0 for a failed connection or no answer by the deadline. */
async function tryOnce(edge: Edge, job: ReturnedJob): Promise<number> {
	const {wish} = job
	const controller = new AbortController()
	const answer = handIn(edge, job.id, {
		count: job.tasks,
		cpu: TASK_CPU,
		estimateMs: Math.round(Math.max(MIN_ESTIMATE_MS, wish.workMs)),
		deadlineMs: wish.deadlineMs,
		spec: {workMs: wish.workMs},
		body: {"best-effort": !job.isKept},
		signal: controller.signal,
	}).then(
		({status, body}) => {
			if (status === 200 && !job.isKept) job.state = (body as {state?: string} | undefined)?.state
			return status
		},
		() => 0,
	)
	let timer: NodeJS.Timeout | undefined
	const silence = new Promise<number>(resolve => {
		timer = setTimeout(() => {
			if (wish.closes) controller.abort()
			resolve(0)
		}, wish.deadlineMs)
	})
	const status = await Promise.race([answer, silence])
	clearTimeout(timer)
	return status
}

async function submit(
	world: RoughWorld,
	job: ReturnedJob,
	random: () => number,
	isNeeded: () => boolean,
) {
	for (let tries = 0; tries < (isNeeded() ? MAX_TRIES : MAX_FINAL_TRIES); tries++) {
		const edges = [...newestEdges(world.fleet).values()]
		const edge = edges[Math.floor(random() * edges.length)] as Edge
		const began = performance.now()
		const entry = {at: new Date().toISOString(), instance: edge.name, status: -1, tookMs: 0}
		job.tries.push(entry)
		entry.status = await tryOnce(edge, job)
		entry.tookMs = Math.round(performance.now() - began)
		job.statuses.push(entry.status)
		if (entry.status === 400)
			throw new Error(`${edge.name} answered 400, expected a well-formed job to be accepted`)
		// Half of the refused jobs are tried again.
		if (entry.status === 200 || (entry.status === 503 && random() < 0.5)) return
		await sleep(RESUBMIT_MS)
	}
}

async function runCaller(world: RoughWorld, load: RoughLoad, at: number, jobs: ReturnedJob[]) {
	const random = seededRandom(load.seed + at)
	for (let serial = 0; load.isNeeded(); serial++) {
		const id = idOf(at, serial)
		const isKept = random() < load.keptShare
		const tasks = 1 + Math.floor(random() * MAX_TASKS)
		const wish = drawJobPlan(random, load.shareClosing)
		const answers = {statuses: [], tries: [], state: undefined, isCancelAsked: false}
		const job: ReturnedJob = {id, tasks, isKept, wish, ...answers}
		jobs.push(job)
		await submit(world, job, random, load.isNeeded)
		await sleep(MAX_PAUSE_MS * random())
	}
}

/** Runs callers until no more jobs are needed and each caller has finished its last job. */
export async function runRoughCallers(
	world: RoughWorld,
	load: RoughLoad,
): Promise<readonly ReturnedJob[]> {
	const jobs: ReturnedJob[] = []
	await Promise.all(Array.from({length: load.callers}, (_, at) => runCaller(world, load, at, jobs)))
	return jobs
}
