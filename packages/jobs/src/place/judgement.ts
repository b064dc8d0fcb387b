/**
 * What a placer thinks of its executors, from how runs ended there: who is set aside, who is fast.
 */
import type {Clock} from "@cottonwood/core"
import {createHealth, type Health} from "@cottonwood/core/health"
import {shortSession, type EventLog, type RunProof} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import type {Run, TaskEnd} from "./run.js"
import {createSpeeds, type Speeds} from "./executor-speeds.js"

/** At most this share of the executors is set aside. */
const MAX_ASIDE_SHARE = 0.4
/** An executor that was set aside gets a probe after this. */
const PROBE_AFTER_MS = 1_500
/** A stuck run counts as so many failed ones: one is enough to judge by. */
const STUCK_WEIGHT = 3
/** Two waits of a busy executor's hold: an end that was not told within it was told late. */
const LATE_NEWS_MS = 320
const WHOLE_PERCENT = 100

export interface JudgementDeps {
	readonly clock: Clock
	readonly log: EventLog
	readonly metrics: JobMetrics
	readonly failureDomain: string
	readonly fence: number
	/** How fast the executors are, where that outlasts the placer; by default it learns it for itself. */
	readonly speeds?: Speeds
}

export interface Judgement {
	readonly health: Health
	readonly speeds: Speeds
	/** Notes how a run ended. */
	observe(executor: string, run: Run, end: TaskEnd, proof: RunProof): void
	/** Notes that a run goes on, with the progress that it has made. */
	noteProgress(executor: string, run: Run): void
	forget(executor: string): void
}

export function createJudgement(deps: JudgementDeps): Judgement {
	const {clock, log, metrics, failureDomain, fence} = deps
	const speeds = deps.speeds ?? createSpeeds()
	const health = createHealth({
		now: () => clock.now(),
		maxAsideShare: () => MAX_ASIDE_SHARE,
		probeAfterMs: () => PROBE_AFTER_MS,
		onChange(executor, outcome, cause) {
			metrics.count("executors_aside", outcome)
			const fields = {executor, outcome, cause, failureDomain}
			log.alarm("placer", "executor_aside", "placer: judged an executor.", fields)
		},
	})

	function noteEnd(executor: string, run: Run, end: TaskEnd, proof: RunProof) {
		const {job, task, run: number, estimateMs, askedBy} = run.req
		// What ended without a result may be run again elsewhere; such lines are never sampled.
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

	/** Runs whose speed is known by their progress: their ends tell nothing more. */
	const foreseen = new WeakSet<Run>()

	/** How a run goes on shows a speed that has changed long before the first slow run ends. */
	function noteProgress(executor: string, run: Run) {
		const {estimateMs, isLasting, gang} = run.req
		const ranEstimates = (clock.now() - run.startedAt) / Math.max(1, estimateMs)
		if (run.percent === 0 || isLasting || gang || foreseen.has(run)) return
		if (!speeds.isOverdue(executor, ranEstimates)) return
		foreseen.add(run)
		speeds.observe(executor, (ranEstimates * WHOLE_PERCENT) / run.percent)
	}

	/** A stuck run is the executor's doing, while a failed one may be the task's. */
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
			noteEnd(executor, run, end, proof)
			// News of the end may be late; then only the time for which it was seen to run is certain.
			const isLateNews = now - run.lastSeenAt > LATE_NEWS_MS
			const ranMs = isLateNews ? run.lastSeenAt - run.startedAt : tookMs
			const slowness = ranMs / Math.max(1, run.req.estimateMs)
			if (run.stopCause === "stuck") return observeStuck(executor, slowness)
			if (end.type !== "done" && end.type !== "failed") return health.endProbe(executor)
			const judged = speeds.judged(executor, slowness)
			health.observe({target: executor, failed: end.type === "failed", slowness: judged})
			if (end.type === "failed") return
			metrics.observe("run_ms", tookMs)
			if (!isLateNews && !foreseen.has(run)) speeds.observe(executor, slowness)
		},
		noteProgress,
		forget(executor) {
			health.forget(executor)
			speeds.forget(executor)
		},
	}
}
