/**
 * Executors that were set aside and are probed: a probe that does not end must not keep other tasks away for good.
 */
import {createJobMetrics} from "@cottonwood/jobs"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeFleet, record} from "./support/fake-executors.js"
import {createTestPlacer} from "./support/placers.js"
import {taskRequest} from "./support/requests.js"

/** Enough to judge an executor by its runs. */
const RUNS = 5
const PROBE_AFTER_MS = 1_500
/** By then a task that is away has to run again. */
const MAX_AWAY_MS = 3_000
const WHOLE = {cpu: 64_000, memoryMb: 64, accelerators: 0}

/** Two executors, of which `e1` has failed its runs and is set aside, and `e2` is then full of a lasting task. */
async function createWorld() {
	const clock = createFakeClock()
	const orders = new FakeFleet(clock)
	const metrics = createJobMetrics()
	const placer = createTestPlacer({clock, orders, metrics})
	placer.setExecutors([record("e1"), record("e2")])
	await clock.advance(10)
	function submit(task: string, extra: Parameters<typeof taskRequest>[1] = {}) {
		placer.submit(
			taskRequest(task, {isKept: true, ...extra}),
			() => undefined,
			() => undefined,
		)
	}
	async function run(task: string, avoided: string, how: "done" | "failed") {
		submit(task, {avoid: [avoided]})
		await clock.advance(20)
		orders.end(task, how)
		await clock.advance(20)
	}
	const executorOf = (task: string) => orders.starts.find(start => start.task === task)?.executor
	for (let at = 0; at < RUNS; at++) await run(`g.0.0.${at}`, "e1", "done")
	for (let at = 0; at < RUNS; at++) await run(`b.0.0.${at}`, "e2", "failed")
	expect(await metrics.text()).to.include('cottonwood_executors_aside{reason="aside"}')
	submit("f.0.0.0", {need: WHOLE, isLasting: true, avoid: ["e1"]})
	await clock.advance(PROBE_AFTER_MS)
	submit("p.0.0.0", {isLasting: true})
	await clock.advance(20)
	expect([executorOf("f.0.0.0"), executorOf("p.0.0.0")]).to.eql(["e2", "e1"])
	return {clock, orders, submit, executorOf}
}

describe("an executor that was set aside", () => {
	// Its probe was a lasting task, and nothing else started there for as long as that ran.
	it("takes other tasks once a lasting probe is at work", async () => {
		const {clock, orders, submit, executorOf} = await createWorld()
		orders.percent = 100
		await clock.advance(300)
		submit("l.0.0.0", {isLasting: true})
		await clock.advance(20)
		expect(executorOf("l.0.0.0")).to.equal("e1")
	})

	it("takes another task when a probe takes long", async () => {
		const {clock, submit, executorOf} = await createWorld()
		submit("l.0.0.0")
		await clock.advance(MAX_AWAY_MS)
		expect(executorOf("l.0.0.0")).to.equal("e1")
	})

	it("takes one task at a time before that", async () => {
		const {clock, submit, executorOf} = await createWorld()
		submit("l.0.0.0")
		await clock.advance(PROBE_AFTER_MS / 2)
		expect(executorOf("l.0.0.0")).to.equal(undefined)
	})
})

describe("an executor whose lasting tasks fail", () => {
	// They may fail at any time, and kept it set aside for ever longer.
	it("is not set aside for those that were at work", async () => {
		const clock = createFakeClock()
		const orders = new FakeFleet(clock)
		const metrics = createJobMetrics()
		const placer = createTestPlacer({clock, orders, metrics})
		placer.setExecutors([record("e1"), record("e2")])
		await clock.advance(10)
		async function run(task: string, extra: Parameters<typeof taskRequest>[1]) {
			placer.submit(
				taskRequest(task, {isKept: true, ...extra}),
				() => undefined,
				() => undefined,
			)
			await clock.advance(500)
			orders.end(task, extra?.isLasting ? "failed" : "done")
			await clock.advance(20)
		}
		orders.percent = 100
		for (let at = 0; at < 2 * RUNS; at++) {
			await run(`g.0.0.${at}`, {avoid: ["e1"]})
			await run(`l.0.0.${at}`, {isLasting: true, avoid: ["e2"]})
		}
		expect(await metrics.text()).to.not.include('cottonwood_executors_aside{reason="aside"}')
	})
})
