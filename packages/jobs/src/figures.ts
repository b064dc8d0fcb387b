/**
 * The figures of an instance: gauges that are read when somebody asks, and how late the process's timers are.
 */
import type {Clock, Store} from "@cottonwood/core"
import type {HostedPlacers} from "./coordinate/hosted-placers.js"
import type {Configuration} from "./fleet/configuration.js"
import type {JobMetrics} from "./utils/metrics.js"
import type {News} from "./utils/news.js"

/** Between two looks at how late a timer fires. */
const LOOP_PROBE_MS = 500

/** Publishes the gauges, and measures the loop for as long as the process lives. */
export function publishFigures(
	clock: Clock,
	metrics: JobMetrics,
	hosts: HostedPlacers,
	store: Store,
	news: News,
	config: Configuration,
) {
	metrics.gauge("tasks_waiting", () => hosts.counts().waiting)
	metrics.gauge("tasks_running", () => hosts.counts().running)
	metrics.gauge("executors_usable", () => hosts.counts().usable)
	metrics.gauge("claims_held", () => Object.keys(hosts.rooms()).length)
	metrics.gauge("kept_jobs", () => hosts.counts().kept)
	metrics.gauge("config_version", () => config.current()?.version ?? 0)
	metrics.gauge("config_heard_ms", () => Math.round(config.heardMs()))
	metrics.gauge("news_age_ms", () => Math.round(clock.now() - news.knownAt()))
	metrics.gauge("store_silent_ms", () => store.silentMs())
	probeLoop(clock, metrics)
}

/** How late timers fire: what a slow or overloaded machine looks like from inside. */
function probeLoop(clock: Clock, metrics: JobMetrics) {
	const due = clock.now() + LOOP_PROBE_MS
	clock.schedule(LOOP_PROBE_MS, () => {
		metrics.observe("loop_delay_ms", clock.now() - due)
		probeLoop(clock, metrics)
	})
}
