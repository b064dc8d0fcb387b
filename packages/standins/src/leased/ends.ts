/**
 * Records how the process of an instance ends, and tells the ends that nobody asked for from those that a test or soak
 * brought about.
 */
import type {ChildProcess} from "node:child_process"

export interface ProcessEnd {
	readonly instance: string
	readonly code: number | null
	readonly signal: NodeJS.Signals | null
	/** Time since the start of the process, in milliseconds. */
	readonly afterMs: number
	/** Signals with which the test or soak meant to end the process, in order. */
	readonly asked: readonly NodeJS.Signals[]
	/** Whether the program was certainly loading its code; undefined when that was not marked. */
	readonly hasBegun: boolean | undefined
	/** Number of SIGHUP that the test or soak sent. */
	readonly hangUps: number
	/** The last lines of standard output and standard error. */
	readonly lastLines: readonly string[]
}

/** The process of an instance from its start to its end. */
export interface Life {
	/** Sends a signal that is meant to end the process; such an end is no fault. */
	end(signal: NodeJS.Signals): void
	/** Sends SIGHUP, which must not end the process. */
	hangUp(): void
	/** Resolves when the program begins to load its code, or at once when that is not marked. */
	readonly begun: Promise<void>
	/** The last lines so far. */
	readonly lastLines: readonly string[]
	/** Whether an end was asked for. */
	isEndAsked(): boolean
	/** Resolves when the process has ended and its output is read. */
	readonly ended: Promise<ProcessEnd>
}

const MAX_LINES = 6
const MAX_LINE_CHARS = 400
/** A line of the stack that the runtime prints when it gives up; the reason stands above it. */
const NATIVE_FRAME = /^ *\d+: 0x/
/** Index of the pipe to which the program's beginning is marked. */
const MARK_PIPE = 3

function keepLastLines(child: ChildProcess): readonly string[] {
	const kept: string[] = []
	for (const stream of [child.stdout, child.stderr]) {
		let rest = ""
		stream?.on("data", (chunk: Buffer) => {
			const parts = (rest + chunk.toString("utf8")).split("\n")
			rest = (parts.pop() ?? "").slice(0, MAX_LINE_CHARS)
			for (const part of parts.filter(line => line.trim() !== "" && !NATIVE_FRAME.test(line))) {
				if (kept.length >= MAX_LINES) kept.shift()
				kept.push(part.slice(0, MAX_LINE_CHARS))
			}
		})
	}
	return kept
}

export function watchLife(instance: string, child: ChildProcess): Life {
	const began = performance.now()
	const asked: NodeJS.Signals[] = []
	let hangUps = 0
	const mark = child.stdio[MARK_PIPE]
	let hasBegun = mark ? false : undefined
	const begun = new Promise<void>(resolve => {
		if (!mark) return resolve()
		mark.once("data", () => {
			hasBegun = true
			resolve()
		})
		mark.once("close", resolve)
	})
	const lastLines = keepLastLines(child)
	let afterMs = 0
	child.once("exit", () => (afterMs = Math.round(performance.now() - began)))
	const ended = new Promise<ProcessEnd>(resolve => {
		child.once("close", (code, signal) =>
			resolve({instance, code, signal, afterMs, asked, hasBegun, hangUps, lastLines}),
		)
	})
	return {
		end(signal) {
			// A process that has ended already did so by itself.
			if (child.exitCode === null && child.signalCode === null) asked.push(signal)
			child.kill(signal)
		},
		hangUp() {
			hangUps++
			child.kill("SIGHUP")
		},
		begun,
		lastLines,
		isEndAsked: () => asked.length > 0,
		ended,
	}
}

const isAsked = ({asked, code, signal}: ProcessEnd) =>
	signal === null ? code === 0 && asked.includes("SIGTERM") : asked.includes(signal)

const isEarlyHangUp = ({signal, hasBegun, hangUps}: ProcessEnd) =>
	signal === "SIGHUP" && hasBegun === false && hangUps > 0

function describe({instance, code, signal, afterMs, asked, lastLines}: ProcessEnd): string {
	const how = signal ?? `exit code ${code}`
	const despite = asked.length > 0 ? `, asked to end by ${asked.join(", ")}` : ""
	return `${instance} ended by itself (${how}, ${afterMs} ms after its start${despite}; last lines: ${lastLines.join(" | ")})`
}

/** Returns one line for each end that nobody asked for. */
export const faultsOf = (ends: readonly ProcessEnd[]): readonly string[] =>
	ends.filter(end => !isAsked(end) && !isEarlyHangUp(end)).map(end => `FAULT: ${describe(end)}`)

/**
 * Returns one line for each end by a SIGHUP that came before the program began to load its code. No program can catch
 * these, so they are counted apart.
 */
export const earlyHangUpsOf = (ends: readonly ProcessEnd[]): readonly string[] =>
	ends.filter(end => !isAsked(end) && isEarlyHangUp(end)).map(describe)
