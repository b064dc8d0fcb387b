/**
 * The kept jobs that a placer has, and which have left it lately.
 *
 * A reading of the store may have been made before a job left and arrive after it; such a record says
 * nothing any more.
 */
import type {Clock} from "@cottonwood/core"
import type {KeptJob} from "./kept-job.js"

/** No reading is on its way for longer: the store's calls are given up long before. */
const REMEMBER_MS = 10_000

export interface OpenJobs {
	get(id: string): KeptJob | undefined
	has(id: string): boolean
	all(): readonly KeptJob[]
	count(): number
	add(id: string, job: KeptJob): void
	/** The job has ended, or has another home. */
	remove(id: string): void
	/** Whether the job left at that steady time or later. */
	hasLeftSince(id: string, since: number): boolean
}

export function createOpenJobs(clock: Clock): OpenJobs {
	const jobs = new Map<string, KeptJob>()
	/** In the order in which they left. */
	const leftAt = new Map<string, number>()

	function forgetOld() {
		const before = clock.now() - REMEMBER_MS
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
		add: (id, job) => void jobs.set(id, job),
		remove(id) {
			jobs.delete(id)
			leftAt.delete(id)
			leftAt.set(id, clock.now())
			forgetOld()
		},
		hasLeftSince: (id, since) => (leftAt.get(id) ?? -Infinity) >= since,
	}
}
