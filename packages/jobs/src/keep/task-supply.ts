/**
 * Supplies the placer with the tasks of a kept job whose turn has come, time by time and step by step. Occurrences and tasks are
 * made when the placer gets to them, so that a job takes the same memory whatever its number of tasks and times.
 */
import type {SuppliedTask, TaskSupply} from "../place/run.js"
import type {Step} from "../types/job.js"
import type {JobOccurrence} from "./job-occurrence.js"

interface JobSupplyDeps {
	/** The steps, by index, whose tasks have the same requirements. */
	readonly steps: readonly number[]
	/** The number of tasks of these steps in one occurrence. */
	readonly count: number
	/** The first occurrence, and a function for the one after the last, which may rise. */
	readonly first: number
	readonly end: () => number
	/** The occurrence, which has begun; undefined if it is over. */
	readonly occurrenceOf: (index: number) => JobOccurrence | undefined
	readonly isOver: () => boolean
	readonly submit: (supply: TaskSupply) => void
}

interface JobSupply {
	/** Submits the tasks whose turn has come since the placer got to the last one. */
	submit(): void
	hasTasks(): boolean
	readonly steps: readonly number[]
}

function createJobSupply(deps: JobSupplyDeps): JobSupply {
	const {steps, count, occurrenceOf, isOver} = deps
	let occurrence = deps.first
	/** Position among the steps. */
	let at = 0
	let takenOfOccurrence = 0
	let isSubmitted = false

	/** Goes to the next occurrence that is not over; undefined without one. */
	function current(): JobOccurrence | undefined {
		for (; occurrence < deps.end(); skipOccurrence()) {
			const found = occurrenceOf(occurrence)
			if (found) return found
		}
		return undefined
	}

	function skipOccurrence() {
		occurrence++
		at = 0
		takenOfOccurrence = 0
	}

	function nextTask(): SuppliedTask | undefined {
		for (let from = current(); from && !isOver(); skipOccurrence(), from = current())
			for (; at < steps.length; at++) {
				const task = from.next(steps[at] as number)
				if (!task) continue
				takenOfOccurrence++
				return task
			}
		return undefined
	}

	function size(): number {
		const left = (deps.end() - occurrence) * count - takenOfOccurrence
		return isOver() ? 0 : Math.max(0, left)
	}

	return {
		steps,
		submit() {
			if (isSubmitted || size() === 0) return
			const req = current()?.requestLike(steps[0] as number)
			if (!req) return
			isSubmitted = true
			deps.submit({
				req,
				size,
				next() {
					const task = nextTask()
					isSubmitted = task !== undefined
					return task
				},
			})
		},
		hasTasks: () => size() > 0,
	}
}

/** The supplies of one job. */
export interface JobSupplies {
	/** Whether every task of the job follows others. */
	readonly isEmpty: boolean
	/** Submits the first steps of the occurrences that are due. */
	submitDue(): void
	/** Submits a step whose turn has come in one occurrence; the first steps are submitted for all occurrences together. */
	submitStep(occurrence: number, step: number): void
	/** The steps that are due and have tasks still to be made, apart from those of occurrences that have begun. */
	waitingSteps(): readonly Step[]
}

type JobSuppliesDeps = Pick<JobSupplyDeps, "occurrenceOf" | "isOver" | "submit"> & {
	/** The number of occurrences that are due. */
	readonly due: () => number
}

export function createJobSupplies(steps: readonly Step[], deps: JobSuppliesDeps): JobSupplies {
	const countOf = (at: number) => steps[at]?.count ?? 0
	const supplyOf = (of: readonly number[], first: number, end: () => number) =>
		createJobSupply({
			...deps,
			steps: of,
			count: of.reduce((sum, at) => sum + countOf(at), 0),
			first,
			end,
		})
	const initial = firstSteps(steps)
	const isInitial = (step: number) => initial.some(group => group.includes(step))
	const supplies = initial.map(group => supplyOf(group, 0, deps.due))
	return {
		isEmpty: supplies.length === 0,
		submitDue: () => supplies.forEach(supply => supply.submit()),
		submitStep(occurrence, step) {
			if (!isInitial(step)) supplyOf([step], occurrence, () => occurrence + 1).submit()
		},
		waitingSteps: () =>
			supplies
				.filter(supply => supply.hasTasks())
				.flatMap(supply => supply.steps.map(at => steps[at] as Step)),
	}
}

/** The steps that begin with an occurrence, by index, grouped by what their tasks require; empty steps count as done. */
function firstSteps(steps: readonly Step[]): readonly (readonly number[])[] {
	const isEmpty = (at: number) => steps[at]?.count === 0
	const groups = new Map<string, number[]>()
	steps.forEach(({count, after, need, label, rack, isGang}, at) => {
		if (count === 0 || !after.every(isEmpty)) return
		const key = JSON.stringify([need, label, rack, isGang && at])
		groups.set(key, [...(groups.get(key) ?? []), at])
	})
	return [...groups.values()]
}
