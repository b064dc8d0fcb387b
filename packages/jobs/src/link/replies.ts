/**
 * What an executor's answers, or their absence, say about it: silent, answering again, replaced by another process, or held by a
 * placer with a higher fence.
 */
import type {HoldReply, StartReply} from "../types/executor.js"
import {forgetUnwatched, settleAllLost} from "./runs.js"
import type {LinkState} from "./state.js"

export function noteSilence(link: LinkState, cause: string) {
	if (link.silentSince !== undefined) return
	link.silentSince = link.deps.clock.now()
	link.isEndPlanned = isLeavingOrUnlisted(link)
	const {id, address} = link.record
	const fields = {executor: id, address, cause, count: link.runs.size}
	link.deps.log.alarm("executor", "executor_silent", "executor: stopped answering.", fields)
}

/** Some executors that leave as planned do not say so: their entry goes, and they go on for a while. */
const isLeavingOrUnlisted = ({record, isRetired}: LinkState) => record.isLeaving || isRetired

export function noteAnswering(link: LinkState) {
	if (link.silentSince === undefined) return
	const inputAgeMs = Math.round(link.deps.clock.now() - link.silentSince)
	link.silentSince = undefined
	link.wasRefused = false
	const fields = {executor: link.record.id, inputAgeMs}
	link.deps.log.event("executor", "executor_answers", "executor: answers again.", fields)
}

function noteReplaced(link: LinkState) {
	const fields = {executor: link.record.id, count: link.runs.size}
	const message = "executor: another life answers there."
	link.deps.log.alarm("executor", "executor_replaced", message, fields)
	link.isReplaced = true
	// What ends without silence before has been heard until now.
	if (link.silentSince === undefined) link.isEndPlanned = isLeavingOrUnlisted(link)
	forgetUnwatched(link)
	closeLink(link)
	settleAllLost(link, "replaced", "replaced")
}

function noteFenced(link: LinkState, order: string) {
	const {metrics, log, fence, onFenced} = link.deps
	metrics.count("fences_lost", order)
	const fields = {executor: link.record.id, fence, outcome: order}
	log.alarm("executor", "fence_lost", "executor: has seen a higher fence.", fields)
	link.isClosed = true
	onFenced(link.record)
}

export function closeLink(link: LinkState) {
	if (link.isClosed) return
	link.isClosed = true
	link.isRetired = true
	link.deps.orders.forget(link.record)
}

type OwnReply<T> = Exclude<T, {type: "fenced"} | {type: "replaced"} | {type: "silent"}>

/**
 * Handles the replies that all orders have in common (`fenced`, `replaced`, `silent`); true when
 * the reply is the order's own and the link is open.
 */
export function isOwnReply<T extends StartReply | HoldReply | {readonly type: string}>(
	link: LinkState,
	reply: T,
	order: "start" | "stop" | "hold",
): reply is OwnReply<T> {
	if (link.isClosed) return false
	switch (reply.type) {
		case "fenced":
			noteFenced(link, order)
			return false
		case "replaced":
			noteReplaced(link)
			return false
		case "silent":
			link.deps.metrics.count("executor_orders_silent", order)
			if ("isRefused" in reply && reply.isRefused) link.wasRefused = true
			// An executor that is already silent is dead or cut off, which says nothing about lost
			// packets.
			if (link.silentSince === undefined) link.deps.losses.noteLost()
			return false
		default:
			link.answeredAt = link.deps.clock.now()
			return true
	}
}
