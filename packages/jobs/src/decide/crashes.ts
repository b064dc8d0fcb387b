/**
 * Poison tasks: counts executor crashes per task, and decides where a suspect runs next and when it is given up.
 *
 * All tasks on a crashed executor are suspects. A suspect is isolated if there is room, and only a crash with nothing else on
 * the executor counts as proof, so a neighbour of a poison task never fails. A lasting task outlives many executors, so its
 * crashes count only until it has run soundly.
 */

import type {EventLog, LogFields} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"

/**
 * How an executor ended during a run: a known crash with no other run there ("alone") or with some ("beside others"), or silence
 * until the lease ended, which a network partition causes too ("possible").
 */
export type Crash = "alone" | "beside others" | "possible"

/** Whether a suspect should run alone on its executor, or must. */
export type Isolation = "preferred" | "required"

/** The executor crashes during a task's runs so far. */
export interface CrashCount {
	/** Known crashes. */
	readonly known: number
	/** Executors that became silent and never returned. */
	readonly possible: number
}

/** Possible crashes that make a task a suspect; a single one may be a coincidence. */
const SUSPECT_POSSIBLE_CRASHES = 2
/** Known crashes, the last one alone, that fail a task. */
const FAILING_CRASHES = 2
/** A lasting task that runs for this long, in milliseconds, has not caused the crashes before. */
export const SOUND_RUN_MS = 60_000
/** Crashes, possible ones included, after which a task is given up without proof. */
const MAX_CRASHES = 5

export const NO_CRASHES: CrashCount = Object.freeze({known: 0, possible: 0})

export function countCrash({known, possible}: CrashCount, crash: Crash): CrashCount {
	return crash === "possible" ? {known, possible: possible + 1} : {known: known + 1, possible}
}

/** Whether the crashes, the latest one included, prove that the task caused them. */
export function isPoisonTask({known}: CrashCount, last: Crash): boolean {
	return last === "alone" && known >= FAILING_CRASHES
}

/** Whether the task is given up without proof. */
export function hasTooManyCrashes({known, possible}: CrashCount): boolean {
	return known + possible >= MAX_CRASHES
}

/** Counts and logs a crash. */
export function reportCrash(
	{log, metrics}: {readonly log: EventLog; readonly metrics: JobMetrics},
	fields: LogFields & {readonly outcome: Crash},
) {
	metrics.count("crashed_runs", fields.outcome)
	log.alarm("job", "task_crashed", "job: an executor ended during a task's run.", fields)
}

export function isolationOf({known, possible}: CrashCount): Isolation | undefined {
	if (known >= FAILING_CRASHES) return "required"
	return known > 0 || possible >= SUSPECT_POSSIBLE_CRASHES ? "preferred" : undefined
}
