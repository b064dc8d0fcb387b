/**
 * Logs of task starts, one line per start appended to a file, so that they outlive a killed process. Targets write them;
 * tests and soaks check them for repeated starts.
 */
import {appendFileSync, existsSync, readFileSync, readdirSync} from "node:fs"
import {join} from "node:path"

export interface Start {
	readonly submission: string
	readonly task: number
	readonly attempt: string
}

export interface StartLog {
	recordStart(start: Start): void
}

/** Opens the log of one process; an empty folder disables it. */
export function openStartLog(folder: string, name: string): StartLog {
	if (folder === "") return {recordStart: () => undefined}
	const file = join(folder, `${name}.starts`)
	return {recordStart: start => appendFileSync(file, `${JSON.stringify(start)}\n`)}
}

/** Reads the starts that all processes recorded in a folder; empty when the folder doesn't exist. */
export function readStarts(folder: string): readonly Start[] {
	if (!existsSync(folder)) return []
	return readdirSync(folder)
		.filter(name => name.endsWith(".starts"))
		.flatMap(name => readFileSync(join(folder, name), "utf8").split("\n"))
		.filter(line => line !== "")
		.map(line => JSON.parse(line) as Start)
}

/** Counts the starts of each task, by `submission#task`. */
export function countStarts(starts: readonly Start[]): ReadonlyMap<string, number> {
	const counts = new Map<string, number>()
	for (const {submission, task} of starts) {
		const name = `${submission}#${task}`
		counts.set(name, (counts.get(name) ?? 0) + 1)
	}
	return counts
}
