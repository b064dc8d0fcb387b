/**
 * Command line of the benchmark (`npm run bench`): prints medians and ranges over several runs, for this build and,
 * with `--earlier`, for an earlier one.
 */
import meow from "meow"
import {startFleet} from "../fleet/fleet.js"
import {BENCH_CASES, runCase, type BenchFigures} from "./bench.js"

const cli = meow(
	`
	Usage
	  $ npm run bench -- [--runs N] [--ms N] [--case TEXT] [--earlier BIN] [--json]

	--earlier takes the entry command of an earlier build, for instance of a second checkout.
`,
	{
		importMeta: import.meta,
		flags: {
			runs: {type: "number", default: 3},
			ms: {type: "number", default: 3_000},
			case: {type: "string", default: ""},
			earlier: {type: "string"},
			json: {type: "boolean", default: false},
		},
	},
)

const SHAPE = Object.freeze({
	failureDomains: ["fd1"],
	entriesPerDomain: 1,
	executorsPerDomain: 4,
	workersPerDomain: 4,
	slotsPerExecutor: 32,
	worker: {cpu: 64, memoryMb: 128_000, accelerators: 0},
	logLevel: "error",
})

async function runBuild(entryBin: string | undefined): Promise<readonly BenchFigures[][]> {
	const fleet = await startFleet({...SHAPE, entryBin})
	try {
		const all: BenchFigures[][] = []
		for (const item of BENCH_CASES.filter(one => one.name.includes(cli.flags.case))) {
			await runCase(fleet, item, cli.flags.ms)
			const runs: BenchFigures[] = []
			for (let i = 0; i < cli.flags.runs; i++) runs.push(await runCase(fleet, item, cli.flags.ms))
			all.push(runs)
		}
		return all
	} finally {
		await fleet.stop()
	}
}

const FIGURES = ["startsPerSecond", "p50Ms", "p99Ms", "cpuUsPerStart", "cpuShare", "rssMb"] as const

function formatRange(runs: readonly BenchFigures[], figure: (typeof FIGURES)[number]): string {
	const values = runs.map(run => run[figure]).sort((a, b) => a - b)
	const text = (value: number) => value.toPrecision(3)
	const median = values[Math.floor(values.length / 2)]!
	return `${text(median)} (${text(values[0]!)}..${text(values.at(-1)!)})`
}

function print(title: string, all: readonly BenchFigures[][]) {
	process.stdout.write(`${title}: median (range) of ${cli.flags.runs} runs of ${cli.flags.ms} ms\n`)
	for (const runs of all) {
		const failures = runs.reduce((sum, run) => sum + run.failures, 0)
		process.stdout.write(`  ${runs[0]!.name}${failures > 0 ? `, ${failures} failures` : ""}\n`)
		for (const figure of FIGURES) {
			process.stdout.write(`    ${figure.padEnd(16)} ${formatRange(runs, figure)}\n`)
		}
	}
}

const builds: readonly (readonly [string, string | undefined])[] = [
	["this build", undefined],
	...(cli.flags.earlier ? [["earlier build", cli.flags.earlier] as const] : []),
]
for (const [title, bin] of builds) {
	const all = await runBuild(bin)
	if (cli.flags.json) process.stdout.write(`${JSON.stringify({title, all})}\n`)
	else print(title, all)
}
