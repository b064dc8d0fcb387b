/**
 * The rough soak: the program runs on the platform stand-in with a failure domain short of executors, jobs as long as a
 * takeover, resubmitting callers, and faults between instances and of whole failure domains.
 */
import {monitorEventLoopDelay} from "node:perf_hooks"
import {seededRandom} from "../utils/random.js"
import {waitUntilEnded} from "./leased-callers.js"
import {
	isConnectionFault,
	planConnectionFaults,
	runConnectionFault,
	type PlannedConnectionFault,
} from "./connection-faults.js"
import {runLeasedFault} from "./leased-faults.js"
import {
	checkOperators,
	isMachineFault,
	planMachineFaults,
	runMachineFault,
	type PlannedMachineFault,
} from "./machine-faults.js"
import {countProcesses, violationsOf, type ProcessCounts} from "./leased-verdict.js"
import {runRoughCallers, type ReturnedJob} from "./rough-callers.js"
import {
	isHopelessBurst,
	planHopelessBursts,
	runHopelessBurst,
	type PlannedHopelessBurst,
} from "./hopeless-jobs.js"
import {
	isProcessFault,
	planProcessFaults,
	runProcessFault,
	type PlannedProcessFault,
} from "./process-faults.js"
import {runRoughFault} from "./rough-faults.js"
import {lateLines, waitUntilReady} from "./readiness-check.js"
import {saveRun, type RecordLine} from "./rough-record.js"
import {isRoughFault, planFaults, type PlannedFault} from "./rough-schedule.js"
import {closeRoughWorld, startRoughWorld, type RoughWorld} from "./rough-world.js"
import {sleep} from "../utils/sleep.js"

export interface RoughSoakPlan {
	readonly seed: number
	/** Number of faults, without connection and machine faults. */
	readonly count: number
	/** Names of the faults to draw from; all when empty. */
	readonly faults: readonly string[]
	readonly domains: number
	readonly instancesPerDomain: number
	readonly executorsPerDomain: number
	readonly callers: number
	/** Number of connection faults. */
	readonly connectionFaults: number
	/** Number of machine faults. */
	readonly machineFaults: number
	/** Number of process faults. With any, the instances run the deployed bundle unless `program` is given. */
	readonly processFaults: number
	/** Number of bursts of kept jobs that can never be done. */
	readonly hopelessBursts: number
	/** Share of jobs whose caller closes the connection when it stops waiting. */
	readonly shareClosing: number
	/** Path of another build's program to run instead. */
	readonly program: string | undefined
	/** Folder for the records of runs with violations. */
	readonly keepIn: string | undefined
	/** Whether the records of runs without violations are saved too. */
	readonly keepsAll: boolean
	readonly onFault: (text: string) => void
}

export const ROUGH_SOAK_DEFAULTS: RoughSoakPlan = Object.freeze({
	seed: 1,
	count: 30,
	faults: [],
	domains: 3,
	instancesPerDomain: 3,
	executorsPerDomain: 3,
	callers: 70,
	connectionFaults: 0,
	machineFaults: 0,
	processFaults: 0,
	hopelessBursts: 0,
	shareClosing: 0.5,
	program: undefined,
	keepIn: undefined,
	keepsAll: false,
	onFault: () => undefined,
})

export interface RoughVerdict {
	readonly seed: number
	readonly jobs: number
	readonly completed: number
	readonly refused: number
	/** Jobs that were resubmitted after a try with an unknown outcome. */
	readonly returned: number
	readonly open: number
	readonly processes: ProcessCounts
	/** Instances that did not become ready in time after the last fault. */
	readonly unready: readonly string[]
	/** Longest event-loop delay of the soak process, which delays executors and links too. */
	readonly lagMs: number
	readonly violations: readonly string[]
	/** Path of the saved records. */
	readonly kept: string | undefined
}

const KEPT_SHARE = 0.05
/** Time limit after the last fault for instances to be ready, and for accepted jobs to end. */
const FINISH_MS = 30_000
const LAG_RESOLUTION_MS = 5
const CALLERS_SEED = 1_000_003
const WORLD_SEED = 2_000_003
const NS_PER_MS = 1e6

const stamp = (line: RecordLine): RecordLine => ({timestamp: new Date().toISOString(), ...line})

async function runFault(
	world: RoughWorld,
	fault:
		| PlannedFault
		| PlannedConnectionFault
		| PlannedMachineFault
		| PlannedProcessFault
		| PlannedHopelessBurst,
	report: (text: string) => void,
) {
	if (isConnectionFault(fault)) return runConnectionFault(world, fault, report)
	if (isMachineFault(fault)) return runMachineFault(world, fault, report)
	if (isHopelessBurst(fault)) return runHopelessBurst(world, fault, report)
	if (isProcessFault(fault)) return runProcessFault(world, fault, report)
	const random = seededRandom(fault.seed)
	if (isRoughFault(fault.name)) return runRoughFault(world, fault.name, random, report)
	const durationMs = 500 + random() * 2_000
	const before = world.configVersion
	const own = {...world, random, durationMs}
	await runLeasedFault(own, fault.name, report)
	world.configVersion += own.configVersion - before
}

/** Returns all planned faults in the order of time. */
function planAll({seed, count, faults, ...plan}: RoughSoakPlan) {
	const others = planFaults(seed, count, faults)
	const ofConnections = planConnectionFaults(seed, plan.connectionFaults)
	const ofMachines = planMachineFaults(seed, plan.machineFaults)
	const ofProcesses = planProcessFaults(seed, plan.processFaults)
	const hopeless = planHopelessBursts(seed, plan.hopelessBursts)
	const all = [...others, ...ofConnections, ...ofMachines, ...ofProcesses, ...hopeless]
	return all.sort((a, b) => a.atMs - b.atMs)
}

async function runFaults(world: RoughWorld, plan: RoughSoakPlan, faults: RecordLine[]) {
	const began = performance.now()
	const pending: Promise<void>[] = []
	for (const fault of planAll(plan)) {
		await sleep(began + fault.atMs - performance.now())
		const number = pending.length
		const note = (what: string) => {
			faults.push(stamp({kind: "begins", number, what}))
			plan.onFault(what)
		}
		const over = () => void faults.push(stamp({kind: "ends", number}))
		pending.push(runFault(world, fault, note).finally(over))
	}
	await Promise.all(pending)
	for (const {child} of world.fleet.edges) child.kill("SIGCONT")
}

function countJobs(jobs: readonly ReturnedJob[]) {
	const count = (isWanted: (job: ReturnedJob) => boolean) => jobs.filter(isWanted).length
	const isOpen = (status: number) => ![200, 503].includes(status)
	return {
		jobs: jobs.length,
		completed: count(({state}) => state === "completed"),
		refused: count(({statuses}) => statuses.at(-1) === 503),
		returned: count(({statuses}) => statuses.slice(0, -1).some(isOpen)),
		open: count(({statuses}) => isOpen(statuses.at(-1) ?? 0)),
	}
}

/** Runs one soak and returns its verdict. All started processes and servers are always closed. */
export async function runRoughSoak(changes: Partial<RoughSoakPlan> = {}): Promise<RoughVerdict> {
	const plan = {...ROUGH_SOAK_DEFAULTS, ...changes}
	const {seed, callers, keepIn} = plan
	const platformRecords: RecordLine[] = []
	const faultLines: RecordLine[] = []
	const failureDomains = Array.from({length: plan.domains}, (_, at) => `zone-${at + 1}`)
	const random = seededRandom(seed + WORLD_SEED)
	const record = (line: RecordLine) => void platformRecords.push(line)
	const isDeployed = plan.processFaults + plan.hopelessBursts > 0
	const world = await startRoughWorld({...plan, isDeployed, failureDomains, random, record})
	const lag = monitorEventLoopDelay({resolution: LAG_RESOLUTION_MS})
	lag.enable()
	try {
		let isNeeded = true
		const ended = runFaults(world, plan, faultLines)
			.finally(() => (isNeeded = false))
			.then(() => checkOperators(world, seed, plan.machineFaults))
		const jobs = await runRoughCallers(world, {
			seed: seed + CALLERS_SEED,
			callers,
			shareClosing: plan.shareClosing,
			isNeeded: () => isNeeded,
			keptShare: KEPT_SHARE,
		})
		const behind = await ended
		const unready = await waitUntilReady(world.fleet, FINISH_MS)
		await waitUntilEnded(world.fleet, jobs, FINISH_MS)
		const broken = jobs.flatMap(job => violationsOf(job, world.platform))
		const faults = [...world.fleet.faults(), ...lateLines(unready, FINISH_MS)]
		const violations = [...faults, ...world.platform.violations, ...behind, ...broken]
		const lagMs = Math.round(lag.max / NS_PER_MS)
		const processes = countProcesses(world.fleet)
		const verdict = {seed, ...countJobs(jobs), processes, unready, lagMs, violations}
		const {edges, ends} = world.fleet
		const shouldSave = keepIn !== undefined && (plan.keepsAll || violations.length > 0)
		const kept = shouldSave
			? saveRun(keepIn, {verdict, faults: faultLines, platformRecords, jobs, edges, ends})
			: undefined
		return {...verdict, kept}
	} finally {
		lag.disable()
		await closeRoughWorld(world)
	}
}
