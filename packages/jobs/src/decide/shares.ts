/**
 * Fair shares of capacity among queues under overload, from exponentially decaying sums of requested and served work.
 *
 * When something must be refused, an order by urgency and a bound on the backlog alone would let one kind of request pay for all.
 * Without weights each queue is due the same ratio of its requested work. Otherwise capacity above the floors is divided by
 * weight, and the unused share of a queue goes to the others.
 */

/** The time constant of the decay: covers some hundred jobs, and is short against a demand peak. */
export const DECAY_MS = 2_000
const DEFAULT_WEIGHT = 1
/** Bounds the memory for queues of earlier configurations. */
const MAX_QUEUES = 256
/** Rounds of redistribution; the remainder after them is negligible. */
const MAX_ROUNDS = 8

export interface ShareRule {
	readonly name: string
	readonly weight?: number
	readonly floor?: number
}

/** Core-milliseconds, decayed as of `at`. */
export interface QueueWork {
	readonly requested: number
	readonly served: number
	readonly at: number
}

export type WorkByQueue = ReadonlyMap<string, QueueWork>

export interface Share {
	/** Served work over requested work. */
	readonly servedRatio: number
	readonly dueRatio: number
	/** `servedRatio` less `dueRatio`; positive when the queue received more than its fair share. */
	readonly excess: number
}

export const EVEN_SHARE: Share = Object.freeze({servedRatio: 1, dueRatio: 1, excess: 0})
export const NO_WORK: QueueWork = Object.freeze({requested: 0, served: 0, at: -Infinity})

export function decayed(work: QueueWork, now: number): QueueWork {
	if (work.at === -Infinity) return {...work, at: now}
	const left = Math.exp(-Math.max(0, now - work.at) / DECAY_MS)
	return {requested: work.requested * left, served: work.served * left, at: now}
}

/** A negative `served` takes back work that was counted as served and refused later. */
export function addWork(
	before: QueueWork,
	now: number,
	requested: number,
	served: number,
): QueueWork {
	const work = decayed(before, now)
	return {requested: work.requested + requested, served: Math.max(0, work.served + served), at: now}
}

const isWeighted = (rules: readonly ShareRule[]) =>
	rules.some(({weight, floor}) => weight !== undefined || floor !== undefined)

/** Each queue's fair share of the served work, in core-milliseconds. */
export function duesOf(
	rules: readonly ShareRule[],
	requestedOf: (queue: string) => number,
	capacity: number,
): ReadonlyMap<string, number> {
	const requested = rules.reduce((sum, {name}) => sum + requestedOf(name), 0)
	if (!isWeighted(rules)) {
		const ratio = requested === 0 ? 1 : Math.min(1, capacity / requested)
		return new Map(rules.map(({name}) => [name, ratio * requestedOf(name)]))
	}
	const dues = new Map<string, number>()
	for (const {name, floor = 0} of rules)
		dues.set(name, Math.min(requestedOf(name), floor * capacity))
	divideByWeight(rules, requestedOf, capacity, dues)
	return dues
}

/** Divides the capacity above the floors by weight; the unused share of a queue goes to the others. */
function divideByWeight(
	rules: readonly ShareRule[],
	requestedOf: (queue: string) => number,
	capacity: number,
	dues: Map<string, number>,
) {
	const dueOf = (name: string) => dues.get(name) ?? 0
	for (let round = 0; round < MAX_ROUNDS; round++) {
		const unsatisfied = rules.filter(
			({name, weight = DEFAULT_WEIGHT}) => weight > 0 && dueOf(name) < requestedOf(name),
		)
		const weights = unsatisfied.reduce((sum, {weight = DEFAULT_WEIGHT}) => sum + weight, 0)
		const left = capacity - [...dues.values()].reduce((sum, due) => sum + due, 0)
		if (weights === 0 || left <= 0) return
		for (const {name, weight = DEFAULT_WEIGHT} of unsatisfied)
			dues.set(name, Math.min(requestedOf(name), dueOf(name) + (left * weight) / weights))
	}
}

/** Each queue's share, from its recently requested and served work. */
export function sharesOf(
	rules: readonly ShareRule[],
	work: WorkByQueue,
	now: number,
): ReadonlyMap<string, Share> {
	const recent = new Map(rules.map(({name}) => [name, decayed(work.get(name) ?? NO_WORK, now)]))
	const requestedOf = (name: string) => recent.get(name)?.requested ?? 0
	const capacity = [...recent.values()].reduce((sum, {served}) => sum + served, 0)
	const dues = duesOf(rules, requestedOf, capacity)
	return new Map(rules.map(({name}) => [name, shareOf(recent.get(name), dues.get(name) ?? 0)]))
}

function shareOf(work: QueueWork | undefined, due: number): Share {
	if (!work || work.requested <= 0) return EVEN_SHARE
	const servedRatio = work.served / work.requested
	const dueRatio = due / work.requested
	return {servedRatio, dueRatio, excess: servedRatio - dueRatio}
}

/** Sets a queue's value; clears the map first when it is full. */
export function setBounded<T>(figures: Map<string, T>, queue: string, figure: T) {
	if (!figures.has(queue) && figures.size >= MAX_QUEUES) figures.clear()
	figures.set(queue, figure)
}
