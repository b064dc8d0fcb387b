/** Builds the request for a task's next run, for callers' jobs and for kept jobs. */
import {isolationOf, type CrashCount} from "../decide/crashes.js"
import type {TaskRequest} from "../place/run.js"
import type {Queue} from "../types/fleet-config.js"
import type {Step} from "../types/job.js"

/** What is known from a task's runs so far. */
interface TaskProgress {
	readonly name: string
	readonly run: number
	readonly crashes: CrashCount
	readonly avoid: readonly string[]
}

type RequestBase = Omit<
	TaskRequest,
	"startBy" | "uselessAt" | "deadlineAt" | "confirmedAt" | "isBegun"
>

/** A task request without its times and whether its job has started. */
export function taskRequestBase(
	{id, spec}: {readonly id: string; readonly spec: string},
	{name, run, crashes, avoid}: TaskProgress,
	step: Step,
	{service, priority, advice}: Queue,
): RequestBase {
	return {
		job: id,
		task: name,
		run,
		spec,
		service,
		need: step.need,
		estimateMs: step.estimateMs,
		priority,
		label: step.label,
		rack: step.rack,
		maxPerExecutor: step.maxPerExecutor,
		avoid: [...avoid],
		isolation: isolationOf(crashes),
		isForeign: false,
		advice,
	}
}
