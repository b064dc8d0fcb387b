/**
 * `trace ID`: prints a job's timeline from the instances' structured log lines, without calling them.
 */
import {readFileSync} from "node:fs"
import {EXIT, printJson, printLine, printTable} from "../output.js"
import type {Command} from "./command.js"

/** A structured log line; fields that the timeline uses are declared. */
export interface LogLine {
	readonly timestamp: string
	readonly instance?: string
	readonly part?: string
	readonly kind?: string
	readonly job?: string
	readonly [field: string]: unknown
}

/** Fields that have their own column or add nothing to the timeline. */
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

/** Parses log lines; a log collector's prefix before the JSON is ignored, as are rows of other programs. */
export function readLines(text: string): readonly LogLine[] {
	const lines: LogLine[] = []
	for (const row of text.split("\n")) {
		const start = row.indexOf("{")
		if (start < 0) continue
		try {
			const line = JSON.parse(row.slice(start)) as LogLine
			if (typeof line.timestamp === "string") lines.push(line)
		} catch {
			// Other programs may write to the same log.
		}
	}
	return lines
}

/** Returns a job's lines by time; the instances' wall clocks may differ by milliseconds. */
export function timelineOf(lines: readonly LogLine[], job: string): readonly LogLine[] {
	return lines
		.filter(line => line.job === job)
		.sort((a, b) => (a.timestamp < b.timestamp ? -1 : a.timestamp > b.timestamp ? 1 : 0))
}

/** Returns instance names by session, from all lines that name both. */
export function instancesBySession(lines: readonly LogLine[]): ReadonlyMap<unknown, string> {
	const instances = new Map<unknown, string>()
	for (const {session, peer} of lines)
		if (session !== undefined && typeof peer === "string") instances.set(session, peer)
	return instances
}

/** Formats the fields without a column; `askedBy` gets the instance's name where it is known. */
export function describeLine(line: LogLine, instances: ReadonlyMap<unknown, string>): string {
	return Object.entries(line)
		.filter(([name]) => !COLUMNS.has(name))
		.map(([name, value]) => {
			const instance = name === "askedBy" ? instances.get(value) : undefined
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
	const instances = instancesBySession(lines)
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
				describeLine(line, instances),
			]),
		)
	return EXIT.ok
}
