/**
 * The kept jobs that a keeper holds, and those that left it lately.
 *
 * A listing of the store may have been read before a job left and arrive afterwards; the keeper
 * ignores such stale records.
 */
import type {Clock} from "@cottonwood/core"
import type {KeptJob} from "./kept-job.js"
import type {KeptMemory} from "./kept-memory.js"

/** Longer than any read of the store can take. */
const RETAIN_MS = 10_000

export interface OpenJobs {
	get(id: string): KeptJob | undefined
	has(id: string): boolean
	all(): readonly KeptJob[]
	count(): number
	add(id: string, job: KeptJob): void
	/** Removes a job that has ended or was moved to another home. */
	remove(id: string): void
	/** Whether the job left at or after `since`, in milliseconds on the monotonic clock. */
	hasLeftSince(id: string, since: number): boolean
}

export function createOpenJobs(clock: Clock, memory?: KeptMemory): OpenJobs {
	const jobs = new Map<string, KeptJob>()
	/** In the order of leaving. */
	const leftAt = new Map<string, number>()

	function dropExpired() {
		const before = clock.now() - RETAIN_MS
		for (const [id, at] of leftAt) {
			if (at >= before) return
			leftAt.delete(id)
		}
	}

	return {
		get: id => jobs.get(id),
		has: id => jobs.has(id),
		all: () => [...jobs.values()],
		count: () => jobs.size,
		add(id, job) {
			jobs.set(id, job)
			memory?.add(job.record())
		},
		remove(id) {
			jobs.delete(id)
			memory?.remove(id)
			leftAt.delete(id)
			leftAt.set(id, clock.now())
			dropExpired()
		},
		hasLeftSince: (id, since) => (leftAt.get(id) ?? -Infinity) >= since,
	}
}
