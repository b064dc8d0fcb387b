/**
 * The client of workers: one POST per batch of attempts, one line per event in the response.
 *
 * When the stream breaks, the worker is asked for the state of the unsettled attempts until it
 * reports their end or stops answering.
 */
import {createInterface} from "node:readline"
import type {Attempt, AttemptResult, Clock, Target} from "@cottonwood/core"
import {createPools, isNeverConnected} from "./executor-client.js"

type WorkerEvent =
	| {
			readonly attempt: string
			readonly type: "done"
			readonly value: unknown
			readonly runMs: number
	  }
	| {readonly attempt: string; readonly type: "failed"; readonly detail: string}
	| {readonly attempt: string; readonly type: "busy" | "leaving"}

interface AttemptState {
	readonly attempt: string
	readonly state: "running" | "finished" | "unknown"
	readonly event?: WorkerEvent
}

type Settle = (id: string, result: AttemptResult) => void

export interface WorkerClient {
	/** Sends a batch and calls `settle` once for each attempt. */
	run(target: Target, attempts: readonly Attempt[], settle: Settle): Promise<void>
	/** Asks the worker to stop attempts; a failed call is ignored. */
	stop(target: Target, attempts: readonly Attempt[]): Promise<void>
	/** Closes the connections to all other targets. */
	keep(targets: readonly Target[]): void
	close(): Promise<void>
}

const CONNECTIONS_PER_WORKER = 16
const POLL_INTERVAL_MS = 250
const MAX_FAILED_POLLS = 4
const CALL_TIMEOUT_MS = 2_000
const STREAM_SLACK_MS = 500

function resultOf(event: WorkerEvent): AttemptResult {
	switch (event.type) {
		case "done":
			return {type: "ok", value: event.value, runMs: event.runMs}
		case "failed":
			return {type: "failed", detail: event.detail}
		case "busy":
			return {type: "not started", reason: "busy", detail: "no room at the worker"}
		case "leaving":
			return {type: "not started", reason: "leaving", detail: "the worker is leaving"}
	}
}

function toMessage(attempt: Attempt, now: number) {
	return {
		attempt: attempt.id,
		submission: attempt.key,
		task: attempt.task,
		kind: attempt.kind,
		payload: attempt.payload ?? null,
		resources: attempt.need,
		leaseMs: Math.max(1, Math.ceil(attempt.deadlineAt - now)),
	}
}

export function createWorkerClient(clock: Clock): WorkerClient {
	const pools = createPools(CONNECTIONS_PER_WORKER)

	async function post(target: Target, path: string, body: object, timeoutMs: number) {
		return pools.to(target.address).request({
			method: "POST",
			path,
			headers: {"content-type": "application/json"},
			body: JSON.stringify(body),
			headersTimeout: timeoutMs,
			bodyTimeout: timeoutMs,
		})
	}

	/** Polls until the worker reports the end of each open attempt or fails to answer repeatedly. */
	async function pollStates(target: Target, open: Map<string, Attempt>, settle: Settle) {
		let failedPolls = 0
		while (open.size > 0 && failedPolls < MAX_FAILED_POLLS) {
			await clock.sleep(POLL_INTERVAL_MS)
			const states = await readStates(target, [...open.keys()])
			if (!states) {
				failedPolls++
				continue
			}
			failedPolls = 0
			for (const {attempt, state, event} of states) {
				if (state === "running" || !open.delete(attempt)) continue
				if (event) settle(attempt, resultOf(event))
				else settle(attempt, {type: "unknown", detail: `${target.id} does not know the attempt`})
			}
		}
		for (const id of open.keys()) {
			settle(id, {type: "unknown", detail: `${target.id} cannot be reached any more`})
		}
	}

	async function readStates(
		target: Target,
		attempts: readonly string[],
	): Promise<readonly AttemptState[] | undefined> {
		try {
			const res = await post(target, "/attempts", {attempts}, CALL_TIMEOUT_MS)
			return ((await res.body.json()) as {attempts: readonly AttemptState[]}).attempts
		} catch {
			return undefined
		}
	}

	return {
		async run(target, attempts, settle) {
			const open = new Map(attempts.map(attempt => [attempt.id, attempt]))
			const now = clock.now()
			const lastDeadline = Math.max(...attempts.map(attempt => attempt.deadlineAt))
			const timeoutMs = Math.max(1, Math.ceil(lastDeadline - now)) + STREAM_SLACK_MS
			try {
				const tasks = attempts.map(attempt => toMessage(attempt, now))
				const res = await post(target, "/tasks", {tasks}, timeoutMs)
				for await (const line of createInterface({input: res.body})) {
					const event = JSON.parse(line) as WorkerEvent
					if (open.delete(event.attempt)) settle(event.attempt, resultOf(event))
				}
			} catch (error) {
				if (isNeverConnected(error)) {
					const detail = `${target.id}: ${(error as Error).message}`
					for (const id of open.keys()) {
						settle(id, {type: "not started", reason: "refused", detail})
					}
					return
				}
			}
			if (open.size > 0) await pollStates(target, open, settle)
		},
		async stop(target, attempts) {
			const ids = attempts.map(attempt => attempt.id)
			await post(target, "/stop", {attempts: ids}, CALL_TIMEOUT_MS)
				.then(res => res.body.dump())
				.catch(() => undefined)
		},
		keep: targets => pools.keep(new Set(targets.map(target => target.address))),
		close: () => pools.close(),
	}
}
