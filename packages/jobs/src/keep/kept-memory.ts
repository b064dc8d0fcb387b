/**
 * The memory that the open kept jobs of one process take, by an estimate, and how much they may take.
 *
 * A job counts from the moment when it is asked for until it has left. Jobs that come by a takeover or a move count too, and are
 * never refused, so the sum may exceed the limit.
 */
import type {KeptJobRequest} from "../types/kept-job.js"

/** The objects of an open job: its record, its ledger entry, its first occurrence and task. */
const JOB_BYTES = 14_000
const STEP_BYTES = 1_000
/** A completed task in the record. */
const TASK_BYTES = 64
/** A record lists no more completed tasks than this; those of ended times leave it. */
const MAX_COUNTED_TASKS = 5_000
/** No queue takes more than this share, so that jobs of one that cannot run keep out none of the others. */
const QUEUE_SHARE = 0.75

type Sized = Pick<KeptJobRequest, "id" | "queue" | "spec" | "steps" | "schedule">

/** The memory of an open job with completed tasks, in bytes. */
export function memoryOf({spec, steps, schedule}: Sized): number {
	const tasks = steps.reduce((sum, {count}) => sum + count, 0) * (schedule?.times ?? 1)
	const counted = Math.min(tasks, MAX_COUNTED_TASKS)
	const specBytes = Buffer.byteLength(spec)
	return JOB_BYTES + specBytes + STEP_BYTES * steps.length + TASK_BYTES * counted
}

/** The part of a process's memory for one keeper. */
export interface KeptMemory {
	/** Whether there is memory for the job; one that counts already has it. */
	hasRoomFor(job: Sized): boolean
	add(job: Sized): void
	remove(id: string): void
	/** Removes all jobs that this keeper has added. */
	close(): void
}

export interface SharedKeptMemory {
	/** Bytes by the estimate. */
	used(): number
	/** The part of another keeper. */
	share(): KeptMemory
}

export function createKeptMemory(maxBytes: number): SharedKeptMemory {
	const usedByQueue = new Map<string, number>()

	function used(): number {
		let sum = 0
		for (const bytes of usedByQueue.values()) sum += bytes
		return sum
	}

	function change(queue: string, bytes: number) {
		const next = (usedByQueue.get(queue) ?? 0) + bytes
		if (next > 0) usedByQueue.set(queue, next)
		else usedByQueue.delete(queue)
	}

	return {
		used,
		share() {
			const jobs = new Map<string, {readonly queue: string; readonly bytes: number}>()

			function remove(id: string) {
				const known = jobs.get(id)
				if (!known) return
				jobs.delete(id)
				change(known.queue, -known.bytes)
			}

			return {
				hasRoomFor(job) {
					if (jobs.has(job.id)) return true
					const bytes = memoryOf(job)
					const ofQueue = (usedByQueue.get(job.queue) ?? 0) + bytes
					return used() + bytes <= maxBytes && ofQueue <= QUEUE_SHARE * maxBytes
				},
				add(job) {
					if (jobs.has(job.id)) return
					const bytes = memoryOf(job)
					jobs.set(job.id, {queue: job.queue, bytes})
					change(job.queue, bytes)
				},
				remove,
				close() {
					for (const id of [...jobs.keys()]) remove(id)
				},
			}
		},
	}
}
