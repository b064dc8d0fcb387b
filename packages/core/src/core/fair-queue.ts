/**
 * The queue of attempts of one instance: weighted fair queuing between teams, earliest deadline
 * first within a team.
 *
 * Attempts of the same shape (same resources and selector) share a heap. A shape that fits on no
 * target now is skipped as a whole, so it does not block the others.
 */
import TinyQueue from "tinyqueue"

export interface Queued {
	readonly team: string
	/** The pool of targets that may run the item. */
	readonly pool: string
	/** Items of the same shape fit on the same targets. */
	readonly shape: string
	readonly deadlineAt: number
	/** Expected run time in milliseconds. */
	readonly costMs: number
}

interface PoolLoad {
	size: number
	costMs: number
}

interface TeamLine<T extends Queued> {
	readonly heaps: Map<string, TinyQueue<T>>
	size: number
	/** Work served divided by weight; the team with the least goes first. */
	virtualTime: number
}

export interface FairQueue<T extends Queued> {
	push(item: T): void
	/**
	 * Removes the items that `start` accepts, in order. When `start` returns false, the item stays
	 * and its shape is skipped.
	 */
	drain(start: (item: T) => boolean, weightOf: (team: string) => number): void
	/** Removes and returns the matching items. */
	remove(isRemoved: (item: T) => boolean): readonly T[]
	size(): number
	sizeOf(team: string): number
	sizeIn(pool: string): number
	/** Expected run time of the items queued for a pool, in milliseconds. */
	costMs(pool: string): number
}

const byDeadline = (a: Queued, b: Queued) => a.deadlineAt - b.deadlineAt

export function createFairQueue<T extends Queued>(): FairQueue<T> {
	const lines = new Map<string, TeamLine<T>>()
	const pools = new Map<string, PoolLoad>()
	let total = 0
	let servedTime = 0

	function addLoad(item: T, sign: 1 | -1) {
		const load = pools.get(item.pool) ?? {size: 0, costMs: 0}
		load.size += sign
		load.costMs = load.size === 0 ? 0 : load.costMs + sign * item.costMs
		pools.set(item.pool, load)
		total += sign
	}

	function lineOf(team: string): TeamLine<T> {
		let line = lines.get(team)
		if (!line) {
			line = {heaps: new Map(), size: 0, virtualTime: servedTime}
			lines.set(team, line)
		}
		return line
	}

	function takeFrom(team: string, line: TeamLine<T>, heap: TinyQueue<T>) {
		const item = heap.pop()!
		if (heap.length === 0) line.heaps.delete(item.shape)
		line.size--
		addLoad(item, -1)
		if (line.size === 0) lines.delete(team)
	}

	/** Returns the heap with the earliest deadline among the shapes that are not blocked. */
	function headOf(line: TeamLine<T>, blocked: ReadonlySet<string>): TinyQueue<T> | undefined {
		let best: TinyQueue<T> | undefined
		for (const [shape, heap] of line.heaps) {
			if (blocked.has(shape)) continue
			if (!best || heap.peek()!.deadlineAt < best.peek()!.deadlineAt) best = heap
		}
		return best
	}

	function nextTeam(blocked: ReadonlySet<string>) {
		let best: {team: string; line: TeamLine<T>; heap: TinyQueue<T>} | undefined
		for (const [team, line] of lines) {
			if (best && line.virtualTime >= best.line.virtualTime) continue
			const heap = headOf(line, blocked)
			if (heap) best = {team, line, heap}
		}
		return best
	}

	return {
		push(item) {
			const line = lineOf(item.team)
			const heap = line.heaps.get(item.shape) ?? new TinyQueue<T>([], byDeadline)
			heap.push(item)
			line.heaps.set(item.shape, heap)
			line.size++
			addLoad(item, 1)
		},
		drain(start, weightOf) {
			const blocked = new Set<string>()
			for (;;) {
				const next = nextTeam(blocked)
				if (!next) return
				const item = next.heap.peek()!
				if (!start(item)) {
					blocked.add(item.shape)
					continue
				}
				servedTime = Math.max(servedTime, next.line.virtualTime)
				next.line.virtualTime += item.costMs / weightOf(item.team)
				takeFrom(next.team, next.line, next.heap)
			}
		},
		remove(isRemoved) {
			const removed: T[] = []
			for (const [team, line] of lines) {
				for (const [shape, heap] of line.heaps) {
					const gone = heap.data.filter(isRemoved)
					if (gone.length === 0) continue
					const kept = heap.data.filter(item => !isRemoved(item))
					removed.push(...gone)
					if (kept.length > 0) line.heaps.set(shape, new TinyQueue(kept, byDeadline))
					else line.heaps.delete(shape)
					line.size -= gone.length
				}
				if (line.size === 0) lines.delete(team)
			}
			for (const item of removed) addLoad(item, -1)
			return removed
		},
		size: () => total,
		sizeOf: team => lines.get(team)?.size ?? 0,
		sizeIn: pool => pools.get(pool)?.size ?? 0,
		costMs: pool => pools.get(pool)?.costMs ?? 0,
	}
}
