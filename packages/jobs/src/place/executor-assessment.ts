/** A placer's assessment of its executors from the runs there: health (which are set aside) and speed. */
import type {Clock} from "@cottonwood/core"
import {createHealth, type Health} from "@cottonwood/core/health"
import {shortSession, type EventLog, type RunProof} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import type {Run, TaskEnd} from "./run.js"
import {createSmoothedSpeeds, type Speeds} from "./executor-speeds.js"

/** The largest share of the executors that is set aside. */
const MAX_ASIDE_SHARE = 0.4
/** When an executor that was set aside gets a probe run. */
const PROBE_AFTER_MS = 1_500
/** How many failed runs a stuck run counts as, so that one is enough to set an executor aside. */
const STUCK_WEIGHT = 3
/** Two hold waits of a busy executor; a run last seen earlier has a late end report. */
const LATE_END_MS = 320
const WHOLE_PERCENT = 100

export interface AssessmentDeps {
	readonly clock: Clock
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly failureDomain: string
	readonly fence: number
	/** Speeds that outlast the placer; by default it learns its own. */
	readonly speeds?: Speeds
}

export interface ExecutorAssessment {
	readonly health: Health
	readonly speeds: Speeds
	/** Records the end of a run. */
	observe(executor: string, run: Run, end: TaskEnd, proof: RunProof): void
	/** Records the progress of a run. */
	noteProgress(executor: string, run: Run): void
	forget(executor: string): void
}

export function createAssessment(deps: AssessmentDeps): ExecutorAssessment {
	const {clock, log, metrics, failureDomain, fence} = deps
	const speeds = deps.speeds ?? createSmoothedSpeeds()
	const health = createHealth({
		now: () => clock.now(),
		maxAsideShare: () => MAX_ASIDE_SHARE,
		probeAfterMs: () => PROBE_AFTER_MS,
		onChange(executor, outcome, cause) {
			metrics.count("executors_aside", outcome)
			const fields = {executor, outcome, cause, failureDomain}
			log.alarm("placer", "executor_aside", "placer: an executor's health changed.", fields)
		},
	})

	function logEnd(executor: string, run: Run, end: TaskEnd, proof: RunProof) {
		const {job, task, run: number, estimateMs, askedBy} = run.req
		// A run without a result may be repeated elsewhere, so its line is never sampled.
		const write = end.type === "lost" || end.type === "stopped" ? log.alarm : log.event
		write("placer", "run_ended", "placer: a run ended.", () => ({
			job,
			task,
			run: number,
			executor,
			estimateMs,
			tookMs: Math.round(clock.now() - run.startedAt),
			outcome: end.type,
			cause: "cause" in end ? end.cause : undefined,
			proof,
			fence,
			askedBy: shortSession(askedBy),
		}))
	}

	/** Runs whose speed was taken from their progress, so that their ends are not counted again. */
	const learntEarly = new WeakSet<Run>()

	/** Learns from an overdue run's progress, long before its end shows that the executor turned slow. */
	function noteProgress(executor: string, run: Run) {
		const {estimateMs, isLasting, gang} = run.req
		// It does not end, and says nothing on the executor's speed.
		if (isLasting && run.percent >= WHOLE_PERCENT) health.endProbe(executor)
		const ranEstimates = (clock.now() - run.startedAt) / Math.max(1, estimateMs)
		if (run.percent === 0 || isLasting || gang || learntEarly.has(run)) return
		if (!speeds.isOverdue(executor, ranEstimates)) return
		learntEarly.add(run)
		speeds.observe(executor, (ranEstimates * WHOLE_PERCENT) / run.percent)
	}

	/** A stuck run is the executor's fault, while a failed one may be the task's. */
	function observeStuck(target: string, slowness: number) {
		for (let times = 0; times < STUCK_WEIGHT; times++)
			health.observe({target, failed: true, slowness})
	}

	return {
		health,
		speeds,
		observe(executor, run, end, proof) {
			const now = clock.now()
			const tookMs = now - run.startedAt
			logEnd(executor, run, end, proof)
			// If the end is reported late, only the time up to `lastSeenAt` is certain.
			const isLate = now - run.lastSeenAt > LATE_END_MS
			const ranMs = isLate ? run.lastSeenAt - run.startedAt : tookMs
			const slowness = ranMs / Math.max(1, run.req.estimateMs)
			if (run.stopCause === "stuck") return observeStuck(executor, slowness)
			if (end.type !== "done" && end.type !== "failed") return health.endProbe(executor)
			// A lasting task may fail at any time, through no fault of its executor.
			if (run.req.isLasting && run.percent >= WHOLE_PERCENT) return health.endProbe(executor)
			const cappedSlowness = speeds.cappedSlowness(executor, slowness)
			health.observe({target: executor, failed: end.type === "failed", slowness: cappedSlowness})
			if (end.type === "failed") return
			metrics.observe("run_ms", tookMs)
			if (!isLate && !learntEarly.has(run)) speeds.observe(executor, slowness)
		},
		noteProgress,
		forget(executor) {
			health.forget(executor)
			speeds.forget(executor)
		},
	}
}
