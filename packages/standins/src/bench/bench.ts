/**
 * The cases of `npm run bench`. Each runs against one entry instance and returns its measurements.
 */
import {build} from "hdr-histogram-js"
import {Agent, request} from "undici"
import {randomUUID} from "node:crypto"
import {submitJob, submitRequest} from "../fleet/client.js"
import type {Fleet} from "../fleet/fleet.js"
import {readUsage} from "./usage.js"

export interface BenchFigures {
	readonly name: string
	/** Submissions per second. */
	readonly perSecond: number
	readonly startsPerSecond: number
	readonly p50Ms: number
	readonly p99Ms: number
	/** The entry instance's processor time per start, in microseconds. */
	readonly cpuUsPerStart: number
	readonly cpuShare: number
	readonly rssMb: number
	readonly failures: number
}

export interface BenchCase {
	readonly name: string
	readonly startsEach: number
	/** Sends one submission. Returns whether the answer was complete. */
	readonly send: (fleet: Fleet, dispatcher: Agent) => Promise<boolean>
	readonly concurrency: number
	/** Submissions per second of an open loop; undefined for a closed loop. */
	readonly rate?: number
}

const US_PER_MS = 1_000

const isComplete = (answer: {readonly body: {readonly status?: string}}) =>
	answer.body.status === "complete"

const TASKS = 100
const jobBody = {
	tasks: Array.from({length: TASKS}, () => ({kind: "bench", payload: {ms: 10}})),
	repeatable: true,
}

/** Baseline: one request sent directly to an executor. */
const sendDirect: BenchCase["send"] = async (fleet, dispatcher) => {
	const {port} = fleet.executors[Math.floor(Math.random() * fleet.executors.length)]!
	const res = await request(`http://127.0.0.1:${port}/invoke`, {
		method: "POST",
		dispatcher,
		headers: {"content-type": "application/json", "cottonwood-attempt": "x"},
		body: JSON.stringify({ms: 2}),
	})
	await res.body.dump()
	return res.statusCode === 200
}

const sendRequest = (repeatable: boolean): BenchCase["send"] => {
	return async (fleet, dispatcher) => {
		const body = {endpoint: "inventory", payload: {ms: 2}, repeatable}
		const id = randomUUID()
		return isComplete(await submitRequest(fleet.entries[0]!.url, body, {id, dispatcher}))
	}
}

const sendJob: BenchCase["send"] = async (fleet, dispatcher) =>
	isComplete(await submitJob(fleet.entries[0]!.url, jobBody, {id: randomUUID(), dispatcher}))

export const BENCH_CASES: readonly BenchCase[] = Object.freeze([
	{name: "straight to the executor", startsEach: 1, send: sendDirect, concurrency: 64},
	{name: "repeatable requests, full", startsEach: 1, send: sendRequest(true), concurrency: 64},
	{
		name: "repeatable requests, 500/s",
		startsEach: 1,
		send: sendRequest(true),
		concurrency: 64,
		rate: 500,
	},
	{name: "requests run once, full", startsEach: 1, send: sendRequest(false), concurrency: 64},
	{
		name: "requests run once, 300/s",
		startsEach: 1,
		send: sendRequest(false),
		concurrency: 64,
		rate: 300,
	},
	{name: `jobs of ${TASKS} tasks, full`, startsEach: TASKS, send: sendJob, concurrency: 8},
])

/** Runs one case for `ms` milliseconds and returns its measurements. */
export async function runCase(fleet: Fleet, item: BenchCase, ms: number): Promise<BenchFigures> {
	const dispatcher = new Agent({connections: item.concurrency, pipelining: 1})
	const times = build({numberOfSignificantValueDigits: 3})
	const {pid} = fleet.entries[0]!.process
	let failures = 0
	let done = 0
	const sendOne = async () => {
		const startedAt = performance.now()
		const wasComplete = await item.send(fleet, dispatcher).catch(() => false)
		times.recordValue(Math.max(1, Math.round((performance.now() - startedAt) * US_PER_MS)))
		done++
		if (!wasComplete) failures++
	}
	const before = readUsage(pid)
	const startedAt = performance.now()
	const until = startedAt + ms
	if (item.rate === undefined) {
		const loop = async () => {
			while (performance.now() < until) await sendOne()
		}
		await Promise.all(Array.from({length: item.concurrency}, loop))
	} else {
		const sends: Promise<void>[] = []
		for (let i = 0; performance.now() < until; i++) {
			const waitMs = startedAt + (i * 1_000) / item.rate - performance.now()
			if (waitMs > 0) await new Promise(resolve => setTimeout(resolve, waitMs))
			sends.push(sendOne())
		}
		await Promise.all(sends)
	}
	const tookMs = performance.now() - startedAt
	const after = readUsage(pid)
	await dispatcher.close()
	const starts = done * item.startsEach
	const cpuMs = after.cpuMs - before.cpuMs
	return {
		name: item.name,
		perSecond: (done / tookMs) * 1_000,
		startsPerSecond: (starts / tookMs) * 1_000,
		p50Ms: times.getValueAtPercentile(50) / US_PER_MS,
		p99Ms: times.getValueAtPercentile(99) / US_PER_MS,
		cpuUsPerStart: (cpuMs * US_PER_MS) / starts,
		cpuShare: cpuMs / tookMs,
		rssMb: after.rssMb,
		failures,
	}
}
