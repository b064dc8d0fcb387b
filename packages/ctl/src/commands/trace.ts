/**
 * `trace ID`: the timeline of a job from the structured lines of all instances, without asking any.
 */
import {readFileSync} from "node:fs"
import {EXIT, printJson, printLine, printTable} from "../output.js"
import type {Command} from "./command.js"

/** A structured line; only what the timeline shows is named. */
export interface LogLine {
	readonly timestamp: string
	readonly instance?: string
	readonly part?: string
	readonly kind?: string
	readonly job?: string
	readonly [field: string]: unknown
}

/** Shown in columns of their own, or the same on each line. */
const COLUMNS = new Set([
	"timestamp",
	"instance",
	"kind",
	"part",
	"job",
	"level",
	"message",
	"sampledOut",
])

/** Finds the lines in a text; what comes before a line's JSON, as a prefix of a collector, is passed over. */
export function readLines(text: string): readonly LogLine[] {
	const lines: LogLine[] = []
	for (const row of text.split("\n")) {
		const start = row.indexOf("{")
		if (start < 0) continue
		try {
			const line = JSON.parse(row.slice(start)) as LogLine
			if (typeof line.timestamp === "string") lines.push(line)
		} catch {
			// A row that is not one of our lines: other programs write to the same place.
		}
	}
	return lines
}

/** A job's lines in the order of their time; instances' times of day may differ by milliseconds. */
export function timelineOf(lines: readonly LogLine[], job: string): readonly LogLine[] {
	return lines
		.filter(line => line.job === job)
		.sort((a, b) => (a.timestamp < b.timestamp ? -1 : a.timestamp > b.timestamp ? 1 : 0))
}

/** The names of instances by their lives, from all lines that name one with its life. */
export function livesOf(lines: readonly LogLine[]): ReadonlyMap<unknown, string> {
	const lives = new Map<unknown, string>()
	for (const {session, peer} of lines)
		if (session !== undefined && typeof peer === "string") lives.set(session, peer)
	return lives
}

/** What a line says beside its columns; the life of who asked with its name, if any line tells it. */
export function describeLine(line: LogLine, lives: ReadonlyMap<unknown, string>): string {
	return Object.entries(line)
		.filter(([name]) => !COLUMNS.has(name))
		.map(([name, value]) => {
			const instance = name === "askedBy" ? lives.get(value) : undefined
			return `${name}=${String(value)}${instance ? ` (${instance})` : ""}`
		})
		.join(" ")
}

export const trace: Command = async ({words, asJson}) => {
	const [job, ...files] = words
	if (!job) return EXIT.usage
	const texts =
		files.length > 0 ? files.map(file => readFileSync(file, "utf8")) : [readFileSync(0, "utf8")]
	const lines = texts.flatMap(readLines)
	const timeline = timelineOf(lines, job)
	const lives = livesOf(lines)
	if (timeline.length === 0) {
		const since = lines.map(({timestamp}) => timestamp).sort()[0] ?? "never: no lines were read"
		printLine(`not known here; the lines begin ${since}`)
		return EXIT.failed
	}
	if (asJson) printJson(timeline)
	else
		printTable(
			["time", "instance", "kind", "what"],
			timeline.map(line => [
				line.timestamp.slice(11),
				line.instance,
				line.kind,
				describeLine(line, lives),
			]),
		)
	return EXIT.ok
}
