/**
 * `npm run soak`: bounded, seeded runs that mix all faults and judge all promises at once.
 */
import meow from "meow"
import {ALL_FAULTS, type FaultName} from "./faults.js"
import {runSoak} from "./soak.js"

const cli = meow(
	`
	Usage
	  $ npm run soak -- [--seed N] [--runs N] [--rounds N] [--fault NAME ...]

	Prints one verdict per run and exits 1 when a promise was broken.
`,
	{
		importMeta: import.meta,
		flags: {
			seed: {type: "number", default: 1},
			runs: {type: "number", default: 1},
			rounds: {type: "number", default: 1},
			fault: {type: "string", isMultiple: true, default: []},
		},
	},
)

const faults = cli.flags.fault.length > 0 ? (cli.flags.fault as FaultName[]) : ALL_FAULTS
for (let run = 0; run < cli.flags.runs; run++) {
	const seed = cli.flags.seed + run
	const verdict = await runSoak({
		seed,
		faults,
		rounds: cli.flags.rounds,
		onFault: text => process.stderr.write(`seed ${seed}: ${text}\n`),
	})
	process.stdout.write(`${JSON.stringify({seed, ...verdict})}\n`)
	if (verdict.violations.length > 0) process.exitCode = 1
}
