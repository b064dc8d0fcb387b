/**
 * Logging: one winston logger per process, and a child logger for each part.
 */
import winston from "winston"

export type Log = winston.Logger

/** The part names that prefix log messages. */
export type LogPart =
	"instance" | "store" | "fleet" | "config" | "peers" | "targets" | "dispatch" | "http"

export interface LogSettings {
	readonly level: string
	readonly format: "json" | "text"
}

const text = winston.format.printf(info => {
	const {level, message, part, timestamp, instance, submission} = info
	const suffix = submission ? ` (${String(submission)})` : ""
	return `${String(timestamp)} ${level} ${String(instance)} ${String(part)}: ${String(message)}${suffix}`
})

/** Creates the process's logger, which writes to standard error. */
export function createLog(settings: LogSettings, instance: string): Log {
	const {combine, timestamp, json} = winston.format
	return winston.createLogger({
		level: settings.level,
		defaultMeta: {instance},
		format: combine(timestamp(), settings.format === "json" ? json() : text),
		transports: [
			new winston.transports.Console({stderrLevels: ["error", "warn", "info", "debug"]}),
		],
	})
}

/** Returns the logger of one part. */
export function logOf(log: Log, part: LogPart): Log {
	return log.child({part})
}
