/**
 * Structured log lines, one for each decision, as JSON on standard output.
 *
 * Writing never blocks: lines go through a bounded buffer, and lines that do not fit are dropped
 * and counted. Lines of one kind above a rate are sampled; alarms are always written.
 */
import {write} from "node:fs"
import winston from "winston"
import Transport from "winston-transport"
import type {PlacingSettings} from "../types/placing.js"

/** The prefixes of messages, one for each part of the process. */
export type LogPart =
	"instance" | "ingress" | "job" | "placer" | "executor" | "fleet" | "store" | "config"

/**
 * The proof that a run is over: its end in the executor's list, a list without it, the end of all
 * its leases, a restarted executor, a refused start, or another placer's report.
 */
export type RunProof =
	| "listed end"
	| "not in a list"
	| "lease over"
	| "replaced"
	| "start refused"
	| "never sent"
	| "told by another placer"

/** The fields of all log lines. Times are in milliseconds. */
export interface LogFields {
	/** The job's id. */
	readonly job?: string
	readonly task?: string
	readonly run?: number
	readonly queue?: string
	readonly executor?: string
	readonly failureDomain?: string
	readonly peer?: string
	/** The shortened session of `peer`. */
	readonly session?: string
	/**
	 * The shortened session of the instance that submitted the work; absent for the writer's own
	 * work.
	 */
	readonly askedBy?: string
	/** Whether the writer itself submitted the work. */
	readonly isOwn?: boolean
	readonly fence?: number
	readonly configVersion?: number
	/** The decision or event. */
	readonly outcome?: string
	readonly cause?: string
	/** What showed that the run is over. */
	readonly proof?: RunProof
	/** Age of the data that the decision was based on. */
	readonly inputAgeMs?: number
	readonly tookMs?: number
	readonly waitedMs?: number
	readonly deadlineInMs?: number
	readonly estimateMs?: number
	/**
	 * Expected run time on the target as a multiple of the estimate; 1 when speeds are not tracked.
	 */
	readonly slowness?: number
	readonly count?: number
	/** Number of items in one answer of the store. */
	readonly told?: number
	readonly freeCpu?: number
	readonly needCpu?: number
	readonly waitingTasks?: number
	readonly waitingWork?: number
	/** The job's forecast first start and end. */
	readonly startInMs?: number
	readonly endInMs?: number
	/** Share of the work requested by a queue lately: served, and due. */
	readonly servedRatio?: number
	readonly dueRatio?: number
	readonly retryAfterMs?: number
	readonly address?: string
	/** Forecast waits in the job's domain and in the one it was sent to. */
	readonly hereMs?: number
	readonly thereMs?: number
	/** The enabled optional features of placing. */
	readonly placing?: PlacingSettings
	readonly detail?: string
	/** Signals that arrived during the start. */
	readonly signals?: readonly string[]
}

/** Fields, or a function that is called only if the line is written. */
export type LazyFields = LogFields | (() => LogFields)

export interface EventLog {
	/** Writes one line. `kind` groups lines for sampling and search. */
	event(part: LogPart, kind: string, message: string, fields?: LazyFields): void
	/** Like `event`, at level `warn` and never sampled. */
	alarm(part: LogPart, kind: string, message: string, fields?: LazyFields): void
}

/** Returns the fields, computing them if necessary. */
export const fieldsOf = (fields: LazyFields): LogFields =>
	typeof fields === "function" ? fields() : fields

/** Enough of a session to tell the fleet's processes apart. */
const SHORT_SESSION_CHARS = 8

/** Shortens a session for log lines. */
export function shortSession(session: string): string
export function shortSession(session: string | undefined): string | undefined
export function shortSession(session: string | undefined): string | undefined {
	return session?.slice(0, SHORT_SESSION_CHARS)
}

export interface LogSettings {
	readonly instance: string
	/** Lines of one kind written in each second before sampling; 0 writes only alarms. */
	readonly linesPerKindPerSecond: number
}

/** Maximum buffered size; further lines are dropped. */
const MAX_BUFFERED_BYTES = 1_000_000
/** Above a kind's rate one line in this many is written. */
const SAMPLE_ONE_IN = 20
const SECOND_MS = 1_000
/** Lines are collected for this long, since each write wakes a thread. */
export const LOG_FLUSH_MS = 100
/** A write takes less than a millisecond when somebody reads. */
const STALLED_AFTER_MS = 500
const STDOUT = 1

/** The keys under which winston expects a line's level and text. */
const LEVEL = Symbol.for("level")
const MESSAGE = Symbol.for("message")

/** Flat fields need neither the copies nor the check for cycles of winston's own format. */
const plainJson = winston.format(info => {
	info[MESSAGE] = JSON.stringify(info)
	return info
})

type Write = (
	bytes: Buffer,
	done: (err: NodeJS.ErrnoException | null, written: number) => void,
) => void

const writeStdout: Write = (bytes, done) => write(STDOUT, bytes, 0, bytes.length, null, done)

/**
 * Writes without blocking the event loop: one write at a time, with a bounded buffer for the rest.
 */
export class BoundedOutput extends Transport {
	private chunks: string[] = []
	private waitingBytes = 0
	private isWriting = false
	private isFlushDue = false
	private dropped = 0
	/** When the last write began, on the runtime's monotonic clock. */
	private progressAt = -Infinity

	constructor(private readonly writeOut: Write = writeStdout) {
		super()
	}

	override log(info: Record<symbol, string>, next: () => void) {
		const line = `${info[MESSAGE]}\n`
		if (this.waitingBytes + line.length > MAX_BUFFERED_BYTES) this.dropped++
		else {
			this.chunks.push(line)
			this.waitingBytes += line.length
			this.flushSoon()
		}
		next()
	}

	private flushSoon() {
		if (this.isFlushDue || this.isWriting) return
		this.isFlushDue = true
		setTimeout(() => this.flush(), LOG_FLUSH_MS).unref()
	}

	/** Writes the buffered lines; also called when the process ends. */
	flush() {
		this.isFlushDue = false
		if (this.isWriting || this.chunks.length === 0) return
		this.isWriting = true
		this.writeAll(Buffer.from(this.takeAll()))
	}

	/** Removes and returns the lines that are not being written yet. */
	takeAll(): string {
		const text = this.chunks.join("") + this.describeDrops()
		this.chunks = []
		this.waitingBytes = 0
		return text
	}

	/** Whether the reader has taken nothing for long. */
	isStalled(): boolean {
		return this.isWriting && performance.now() - this.progressAt > STALLED_AFTER_MS
	}

	private writeAll(bytes: Buffer) {
		this.progressAt = performance.now()
		this.writeOut(bytes, (err, written) => {
			// On an error the chunk is lost, since there is nowhere to report it.
			const rest = err ? bytes.subarray(bytes.length) : bytes.subarray(written)
			if (rest.length > 0) return this.writeAll(rest)
			this.isWriting = false
			if (this.chunks.length > 0) this.flushSoon()
		})
	}

	private describeDrops(): string {
		if (this.dropped === 0) return ""
		const line = {level: "warn", part: "instance", kind: "lines_dropped", count: this.dropped}
		this.dropped = 0
		return `${JSON.stringify(line)}\n`
	}
}

interface KindRate {
	since: number
	lines: number
	skipped: number
}

/**
 * Creates the log of a process.
 *
 * @example log.event("job", "accepted", "job: accepted.", {job: id, queue: "orders"})
 */
export function createEventLog(
	settings: LogSettings,
	output: Transport = new BoundedOutput(),
): EventLog {
	const {instance} = settings
	const logger = winston.createLogger({format: plainJson(), transports: [output]})
	const rates = new Map<string, KindRate>()

	function admit(kind: string): KindRate | undefined {
		const now = performance.now()
		let rate = rates.get(kind)
		if (!rate) rates.set(kind, (rate = {since: now, lines: 0, skipped: 0}))
		if (now - rate.since > SECOND_MS) {
			rate.since = now
			rate.lines = 0
		}
		rate.lines++
		if (rate.lines <= settings.linesPerKindPerSecond) return rate
		if (settings.linesPerKindPerSecond > 0 && rate.lines % SAMPLE_ONE_IN === 0) return rate
		rate.skipped++
		return undefined
	}

	function write(level: "info" | "warn", message: string, fields: object) {
		const timestamp = new Date().toISOString()
		logger.write({[LEVEL]: level, level, message, timestamp, instance, ...fields})
	}

	return {
		event(part, kind, message, fields = {}) {
			const rate = admit(kind)
			if (!rate) return
			const sampledOut = rate.skipped > 0 ? {sampledOut: rate.skipped} : {}
			rate.skipped = 0
			write("info", message, {part, kind, ...fieldsOf(fields), ...sampledOut})
		},
		alarm: (part, kind, message, fields = {}) =>
			write("warn", message, {part, kind, ...fieldsOf(fields)}),
	}
}

/** A log that discards all lines. */
export const silentLog: EventLog = Object.freeze({event: () => undefined, alarm: () => undefined})
