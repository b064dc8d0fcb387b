/**
 * The client of the platform's key-value service. Calls are counted; a call without an answer has
 * an unknown outcome.
 */
import type {PutResult, Store, StoreChange, StoreItem} from "@cottonwood/core"
import {Agent, request, type Dispatcher} from "undici"
import type {Metrics} from "../utils/metrics.js"

export interface StoreDeps {
	readonly url: string
	readonly timeoutMs: number
	readonly metrics: Metrics
}

interface Answer {
	readonly status: number
	readonly body: unknown
}

const CONNECTIONS = 8
const LIST_TIMEOUT_FACTOR = 5

/** Creates the client; it connects on first use. */
export function createStore(deps: StoreDeps): Store {
	const agent = new Agent({connections: CONNECTIONS, pipelining: 1})
	let silentSince: number | undefined

	async function call(
		op: string,
		method: Dispatcher.HttpMethod,
		path: string,
		body: object | undefined,
		timeoutMs: number,
	): Promise<Answer | undefined> {
		deps.metrics.count(`store.call.${op}`)
		try {
			const res = await request(`${deps.url}${path}`, {
				method,
				dispatcher: agent,
				signal: AbortSignal.timeout(timeoutMs),
				body: body && JSON.stringify(body),
				headers: {"content-type": "application/json"},
			})
			const answer = {status: res.statusCode, body: await res.body.json()}
			silentSince = undefined
			return answer
		} catch {
			silentSince ??= performance.now()
			deps.metrics.count(`store.no_answer.${op}`)
			return undefined
		}
	}

	const {timeoutMs} = deps
	const keyPath = (key: string) => `/kv/${encodeURIComponent(key)}`
	return {
		async get(key) {
			const answer = await call("get", "GET", keyPath(key), undefined, timeoutMs)
			if (answer?.status === 404) return null
			return answer?.status === 200 ? (answer.body as StoreItem) : undefined
		},
		async list(prefix) {
			const path = `/list?prefix=${encodeURIComponent(prefix)}`
			const answer = await call("list", "GET", path, undefined, timeoutMs * LIST_TIMEOUT_FACTOR)
			if (answer?.status !== 200) return undefined
			return answer.body as {items: readonly StoreItem[]; revision: number}
		},
		async put(key, value, options = {}) {
			const answer = await call("put", "PUT", keyPath(key), {value, ...options}, timeoutMs)
			if (answer === undefined) return {type: "unknown"}
			if ([200, 409, 410].includes(answer.status)) return answer.body as PutResult
			return {type: "unknown"}
		},
		async deletePrefix(prefix) {
			const path = `/kv?prefix=${encodeURIComponent(prefix)}`
			const answer = await call("delete", "DELETE", path, undefined, timeoutMs)
			return answer?.status === 200
		},
		async grantLease(ttlMs) {
			const answer = await call("lease", "POST", "/leases", {ttlMs}, timeoutMs)
			return answer?.status === 200 ? (answer.body as {id: string}).id : undefined
		},
		async keepAlive(lease) {
			const path = `/leases/${lease}/keepalive`
			const answer = await call("keepalive", "POST", path, {}, timeoutMs)
			if (answer?.status === 200) return "alive"
			return answer?.status === 410 ? "gone" : "unknown"
		},
		async revoke(lease) {
			await call("lease", "DELETE", `/leases/${lease}`, undefined, timeoutMs)
		},
		async watch(prefix, after, waitMs) {
			const query = new URLSearchParams({prefix, after: String(after), waitMs: String(waitMs)})
			const answer = await call("watch", "GET", `/watch?${query}`, undefined, waitMs + timeoutMs)
			return answer?.status === 200 ? (answer.body as StoreChange) : undefined
		},
		silentMs: () => (silentSince === undefined ? 0 : performance.now() - silentSince),
		close: () => agent.destroy(),
	}
}
