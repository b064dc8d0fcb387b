/**
 * HTTP calls with JSON bodies, and polling for a condition.
 */
import {request} from "undici"

export async function putJson(url: string, body: unknown, headers: Record<string, string> = {}) {
	const res = await request(url, {
		method: "PUT",
		body: JSON.stringify(body),
		headers: {"content-type": "application/json", ...headers},
	})
	return {status: res.statusCode, body: await res.body.json()}
}

export async function getJson<T>(url: string): Promise<T> {
	const res = await request(url)
	return (await res.body.json()) as T
}

const DEFAULT_WAIT_MS = 20_000
const POLL_MS = 50

/** Polls until a condition holds; rejects after `limitMs`. */
export async function waitFor(
	what: string,
	isTrue: () => Promise<boolean> | boolean,
	limitMs = DEFAULT_WAIT_MS,
): Promise<void> {
	const until = Date.now() + limitMs
	while (Date.now() < until) {
		if (await isTrue()) return
		await new Promise(resolve => setTimeout(resolve, POLL_MS))
	}
	throw new Error(`timed out after ${limitMs} ms waiting for ${what}`)
}
