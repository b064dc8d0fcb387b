/**
 * Orders that get lost: noticed within a fraction of a short task, without taking a sound executor for a dead one.
 */
import type {HoldOrder, HoldReply} from "@cottonwood/jobs"
import {createLossDetector, type TaskEnd} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeExecutors, record} from "./support/fake-executors.js"
import {createTestPlacer} from "./support/placers.js"
import {taskRequest} from "./support/requests.js"

describe("losses", () => {
	it("are a matter of seconds", async () => {
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

	it("are not taken from what is missed at one moment, or seldom", async () => {
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

	it("are told from slow answers by the slowest of late", () => {
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

/** A sound executor whose holds are answered as a test decides. */
class HeldExecutors extends FakeExecutors {
	readonly holds: {
		readonly order: HoldOrder
		readonly answer: (reply: HoldReply) => void
	}[] = []
	isDeciding = false

	override hold(...[executor, order, timeoutMs]: Parameters<FakeExecutors["hold"]>) {
		if (!this.isDeciding) return super.hold(executor, order, timeoutMs)
		return new Promise<HoldReply>(answer => this.holds.push({order: order as HoldOrder, answer}))
	}
}

function createWorld() {
	const clock = createFakeClock()
	const orders = new HeldExecutors(clock)
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

/** Two tasks run, the answers to their starts were lost three times in all. */
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
	 * Symptom: while 3.6% of all orders stayed without an answer the kind of eight short tasks earned 0.73 of its credit.
	 * Sequence: a start is lost; after 90 ms it is sent again; the job had 96 ms. Cause: one time-out for all, made for
	 * slow machines. Settled by `start_order_ms` of 90 beside answers of 2 ms.
	 */
	it("are sent again as soon as an answer is clearly overdue", async () => {
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
		// The first one was sent twice; from then on the answers' time is known.
		expect(orders.starts).to.have.length(2)
	})

	/*
	 * Symptom and load as above. Sequence: a task ends, the hold that would have told it is lost, and the end is known
	 * 270 ms later. Cause: one hold at a time. Settled by `run_ended` lines with `tookMs` 270 above the estimate.
	 */
	it("make a second hold go beside the first, which tells the end that the first one loses", async () => {
		const {clock, orders, placer, ends, submit} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		await loseStarts(clock, orders, submit)
		const before = orders.fences.length
		await clock.advance(300)
		// Two of them each 80 ms, not one each 250 ms.
		expect(orders.fences.length - before).to.be.within(6, 9)
		orders.isDeciding = true
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
		// The executor has answered since the lost one was sent.
		expect(placer.counts().usable).to.equal(1)
	})

	it("take nothing from an answer that another one has overtaken", async () => {
		const {clock, orders, placer, ends, submit} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		await loseStarts(clock, orders, submit)
		orders.isDeciding = true
		await clock.advance(100)
		const [older, newer] = orders.holds
		const running = ["j.0.0.0", "j.0.0.1"].map(task => ({task, run: 1, percent: 50}))
		const end = {serial: 1, task: "j.0.0.0", run: 1, how: "done"} as const
		const clockMs = clock.now()
		newer?.answer({type: "held", clockMs, running: running.slice(1), ends: [end]})
		await clock.advance(1)
		older?.answer({type: "held", clockMs, running, ends: []})
		await clock.advance(1)
		// The run that has ended is not taken for one that nobody here started.
		expect(orders.stops).to.eql([])
		expect(placer.counts()).to.include({usable: 1, running: 1})
		expect(ends).to.have.length(1)
	})
})
