/**
 * The policies that the experiment compares: the fleet under test, and callers that choose random targets and retry.
 */
import {randomUUID} from "node:crypto"
import {Agent, request} from "undici"
import {submitJob, submitRequest, type CallerAnswer} from "../fleet/client.js"
import type {Fleet} from "../fleet/fleet.js"
import type {Scenario} from "./profiles.js"
import type {Send, CounterSums, Submission, Outcome} from "./load.js"

export interface Policy {
	readonly send: Send
	readonly readSums: () => Promise<CounterSums>
}

/** Counters of messages without effect. */
const WASTED_COUNTERS = /^(wasted\.|retry\.)/
const REFUSAL_COUNTERS = /^refusal\./

function pickMatching(counters: Readonly<Record<string, number>>, pattern: RegExp) {
	return Object.fromEntries(Object.entries(counters).filter(([name]) => pattern.test(name)))
}

function addInto(sums: Record<string, number>, more: Readonly<Record<string, number>>) {
	for (const [name, value] of Object.entries(more)) sums[name] = (sums[name] ?? 0) + value
}

async function readFleetSums(fleet: Fleet): Promise<CounterSums> {
	const wasted: Record<string, number> = {}
	const refusals: Record<string, number> = {}
	for (const entry of fleet.entries) {
		const res = await request(`${entry.url}/v1/counters`)
		const {counters} = (await res.body.json()) as {counters: Record<string, number>}
		addInto(wasted, pickMatching(counters, WASTED_COUNTERS))
		addInto(refusals, pickMatching(counters, REFUSAL_COUNTERS))
	}
	const calls = await fleet.storeCalls()
	const storeCalls = Object.values(calls).reduce((total, value) => total + value, 0)
	return {wasted, refusals, storeCalls}
}

function outcomeOf(answer: CallerAnswer): Outcome {
	if (answer.status === 200 && answer.body.status === "complete") return "complete"
	return answer.body.ran === "not run" ? "refused" : "failed"
}

/** Sends submissions to the fleet's entry instances in turn, like a load balancer. */
export function fleetPolicy(fleet: Fleet, scenario: Scenario): Policy {
	const dispatcher = new Agent({connections: 512, pipelining: 1})
	const options = {deadlineMs: scenario.deadlineMs, dispatcher}
	return {
		readSums: () => readFleetSums(fleet),
		async send(work) {
			const {url} = fleet.entries[work.index % fleet.entries.length]!
			const id = randomUUID()
			try {
				if (work.type === "job") {
					const tasks = work.runMs.map(ms => ({kind: "load", payload: {ms}}))
					return outcomeOf(await submitJob(url, {tasks, repeatable: true}, {...options, id}))
				}
				const repeatable = work.type === "request"
				const body = {endpoint: "inventory", payload: {ms: work.runMs[0]}, repeatable}
				return outcomeOf(await submitRequest(url, body, {...options, id}))
			} catch {
				return "failed"
			}
		},
	}
}

const RETRY_PAUSE_MS = 50

/** Sends each task to a random executor or worker and retries until the deadline. */
export function randomPolicy(fleet: Fleet, scenario: Scenario, random: () => number): Policy {
	const dispatcher = new Agent({connections: 512, pipelining: 1})
	const wasted: Record<string, number> = {}
	const pick = (ports: readonly {readonly port: number}[]) =>
		`http://127.0.0.1:${ports[Math.floor(random() * ports.length)]!.port}`
	const headers = {"content-type": "application/json"}

	async function tryRequest(ms: number): Promise<string> {
		const res = await request(`${pick(fleet.executors)}/invoke`, {
			method: "POST",
			dispatcher,
			headers: {...headers, "cottonwood-attempt": "x", "cottonwood-submission": "x"},
			body: JSON.stringify({ms}),
		})
		await res.body.dump()
		return res.statusCode === 200 ? "done" : res.statusCode === 429 ? "busy" : "failed"
	}

	async function tryTask(ms: number, leaseMs: number): Promise<string> {
		const resources = {cpu: 1, memoryMb: 0, accelerators: 0}
		const task = {attempt: randomUUID(), submission: "x", task: 0, kind: "load"}
		const res = await request(`${pick(fleet.workers)}/tasks`, {
			method: "POST",
			dispatcher,
			headers,
			body: JSON.stringify({tasks: [{...task, payload: {ms}, resources, leaseMs}]}),
		})
		return (JSON.parse(await res.body.text()) as {type: string}).type
	}

	async function untilDone(tryOnce: () => Promise<string>): Promise<Outcome> {
		const until = performance.now() + scenario.deadlineMs
		while (performance.now() < until) {
			const result = await tryOnce().catch(() => "broken")
			if (result === "done") return "complete"
			wasted[`retry.${result}`] = (wasted[`retry.${result}`] ?? 0) + 1
			await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS * random()))
		}
		return "failed"
	}

	async function send(work: Submission): Promise<Outcome> {
		const ends = await Promise.all(
			work.runMs.map(ms =>
				untilDone(() => (work.type === "job" ? tryTask(ms, scenario.deadlineMs) : tryRequest(ms))),
			),
		)
		return ends.every(end => end === "complete") ? "complete" : "failed"
	}

	return {send, readSums: () => Promise.resolve({wasted: {...wasted}, refusals: {}, storeCalls: 0})}
}
