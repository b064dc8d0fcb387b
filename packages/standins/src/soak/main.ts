/**
 * `npm run soak`: bounded, seeded runs that mix all faults and judge all promises at once.
 */
import meow from "meow"
import {ALL_FAULTS, type FaultName} from "./faults.js"
import {LEASED_FAULTS, type LeasedFault} from "./leased-faults.js"
import {LEASED_SOAK_DEFAULTS, runLeasedSoak} from "./leased-soak.js"
import {runSoak} from "./soak.js"

const cli = meow(
	`
	Usage
	  $ npm run soak -- [--on platform|product] [--seed N] [--runs N] [--rounds N] [--faults N] [--callers N] [--fault NAME ...]

	--on platform  the program on the stand-in of the users' platform (the default);
	               --faults N of them are drawn in each run, while --callers N hand in jobs
	--on product   the product's own interface; --rounds N through all faults

	Prints one verdict per run and exits 1 when a promise was broken.
`,
	{
		importMeta: import.meta,
		flags: {
			on: {type: "string", choices: ["platform", "product"], default: "platform"},
			faults: {type: "number", default: LEASED_SOAK_DEFAULTS.count},
			callers: {type: "number", default: LEASED_SOAK_DEFAULTS.callers},
			seed: {type: "number", default: 1},
			runs: {type: "number", default: 1},
			rounds: {type: "number", default: 1},
			fault: {type: "string", isMultiple: true, default: []},
		},
	},
)

const {flags} = cli

function soakProduct(seed: number, onFault: (text: string) => void) {
	const faults = flags.fault.length > 0 ? (flags.fault as FaultName[]) : ALL_FAULTS
	return runSoak({seed, faults, rounds: flags.rounds, onFault})
}

function soakPlatform(seed: number, onFault: (text: string) => void) {
	const faults = flags.fault.length > 0 ? (flags.fault as LeasedFault[]) : LEASED_FAULTS
	return runLeasedSoak({seed, faults, count: flags.faults, callers: flags.callers, onFault})
}

const soak = flags.on === "product" ? soakProduct : soakPlatform
for (let run = 0; run < flags.runs; run++) {
	const seed = flags.seed + run
	const verdict = await soak(seed, text => process.stderr.write(`seed ${seed}: ${text}\n`))
	process.stdout.write(`${JSON.stringify({seed, ...verdict})}\n`)
	if (verdict.violations.length > 0) process.exitCode = 1
}
