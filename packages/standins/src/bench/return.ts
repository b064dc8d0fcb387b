/**
 * Command line of the return benchmark (`npm run bench:return`): how soon a fleet serves again after all instances
 * were killed together.
 */
import meow from "meow"
import {runReturnBench, type ReturnFigures} from "./return-bench.js"

const cli = meow(
	`
	Usage
	  $ npm run bench:return -- [--runs N] [--domains N] [--instances N] [--executors N] [--rate N]
	                            [--down MS] [--program FILE] [--runtime ARGUMENTS] [--json]

	--instances and --executors count those of one failure domain; --rate is jobs a second in all. --program is
	the bundle of another build; by default this one's, made by npm run bundle. Its compiled code is refused under other
	arguments of the runtime than it was bundled with.
`,
	{
		importMeta: import.meta,
		flags: {
			runs: {type: "number", default: 3},
			domains: {type: "number", default: 3},
			instances: {type: "number", default: 2},
			executors: {type: "number", default: 11},
			rate: {type: "number", default: 60},
			down: {type: "number", default: 560},
			program: {type: "string", default: "target/cottonwood.cjs"},
			runtime: {type: "string", default: "--max-old-space-size=160"},
			json: {type: "boolean", default: false},
		},
	},
)

const {runs, domains, instances, executors, rate, down, program, runtime, json} = cli.flags
const all: ReturnFigures[] = []
for (let run = 0; run < runs; run++)
	all.push(
		await runReturnBench({
			failureDomains: domains,
			instancesPerDomain: instances,
			executorsPerDomain: executors,
			jobsPerSecond: rate,
			downMs: down,
			program,
			nodeArgs: runtime.split(" ").filter(arg => arg !== ""),
		}),
	)

if (json) process.stdout.write(`${JSON.stringify(all)}\n`)
else
	for (const figure of Object.keys(all[0] as ReturnFigures) as (keyof ReturnFigures)[]) {
		const values = all.map(one => one[figure]).sort((a, b) => a - b)
		const [middle = 0, least = 0, most = 0] = [Math.floor(runs / 2), 0, runs - 1].map(
			at => values[at],
		)
		const text = (value: number) => value.toPrecision(3)
		process.stdout.write(`${figure.padEnd(20)} ${text(middle)} (${text(least)}..${text(most)})\n`)
	}
process.exit(0)
