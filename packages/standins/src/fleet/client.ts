/**
 * An HTTP caller of entry instances, for tests, the demo, soaks and benchmarks.
 */
import {Agent, request, type Dispatcher} from "undici"

export interface CallerAnswer {
	readonly status: number
	readonly headers: Readonly<Record<string, string | string[] | undefined>>
	readonly body: {
		readonly status?: string
		readonly value?: unknown
		readonly kind?: string
		readonly ran?: string
		readonly detail?: string
		readonly next?: string
		readonly id?: string
		readonly retryAfterMs?: number
	}
}

export interface CallOptions {
	readonly id?: string
	readonly caller?: string
	readonly deadlineMs?: number
	readonly dispatcher?: Dispatcher
	/** The timeout of the call in milliseconds. */
	readonly patienceMs?: number
	readonly query?: string
}

const DEFAULT_TIMEOUT_MS = 30_000
const sharedAgent = new Agent({connections: 256, pipelining: 1})

/** Sends one call; rejects on a timeout or a broken connection. */
export async function call(
	method: Dispatcher.HttpMethod,
	url: string,
	body: unknown,
	options: CallOptions = {},
): Promise<CallerAnswer> {
	const headers: Record<string, string> = {
		"content-type": "application/json",
		"cottonwood-caller": options.caller ?? "yard",
	}
	if (options.id !== undefined) headers["idempotency-key"] = options.id
	if (options.deadlineMs !== undefined)
		headers["cottonwood-deadline-ms"] = String(options.deadlineMs)
	const res = await request(`${url}${options.query ?? ""}`, {
		method,
		headers,
		body: body === undefined ? undefined : typeof body === "string" ? body : JSON.stringify(body),
		dispatcher: options.dispatcher ?? sharedAgent,
		signal: AbortSignal.timeout(options.patienceMs ?? DEFAULT_TIMEOUT_MS),
	})
	const text = await res.body.text()
	return {
		status: res.statusCode,
		headers: res.headers,
		body: JSON.parse(text) as CallerAnswer["body"],
	}
}

export function submitRequest(url: string, body: unknown, options?: CallOptions) {
	return call("POST", `${url}/v1/requests`, body, options)
}

export function submitJob(url: string, body: unknown, options?: CallOptions) {
	return call("POST", `${url}/v1/jobs`, body, options)
}
