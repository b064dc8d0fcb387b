/**
 * Child processes of a stand-in fleet. All are killed when this process exits.
 */
import {spawn, type ChildProcess} from "node:child_process"
import {createInterface} from "node:readline"

export interface FleetProcess {
	readonly name: string
	readonly port: number
	/** The JSON object of the process's first output line, with its ports. */
	readonly announced: Readonly<Record<string, number>>
	/** The last lines of standard error. */
	readonly logTail: () => readonly string[]
	signal(signal: NodeJS.Signals): void
	/** Resolves with the exit code, or null after a signal. */
	readonly exited: Promise<number | null>
	isRunning(): boolean
	readonly pid: number
}

const START_TIMEOUT_MS = 20_000
const SIGTERM_EXIT_CODE = 143
const MAX_LOG_LINES = 400

const children = new Set<ChildProcess>()

process.on("exit", () => {
	for (const child of children) child.kill("SIGKILL")
})
for (const signal of ["SIGTERM", "SIGINT"] as const) {
	process.once(signal, () => process.exit(SIGTERM_EXIT_CODE))
}

function collectLog(child: ChildProcess): () => readonly string[] {
	const lines: string[] = []
	createInterface({input: child.stderr!}).on("line", line => {
		lines.push(line)
		if (lines.length > MAX_LOG_LINES) lines.shift()
	})
	return () => lines
}

/** Starts a process and waits for the line that announces its port; rejects after 20 s or when the process exits. */
export function startProcess(
	name: string,
	script: string,
	args: readonly string[],
	env: Readonly<Record<string, string>> = {},
): Promise<FleetProcess> {
	const child = spawn(process.execPath, [script, ...args], {
		stdio: ["ignore", "pipe", "pipe"],
		env: {...process.env, ...env},
	})
	children.add(child)
	child.once("exit", () => children.delete(child))
	const logTail = collectLog(child)
	const exited = new Promise<number | null>(resolve => child.once("exit", code => resolve(code)))
	return new Promise((resolve, reject) => {
		const timer = setTimeout(() => {
			child.kill("SIGKILL")
			reject(new Error(`${name} did not start in time: ${logTail().join("\n")}`))
		}, START_TIMEOUT_MS)
		void exited.then(code => {
			clearTimeout(timer)
			reject(new Error(`${name} exited with code ${code}: ${logTail().join("\n")}`))
		})
		createInterface({input: child.stdout!}).once("line", line => {
			clearTimeout(timer)
			const announced = JSON.parse(line) as Record<string, number>
			resolve({
				name,
				port: announced.port!,
				announced,
				logTail,
				exited,
				pid: child.pid!,
				signal: signal => void child.kill(signal),
				isRunning: () => child.exitCode === null && child.signalCode === null,
			})
		})
	})
}

/** Kills processes, stopped ones too, and waits until they have exited. */
export async function killAll(processes: Iterable<FleetProcess>): Promise<void> {
	const all = [...processes]
	for (const item of all) item.signal("SIGCONT")
	for (const item of all) item.signal("SIGKILL")
	await Promise.all(all.map(item => item.exited))
}
