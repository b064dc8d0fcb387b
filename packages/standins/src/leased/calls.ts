/**
 * Calls to instances as callers and the platform's readiness checks make them.
 */
import {request} from "undici"
import type {Edge} from "./edges.js"
import {HOST, PREFIX} from "./platform.js"
import type {StandInSpec} from "./wire-executor.js"

/** Generous, so that a busy test machine doesn't cause refusals for jobs that cannot be in time. */
const MIN_ESTIMATE_MS = 2_000
const DEFAULT_DEADLINE_MS = 10_000

export interface EdgeAnswer {
	readonly status: number
	readonly body: unknown
	readonly retryAfter: string | undefined
}

export async function isReady(edge: Edge): Promise<boolean> {
	try {
		const res = await request(`http://${edge.readiness}/ready`)
		await res.body.dump()
		return res.statusCode === 200
	} catch {
		return false
	}
}

/** Submits a job of identical tasks; rejects when the connection breaks. */
export async function handIn(
	edge: Edge,
	id: string,
	options: {
		readonly count?: number
		readonly cpu?: number
		readonly estimateMs?: number
		readonly deadlineMs?: number
		readonly spec?: Partial<StandInSpec>
		readonly body?: object
		readonly signal?: AbortSignal
	} = {},
): Promise<EdgeAnswer> {
	const cpu = options.cpu ?? 27_000
	const spec: StandInSpec = {workMs: 60, cpu, ...options.spec}
	const estimate = options.estimateMs ?? Math.max(spec.workMs, MIN_ESTIMATE_MS)
	const step = {count: options.count ?? 1, cpu, "mem-mb": 64, "est-ms": estimate}
	const body = {spec: JSON.stringify(spec), steps: [step], "best-effort": true, ...options.body}
	const res = await request(`http://${edge.callers}${PREFIX}${id}`, {
		method: "POST",
		headers: {
			host: HOST,
			"content-type": "application/json",
			"x-deadline-ms": String(options.deadlineMs ?? DEFAULT_DEADLINE_MS),
		},
		body: JSON.stringify(body),
		signal: options.signal,
	})
	const text = await res.body.text()
	return {
		status: res.statusCode,
		body: text === "" ? undefined : JSON.parse(text),
		retryAfter: res.headers["retry-after"]?.toString(),
	}
}

/** Reads a kept job's state, or cancels the job with DELETE. */
export async function askJob(
	edge: Edge,
	id: string,
	method: "GET" | "DELETE" = "GET",
): Promise<EdgeAnswer> {
	const headers = {host: HOST}
	const res = await request(`http://${edge.callers}${PREFIX}${id}`, {method, headers})
	const text = await res.body.text()
	return {
		status: res.statusCode,
		body: text === "" ? undefined : JSON.parse(text),
		retryAfter: res.headers["retry-after"]?.toString(),
	}
}
