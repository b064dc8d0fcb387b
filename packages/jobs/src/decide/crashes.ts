/**
 * Tasks under which executors crash: what is held against a task, and where it may run next.
 *
 * Whatever ran on an executor that crashed is suspect alike. So a suspect's next run is kept apart from others, as far as
 * there is room; only an executor that crashes under a task alone speaks against that task. A task that merely stood
 * beside one is never failed.
 */

import type {EventLog, LogFields} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"

/**
 * How an executor ended under a run: known to have crashed, with nothing else there or beside others; or nothing was heard of
 * the run until its lease was over, which a cut looks like too.
 */
export type Crash = "alone" | "beside others" | "possible"

/** Where a suspect may run: better alone, or not otherwise. */
export type Isolation = "preferred" | "required"

/** What executors' ends have told of a task so far. */
export interface CrashCount {
	/** Executors that are known to have crashed under it. */
	readonly known: number
	/** Executors that fell silent under it for good. */
	readonly possible: number
}

/** So many runs of which nothing was heard are more than chance, though each may be. */
const SILENCES_TO_SUSPECT = 2
/** So many executors known to have crashed, the last one under the task alone, and it is given up. */
const CRASHES_TO_FAIL = 2
/** No task is started again after so many crashes, possible ones included: two more than are allowed to show it. */
const MOST_CRASHES = 5

export const NO_CRASHES: CrashCount = Object.freeze({known: 0, possible: 0})

export function countCrash({known, possible}: CrashCount, crash: Crash): CrashCount {
	return crash === "possible" ? {known, possible: possible + 1} : {known: known + 1, possible}
}

/** Whether a task whose last run ended so has crashed its executors by itself. */
export function isPoisonTask({known}: CrashCount, last: Crash): boolean {
	return last === "alone" && known >= CRASHES_TO_FAIL
}

/** Whether it is given up though nothing is proved: its executors went too often. */
export function hasTooManyCrashes({known, possible}: CrashCount): boolean {
	return known + possible >= MOST_CRASHES
}

/** Counts and writes down that an executor ended under a task. */
export function noteCrash(
	{log, metrics}: {readonly log: EventLog; readonly metrics: JobMetrics},
	fields: LogFields & {readonly outcome: Crash},
) {
	metrics.count("crashed_runs", fields.outcome)
	log.alarm("job", "task_crashed", "job: an executor ended under a task.", fields)
}

export function isolationOf({known, possible}: CrashCount): Isolation | undefined {
	if (known >= CRASHES_TO_FAIL) return "required"
	return known > 0 || possible >= SILENCES_TO_SUSPECT ? "preferred" : undefined
}
