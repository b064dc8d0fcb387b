/**
 * Whether an executor may be used, and whether it has anything left that somebody may want.
 */
import type {LinkState} from "./state.js"

/** A lost answer or a slow machine recovers within this time; a dead executor does not. */
const SHORT_SILENCE_MS = 500

/** Whether new work may be started there. */
export function isUsable(link: LinkState): boolean {
	if (!link.isFenceTaken || link.isRetired || link.isClosed || link.record.isLeaving) return false
	if (link.silentSince !== undefined || link.orphans.size > 0) return false
	// A start would renew the lease of runs whose stop is not confirmed.
	if (link.unansweredStops.size > 0 || link.deps.isEvacuated()) return false
	return isNotPaused(link)
}

/**
 * Whether no stopped orphan may still use capacity unlisted, and the executor has not just reported
 * that it is unhealthy.
 */
function isNotPaused({stoppingUntil, unhealthyUntil, deps}: LinkState): boolean {
	// Most executors were never paused; skip reading the clock, which is the costliest check here.
	const until = Math.max(stoppingUntil, unhealthyUntil)
	return until === -Infinity || deps.clock.now() >= until
}

/**
 * Whether the executor is likely to become usable within a moment. A newly added one is, until its
 * first hold is answered or missed.
 */
export function isUsableSoon(link: LinkState): boolean {
	const {silentSince, deps, record} = link
	if (link.isRetired || link.isClosed || record.isLeaving || deps.isEvacuated()) return false
	if (!link.isFenceTaken) return silentSince === undefined
	return silentSince === undefined || deps.clock.now() - silentSince < SHORT_SILENCE_MS
}

/** Whether orphans may still be claimed, by a handover or by a kept job. */
export function mayOrphansBeClaimed({deps}: LinkState): boolean {
	return deps.clock.now() < deps.orphansWaitUntil || deps.kept.isRestoring()
}

/**
 * Whether the executor has nothing anybody may want: no run, no unrecorded or unlisted end, and no
 * orphan that may be claimed.
 */
export function isIdle(link: LinkState): boolean {
	const {runs, unlistedRuns, unrecordedEnds, orphans} = link
	if (link.isReplaced) return true
	if (runs.size + unlistedRuns.size > 0 || unrecordedEnds.size > 0) return false
	if (orphans.size > 0 && mayOrphansBeClaimed(link)) return false
	return (link.isFenceTaken && link.isEndListComplete) || isSilentPastLease(link)
}

/** Whether the executor is silent and everything that ran there has certainly ended. */
export function isSilentPastLease({silentSince, executorClock, deps}: LinkState): boolean {
	return silentSince !== undefined && executorClock.haveLeasesEnded(deps.clock.now())
}

/** Whether an orphan of the task is there, or is still being stopped. */
export function hasOrphanOf({orphans, stoppingOrphans}: LinkState, task: string): boolean {
	if (orphans.size + stoppingOrphans.size === 0) return false
	const isOfTask = (name: string) => name.startsWith(`${task}/`)
	return [...orphans, ...stoppingOrphans].some(isOfTask)
}
