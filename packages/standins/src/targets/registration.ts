/**
 * Registers a target in the platform stand-in's instance list.
 */
import {request} from "undici"
import type {ListedInstance} from "../platform/platform.js"

const RENEW_MS = 1_000

export interface Registration {
	setState(state: "live" | "leaving"): Promise<void>
	stop(): Promise<void>
}

/** Registers an instance and renews its entry until stopped; failed calls are ignored. */
export function register(platform: string, instance: ListedInstance): Registration {
	let current = instance
	const url = `${platform}/instances/${encodeURIComponent(instance.id)}`
	const put = async () => {
		const options = {
			method: "PUT" as const,
			body: JSON.stringify(current),
			headers: {"content-type": "application/json"},
		}
		await request(url, options)
			.then(res => res.body.dump())
			.catch(() => undefined)
	}
	void put()
	const timer = setInterval(put, RENEW_MS)
	return {
		async setState(state) {
			current = {...current, state}
			await put()
		},
		async stop() {
			clearInterval(timer)
			await request(url, {method: "DELETE"}).catch(() => undefined)
		},
	}
}
