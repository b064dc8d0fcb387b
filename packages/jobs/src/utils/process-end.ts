/**
 * The last line of a process's log, which says why it ended.
 *
 * It is written before the process ends, so every end of its own accord has one: a log without it ends by a kill, by a loss of
 * power, or by an abort of the runtime, such as for a full heap.
 */
import {writeSync} from "node:fs"
import type {JobMetrics} from "./metrics.js"
import type {BoundedOutput, EventLog} from "./log.js"

/** The reasons given to the system for an end; 0 for one that was asked for. */
export const EXIT_ASKED = 0
export const EXIT_FAILED = 1
export const EXIT_INVALID_SETTINGS = 2

const STDOUT = 1
/** The first lines of a stack: the error and where it was thrown. */
const STACK_LINES = 6
const MAX_CAUSE_LENGTH = 1_000
/** How long a full pipe may hold up the end, and the time between two attempts. */
const MAX_WAIT_MS = 100
const RETRY_MS = 5
const MS_PER_S = 1_000
const KB_PER_MB = 1_024
const WITHOUT_CAUSE = "nothing was left to do, or a library ended it"

/** The log and the metrics of a process, once it has a name. */
export interface ProcessObservers {
	readonly instance: string
	readonly log: EventLog
	readonly output: BoundedOutput
	readonly metrics: JobMetrics
}

export interface ProcessEnd {
	/** Sends the lines that are still buffered before the last one, and gives it the instance's name. */
	attach(observers: ProcessObservers): void
	/** Ends the process. `signal` is the one that asked for it. */
	end(exitCode: number, cause: string, signal?: string): never
}

/** The head of an error's stack. */
export function causeOf(error: unknown): string {
	const text = (error instanceof Error && error.stack) || String(error)
	return text.split("\n").slice(0, STACK_LINES).join("\n").slice(0, MAX_CAUSE_LENGTH)
}

function lastLine(instance: string | undefined, fields: object, exitCode: number): string {
	const common = {level: "warn", message: "instance: ended."}
	const timestamp = new Date().toISOString()
	const uptimeMs = Math.round(process.uptime() * MS_PER_S)
	const peakMemoryMb = Math.round(process.resourceUsage().maxRSS / KB_PER_MB)
	const figures = {exitCode, uptimeMs, peakMemoryMb}
	const line = {...common, timestamp, instance, part: "instance", kind: "ended", ...fields}
	return `${JSON.stringify({...line, ...figures})}\n`
}

/** Writes to standard output before it returns; gives up when nobody reads. */
function writeNow(bytes: Buffer) {
	const until = performance.now() + MAX_WAIT_MS
	for (let written = 0; written < bytes.length;) {
		try {
			written += writeSync(STDOUT, bytes, written)
		} catch (error) {
			const isFull = (error as NodeJS.ErrnoException).code === "EAGAIN"
			if (!isFull || performance.now() > until) return
			Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, RETRY_MS)
		}
	}
}

/**
 * Reports the end of this process from now on.
 *
 * An exception that nobody catches ends it, since it was thrown somewhere in the middle of a change to what all jobs share. A
 * rejection that nobody handles is logged and counted, and the process goes on: it ends one asynchronous function, such as that of
 * one job, and an end would break the jobs of all callers; a job that causes it would end one instance after another. The loops
 * of the instance begin again after a failure, or end the process with it.
 */
export function reportEnd(): ProcessEnd {
	let observers: ProcessObservers | undefined
	let reason: {readonly cause: string; readonly signal?: string | undefined} | undefined

	function end(exitCode: number, cause: string, signal?: string): never {
		reason ??= {cause, signal}
		process.exit(exitCode)
	}

	function fail(kind: string, error: unknown): never {
		const cause = causeOf(error)
		process.stderr.write(`cottonwood: ${kind}: ${cause}\n`)
		end(EXIT_FAILED, `${kind}: ${cause}`)
	}

	process.on("exit", exitCode => {
		// The write could wait for ever for a reader that has taken nothing for long.
		if (observers?.output.isStalled()) return
		const line = lastLine(observers?.instance, reason ?? {cause: WITHOUT_CAUSE}, exitCode)
		writeNow(Buffer.from((observers?.output.takeAll() ?? "") + line))
	})
	// Without this, a write after its reader has gone would be an uncaught exception.
	process.stderr.on("error", () => undefined)
	process.on("uncaughtException", error => fail("uncaught exception", error))
	process.on("unhandledRejection", error => {
		if (!observers) fail("unhandled rejection", error)
		const {log, metrics} = observers
		metrics.count("broken_assumptions", "unhandled_rejection")
		const message = "instance: a failure that nobody handled."
		log.alarm("instance", "unhandled_rejection", message, {cause: causeOf(error)})
	})
	return {attach: attached => void (observers = attached), end}
}
