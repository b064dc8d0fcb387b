/** A placer's links to executors: the listed ones, and others while a run may be there. */
import type {ExecutorRecord} from "../types/executor.js"
import {createExecutorLink, type ExecutorLink} from "../link/executor-link.js"
import type {PlacerState} from "./placer-state.js"
import {schedulePass} from "./scheduling-pass.js"

/** Starts nothing more; the runs are left to the next placer. */
export function closeLinks(state: PlacerState) {
	state.isClosed = true
	state.stallDetector.close()
	for (const link of state.links.values()) link.close()
}

/** Replaces the list of executors. */
export function setExecutors(state: PlacerState, records: readonly ExecutorRecord[]) {
	const listed = new Set(records.map(record => record.id))
	for (const record of records) {
		const link = state.links.get(record.id)
		if (!link || (link.isClosed() && !link.isReplaced())) addLink(state, record)
		else link.update(record)
	}
	for (const [id, link] of state.links) if (!listed.has(id)) retireLink(state, id, link)
	schedulePass(state)
}

export function addLink(state: PlacerState, record: ExecutorRecord): ExecutorLink {
	const {clock, orders, log, metrics, fence, leaseRule, stopGraceMs, onFenced, isEvacuated} =
		state.deps
	const {speeds} = state.assessment
	speeds.add(record)
	const orphansWaitUntil = state.createdAt + state.deps.orphansWaitMs
	const link = createExecutorLink(record, {
		clock,
		orders,
		log,
		metrics,
		fence,
		leaseRule,
		stopGraceMs,
		isEvacuated,
		orphansWaitUntil,
		kept: state.deps.kept,
		tickets: state.tickets,
		losses: state.losses,
		runCounts: state.runCounts,
		onRoomFreed: () => schedulePass(state),
		onFenced,
		onRunEnd: state.assessment.observe,
		onProgress: state.assessment.noteProgress,
		slownessOf: speeds.expectedSlowness,
	})
	state.links.set(record.id, link)
	const fields = {executor: record.id, address: record.address, freeCpu: record.capacity.cpu}
	log.event("placer", "executor_added", "placer: an executor was added.", fields)
	return link
}

function retireLink(state: PlacerState, id: string, link: ExecutorLink) {
	link.retire()
	if (!link.isIdle()) return
	link.close()
	state.links.delete(id)
	state.assessment.forget(id)
	const fields = {executor: id, failureDomain: state.deps.failureDomain}
	state.deps.log.event("placer", "executor_dropped", "placer: an executor left the list.", fields)
}
