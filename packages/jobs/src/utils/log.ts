/**
 * Structured lines, one for each decision: JSON on standard output, written by winston.
 *
 * Writing never blocks the process. Lines go through a bounded buffer; a reader that stops costs
 * lines, which are counted and named in a later line, never time. Lines of one kind above a rate are
 * sampled, but not those that say what became of work that may have run.
 */
import {write} from "node:fs"
import winston from "winston"
import Transport from "winston-transport"
import type {PlacingSettings} from "../types/placing.js"

/** The fixed prefixes, one for each part. */
export type LogPart =
	"instance" | "ingress" | "job" | "placer" | "executor" | "fleet" | "store" | "config"

/**
 * What shows that a run is over: its end in its executor's list, a list without it, the end of every lease that it may
 * have, another life of its executor, the refusal of its start, or the word of the placer that had it.
 */
export type RunProof =
	| "listed end"
	| "not in a list"
	| "lease over"
	| "replaced"
	| "start refused"
	| "never sent"
	| "told by another placer"

/** The fields of all lines, named once. Times are milliseconds. */
export interface LogFields {
	/** The job's id. */
	readonly job?: string
	readonly task?: string
	readonly run?: number
	readonly queue?: string
	readonly executor?: string
	readonly failureDomain?: string
	readonly peer?: string
	/** The life of `peer`: the first signs of its session. */
	readonly session?: string
	/** The life of the instance that asked for the work; absent when the writer itself did. */
	readonly askedBy?: string
	/** Whether the writer asked itself. */
	readonly isOwn?: boolean
	readonly fence?: number
	readonly configVersion?: number
	/** What was decided or happened. */
	readonly outcome?: string
	readonly cause?: string
	/** What showed that a run is over. */
	readonly proof?: RunProof
	/** How old the deciding input was. */
	readonly inputAgeMs?: number
	readonly tookMs?: number
	readonly waitedMs?: number
	readonly deadlineInMs?: number
	readonly estimateMs?: number
	/** How many times its estimate a run is expected to take where it goes; 1 where that is not kept. */
	readonly slowness?: number
	readonly count?: number
	/** How many items one answer of the store held. */
	readonly told?: number
	readonly freeCpu?: number
	readonly needCpu?: number
	readonly waitingTasks?: number
	readonly waitingWork?: number
	/** The forecast of a job's first start and of its end. */
	readonly startInMs?: number
	readonly endInMs?: number
	/** Of the work that a queue asked for of late: what was served, and what it is due. */
	readonly servedRatio?: number
	readonly dueRatio?: number
	readonly retryAfterMs?: number
	readonly address?: string
	/** Forecast waits where a job was, and where it was sent. */
	readonly hereMs?: number
	readonly thereMs?: number
	/** What of placing is switched on here. */
	readonly placing?: PlacingSettings
	readonly detail?: string
}

/** Fields, or what makes them once a line is to be written. */
export type LazyFields = LogFields | (() => LogFields)

export interface EventLog {
	/** Writes one line. `kind` groups lines for sampling and search. */
	event(part: LogPart, kind: string, message: string, fields?: LazyFields): void
	/** Like `event`, and never sampled away. */
	alarm(part: LogPart, kind: string, message: string, fields?: LazyFields): void
}

/** The fields themselves. */
export const fieldsOf = (fields: LazyFields): LogFields =>
	typeof fields === "function" ? fields() : fields

/** Enough of a session to tell the lives of a fleet's instances apart. */
const LIFE_SIGNS = 8

/** How lines name one life of an instance. */
export function shortSession(session: string): string
export function shortSession(session: string | undefined): string | undefined
export function shortSession(session: string | undefined): string | undefined {
	return session?.slice(0, LIFE_SIGNS)
}

export interface LogSettings {
	readonly instance: string
	/** Lines of one kind that are written whole in each second; 0 writes none but alarms. */
	readonly linesPerKindPerSecond: number
}

/** Bytes that wait for a slow reader at most; a quarter of a percent of an instance's memory. */
const BUFFER_BYTES = 1_000_000
/** Above a kind's rate one line in this many is kept. */
const SAMPLE_ONE_IN = 20
const SECOND_MS = 1_000
/** Lines are gathered this long before they are written: each write costs a thread's wake-up. */
export const LOG_FLUSH_MS = 100
const STDOUT = 1

/** Where the library looks for a line's level and its text. */
const LEVEL = Symbol.for("level")
const MESSAGE = Symbol.for("message")

/**
 * The library's own format copies each line three times and sorts for cycles, which flat fields cannot have.
 */
const plainJson = winston.format(info => {
	info[MESSAGE] = JSON.stringify(info)
	return info
})

type Write = (
	bytes: Buffer,
	done: (err: NodeJS.ErrnoException | null, written: number) => void,
) => void

const writeStdout: Write = (bytes, done) => write(STDOUT, bytes, 0, bytes.length, null, done)

/** Writes without blocking the loop: one write at a time, the rest waits or is dropped. */
export class BoundedOutput extends Transport {
	private chunks: string[] = []
	private waitingBytes = 0
	private isWriting = false
	private isFlushDue = false
	private dropped = 0

	constructor(private readonly writeOut: Write = writeStdout) {
		super()
	}

	override log(info: Record<symbol, string>, next: () => void) {
		const line = `${info[MESSAGE]}\n`
		if (this.waitingBytes + line.length > BUFFER_BYTES) this.dropped++
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

	/** Writes what waits; the end of a process calls it too. */
	flush() {
		this.isFlushDue = false
		if (this.isWriting || this.chunks.length === 0) return
		this.isWriting = true
		const text = this.chunks.join("") + this.describeDrops()
		this.chunks = []
		this.waitingBytes = 0
		this.writeAll(Buffer.from(text))
	}

	private writeAll(bytes: Buffer) {
		this.writeOut(bytes, (err, written) => {
			// A closed or full output loses this chunk; there is nowhere left to say so.
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

	function isKept(kind: string): KindRate | undefined {
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
			const rate = isKept(kind)
			if (!rate) return
			const sampledOut = rate.skipped > 0 ? {sampledOut: rate.skipped} : {}
			rate.skipped = 0
			write("info", message, {part, kind, ...fieldsOf(fields), ...sampledOut})
		},
		alarm: (part, kind, message, fields = {}) =>
			write("warn", message, {part, kind, ...fieldsOf(fields)}),
	}
}

/** A log that keeps nothing; for tests of other things. */
export const silentLog: EventLog = Object.freeze({event: () => undefined, alarm: () => undefined})
