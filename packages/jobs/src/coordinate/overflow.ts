/**
 * Hands tasks that find no room here to other placers with reported room, and passes on how they ended. Used by hosted
 * placers, handovers and slices.
 */
import type {Clock} from "@cottonwood/core"
import type {FleetView} from "../fleet/members.js"
import type {Peers, TaskMessage} from "../fleet/peers.js"
import {failureDomainOf} from "../decide/slices.js"
import {MAX_MOVES} from "../decide/domain-choice.js"
import {certainEndAt, type LeaseRule} from "../decide/lease-rule.js"
import type {RunLocation} from "../place/placer-state.js"
import type {TaskEnd, TaskRequest} from "../place/run.js"
import type {WaitingTask} from "../place/task-queue.js"
import type {Claim, Member} from "../types/fleet.js"
import {shortSession, type EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import {
	createRoomEstimates,
	taskWork,
	type RoomEstimate,
	type RoomEstimates,
} from "./room-estimates.js"

/** An answer is awaited this long beyond the task's deadline, since stopping a task takes time. */
const ANSWER_SLACK_MS = 300

export interface OverflowDeps {
	readonly clock: Clock
	readonly leaseRule: LeaseRule
	readonly peers: Peers
	readonly view: FleetView
	readonly self: Member
	readonly log: EventLog
	readonly metrics: JobMetrics
	/** Room estimates, shared with the job mover; own ones by default. */
	readonly rooms?: RoomEstimates
}

export interface Overflow {
	/** Hands the task to a placer with room. False when there is none. */
	handOver(item: WaitingTask): boolean
	/** Hands the task to the given placer, with the executor that runs it already, if any. */
	sendTo(claim: Claim, item: WaitingTask, from?: RunLocation): void
}

interface Target {
	readonly claim: Claim
	readonly room: RoomEstimate
}

export function createOverflow(deps: OverflowDeps): Overflow {
	const {clock, leaseRule, peers, view, self, log, metrics} = deps
	const rooms = deps.rooms ?? createRoomEstimates(clock, view, false)

	const hasLabels = ({told}: RoomEstimate, {label, rack}: TaskRequest) =>
		(label === undefined || told.room.labels.includes(label)) &&
		(rack === undefined || told.room.labels.includes(rack))

	const isOwnSlice = ({failureDomain: name}: Claim) =>
		failureDomainOf(name) === self.failureDomain && view.sliceCount(name) > 1

	/** Prefers the own domain's other slices to other domains, then the freest executor. */
	function isBetter(one: Target, best: Target): boolean {
		if (isOwnSlice(one.claim) !== isOwnSlice(best.claim)) return isOwnSlice(one.claim)
		return (one.room.freeCpu[0] ?? 0) > (best.room.freeCpu[0] ?? 0)
	}

	function choose(req: TaskRequest): Claim | undefined {
		const domainsTried = req.been ?? []
		if (domainsTried.length >= MAX_MOVES) return undefined
		let best: Target | undefined
		for (const claim of view.claims()) {
			if (claim.placer.session === self.session || view.isLeaving(claim.placer.session)) continue
			if (domainsTried.includes(claim.failureDomain)) continue
			const room = rooms.of(claim.failureDomain)
			if (!room || (room.freeCpu[0] ?? 0) < req.need.cpu || !hasLabels(room, req)) continue
			if (!best || isBetter({claim, room}, best)) best = {claim, room}
		}
		return best?.claim
	}

	async function send(claim: Claim, item: WaitingTask, runsAt?: RunLocation): Promise<void> {
		const {req} = item
		const {startBy, uselessAt, deadlineAt, confirmedAt, ...task} = req
		const now = clock.now()
		const leftMs = deadlineAt - now
		const message: TaskMessage = {
			task,
			startInMs: startBy - now,
			uselessInMs: uselessAt - now,
			leftMs,
			failureDomain: claim.failureDomain,
			from: self.session,
			runsAt,
		}
		const {address} = claim.placer
		const call = peers.runTask(address, message, leftMs + ANSWER_SLACK_MS, confirmedAt)
		// A run that is being stopped must be handed over too, or the successor would take it for a wanted one.
		if (!runsAt?.stopCause) item.onStart(() => call.cancel())
		const reply = await call.reply
		const outcome = reply?.type ?? (call.wasUnsent() ? "unsent" : "silent")
		metrics.count("tasks_handed_over", outcome)
		const fields = {job: req.job, task: req.task, run: req.run, peer: claim.placer.name}
		const isAnswered = reply !== undefined && reply.type !== "lost"
		const write = isAnswered ? log.event : log.alarm
		write("placer", "task_handed_over", "placer: handed a task to another placer.", {
			...fields,
			session: shortSession(claim.placer.session),
			failureDomain: claim.failureDomain,
			fence: claim.fence,
			outcome,
			cause: reply && "cause" in reply ? reply.cause : undefined,
			proof: reply && reply.type !== "not placer" ? "told by another placer" : undefined,
			tookMs: Math.round(clock.now() - now),
		})
		// The placer can't be reached: its room counts as none until the next report.
		if (call.wasUnsent()) rooms.close(claim.failureDomain)
		if (call.wasUnsent() && !runsAt) item.onEnd({type: "returned", cause: "no connection"})
		else item.onEnd(await endOf(reply, claim, item, runsAt !== undefined))
	}

	async function endOf(
		reply: TaskEnd | {readonly type: "not placer"} | undefined,
		{placer}: Claim,
		{req}: WaitingTask,
		wasRunning: boolean,
	): Promise<TaskEnd> {
		if (reply && reply.type !== "not placer") return reply
		// A handed-over run may go on until its lease ends.
		if (reply && !wasRunning) return {type: "returned", cause: "not placer"}
		// No later confirmation was sent, so the lease ends by this time whatever the other side knows.
		const lastConfirmedAt = Math.min(clock.now(), req.confirmedAt())
		await clock.sleep(Math.max(0, certainEndAt(leaseRule, lastConfirmedAt) - clock.now()))
		const cause = reply?.type ?? "its placer is silent"
		return {type: "lost", executor: placer.name, cause, crash: "possible"}
	}

	return {
		sendTo: (claim, item, runsAt) => void send(claim, item, runsAt),
		handOver(item) {
			const {req} = item
			const claim = choose(req)
			if (!claim) return false
			rooms.deduct(claim.failureDomain, {tasks: 1, cpu: req.need.cpu, work: taskWork(req)})
			void send(claim, item)
			return true
		},
	}
}
