/**
 * Counts of the runs on one executor, kept as they come and go, so that choosing an executor looks at none of them.
 */
import type {Run, TaskRequest} from "../place/run.js"
import {stepNameOf} from "../place/task-queue.js"
import type {TaskNeed} from "../types/job.js"

/** Sums of needs are kept to a millionth of their unit. */
const SUM_PRECISION = 1_000_000

/** Counts of the runs on one executor, or of some of them. */
export interface Tally {
	/** How many runs. */
	runs: number
	filling: number
	serving: number
	/** By the name of their step. */
	readonly steps: Map<string, number>
	/** The sum of their needs. */
	readonly need: {-readonly [resource in keyof TaskNeed]: TaskNeed[resource]}
}

export interface RunCounts {
	readonly all: Tally
	/** The lasting ones among them. */
	readonly lasting: Tally
	/** Runs that should, or must, have the executor to themselves. */
	isolated: number
	/** Runs that must have the executor to themselves until they end. */
	alone: number
	/** Lasting runs that must have it to themselves while they are young; older ones leave the set when it is read. */
	readonly youngAlone: Set<Run>
	/** How many runs each confirmation stands for; the runs of a job share one. */
	readonly confirmations: Map<TaskRequest["confirmedAt"], number>
}

const newTally = (): Tally => ({
	runs: 0,
	filling: 0,
	serving: 0,
	steps: new Map(),
	need: {cpu: 0, memoryMb: 0, accelerators: 0},
})

export function newRunCounts(): RunCounts {
	return {
		all: newTally(),
		lasting: newTally(),
		isolated: 0,
		alone: 0,
		youngAlone: new Set(),
		confirmations: new Map(),
	}
}

/** Counts a run that was added (1) or removed (-1). */
export function countRun(counts: RunCounts, run: Run, sign: 1 | -1) {
	const {req} = run
	tally(counts.all, req, sign)
	if (req.isLasting) tally(counts.lasting, req, sign)
	addTo(counts.confirmations, req.confirmedAt, sign)
	if (req.isolation) counts.isolated += sign
	if (req.isolation === "required") countAlone(counts, run, sign)
}

function countAlone(counts: RunCounts, run: Run, sign: 1 | -1) {
	if (!run.req.isLasting) counts.alone += sign
	else if (sign === 1) counts.youngAlone.add(run)
	else counts.youngAlone.delete(run)
}

function tally(counts: Tally, {task, need, isFilling, isServing}: TaskRequest, sign: 1 | -1) {
	counts.runs += sign
	if (isFilling) counts.filling += sign
	if (isServing) counts.serving += sign
	addTo(counts.steps, stepNameOf(task), sign)
	counts.need.cpu = sum(counts.need.cpu, sign * need.cpu)
	counts.need.memoryMb = sum(counts.need.memoryMb, sign * need.memoryMb)
	counts.need.accelerators = sum(counts.need.accelerators, sign * need.accelerators)
}

/** Without the error of the sum, which would add up with each run and make an exact fit look too small. */
const sum = (a: number, b: number) => Math.round((a + b) * SUM_PRECISION) / SUM_PRECISION

function addTo<Key>(counts: Map<Key, number>, key: Key, sign: 1 | -1) {
	const count = (counts.get(key) ?? 0) + sign
	if (count > 0) counts.set(key, count)
	else counts.delete(key)
}
