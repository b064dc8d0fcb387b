/**
 * The tasks of one step in one occurrence of a kept job. A task becomes an object when it is about to run, or when a run or an end
 * of it is found; the others are counted.
 */
import type {CrashCount} from "../decide/crashes.js"
import type {TaskHandle} from "../place/run.js"
import type {Step} from "../types/job.js"

export interface TaskState {
	/** The index of its step. */
	readonly step: number
	readonly name: string
	run: number
	/** Consecutive short runs that ended without a result. */
	shortRuns: number
	startedAt: number
	crashes: CrashCount
	readonly avoid: string[]
	handle: TaskHandle | undefined
	isStarted: boolean
	/** Whether a run of the previous placer was taken over, so that none can be at an executor that has not answered yet. */
	isAdopted: boolean
	isDone: boolean
}

export interface StepTasks {
	/** The task of this name; it is made if need be, unless only made ones are wanted. */
	named(name: string, isMade: boolean): TaskState | undefined
	/** The task with this index, made if need be. */
	at(index: number): TaskState
	/** All tasks that have been made. */
	made(): readonly TaskState[]
	/** All tasks; makes them. */
	all(): readonly TaskState[]
	/** Makes the next task that is not done; undefined when none is left. */
	next(): TaskState | undefined
	/** The number of tasks that have not been made and are not done. */
	unmade(): number
	noteDone(task: TaskState): void
	isDone(): boolean
}

export interface StepTasksDeps {
	readonly step: Step
	/** The index of the step. */
	readonly at: number
	/** The name of a task without its index. */
	readonly name: string
	/** The number of the first run. */
	readonly firstRun: number
	/** The indexes of the tasks that are done already. */
	readonly done: ReadonlySet<number>
	/** Executors known to have crashed under a task. */
	readonly crashesOf: (task: string) => number
}

export function createStepTasks(deps: StepTasksDeps): StepTasks {
	const {step, done} = deps
	const tasks = new Map<number, TaskState>()
	/** A gang is placed as a whole, so its members avoid the same executors. */
	const shared: string[] = []
	let doneCount = done.size
	let unmade = step.count - done.size
	let nextIndex = 0

	const nameOf = (index: number) => `${deps.name}.${index}`

	function make(index: number): TaskState {
		const name = nameOf(index)
		const isDone = done.has(index)
		if (!isDone) unmade--
		const task: TaskState = {
			step: deps.at,
			name,
			run: deps.firstRun,
			shortRuns: 0,
			startedAt: -Infinity,
			crashes: {known: deps.crashesOf(name), possible: 0},
			avoid: step.isGang ? shared : [],
			handle: undefined,
			isStarted: false,
			isAdopted: false,
			isDone,
		}
		tasks.set(index, task)
		return task
	}

	const at = (index: number) => tasks.get(index) ?? make(index)
	return {
		named(name, isMade) {
			const index = Number(name.slice(name.lastIndexOf(".") + 1))
			if (!(index >= 0 && index < step.count) || name !== nameOf(index)) return undefined
			return isMade ? tasks.get(index) : at(index)
		},
		at,
		made: () => [...tasks.values()],
		all: () => Array.from({length: step.count}, (_, index) => at(index)),
		next() {
			while (nextIndex < step.count) {
				const index = nextIndex++
				if (!done.has(index) && !tasks.has(index)) return make(index)
			}
			return undefined
		},
		unmade: () => unmade,
		noteDone(task) {
			if (!task.isDone) doneCount++
			task.isDone = true
		},
		isDone: () => doneCount === step.count,
	}
}
