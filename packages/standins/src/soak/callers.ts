/**
 * Callers of the product soak. Each id is sent to several entry instances, concurrently and repeatedly, until it has a
 * final answer.
 */
import {randomUUID} from "node:crypto"
import {submitJob, submitRequest, type CallerAnswer} from "../fleet/client.js"
import type {Fleet} from "../fleet/fleet.js"
import type {Exchange} from "./verdict.js"
import {sleep} from "../utils/sleep.js"

export interface CallerLoad {
	/** Minimum number of ids. */
	readonly submissions: number
	/** New ids are submitted while this returns true. */
	readonly isNeeded: () => boolean
	readonly concurrency: number
	readonly random: () => number
	/** Maximum sends of one id. */
	readonly maxSends: number
	readonly jobShare: number
	readonly duplicateShare: number
	readonly deadlineMs: number
	readonly endpoint: string
	readonly taskMs: number
}

export const DEFAULT_LOAD = Object.freeze({
	submissions: 200,
	concurrency: 24,
	maxSends: 5,
	jobShare: 0.2,
	duplicateShare: 0.4,
	deadlineMs: 6_000,
	endpoint: "inventory",
	taskMs: 20,
})

const PAUSE_MS = 300
const MAX_JOB_TASKS = 8
const CALLER = "soak"

function newExchange(load: CallerLoad, index: number): Exchange {
	const isJob = load.random() < load.jobShare
	const id = randomUUID()
	const tasks = isJob ? 2 + Math.floor(load.random() * (MAX_JOB_TASKS - 1)) : 1
	const mark = `${index}:${id}`
	return {
		caller: CALLER,
		id,
		type: isJob ? "job" : "request",
		tasks,
		repeatable: false,
		answers: [],
		broken: 0,
		sent: 0,
		isOwnValue: isJob
			? value =>
					Array.isArray(value) &&
					value.length === tasks &&
					value.every((item, task) => item === `${mark}:${task}`)
			: value => (value as {payload?: {mark?: string}} | null)?.payload?.mark === mark,
	}
}

function bodyOf(exchange: Exchange, load: CallerLoad, index: number, ms: number): unknown {
	const mark = `${index}:${exchange.id}`
	if (exchange.type === "request") return {endpoint: load.endpoint, payload: {ms, mark}}
	const tasks = Array.from({length: exchange.tasks}, (_, task) => ({
		kind: "soak",
		payload: {ms, value: `${mark}:${task}`},
	}))
	return {tasks}
}

async function sendOnce(fleet: Fleet, exchange: Exchange, body: unknown, load: CallerLoad) {
	const entry = fleet.entries[Math.floor(load.random() * fleet.entries.length)]!
	const submit = exchange.type === "job" ? submitJob : submitRequest
	exchange.sent++
	try {
		const options = {
			id: exchange.id,
			caller: exchange.caller,
			deadlineMs: load.deadlineMs,
			patienceMs: load.deadlineMs * 2,
		}
		exchange.answers.push(await submit(entry.url, body, options))
	} catch {
		exchange.broken++
	}
}

function isFinal(answer: CallerAnswer | undefined): boolean {
	return answer !== undefined && answer.body.next !== "same id"
}

async function runExchange(fleet: Fleet, load: CallerLoad, index: number): Promise<Exchange> {
	const exchange = newExchange(load, index)
	const body = bodyOf(exchange, load, index, 1 + load.random() * load.taskMs)
	while (exchange.sent < load.maxSends) {
		const sends = [sendOnce(fleet, exchange, body, load)]
		if (load.random() < load.duplicateShare) sends.push(sendOnce(fleet, exchange, body, load))
		await Promise.all(sends)
		// Half of the answered callers resend, to check that the answer is repeated.
		if (isFinal(exchange.answers.at(-1)) && load.random() < 0.5) break
		await sleep(PAUSE_MS * load.random())
	}
	return exchange
}

/** Runs the load and returns all exchanges once every id is finished. */
export async function runCallers(fleet: Fleet, load: CallerLoad): Promise<readonly Exchange[]> {
	const exchanges: Exchange[] = []
	let next = 0
	const worker = async () => {
		while (next < load.submissions || load.isNeeded())
			exchanges.push(await runExchange(fleet, load, next++))
	}
	await Promise.all(Array.from({length: load.concurrency}, worker))
	return exchanges
}
