/**
 * Counters and gauges, sent to statsd and kept in memory for operators. Datagrams are dropped while
 * statsd is down.
 */
import {StatsD} from "hot-shots"

export interface Metrics {
	count(name: string, by?: number): void
	gauge(name: string, value: number): void
	/** Returns the counters since the start and the latest gauges. */
	snapshot(): {
		readonly counters: Readonly<Record<string, number>>
		readonly gauges: Readonly<Record<string, number>>
	}
	close(): void
}

export interface MetricsSettings {
	readonly host: string
	readonly port: number
}

const BUFFER_BYTES = 1_400
const FLUSH_MS = 1_000

/** Creates the metrics of a process; without settings nothing is sent. */
export function createMetrics(settings: MetricsSettings | null, instance: string): Metrics {
	const counters = new Map<string, number>()
	const gauges = new Map<string, number>()
	const client = new StatsD({
		host: settings?.host ?? "127.0.0.1",
		port: settings?.port ?? 8125,
		prefix: "cottonwood.",
		globalTags: {instance},
		mock: settings === null,
		maxBufferSize: BUFFER_BYTES,
		bufferFlushInterval: FLUSH_MS,
		errorHandler: () => undefined,
	})
	return {
		count(name, by = 1) {
			counters.set(name, (counters.get(name) ?? 0) + by)
			client.increment(name, by)
		},
		gauge(name, value) {
			gauges.set(name, value)
			client.gauge(name, value)
		},
		snapshot: () => ({
			counters: Object.fromEntries(counters),
			gauges: Object.fromEntries(gauges),
		}),
		close: () => client.close(() => undefined),
	}
}
