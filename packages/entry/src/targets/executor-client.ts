/**
 * The client of executors: one POST per attempt.
 *
 * An executor reports `not started` by the header `cottonwood-refused`. A complete answer carries the
 * attempt's id. When the connection was never made, nothing was sent; after any other failed exchange
 * the work may have started.
 */
import type {Attempt, AttemptResult, Clock, Target} from "@cottonwood/core"
import {Pool, errors, type Dispatcher} from "undici"

export interface ExecutorClient {
	invoke(target: Target, attempt: Attempt): Promise<AttemptResult>
	/** Closes the connections to all other targets. */
	keep(targets: readonly Target[]): void
	close(): Promise<void>
}

const CONNECTIONS_PER_EXECUTOR = 32
const KEEP_ALIVE_MS = 3_000

/** Errors that mean that no connection was made, so that nothing of the request was sent. */
const NEVER_CONNECTED = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "EADDRNOTAVAIL"])

export function isNeverConnected(error: unknown): boolean {
	const code = (error as NodeJS.ErrnoException | undefined)?.code ?? ""
	return NEVER_CONNECTED.has(code) || error instanceof errors.ConnectTimeoutError
}

/** Creates connection pools on demand, one per address. */
export function createPools(connections: number) {
	const pools = new Map<string, Pool>()
	return {
		to(address: string): Pool {
			let pool = pools.get(address)
			if (!pool) {
				pool = new Pool(address, {
					connections,
					pipelining: 1,
					keepAliveTimeout: KEEP_ALIVE_MS,
					connect: {timeout: 1_000},
				})
				pools.set(address, pool)
			}
			return pool
		},
		keep(addresses: ReadonlySet<string>) {
			for (const [address, pool] of pools) {
				if (addresses.has(address)) continue
				pools.delete(address)
				void pool.close()
			}
		},
		async close() {
			await Promise.all([...pools.values()].map(pool => pool.destroy()))
			pools.clear()
		},
	}
}

function refusalOf(res: Dispatcher.ResponseData): AttemptResult | undefined {
	const refused = res.headers["cottonwood-refused"]
	if (refused === "busy") return {type: "not started", reason: "busy", detail: "all slots taken"}
	if (refused === "leaving") {
		return {type: "not started", reason: "leaving", detail: "the executor is leaving"}
	}
	return undefined
}

async function readAnswer(
	res: Dispatcher.ResponseData,
	attempt: Attempt,
	runMs: () => number,
): Promise<AttemptResult> {
	const text = await res.body.text()
	const refusal = refusalOf(res)
	if (refusal) return refusal
	const echoed = res.headers["cottonwood-attempt"]
	if (echoed !== attempt.id) {
		return {type: "unknown", detail: `the answer is for another attempt (${String(echoed)})`}
	}
	if (res.statusCode < 200 || res.statusCode > 299) {
		return {type: "failed", detail: `status ${res.statusCode}: ${text.slice(0, 200)}`}
	}
	try {
		return {type: "ok", value: text === "" ? null : JSON.parse(text), runMs: runMs()}
	} catch {
		return {type: "unknown", detail: "the answer is not whole"}
	}
}

export function createExecutorClient(clock: Clock): ExecutorClient {
	const pools = createPools(CONNECTIONS_PER_EXECUTOR)
	return {
		async invoke(target, attempt) {
			const startedAt = clock.now()
			const remainingMs = Math.max(1, Math.ceil(attempt.deadlineAt - startedAt))
			try {
				const res = await pools.to(target.address).request({
					method: "POST",
					path: "/invoke",
					headers: {
						"content-type": "application/json",
						"cottonwood-attempt": attempt.id,
						"cottonwood-submission": attempt.key,
						"cottonwood-task": String(attempt.task),
						"cottonwood-deadline-ms": String(remainingMs),
					},
					body: JSON.stringify(attempt.payload ?? null),
					headersTimeout: remainingMs,
					bodyTimeout: remainingMs,
				})
				return await readAnswer(res, attempt, () => clock.now() - startedAt)
			} catch (error) {
				const detail = `${target.id}: ${(error as Error).message}`
				if (isNeverConnected(error)) return {type: "not started", reason: "refused", detail}
				return {type: "unknown", detail}
			}
		},
		keep: targets => pools.keep(new Set(targets.map(target => target.address))),
		close: () => pools.close(),
	}
}
