/**
 * Registers the gauges of an instance and measures how late its timers fire.
 */
import type {Clock, Store} from "@cottonwood/core"
import type {HostedPlacers} from "./coordinate/hosted-placers.js"
import type {Configuration} from "./fleet/configuration.js"
import type {JobMetrics} from "./utils/metrics.js"
import type {InputWatermark} from "./utils/input-watermark.js"

/** Interval between measurements of timer lateness. */
const TIMER_PROBE_MS = 500

/** Registers the gauges, and measures timer lateness for the lifetime of the process. */
export function registerInstanceMetrics(
	clock: Clock,
	metrics: JobMetrics,
	hosts: HostedPlacers,
	store: Store,
	watermark: InputWatermark,
	config: Configuration,
) {
	metrics.gauge("tasks_waiting", () => hosts.counts().waiting)
	metrics.gauge("tasks_running", () => hosts.counts().running)
	metrics.gauge("executors_usable", () => hosts.counts().usable)
	metrics.gauge("claims_held", () => Object.keys(hosts.rooms()).length)
	metrics.gauge("kept_jobs", () => hosts.counts().kept)
	metrics.gauge("config_version", () => config.current()?.version ?? 0)
	metrics.gauge("config_heard_ms", () => Math.round(config.heardMs()))
	metrics.gauge("news_age_ms", () => Math.round(clock.now() - watermark.readUpTo()))
	metrics.gauge("store_silent_ms", () => store.silentMs())
	measureTimerLateness(clock, metrics)
}

/** Late timers show an overloaded or slow machine. */
function measureTimerLateness(clock: Clock, metrics: JobMetrics) {
	const due = clock.now() + TIMER_PROBE_MS
	clock.schedule(TIMER_PROBE_MS, () => {
		metrics.observe("loop_delay_ms", clock.now() - due)
		measureTimerLateness(clock, metrics)
	})
}
