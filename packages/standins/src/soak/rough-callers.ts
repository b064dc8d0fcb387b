/**
 * Callers that come back as the contract says while their old work may go on: after silence, a broken connection, 502
 * or 504 the same id is handed in again 1,300 ms later, at any instance.
 */
import {handIn, type Edge} from "../leased/edges.js"
import {seededRandom} from "../utils/random.js"
import type {CalledJob} from "./leased-callers.js"
import {newestEdges} from "./leased-faults.js"
import type {RoughWorld} from "./rough-world.js"
import {sleep} from "../utils/sleep.js"

interface Wish {
	readonly workMs: number
	/** The caller stops waiting then. */
	readonly deadlineMs: number
	/** Whether it closes its connection when it stops waiting. */
	readonly closes: boolean
}

export interface ReturnedJob extends CalledJob {
	/** When it was handed in, and what came of it after how many milliseconds. */
	readonly wish: Wish
	readonly tries: {readonly at: string; readonly instance: string; status: number; tookMs: number}[]
}

export interface RoughLoad {
	readonly seed: number
	readonly callers: number
	/** New jobs come while this holds. */
	readonly isNeeded: () => boolean
	readonly shareKept: number
	/** Of callers that close their connection when they stop waiting; the others leave it open. */
	readonly shareClosing: number
}

/** From the contract. */
const RESUBMIT_MS = 1_300
/** Tries of one job; fewer once no more jobs are needed. */
const MAX_TRIES = 12
const LAST_TRIES = 3
const MAX_TASKS = 4
/** Of 64,000 at an executor: all callers together fill most of what there is. */
const TASK_CPU = 2_000
const LONGEST_PAUSE_MS = 150
/** Work as long as a takeover, and short work in between. */
const SHARE_LONG = 0.5
const LEAST_LONG_MS = 500
const MOST_LONG_MS = 3_000
const LEAST_SHORT_MS = 20
const MOST_SHORT_MS = 400
/** Of callers that wait for a short time only. */
const SHARE_HASTY = 0.35
const HASTY_MS = 1_500
const PATIENT_MS = [4_000, 10_000] as const
/** The least estimate: jobs that cannot be in time are refused, which is not what is looked for here. */
const LEAST_ESTIMATE_MS = 500

const between = (least: number, most: number, random: () => number) =>
	least + random() * (most - least)

/** 16 hexadecimal digits, as the contract has it. */
const idOf = (caller: number, serial: number) =>
	[caller, serial].map(part => part.toString(16).padStart(8, "0")).join("")

function drawWish(random: () => number, shareClosing: number): Wish {
	const isLong = random() < SHARE_LONG
	const isHasty = random() < SHARE_HASTY
	const workMs = isLong
		? between(LEAST_LONG_MS, isHasty ? HASTY_MS : MOST_LONG_MS, random)
		: between(LEAST_SHORT_MS, MOST_SHORT_MS, random)
	const deadlineMs = isHasty ? HASTY_MS : Math.round(between(...PATIENT_MS, random))
	return {workMs, deadlineMs, closes: random() < shareClosing}
}

/** Hands in once and waits for its deadline; 0 stands for silence and for a broken connection. */
async function tryOnce(edge: Edge, job: ReturnedJob): Promise<number> {
	const {wish} = job
	const controller = new AbortController()
	const answer = handIn(edge, job.id, {
		count: job.tasks,
		cpu: TASK_CPU,
		estimateMs: Math.round(Math.max(LEAST_ESTIMATE_MS, wish.workMs)),
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
	for (let tries = 0; tries < (isNeeded() ? MAX_TRIES : LAST_TRIES); tries++) {
		const edges = [...newestEdges(world.fleet).values()]
		const edge = edges[Math.floor(random() * edges.length)] as Edge
		const began = performance.now()
		const entry = {at: new Date().toISOString(), instance: edge.name, status: -1, tookMs: 0}
		job.tries.push(entry)
		entry.status = await tryOnce(edge, job)
		entry.tookMs = Math.round(performance.now() - began)
		job.statuses.push(entry.status)
		if (entry.status === 400) throw new Error(`${edge.name} finds a job malformed`)
		// Refused is an answer: it may be tried again elsewhere, and often is not.
		if (entry.status === 200 || (entry.status === 503 && random() < 0.5)) return
		await sleep(RESUBMIT_MS)
	}
}

async function runCaller(world: RoughWorld, load: RoughLoad, at: number, jobs: ReturnedJob[]) {
	const random = seededRandom(load.seed + at)
	for (let serial = 0; load.isNeeded(); serial++) {
		const id = idOf(at, serial)
		const isKept = random() < load.shareKept
		const tasks = 1 + Math.floor(random() * MAX_TASKS)
		const wish = drawWish(random, load.shareClosing)
		const answers = {statuses: [], tries: [], state: undefined, isCancelAsked: false}
		const job: ReturnedJob = {id, tasks, isKept, wish, ...answers}
		jobs.push(job)
		await submit(world, job, random, load.isNeeded)
		await sleep(LONGEST_PAUSE_MS * random())
	}
}

/** Runs callers until no more jobs are needed, and each has its answer. */
export async function runRoughCallers(
	world: RoughWorld,
	load: RoughLoad,
): Promise<readonly ReturnedJob[]> {
	const jobs: ReturnedJob[] = []
	await Promise.all(Array.from({length: load.callers}, (_, at) => runCaller(world, load, at, jobs)))
	return jobs
}
