/**
 * Who has had more of the room than is its due: asked and served work of each queue, as sums that fade.
 *
 * It answers a crest on which something must be refused. An order by urgency and a bound on the backlog alone make one
 * kind of request pay for all, and nobody has decided which. Where no queue has a weight, all are due the same ratio of
 * what they ask for. Otherwise room is divided by weight, above the floors, and what a queue does not ask for is lent.
 */

/** After so long a sum counts for a third: long enough for some hundred jobs, short against a crest. */
export const DECAY_MS = 2_000
const DEFAULT_WEIGHT = 1
/** Queues whose figures are kept; configurations may change their queues without end. */
const MAX_QUEUES = 256
/** Rounds after which what is still unused by a division does not matter. */
const MAX_ROUNDS = 8

export interface ShareRule {
	readonly name: string
	readonly weight?: number
	readonly floor?: number
}

/** Core-milliseconds, faded. */
export interface QueueWork {
	readonly requested: number
	readonly served: number
	readonly at: number
}

export type WorkByQueue = ReadonlyMap<string, QueueWork>

export interface Share {
	/** Of what was asked for. */
	readonly servedRatio: number
	readonly dueRatio: number
	/** Above 0: it has had more than its due. */
	readonly excess: number
}

export const EVEN_SHARE: Share = Object.freeze({servedRatio: 1, dueRatio: 1, excess: 0})
export const NO_WORK: QueueWork = Object.freeze({requested: 0, served: 0, at: -Infinity})

export function decayed(work: QueueWork, now: number): QueueWork {
	if (work.at === -Infinity) return {...work, at: now}
	const left = Math.exp(-Math.max(0, now - work.at) / DECAY_MS)
	return {requested: work.requested * left, served: work.served * left, at: now}
}

/** `served` below 0 takes back what was counted as served and was refused later. */
export function addWork(before: QueueWork, now: number, asked: number, served: number): QueueWork {
	const work = decayed(before, now)
	return {requested: work.requested + asked, served: Math.max(0, work.served + served), at: now}
}

const isWeighted = (rules: readonly ShareRule[]) =>
	rules.some(({weight, floor}) => weight !== undefined || floor !== undefined)

/** What each queue is due of the room that was served, in core-milliseconds. */
export function duesOf(
	rules: readonly ShareRule[],
	askedOf: (queue: string) => number,
	room: number,
): ReadonlyMap<string, number> {
	const asked = rules.reduce((sum, {name}) => sum + askedOf(name), 0)
	if (!isWeighted(rules)) {
		const ratio = asked === 0 ? 1 : Math.min(1, room / asked)
		return new Map(rules.map(({name}) => [name, ratio * askedOf(name)]))
	}
	const dues = new Map<string, number>()
	for (const {name, floor = 0} of rules) dues.set(name, Math.min(askedOf(name), floor * room))
	divideRest(rules, askedOf, room, dues)
	return dues
}

/** Divides what the floors leave by weight; what a queue does not ask for goes to the others. */
function divideRest(
	rules: readonly ShareRule[],
	askedOf: (queue: string) => number,
	room: number,
	dues: Map<string, number>,
) {
	const dueOf = (name: string) => dues.get(name) ?? 0
	for (let round = 0; round < MAX_ROUNDS; round++) {
		const hungry = rules.filter(
			({name, weight = DEFAULT_WEIGHT}) => weight > 0 && dueOf(name) < askedOf(name),
		)
		const weights = hungry.reduce((sum, {weight = DEFAULT_WEIGHT}) => sum + weight, 0)
		const left = room - [...dues.values()].reduce((sum, due) => sum + due, 0)
		if (weights === 0 || left <= 0) return
		for (const {name, weight = DEFAULT_WEIGHT} of hungry)
			dues.set(name, Math.min(askedOf(name), dueOf(name) + (left * weight) / weights))
	}
}

/** How each queue stands, by what it asked for and was served of late. */
export function sharesOf(
	rules: readonly ShareRule[],
	work: WorkByQueue,
	now: number,
): ReadonlyMap<string, Share> {
	const recent = new Map(rules.map(({name}) => [name, decayed(work.get(name) ?? NO_WORK, now)]))
	const askedOf = (name: string) => recent.get(name)?.requested ?? 0
	const room = [...recent.values()].reduce((sum, {served}) => sum + served, 0)
	const dues = duesOf(rules, askedOf, room)
	return new Map(rules.map(({name}) => [name, shareOf(recent.get(name), dues.get(name) ?? 0)]))
}

function shareOf(work: QueueWork | undefined, due: number): Share {
	if (!work || work.requested <= 0) return EVEN_SHARE
	const servedRatio = work.served / work.requested
	const dueRatio = due / work.requested
	return {servedRatio, dueRatio, excess: servedRatio - dueRatio}
}

/** Keeps one figure a queue, and forgets all before they become too many. */
export function setBounded<T>(figures: Map<string, T>, queue: string, figure: T) {
	if (!figures.has(queue) && figures.size >= MAX_QUEUES) figures.clear()
	figures.set(queue, figure)
}
