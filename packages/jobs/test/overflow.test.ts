/** Tasks handed to another domain's placer, also when it stops responding. */
import {
	createJobMetrics,
	silentLog,
	type Heartbeat,
	type Claim,
	type Member,
} from "@cottonwood/jobs"
import {
	createFleetView,
	createOverflow,
	type TaskEnd,
	type TaskReply,
	type WaitingTask,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock, settle} from "./support/fake-clock.js"
import {LEASE_RULE, taskRequest} from "./support/requests.js"
import {fakePeers} from "./support/peers.js"

const member = (name: string, failureDomain: string): Member => ({
	name,
	session: `${name}-s`,
	failureDomain,
	address: `${name}:1`,
	cpuShare: 0.675,
})

function createWorld() {
	const clock = createFakeClock()
	const [self, other] = [member("a-1", "a"), member("b-1", "b")]
	const view = createFleetView(clock, () => undefined)
	const claim: Claim = {failureDomain: "b", fence: 1, placer: other}
	view.noteClaim(claim)
	const calls: {
		readonly answer: (reply: TaskReply | undefined) => void
		isCancelled: boolean
		wasUnsent: boolean
	}[] = []
	const overflow = createOverflow({
		clock,
		leaseRule: LEASE_RULE,
		view,
		self,
		log: silentLog,
		metrics: createJobMetrics(),
		peers: fakePeers({
			runTask() {
				let answer: (reply: TaskReply | undefined) => void = () => undefined
				const reply = new Promise<TaskReply | undefined>(resolve => (answer = resolve))
				const call = {answer, isCancelled: false, wasUnsent: false}
				calls.push(call)
				return {
					reply,
					wasUnsent: () => call.wasUnsent,
					wasRefused: () => false,
					cancel: () => void (call.isCancelled = true),
				}
			},
		}),
	})
	function reportRoom(freeCpu: readonly number[]) {
		const room = {freeCpu, totalCpu: 64_000, waitingWork: 0, labels: ["r1"]}
		const beat: Heartbeat = {
			from: other,
			claims: [claim],
			rooms: {b: room},
			isLeaving: false,
			configVersion: 1,
		}
		view.applyHeartbeat(beat)
	}
	const ends: TaskEnd[] = []
	/** The last confirmation by the callers here, which have not been heard since the start. */
	const confirmedAt = clock.now()
	let stop: (() => void) | undefined
	function submit(task: string, extra: Parameters<typeof taskRequest>[1] = {}) {
		const item: WaitingTask = {
			req: taskRequest(task, {confirmedAt: () => confirmedAt, ...extra}),
			since: clock.now(),
			onEnd: end => void ends.push(end),
			onStart: stopRun => (stop = stopRun),
		}
		return overflow.handOver(item)
	}
	function giveRunning(task: string) {
		const onEnd = (end: TaskEnd) => void ends.push(end)
		const req = taskRequest(task, {confirmedAt: () => confirmedAt})
		const item = {req, since: clock.now(), onEnd, onStart: () => undefined}
		overflow.sendTo(claim, item, {executor: "e9", isStarted: true})
	}
	return {clock, calls, reportRoom, submit, giveRunning, ends, stop: () => stop?.()}
}

describe("overflow", () => {
	it("goes only where room was reported, and deducts it", () => {
		const {reportRoom, submit, calls} = createWorld()
		expect(submit("j.0.0.0")).to.equal(false)
		reportRoom([54_000])
		expect([submit("j.0.0.0"), submit("j.0.0.1"), submit("j.0.0.2")]).to.eql([true, true, false])
		expect(calls).to.have.length(2)
	})

	it("ignores old reports", async () => {
		const {reportRoom, submit, clock} = createWorld()
		reportRoom([54_000])
		await clock.advance(800)
		expect(submit("j.0.0.0")).to.equal(false)
	})

	it("asks for labels that the other domain has", () => {
		const {reportRoom, submit} = createWorld()
		reportRoom([54_000])
		expect(submit("j.0.0.0", {rack: "r9"})).to.equal(false)
		expect(submit("j.0.0.0", {rack: "r1"})).to.equal(true)
	})

	it("passes on the task's end and a cancellation", async () => {
		const {reportRoom, submit, calls, ends, stop} = createWorld()
		reportRoom([54_000])
		submit("j.0.0.0")
		stop()
		expect(calls[0]?.isCancelled).to.equal(true)
		calls[0]?.answer({type: "done", executor: "e9"})
		await settle()
		expect(ends).to.eql([{type: "done", executor: "e9"}])
	})

	it("takes a task that was never sent back at once, unless it is running already", async () => {
		const {reportRoom, submit, giveRunning, calls, ends, clock} = createWorld()
		reportRoom([54_000])
		submit("j.0.0.0")
		giveRunning("j.0.0.1")
		for (const call of calls) call.wasUnsent = true
		for (const call of calls) call.answer(undefined)
		await settle()
		expect(ends.map(({type}) => type)).to.eql(["returned"])
		await clock.advance(LEASE_RULE.endsWithinMs - 1)
		expect(ends.map(({type}) => type)).to.eql(["returned"])
		await clock.advance(1)
		expect(ends.map(({type}) => type)).to.eql(["returned", "lost"])
	})

	it("doesn't take a running task back from a successor that has stopped placing, since it may still run", async () => {
		const {giveRunning, calls, ends, clock} = createWorld()
		giveRunning("j.0.0.0")
		calls[0]?.answer({type: "not placer"})
		await clock.advance(LEASE_RULE.endsWithinMs - 1)
		expect(ends).to.eql([])
		await clock.advance(1)
		expect(ends.map(({type}) => type)).to.eql(["lost"])
	})

	it("counts a task as lost only when its lease has certainly ended", async () => {
		const {reportRoom, submit, calls, ends, clock} = createWorld()
		reportRoom([54_000])
		submit("j.0.0.0")
		calls[0]?.answer(undefined)
		await clock.advance(LEASE_RULE.endsWithinMs - 1)
		expect(ends).to.eql([])
		await clock.advance(1)
		expect(ends.map(({type}) => type)).to.eql(["lost"])
	})
})
