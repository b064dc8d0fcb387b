/**
 * Keeps the records of kept jobs short: of times that are over a long record holds their numbers in place of their tasks.
 *
 * Short records hold every completed task, which programs without this module can read.
 */
import type {JobRecord} from "../types/kept-job.js"

/** A tenth of the longest value holds this many completed tasks. */
const MAX_LISTED_TASKS = 5_000

/** The first and the last of consecutive numbers. */
type Span = readonly [number, number]

/** Whether a record lists so many completed tasks that those of ended times should leave it. */
export const isLongRecord = ({done}: JobRecord) => done.length > MAX_LISTED_TASKS

/** Removes the tasks of ended times from a record. */
export function shortenRecord(record: JobRecord, ended: ReadonlySet<number>): JobRecord {
	const isOpen = (task: string) => !ended.has(occurrenceIndexOf(task))
	return {
		...record,
		endedTimes: spansOf(ended),
		done: record.done.filter(isOpen),
		failures: pick(record.failures, isOpen),
		...(record.failedRuns && {failedRuns: pick(record.failedRuns, isOpen)}),
		...(record.crashes && {crashes: pick(record.crashes, isOpen)}),
	}
}

/** The numbers of the times that a record says are over. */
export function endedTimesOf({endedTimes = []}: JobRecord): ReadonlySet<number> {
	const ended = new Set<number>()
	for (const [first, last] of endedTimes) for (let at = first; at <= last; at++) ended.add(at)
	return ended
}

/** Whether a task of the job has been completed. */
export const hasProgress = ({done, endedTimes}: JobRecord) =>
	done.length > 0 || (endedTimes?.length ?? 0) > 0

/** The tasks by occurrence. */
export function timesOf(tasks: readonly string[]): Map<number, string[]> {
	const byTime = new Map<number, string[]>()
	for (const task of tasks) {
		const time = occurrenceIndexOf(task)
		const known = byTime.get(time)
		if (known) known.push(task)
		else byTime.set(time, [task])
	}
	return byTime
}

const occurrenceIndexOf = (task: string) => Number(task.slice(0, task.indexOf(".")))

function spansOf(numbers: ReadonlySet<number>): readonly Span[] {
	const spans: [number, number][] = []
	for (const number of [...numbers].sort((a, b) => a - b)) {
		const last = spans.at(-1)
		if (last && last[1] === number - 1) last[1] = number
		else spans.push([number, number])
	}
	return spans
}

function pick<T>(values: Readonly<Record<string, T>>, isWanted: (key: string) => boolean) {
	return Object.fromEntries(Object.entries(values).filter(([key]) => isWanted(key)))
}
