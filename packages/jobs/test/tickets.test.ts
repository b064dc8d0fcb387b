/** Queues with advice: a step runs only on executors with a ticket, and the advisor gets few calls. */
import type {AdviceReply, Advisor} from "@cottonwood/jobs"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeFleet, record} from "./support/fake-executors.js"
import {createTestPlacer} from "./support/placers.js"
import {taskRequest} from "./support/requests.js"

const ADVICE = {decideMs: 20, perExecutorMs: 2}

async function createWorld(decide: (step: string, executors: readonly string[]) => AdviceReply) {
	const clock = createFakeClock()
	const orders = new FakeFleet(clock)
	const calls: {readonly step: string; readonly executors: readonly string[]}[] = []
	let underWay = 0
	let mostUnderWay = 0
	const advisor: Advisor = {
		async ask(step, executors) {
			calls.push({step, executors})
			mostUnderWay = Math.max(mostUnderWay, ++underWay)
			await clock.sleep(ADVICE.decideMs + ADVICE.perExecutorMs * executors.length)
			underWay--
			return decide(step, executors)
		},
	}
	const placer = createTestPlacer({
		clock,
		orders,
		advisor,
		handOver: () => {
			throw new Error("a task with advice was handed to another domain")
		},
	})
	placer.setExecutors([record("e1"), record("e2"), record("e3")])
	await clock.advance(20)
	const submit = (task: string) =>
		placer.submit(
			taskRequest(task, {advice: ADVICE, estimateMs: 20_000}),
			() => undefined,
			() => undefined,
		)
	return {clock, orders, placer, calls, submit, mostUnderWay: () => mostUnderWay}
}

const allow = (tickets: Record<string, string>, validMs = 3_000): AdviceReply => ({
	type: "advice",
	tickets: new Map(Object.entries(tickets)),
	validMs,
})

describe("tickets", () => {
	it("start a step only where it has a ticket, and are requested once for all its tasks", async () => {
		const {clock, orders, calls, submit} = await createWorld(() => allow({e2: "t2"}))
		for (let at = 0; at < 3; at++) submit(`j.0.0.${at}`)
		await clock.advance(10)
		expect(orders.starts).to.have.length(0)
		await clock.advance(200)
		expect(orders.starts.map(({executor, ticket}) => [executor, ticket])).to.eql([
			["e2", "t2"],
			["e2", "t2"],
		])
		expect(calls).to.have.length(1)
		orders.end("j.0.0.0", "done")
		await clock.advance(100)
		expect(orders.starts).to.have.length(3)
	})

	it("are requested in one call at a time", async () => {
		const {clock, submit, calls, mostUnderWay} = await createWorld(() => allow({e1: "t"}))
		for (const job of ["j", "k", "l"]) submit(`${job}.0.0.0`)
		await clock.advance(400)
		expect(calls).to.have.length(3)
		expect(mostUnderWay()).to.equal(1)
	})

	it("are requested again when they have expired", async () => {
		const {clock, orders, submit, calls} = await createWorld(() => allow({e1: "t"}, 500))
		submit("j.0.0.0")
		await clock.advance(100)
		submit("j.0.0.1")
		await clock.advance(100)
		expect(calls).to.have.length(1)
		await clock.advance(500)
		orders.end("j.0.0.0", "done")
		orders.end("j.0.0.1", "done")
		submit("j.0.0.2")
		await clock.advance(200)
		expect(calls).to.have.length(2)
		expect(orders.starts).to.have.length(3)
	})

	it("are requested again after a call without an answer, and no task starts without one", async () => {
		const replies: AdviceReply[] = [{type: "busy"}, {type: "silent", cause: ""}]
		const {clock, orders, submit} = await createWorld(() => replies.shift() ?? allow({e3: "t"}))
		submit("j.0.0.0")
		await clock.advance(300)
		expect(orders.starts).to.have.length(0)
		await clock.advance(1_000)
		expect(orders.starts.map(({ticket}) => ticket)).to.eql(["t"])
	})
})
