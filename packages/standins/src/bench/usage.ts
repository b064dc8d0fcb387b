/**
 * Reads the processor time and memory of a running process from the operating system, for the benchmarks.
 */
import {readFileSync} from "node:fs"

export interface Usage {
	readonly cpuMs: number
	readonly rssMb: number
}

const MS_PER_TICK = 10
const KB_PER_MB = 1_024

/** Reads a process's usage from /proc. Throws when the process does not exist; Linux only. */
export function readUsage(pid: number): Usage {
	const stat = readFileSync(`/proc/${pid}/stat`, "utf8")
	const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ")
	const status = readFileSync(`/proc/${pid}/status`, "utf8")
	const rssKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0)
	return {
		cpuMs: (Number(fields[11]) + Number(fields[12])) * MS_PER_TICK,
		rssMb: rssKb / KB_PER_MB,
	}
}
