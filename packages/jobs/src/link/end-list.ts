/**
 * How far the ends of an executor's runs are known here. It lists a limited number of ends at once,
 * oldest first, and further ones once these are forgotten.
 */
import {isSilentPastLease} from "./availability.js"
import type {LinkState} from "./state.js"

/** Notes how many ends the executor lists and whether it may have more; logs when that changes. */
export function noteEndList(link: LinkState, count: number) {
	const {orders, log, metrics, fence} = link.deps
	const isComplete = count < orders.maxListedEnds
	const wasComplete = link.isEndListComplete
	const wasFull = !wasComplete || !hasRoomInEndList(link)
	link.isEndListComplete = isComplete
	link.listedEnds = count
	if (wasFull && willListEnd(link)) link.deps.onRoomFreed()
	if (!isComplete) metrics.count("partial_end_lists")
	// A first list that is complete is nothing new.
	if (link.isFenceTaken ? isComplete === wasComplete : isComplete) return
	const outcome = isComplete ? "complete" : "partial"
	const fields = {executor: link.record.id, fence, outcome, count}
	const message = "executor: its list of ends became partial or complete."
	log.alarm("executor", "end_list", message, fields)
}

/**
 * Whether the end of one more run would be listed as soon as it comes. It would not while ends that
 * wait for the store fill the list.
 */
export function willListEnd(link: LinkState): boolean {
	if (!link.isEndListComplete) return false
	return link.unrecordedEnds.size === 0 || hasRoomInEndList(link)
}

/** Whether the executor's list has room for the ends of all runs there and of one more. */
function hasRoomInEndList({listedEnds, runs, deps}: LinkState): boolean {
	return listedEnds + runs.size < deps.orders.maxListedEnds
}

/** Whether the executor has no ends that it has not listed, or is gone with them. */
export function areEndsKnown(link: LinkState): boolean {
	return link.isEndListComplete || isSilentPastLease(link)
}
