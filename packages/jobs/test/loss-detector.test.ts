/**
 * Lost orders are noticed within a fraction of a short task's slack, and slow executors are not
 * taken for dead ones.
 */
import type {HoldOrder, HoldReply} from "@cottonwood/jobs"
import {createLossDetector, type TaskEnd} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeExecutors, record} from "./support/fake-executors.js"
import {createTestPlacer} from "./support/placers.js"
import {taskRequest} from "./support/requests.js"

describe("losses", () => {
	it("count for a few seconds", async () => {
		const clock = createFakeClock()
		const losses = createLossDetector(clock)
		expect(losses.isLossy()).to.equal(false)
		for (let at = 0; at < 3; at++) {
			losses.noteLost()
			await clock.advance(100)
		}
		await clock.advance(2_800)
		expect(losses.isLossy()).to.equal(true)
		await clock.advance(200)
		expect(losses.isLossy()).to.equal(false)
	})

	it("are not inferred from simultaneous or rare time-outs", async () => {
		const clock = createFakeClock()
		const losses = createLossDetector(clock)
		for (let at = 0; at < 5; at++) losses.noteLost()
		expect(losses.isLossy()).to.equal(false)
		for (let at = 0; at < 4; at++) {
			await clock.advance(700)
			losses.noteLost()
		}
		expect(losses.isLossy()).to.equal(false)
	})

	it("are distinguished from slow answers by the slowest recent one", () => {
		const losses = createLossDetector(createFakeClock())
		expect(losses.timeoutMs(90)).to.equal(25)
		losses.noteAnswer(15)
		for (let at = 0; at < 10; at++) losses.noteAnswer(1)
		expect(losses.timeoutMs(90)).to.be.within(30, 45)
		losses.noteAnswer(200)
		expect(losses.timeoutMs(90)).to.equal(90)
		for (let at = 0; at < 400; at++) losses.noteAnswer(1)
		expect(losses.timeoutMs(90)).to.equal(25)
	})
})

/** A healthy executor whose holds are answered by the test. */
class ManualHoldExecutors extends FakeExecutors {
	readonly holds: {
		readonly order: HoldOrder
		readonly answer: (reply: HoldReply) => void
	}[] = []
	isManual = false

	override hold(...[executor, order, timeoutMs]: Parameters<FakeExecutors["hold"]>) {
		if (!this.isManual) return super.hold(executor, order, timeoutMs)
		return new Promise<HoldReply>(answer => this.holds.push({order: order as HoldOrder, answer}))
	}
}

function createWorld() {
	const clock = createFakeClock()
	const orders = new ManualHoldExecutors(clock)
	const ends: (TaskEnd & {readonly task: string})[] = []
	const placer = createTestPlacer({clock, orders})
	function submit(task: string) {
		placer.submit(
			taskRequest(task, {estimateMs: 5_000}),
			end => void ends.push({...end, task}),
			() => undefined,
		)
	}
	return {clock, orders, placer, ends, submit}
}

/** Starts two tasks; three answers to the starts are lost. */
async function loseStarts(
	clock: ReturnType<typeof createFakeClock>,
	orders: FakeExecutors,
	submit: (task: string) => void,
) {
	orders.startReplies = ["silent but done", "silent but done"]
	submit("j.0.0.0")
	await clock.advance(200)
	orders.startReplies = ["silent but done"]
	submit("j.0.0.1")
	await clock.advance(400)
}

describe("orders that get lost", () => {
	/*
	 * Guards against one long time-out for all orders: a lost start then costs a short task its
	 * objective.
	 */
	it("are repeated as soon as an answer is clearly overdue", async () => {
		const {clock, orders, placer, submit} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		orders.startReplies = ["silent but done"]
		submit("j.0.0.0")
		await clock.advance(30)
		expect(orders.starts.map(({run}) => run)).to.eql([1, 1])
		expect(placer.counts().usable).to.equal(1)
	})

	it("are waited for as long as answers are slow", async () => {
		const {clock, orders, placer, submit} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		const start = orders.start.bind(orders)
		orders.start = async (executor, order, timeoutMs) => {
			await clock.sleep(Math.min(25, timeoutMs))
			return timeoutMs >= 25
				? start(executor, order, timeoutMs)
				: {type: "silent", cause: "too early"}
		}
		submit("j.0.0.0")
		await clock.advance(100)
		submit("j.0.0.1")
		await clock.advance(100)
		// The first one was sent twice; from then on the answers' latency is known.
		expect(orders.starts).to.have.length(2)
	})

	/*
	 * Guards against relying on a single hold: when its answer is lost, an end becomes known too
	 * late.
	 */
	it("lead to a second hold, which reports the end that the first one loses", async () => {
		const {clock, orders, placer, ends, submit} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		await loseStarts(clock, orders, submit)
		const before = orders.fences.length
		await clock.advance(300)
		// Two holds each 80 ms, not one each 250 ms.
		expect(orders.fences.length - before).to.be.within(6, 9)
		orders.isManual = true
		await clock.advance(100)
		expect(orders.holds).to.have.length(2)
		const [lost, told] = orders.holds
		const end = {serial: 1, task: "j.0.0.0", run: 1, how: "done"} as const
		const running = [{task: "j.0.0.1", run: 1, percent: 50}]
		told?.answer({type: "held", clockMs: clock.now(), running, ends: [end]})
		await clock.advance(1)
		expect(ends.map(({type}) => type)).to.eql(["done"])
		lost?.answer({type: "silent", cause: "test"})
		await clock.advance(1)
		// The executor has answered since the lost hold was sent.
		expect(placer.counts().usable).to.equal(1)
	})

	it("do not make an outdated answer count after a newer one", async () => {
		const {clock, orders, placer, ends, submit} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		await loseStarts(clock, orders, submit)
		orders.isManual = true
		await clock.advance(100)
		const [older, newer] = orders.holds
		const running = ["j.0.0.0", "j.0.0.1"].map(task => ({task, run: 1, percent: 50}))
		const end = {serial: 1, task: "j.0.0.0", run: 1, how: "done"} as const
		const clockMs = clock.now()
		newer?.answer({type: "held", clockMs, running: running.slice(1), ends: [end]})
		await clock.advance(1)
		older?.answer({type: "held", clockMs, running, ends: []})
		await clock.advance(1)
		// The ended run is not taken for an orphan.
		expect(orders.stops).to.eql([])
		expect(placer.counts()).to.include({usable: 1, running: 1})
		expect(ends).to.have.length(1)
	})
})
