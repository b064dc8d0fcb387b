/**
 * Command line of the jobs benchmark (`npm run bench:jobs`): the fleet's processor time per job.
 */
import meow from "meow"
import {runJobsBench, type JobsBenchFigures} from "./jobs-bench.js"

const cli = meow(
	`
	Usage
	  $ npm run bench:jobs -- [--runs N] [--domains N] [--instances N] [--executors N] [--rate N]
	                          [--seconds N] [--profile FOLDER] [--json]

	--instances and --executors count those of one failure domain; --rate is jobs a second in all.
`,
	{
		importMeta: import.meta,
		flags: {
			runs: {type: "number", default: 3},
			domains: {type: "number", default: 3},
			instances: {type: "number", default: 3},
			executors: {type: "number", default: 11},
			rate: {type: "number", default: 100},
			seconds: {type: "number", default: 6},
			profile: {type: "string", default: ""},
			json: {type: "boolean", default: false},
		},
	},
)

const {runs, domains, instances, executors, rate, seconds, profile, json} = cli.flags
const nodeArgs = profile === "" ? [] : ["--cpu-prof", `--cpu-prof-dir=${profile}`]
const all: JobsBenchFigures[] = []
for (let run = 0; run < runs; run++)
	all.push(
		await runJobsBench({
			failureDomains: domains,
			instancesPerDomain: instances,
			executorsPerDomain: executors,
			jobsPerSecond: rate,
			seconds,
			nodeArgs,
		}),
	)

if (json) process.stdout.write(`${JSON.stringify(all)}\n`)
else
	for (const figure of Object.keys(all[0] as JobsBenchFigures) as (keyof JobsBenchFigures)[]) {
		const values = all.map(one => one[figure]).sort((a, b) => a - b)
		const [middle, least, most] = [Math.floor(runs / 2), 0, runs - 1].map(
			at => values[at] as number,
		)
		const text = (value = 0) => value.toPrecision(3)
		process.stdout.write(`${figure.padEnd(20)} ${text(middle)} (${text(least)}..${text(most)})\n`)
	}
process.exit(0)
