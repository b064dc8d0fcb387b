/**
 * The metrics of a process: counters by reason, latency histograms, and gauges that are read on
 * request.
 */
import {Counter, Gauge, Histogram, Registry} from "prom-client"

export interface JobMetrics {
	/** Increments a counter; `reason` is one of a closed set of words. */
	count(name: CounterName, reason?: string, by?: number): void
	/** Records a duration in milliseconds. */
	observe(name: TimingName, ms: number): void
	/** Registers a gauge; `read` is called whenever the metrics are requested. */
	gauge(name: GaugeName, read: () => number): void
	/** All metrics in the text format of Prometheus. */
	text(): Promise<string>
}

export const COUNTERS = Object.freeze({
	jobs_received: "Jobs that callers handed in, by queue kind",
	jobs_accepted: "Kept jobs whose record stands in the store",
	jobs_moved: "Kept jobs given to another failure domain, by outcome",
	jobs_ended: "Jobs answered, by how they ended; kept ones with the word before it",
	advice_calls: "Calls to the service that says which executors may run a step, by outcome",
	ledger_writes: "Transactions of job records, by outcome",
	jobs_refused: "Jobs refused without having run, by reason",
	keep_refusals: "Kept jobs that a placer refused for a bound of its own, by bound",
	admission_refusals:
		"Jobs refused by their placer's forecast, by reason and how their queue stands to its share",
	jobs_lost: "Jobs whose placer fell silent, by what was done, where they are placed anew",
	bad_requests: "Calls that do not follow the contract, by reason",
	task_starts: "Start orders, by their reply",
	task_ends: "Runs that ended, by how",
	task_retries: "Runs started again, by reason",
	tasks_handed_over: "Tasks handed to another failure domain's placer, by outcome",
	whole_jobs_moved:
		"Jobs that went to another failure domain before anything had started, by outcome",
	executor_orders_silent: "Orders to executors without an answer, by order",
	executors_aside: "Executors set aside or taken back, by direction",
	store_calls: "Calls to the key-value service, by call and outcome",
	claims: "Failure domains claimed, by outcome",
	fences_lost: "Orders refused since a higher fence was seen, by order",
	peer_calls: "Calls to peers, by call and outcome",
	crashed_runs: "Runs under which an executor ended, by what is known of it",
	suspensions: "Times that the machine was suspended",
	ports_taken: "Attempts to open a port that another process held, by port",
	settings_defaulted: "Settings that were missing, invalid or late, by field",
	former_lives: "Starts that found what their life before had left, by how it ended",
	broken_assumptions: "Things that should not happen, by name",
	speed_writes: "Records of executors' speeds written to the store, by outcome",
	speeds_dropped: "Speeds told of executors that are not used, by cause",
	slices_added: "Instances asked to place one more slice of a failure domain, by outcome",
	partial_end_lists: "Lists of an executor that may lack some of its ends",
	orphan_runs: "Runs found on executors that nobody here started, by outcome",
} as const)
export type CounterName = keyof typeof COUNTERS

export const TIMINGS = Object.freeze({
	job_ms: "From a job's arrival to its answer",
	first_start_ms: "From a job's arrival to its first start",
	run_ms: "From a start's reply to the news of its end",
	forecast_early_ms: "By how much jobs began before their forecast",
	forecast_late_ms: "By how much jobs began after their forecast",
	queue_wait_ms: "From a task's arrival at a placer to its start",
	store_call_ms: "Calls to the key-value service",
	start_order_ms: "Start orders to executors",
	loop_delay_ms: "How late a timer of the process fires",
} as const)
export type TimingName = keyof typeof TIMINGS

export type GaugeName =
	| "tasks_waiting"
	| "tasks_running"
	| "executors_usable"
	| "claims_held"
	| "slices"
	| "kept_jobs"
	| "kept_bytes"
	| "config_version"
	| "config_heard_ms"
	| "news_age_ms"
	| "store_silent_ms"
	| "speeds_known"
	| "speeds_spread"

const PREFIX = "cottonwood_"
/** Buckets around the latency targets of sub-second tasks. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000]

/** Counts are copied on request: prom-client's own increments look up labels each time. */
function registerCounter(
	registry: Registry,
	{name, help}: {readonly name: string; readonly help: string},
	counts: ReadonlyMap<string, number>,
) {
	const options = {
		name,
		help,
		labelNames: ["reason"],
		registers: [registry],
		collect(this: Counter) {
			this.reset()
			for (const [reason, count] of counts) this.inc({reason}, count)
		},
	}
	new Counter(options)
}

export function createJobMetrics(): JobMetrics {
	const registry = new Registry()
	const counters = new Map<string, Map<string, number>>()
	for (const [name, help] of Object.entries(COUNTERS)) {
		const counts = new Map<string, number>()
		counters.set(name, counts)
		registerCounter(registry, {name: PREFIX + name, help}, counts)
	}
	const timings = new Map<string, Histogram>()
	for (const [name, help] of Object.entries(TIMINGS)) {
		const options = {name: PREFIX + name, help, buckets: BUCKETS_MS, registers: [registry]}
		timings.set(name, new Histogram(options))
	}
	return {
		count(name, reason = "all", by = 1) {
			const counts = counters.get(name)
			counts?.set(reason, (counts.get(reason) ?? 0) + by)
		},
		observe: (name, ms) => timings.get(name)?.observe(ms),
		gauge(name, read) {
			const options = {
				name: PREFIX + name,
				help: name.replaceAll("_", " "),
				registers: [registry],
				collect(this: Gauge) {
					this.set(read())
				},
			}
			new Gauge(options)
		},
		text: () => registry.metrics(),
	}
}
