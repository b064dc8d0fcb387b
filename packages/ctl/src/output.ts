/**
 * Prints results as JSON, tables or lines, and maps failures to exit codes.
 */
import type {CallFailure} from "./client.js"

/** The exit codes, listed in `--help`. */
export const EXIT = Object.freeze({
	ok: 0,
	failed: 1,
	usage: 2,
	notRun: 3,
	unknown: 4,
	unreachable: 5,
	conflict: 6,
})

export type Cell = string | number | boolean | null | undefined

export function printJson(value: unknown) {
	process.stdout.write(`${JSON.stringify(value, null, "\t")}\n`)
}

export function printLine(text: string) {
	process.stdout.write(`${text}\n`)
}

/** Prints rows under their headers, in columns as wide as their widest cell. */
export function printTable(headers: readonly string[], rows: readonly (readonly Cell[])[]) {
	const texts = rows.map(row => row.map(cell => String(cell ?? "")))
	const widths = headers.map((header, i) =>
		Math.max(header.length, ...texts.map(row => row[i]!.length)),
	)
	const line = (cells: readonly string[]) =>
		cells
			.map((cell, i) => cell.padEnd(widths[i]!))
			.join("  ")
			.trimEnd()
	printLine(line(headers.map(header => header.toUpperCase())))
	for (const row of texts) printLine(line(row))
}

function exitCodeOf(failure: CallFailure): number {
	if (failure.kind === "unreachable") return EXIT.unreachable
	if (failure.kind === "config_conflict") return EXIT.conflict
	if (failure.ran === "not run") return EXIT.notRun
	return failure.ran === "failed" ? EXIT.failed : EXIT.unknown
}

/** Prints a failure to standard error and returns the exit code. */
export function reportFailure(failure: CallFailure, asJson: boolean): number {
	if (asJson) process.stderr.write(`${JSON.stringify(failure)}\n`)
	else {
		const back = failure.retryAfterMs ? `; come back in ${failure.retryAfterMs} ms` : ""
		process.stderr.write(`${failure.kind} (${failure.ran}): ${failure.detail}${back}\n`)
	}
	return exitCodeOf(failure)
}
