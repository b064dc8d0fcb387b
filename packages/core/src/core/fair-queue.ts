/**
 * The queue of attempts of one instance: weighted fair queuing between teams, earliest deadline
 * first within a team.
 *
 * Attempts of the same shape (same resources and selector) share a heap. A shape that fits on no
 * target now is skipped as a whole, so it does not block the others.
 */
import TinyQueue from "tinyqueue"

export interface QueueItem {
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

interface TeamQueue<T extends QueueItem> {
	readonly heaps: Map<string, TinyQueue<T>>
	size: number
	/** Work served divided by weight; the team with the least goes first. */
	virtualTime: number
}

export interface FairQueue<T extends QueueItem> {
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

const byDeadline = (a: QueueItem, b: QueueItem) => a.deadlineAt - b.deadlineAt

export function createFairQueue<T extends QueueItem>(): FairQueue<T> {
	const teamQueues = new Map<string, TeamQueue<T>>()
	const pools = new Map<string, PoolLoad>()
	let total = 0
	let currentVirtualTime = 0

	function addLoad(item: T, sign: 1 | -1) {
		const load = pools.get(item.pool) ?? {size: 0, costMs: 0}
		load.size += sign
		load.costMs = load.size === 0 ? 0 : load.costMs + sign * item.costMs
		pools.set(item.pool, load)
		total += sign
	}

	function teamQueueOf(team: string): TeamQueue<T> {
		let teamQueue = teamQueues.get(team)
		if (!teamQueue) {
			teamQueue = {heaps: new Map(), size: 0, virtualTime: currentVirtualTime}
			teamQueues.set(team, teamQueue)
		}
		return teamQueue
	}

	function dequeue(team: string, teamQueue: TeamQueue<T>, heap: TinyQueue<T>) {
		const item = heap.pop()!
		if (heap.length === 0) teamQueue.heaps.delete(item.shape)
		teamQueue.size--
		addLoad(item, -1)
		if (teamQueue.size === 0) teamQueues.delete(team)
	}

	/** Returns the heap with the earliest deadline among the shapes that are not blocked. */
	function earliestHeap(
		teamQueue: TeamQueue<T>,
		blocked: ReadonlySet<string>,
	): TinyQueue<T> | undefined {
		let best: TinyQueue<T> | undefined
		for (const [shape, heap] of teamQueue.heaps) {
			if (blocked.has(shape)) continue
			if (!best || heap.peek()!.deadlineAt < best.peek()!.deadlineAt) best = heap
		}
		return best
	}

	function nextTeam(blocked: ReadonlySet<string>) {
		let best: {team: string; teamQueue: TeamQueue<T>; heap: TinyQueue<T>} | undefined
		for (const [team, teamQueue] of teamQueues) {
			if (best && teamQueue.virtualTime >= best.teamQueue.virtualTime) continue
			const heap = earliestHeap(teamQueue, blocked)
			if (heap) best = {team, teamQueue, heap}
		}
		return best
	}

	return {
		push(item) {
			const teamQueue = teamQueueOf(item.team)
			const heap = teamQueue.heaps.get(item.shape) ?? new TinyQueue<T>([], byDeadline)
			heap.push(item)
			teamQueue.heaps.set(item.shape, heap)
			teamQueue.size++
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
				currentVirtualTime = Math.max(currentVirtualTime, next.teamQueue.virtualTime)
				next.teamQueue.virtualTime += item.costMs / weightOf(item.team)
				dequeue(next.team, next.teamQueue, next.heap)
			}
		},
		remove(isRemoved) {
			const removed: T[] = []
			for (const [team, teamQueue] of teamQueues) {
				for (const [shape, heap] of teamQueue.heaps) {
					const matching = heap.data.filter(isRemoved)
					if (matching.length === 0) continue
					const remaining = heap.data.filter(item => !isRemoved(item))
					removed.push(...matching)
					if (remaining.length > 0) teamQueue.heaps.set(shape, new TinyQueue(remaining, byDeadline))
					else teamQueue.heaps.delete(shape)
					teamQueue.size -= matching.length
				}
				if (teamQueue.size === 0) teamQueues.delete(team)
			}
			for (const item of removed) addLoad(item, -1)
			return removed
		},
		size: () => total,
		sizeOf: team => teamQueues.get(team)?.size ?? 0,
		sizeIn: pool => pools.get(pool)?.size ?? 0,
		costMs: pool => pools.get(pool)?.costMs ?? 0,
	}
}
