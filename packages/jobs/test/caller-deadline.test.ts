/**
 * Confirmations of a job end at its caller's deadline, counted from when the call may have arrived. A lease lasts 1,250 ms
 * beyond the last confirmation, and the caller may submit again 1,300 ms after its deadline: a later confirmation could let
 * the job run twice.
 */
import {silentLog, type Claim, type Job} from "@cottonwood/jobs"
import {createDispatcher, createFleetView, type JobMessage} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {QUEUE} from "./support/requests.js"
import {fakePeers, unused} from "./support/peers.js"

const DEADLINE_MS = 1_500
const member = (name: string, failureDomain: string) => ({
	name,
	session: `${name}-s`,
	failureDomain,
	address: `${name}:1`,
	cpuShare: 1,
})

function createWorld(unreadMs: number) {
	const clock = createFakeClock()
	const placer = member("b-1", "b")
	const claim: Claim = {failureDomain: "b", fence: 1, placer}
	const view = createFleetView(clock, () => undefined)
	view.noteClaim(claim)
	const beat = {claims: [claim], rooms: {}, isLeaving: false, configVersion: 1}
	view.applyHeartbeat({...beat, from: placer})
	const sent: {readonly message: JobMessage; readonly confirmedAt: () => number}[] = []
	const dispatcher = createDispatcher({
		clock,
		log: silentLog,
		peers: fakePeers({
			runJob(_address, message, _timeoutMs, confirmedAt) {
				sent.push({message, confirmedAt})
				return {
					reply: new Promise(() => undefined),
					wasUnsent: () => false,
					wasRefused: () => false,
					cancel: unused,
				}
			},
		}),
		view,
		self: member("a-1", "a"),
		hosts: {of: () => undefined} as never,
		config: () => undefined,
		refreshConfig: () => undefined,
		isLeaving: () => false,
		isEvacuated: () => false,
		ownLateMs: () => 0,
	})
	const receivedAt = clock.now()
	const job: Job = {
		id: "00000000000000aa",
		queue: QUEUE.name,
		spec: "",
		steps: [],
		receivedAt,
		deadlineAt: receivedAt + DEADLINE_MS,
	}
	const confirmedAt = () => clock.now() - unreadMs
	const caller = {onCancel: () => undefined, madeAt: confirmedAt(), confirmedAt}
	void dispatcher.dispatch(job, QUEUE, caller)
	return {clock, job, sent}
}

describe("a caller's deadline", () => {
	it("is the latest time as of which its job is confirmed to a placer", async () => {
		const {clock, job, sent} = createWorld(0)
		await clock.advance(DEADLINE_MS + 390)
		expect(sent).to.have.length(1)
		expect(sent[0]?.confirmedAt()).to.be.at.most(job.deadlineAt)
	})

	it("counts from when the call may have arrived, even after a short time unread", async () => {
		const {clock, sent} = createWorld(199)
		await clock.advance(1)
		expect(sent[0]?.message.leftMs).to.be.at.most(DEADLINE_MS - 199)
	})
})
