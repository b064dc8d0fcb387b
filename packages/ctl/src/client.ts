/**
 * The HTTP client for entry instances.
 */
import {err, ok, type Result} from "neverthrow"
import {request, type Dispatcher} from "undici"

/** The instance's problem details, or `unreachable` with status 0 when there was no answer. */
export interface CallFailure {
	readonly kind: string
	readonly detail: string
	readonly ran: string
	readonly status: number
	readonly retryAfterMs?: number
}

export interface CallOptions {
	readonly method?: Dispatcher.HttpMethod
	readonly body?: string
	readonly headers?: Readonly<Record<string, string>>
	readonly timeoutMs?: number
}

export interface Connection {
	readonly url: string
	readonly caller: string
}

const DEFAULT_TIMEOUT_MS = 70_000

/**
 * Calls an entry instance and returns its JSON.
 *
 * @example const config = await callEntry(connection, "/v1/config")
 */
export async function callEntry<T>(
	connection: Connection,
	path: string,
	options: CallOptions = {},
): Promise<Result<T, CallFailure>> {
	try {
		const res = await request(`${connection.url}${path}`, {
			method: options.method ?? "GET",
			body: options.body,
			headers: {
				"content-type": "application/json",
				"cottonwood-caller": connection.caller,
				...options.headers,
			},
			signal: AbortSignal.timeout(options.timeoutMs ?? DEFAULT_TIMEOUT_MS),
		})
		const body = (await res.body.json()) as T & CallFailure
		if (res.statusCode < 400) return ok(body)
		return err({...body, status: res.statusCode})
	} catch (error) {
		const detail = `${connection.url}: ${(error as Error).message}`
		return err({kind: "unreachable", detail, ran: "unknown", status: 0})
	}
}
