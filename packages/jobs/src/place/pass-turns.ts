/**
 * Divides a placer's scheduling pass into turns of the event loop, so that timers, answers and new requests are handled in
 * between however much waits.
 *
 * A pass goes on in the next turn with the groups that it has not tried yet. If something has changed since it began, it begins
 * again with the first group instead, since that may have room now; but only after a turn that started a task, so that groups that
 * take a whole turn without finding room do not keep it from those behind.
 */
import type {Clock} from "@cottonwood/core"
import type {TaskGroup} from "./task-queue.js"

/** How long a turn may take; a tenth of the time after which a start counts as unanswered. */
const MAX_TURN_MS = 10
/** Each start also costs the turn the sending of its order, which takes longer than its choice. */
const MAX_STARTS_PER_TURN = 64

export interface PassTurns {
	/** Notes that something has changed, so that groups that found no room before may find some. */
	noteChange(): void
	/** Begins a turn: of a new pass, or of the one that is under way. */
	begin(): void
	/** Whether a new pass begins with this turn. */
	isFirst(): boolean
	/** Notes a task that was started or handed over. */
	noteStart(): void
	/** Notes a group that the pass is done with, of kept tasks or of callers'. */
	noteTried(group: TaskGroup, isKept: boolean): void
	wasTried(group: TaskGroup): boolean
	/** The number of groups of kept tasks, or of callers', that the pass is done with. */
	triedCount(isKept: boolean): number
	/** Whether the rest must wait for the next turn; never before something was tried or started. */
	isOver(): boolean
	/** Ends the pass; returns whether something has changed since it began. */
	endPass(): boolean
}

export function createPassTurns(clock: Clock): PassTurns {
	/** The groups that found no room, or were placed, since the pass began. */
	const tried = new Set<TaskGroup>()
	let isUnderWay = false
	let hasChanged = false
	let isFirst = true
	let begunAt = -Infinity
	let starts = 0
	let steps = 0
	let triedKept = 0

	function beginPass() {
		tried.clear()
		triedKept = 0
		isUnderWay = true
		hasChanged = false
	}

	return {
		noteChange() {
			hasChanged = true
		},
		begin() {
			isFirst = !isUnderWay || (hasChanged && starts > 0)
			if (isFirst) beginPass()
			begunAt = clock.now()
			starts = 0
			steps = 0
		},
		isFirst: () => isFirst,
		noteStart() {
			starts++
			steps++
		},
		noteTried(group, isKept) {
			tried.add(group)
			if (isKept) triedKept++
			steps++
		},
		wasTried: group => tried.has(group),
		triedCount: isKept => (isKept ? triedKept : tried.size - triedKept),
		isOver: () =>
			steps > 0 && (starts >= MAX_STARTS_PER_TURN || clock.now() - begunAt >= MAX_TURN_MS),
		endPass() {
			isUnderWay = false
			tried.clear()
			return hasChanged
		},
	}
}
