/**
 * Command line of the soaks (`npm run soak`): bounded, seeded runs that inject faults and check all guarantees.
 */
import meow from "meow"
import {ALL_FAULTS, type FaultName} from "./faults.js"
import {LEASED_FAULTS, type LeasedFault} from "./leased-faults.js"
import {LEASED_SOAK_DEFAULTS, runLeasedSoak} from "./leased-soak.js"
import {ROUGH_SOAK_DEFAULTS, runRoughSoak} from "./rough-soak.js"
import {runSoak} from "./soak.js"

const cli = meow(
	`
	Usage
	  $ npm run soak -- [--on platform|rough|product] [--seed N] [--runs N] [--rounds N] [--faults N] [--callers N] [--processes N] [--hopeless N] [--fault NAME ...]

	--on platform  the program on the stand-in of the users' platform (the default);
	               --faults N of them are drawn in each run, while --callers N hand in jobs
	               --domains N --instances N (for each domain) say its size
	--on rough     the same stand-in, with faults between instances and of whole failure domains, long jobs and
	               callers that come back; --domains N --instances N --executors N (both for each domain) say
	               its size, --closing SHARE how many callers close their connection
	               when they stop waiting, --program PATH another build of the program (its bin.js), --keep DIR where a run
	               that broke a promise leaves its lines
	--connections N  so many faults beside the others in which connections go silent, or versions of the configuration
	               come in quick succession; a quarter of --faults by default, none where --fault names some

	--machines N   so many faults beside the others in which failure domains are emptied, executors shrink or are
	               crashed by tasks, and machines are suspended; as many as --connections by default

	--processes N  so many faults beside the others in which instances get SIGHUP at any moment, ports are taken and starts
	               interrupted; none by default; with any, the instances run the bundle (npm run bundle)

	--hopeless N   so many bursts of kept jobs that can never be done; none by default; the instances run the bundle

	--on product   the product's own interface; --rounds N through all faults

	Prints one verdict per run and exits 1 when a promise was broken.
`,
	{
		importMeta: import.meta,
		flags: {
			on: {type: "string", choices: ["platform", "rough", "product"], default: "platform"},
			faults: {type: "number"},
			callers: {type: "number"},
			processes: {type: "number", default: 0},
			hopeless: {type: "number", default: 0},
			domains: {type: "number"},
			instances: {type: "number"},
			executors: {type: "number", default: ROUGH_SOAK_DEFAULTS.executorsPerDomain},
			closing: {type: "number", default: ROUGH_SOAK_DEFAULTS.shareClosing},
			program: {type: "string"},
			keep: {type: "string"},
			connections: {type: "number"},
			machines: {type: "number"},
			seed: {type: "number", default: 1},
			runs: {type: "number", default: 1},
			rounds: {type: "number", default: 1},
			fault: {type: "string", isMultiple: true, default: []},
		},
	},
)

const {flags} = cli
const FIRST_LETTER = "a".charCodeAt(0)
interface Verdict {
	readonly violations: readonly string[]
}

function soakProduct(seed: number, onFault: (text: string) => void) {
	const faults = flags.fault.length > 0 ? (flags.fault as FaultName[]) : ALL_FAULTS
	return runSoak({seed, faults, rounds: flags.rounds, onFault})
}

/** Connection faults are off by default when faults are named, so that these run alone. */
function connectionFaultsBeside(count: number): number {
	return flags.connections ?? (flags.fault.length > 0 ? 0 : Math.ceil(count / 4))
}

const machineFaultsBeside = (count: number) => flags.machines ?? connectionFaultsBeside(count)

function soakPlatform(seed: number, onFault: (text: string) => void) {
	const faults = flags.fault.length > 0 ? (flags.fault as LeasedFault[]) : LEASED_FAULTS
	const {faults: count = LEASED_SOAK_DEFAULTS.count, callers = LEASED_SOAK_DEFAULTS.callers} = flags
	const connectionFaults = connectionFaultsBeside(count)
	const machineFaults = machineFaultsBeside(count)
	const {domains = LEASED_SOAK_DEFAULTS.failureDomains.length} = flags
	return runLeasedSoak({
		seed,
		faults,
		count,
		callers,
		connectionFaults,
		machineFaults,
		processFaults: flags.processes,
		hopelessBursts: flags.hopeless,
		failureDomains: Array.from({length: domains}, (_, at) =>
			String.fromCharCode(FIRST_LETTER + at),
		),
		instancesPerDomain: flags.instances ?? LEASED_SOAK_DEFAULTS.instancesPerDomain,
		onFault,
	})
}

function soakRough(seed: number, onFault: (text: string) => void) {
	const {faults: count = ROUGH_SOAK_DEFAULTS.count, callers = ROUGH_SOAK_DEFAULTS.callers} = flags
	return runRoughSoak({
		seed,
		count,
		callers,
		faults: flags.fault,
		connectionFaults: connectionFaultsBeside(count),
		machineFaults: machineFaultsBeside(count),
		processFaults: flags.processes,
		hopelessBursts: flags.hopeless,
		domains: flags.domains ?? ROUGH_SOAK_DEFAULTS.domains,
		instancesPerDomain: flags.instances ?? ROUGH_SOAK_DEFAULTS.instancesPerDomain,
		executorsPerDomain: flags.executors,
		shareClosing: flags.closing,
		program: flags.program,
		keepIn: flags.keep,
		onFault,
	})
}

const soaks = new Map<string, (seed: number, onFault: (text: string) => void) => Promise<Verdict>>([
	["product", soakProduct],
	["rough", soakRough],
])
const soak = soaks.get(flags.on) ?? soakPlatform
// process.exit runs the exit handlers, which end the child processes.
for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"])
	process.once(signal, () => {
		process.stderr.write(`ended by ${signal}\n`)
		process.exit(1)
	})
for (let run = 0; run < flags.runs; run++) {
	const seed = flags.seed + run
	const verdict = await soak(seed, text => process.stderr.write(`seed ${seed}: ${text}\n`))
	process.stdout.write(`${JSON.stringify({seed, ...verdict})}\n`)
	if (verdict.violations.length > 0) process.exitCode = 1
}
// Open sockets to ended instances would otherwise delay the exit.
process.exit()
