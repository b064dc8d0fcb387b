/**
 * Saves the records of a rough soak run as JSON lines in a folder of its own, so that a violation can be traced.
 */
import {mkdirSync, writeFileSync} from "node:fs"
import {join} from "node:path"
import type {Edge} from "../leased/edges.js"
import type {ProcessEnd} from "../leased/ends.js"

export type RecordLine = Readonly<Record<string, unknown>>

export interface RunRecords {
	readonly verdict: RecordLine & {readonly seed: number}
	/** Start and end of each fault. */
	readonly faults: readonly RecordLine[]
	/** Records of the executors and the store. */
	readonly platformRecords: readonly RecordLine[]
	readonly jobs: readonly object[]
	readonly edges: readonly Edge[]
	readonly ends: readonly ProcessEnd[]
}

const toLines = (lines: readonly object[]) =>
	lines.map(line => `${JSON.stringify(line)}\n`).join("")

/** Writes a run's records, one log file per instance process, and returns the folder's path. */
export function saveRun(
	folder: string,
	{verdict, faults, platformRecords, jobs, edges, ends}: RunRecords,
): string {
	const path = join(folder, `seed-${verdict.seed}-${new Date().toISOString().replaceAll(":", "")}`)
	mkdirSync(path, {recursive: true})
	writeFileSync(join(path, "verdict.json"), JSON.stringify(verdict, undefined, "\t"))
	writeFileSync(join(path, "faults.jsonl"), toLines(faults))
	writeFileSync(join(path, "judge.jsonl"), toLines(platformRecords))
	writeFileSync(join(path, "jobs.jsonl"), toLines(jobs))
	writeFileSync(join(path, "ends.jsonl"), toLines(ends))
	const lives = new Map<string, number>()
	for (const {name, lines} of edges) {
		const life = (lives.get(name) ?? 0) + 1
		lives.set(name, life)
		writeFileSync(join(path, `${name}.${life}.jsonl`), toLines(lines))
	}
	return path
}
