/** The placer and its links to executors: room, fences, leases, and orders without an answer. */
import type {PlacerDeps, TaskEnd} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeExecutors, record} from "./support/fake-executors.js"
import {createTestPlacer} from "./support/placers.js"
import {taskRequest} from "./support/requests.js"

function createWorld(extra: Partial<PlacerDeps> = {}) {
	const clock = createFakeClock()
	const orders = new FakeExecutors(clock)
	const ends: (TaskEnd & {readonly task: string})[] = []
	let fencedTimes = 0
	const placer = createTestPlacer({
		clock,
		orders,
		fence: 7,
		onFenced: () => void fencedTimes++,
		...extra,
	})
	function submit(task: string, options: Parameters<typeof taskRequest>[1] = {}) {
		const onEnd = (end: TaskEnd) => void ends.push({...end, task})
		return placer.submit(taskRequest(task, options), onEnd, () => undefined)
	}
	return {clock, orders, placer, ends, submit, fencedTimes: () => fencedTimes}
}

describe("placer", () => {
	it("starts nothing before the executor has taken its fence", async () => {
		const {clock, orders, placer, submit} = createWorld()
		orders.isSilent = true
		placer.setExecutors([record("e1")])
		submit("j.0.0.0")
		await clock.advance(300)
		expect(orders.starts).to.have.length(0)
		orders.isSilent = false
		await clock.advance(800)
		expect(orders.fences).to.include(7)
		expect(orders.starts).to.have.length(1)
	})

	it("never starts more tasks than fit, and starts the next when room appears", async () => {
		const {clock, orders, placer, ends, submit} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		for (let at = 0; at < 3; at++) submit(`j.0.0.${at}`)
		await clock.advance(10)
		expect(orders.starts.map(({task}) => task)).to.eql(["j.0.0.0", "j.0.0.1"])
		orders.end("j.0.0.0", "done")
		await clock.advance(10)
		expect(orders.starts).to.have.length(3)
		expect(ends.map(({type}) => type)).to.eql(["done"])
	})

	it("repeats a start without an answer under the same run number", async () => {
		const {clock, orders, placer, ends, submit} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		orders.startReplies = ["silent but done"]
		submit("j.0.0.0")
		await clock.advance(200)
		expect(orders.starts.map(({run}) => run)).to.eql([1, 1])
		orders.end("j.0.0.0", "done")
		await clock.advance(10)
		expect(ends.map(({type}) => type)).to.eql(["done"])
	})

	it("keeps a run's room reserved until the lease of a silent executor has certainly ended", async () => {
		const {clock, orders, placer, ends, submit} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		submit("j.0.0.0")
		await clock.advance(10)
		orders.isSilent = true
		const silentAt = clock.now()
		while (ends.length === 0 && clock.now() < silentAt + 5_000) await clock.advance(20)
		expect(ends[0]?.type).to.equal("lost")
		// The last lease ends 1,000 ms after its request, on a clock that may be 2% slow.
		expect(clock.now() - silentAt).to.be.greaterThan(1_020)
		expect(clock.now() - silentAt).to.be.lessThan(2_200)
	})

	it("reports runs as lost at once when a restarted executor answers", async () => {
		const {clock, orders, placer, ends, submit} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		submit("j.0.0.0")
		await clock.advance(10)
		orders.isReplaced = true
		await clock.advance(500)
		expect(ends.map(({type}) => type)).to.eql(["lost"])
	})

	it("stops unknown runs on an executor, and starts nothing beside them", async () => {
		const {clock, orders, placer, submit} = createWorld()
		orders.running.set("other.0.0.0", 3)
		placer.setExecutors([record("e1")])
		submit("j.0.0.0")
		await clock.advance(3)
		expect(orders.stops).to.deep.include({task: "other.0.0.0", run: 3, fence: 7})
		await clock.advance(500)
		expect(orders.running.has("other.0.0.0")).to.equal(false)
		expect(orders.starts).to.have.length(1)
	})

	it("asks for a higher run number when the executor has seen this one", async () => {
		const {clock, orders, placer, ends, submit} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		orders.startReplies = [{type: "refused", cause: "old", clockMs: clock.now()}]
		submit("j.0.0.0")
		await clock.advance(10)
		expect(ends.map(({type}) => type)).to.eql(["outnumbered"])
	})

	it("takes a repeated start that is refused as old as carried out, and waits for its end", async () => {
		const {clock, orders, placer, ends, submit} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		// The first start is carried out but not answered, and its run has ended when the second arrives.
		orders.startReplies = ["silent but done", {type: "refused", cause: "old", clockMs: clock.now()}]
		orders.areHoldsLost = true
		submit("j.0.0.0")
		await clock.advance(20)
		orders.end("j.0.0.0", "done")
		await clock.advance(100)
		orders.areHoldsLost = false
		await clock.advance(1_000)
		expect(ends.map(({type}) => type)).to.eql(["done"])
	})

	it("reports a run as lost that is refused as old when neither a run nor an end is listed", async () => {
		const {clock, orders, placer, ends, submit} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		orders.startReplies = [
			{type: "silent", cause: "test"},
			{type: "refused", cause: "old", clockMs: clock.now()},
		]
		submit("j.0.0.0")
		await clock.advance(800)
		expect(ends.map(({type}) => type)).to.eql(["lost"])
	})

	/* Guards against kept jobs that wait forever for executors that crashed before they could take the fence. */
	it("does not wait for executors that restarted before they took its fence", async () => {
		const {clock, orders, placer} = createWorld()
		orders.isReplaced = true
		placer.setExecutors([record("e1")])
		await clock.advance(20)
		orders.isReplaced = false
		placer.setExecutors([record("e2")])
		await clock.advance(20)
		expect(placer.hasTakenOver()).to.equal(true)
		expect(placer.executors().map(({id}) => id)).to.eql(["e2"])
	})

	it("starts nothing on a leaving executor", async () => {
		const {clock, orders, placer, submit} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		placer.setExecutors([record("e1", {isLeaving: true})])
		submit("j.0.0.0")
		await clock.advance(100)
		expect(orders.starts).to.have.length(0)
	})

	it("reports a higher fence seen at an executor", async () => {
		const {clock, orders, placer, submit, fencedTimes} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		orders.startReplies = [{type: "fenced"}]
		submit("j.0.0.0")
		await clock.advance(10)
		expect(fencedTimes()).to.equal(1)
	})

	it("stops a cancelled run and frees its room only when it has ended", async () => {
		const {clock, orders, placer, ends, submit} = createWorld()
		placer.setExecutors([record("e1", {capacity: {cpu: 30_000, memoryMb: 1_000, accelerators: 0}})])
		await clock.advance(10)
		const handle = submit("j.0.0.0")
		await clock.advance(10)
		orders.isSilent = true
		handle.cancel()
		submit("k.0.0.0")
		await clock.advance(150)
		expect(orders.starts).to.have.length(1)
		orders.isSilent = false
		await clock.advance(700)
		expect(ends.map(({type, task}) => `${task} ${type}`)).to.eql(["j.0.0.0 stopped"])
		expect(orders.starts).to.have.length(2)
	})

	it("keeps a stopped run's room reserved until its end is listed", async () => {
		const {clock, orders, placer, submit} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		const stopped = submit("j.0.0.0")
		submit("m.0.0.0")
		await clock.advance(10)
		orders.stopTakesMs = 50
		stopped.cancel()
		for (const task of ["x.0.0.0", "y.0.0.0", "z.0.0.0"]) submit(task)
		await clock.advance(5)
		orders.end("m.0.0.0", "done")
		await clock.advance(10)
		orders.end("x.0.0.0", "done")
		await clock.advance(20)
		// Two tasks of 27 cores fit into 64, and one of them is still being stopped.
		expect(orders.starts.map(({task}) => task[0])).to.eql(["j", "m", "x", "y"])
		await clock.advance(400)
		expect(orders.starts).to.have.length(5)
	})

	it("starts nothing beside an orphan that is being stopped, until its end is listed", async () => {
		const {clock, orders, placer, submit} = createWorld()
		orders.running.set("other.0.0.0", 3)
		orders.running.set("quick.0.0.0", 3)
		orders.stopTakesMs = 50
		placer.setExecutors([record("e1")])
		for (const at of [0, 1, 2]) submit(`j.0.0.${at}`)
		await clock.advance(4)
		orders.end("none", "done")
		await clock.advance(40)
		expect(orders.starts).to.have.length(0)
		await clock.advance(600)
		expect(orders.starts).to.have.length(2)
	})

	it("stops a run whose repeated start was refused, since the first may still be carried out", async () => {
		const {clock, orders, placer, ends, submit} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		const unhealthy = {type: "refused", cause: "unhealthy", clockMs: clock.now()} as const
		orders.startReplies = [{type: "silent", cause: "test"}, unhealthy]
		submit("j.0.0.0")
		await clock.advance(900)
		expect(orders.stops.map(({task}) => task)).to.eql(["j.0.0.0"])
		expect(ends.map(({type}) => type)).to.eql(["lost"])
	})

	it("stops a run whose start was never answered once a silent executor is back", async () => {
		const {clock, orders, placer, ends, submit} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		orders.isSilent = true
		submit("j.0.0.0")
		await clock.advance(3_000)
		expect(ends.map(({type}) => type)).to.eql(["lost"])
		const before = orders.stops.length
		orders.isSilent = false
		await clock.advance(300)
		expect(orders.stops.length).to.be.greaterThan(before)
		expect(orders.stops.at(-1)).to.deep.include({task: "j.0.0.0", run: 1})
	})

	it("adopts the runs of the previous placer, and hands them over in turn", async () => {
		const {clock, orders, placer, ends} = createWorld({orphansWaitMs: 800})
		orders.running.set("j.0.0.0", 1)
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		const from = {executor: "e1", isStarted: true}
		placer.adopt(taskRequest("j.0.0.0"), from, end => void ends.push({...end, task: "j.0.0.0"}))
		expect(orders.stops).to.eql([])
		const given: unknown[] = []
		placer.handOverAll((item, at) => void given.push([item.req.task, at?.executor]))
		expect(given).to.eql([["j.0.0.0", "e1"]])
	})

	it("reports the end of an adopted run that ended before its handover", async () => {
		const {clock, orders, placer, ends} = createWorld({orphansWaitMs: 800})
		orders.running.set("j.0.0.0", 1)
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		orders.end("j.0.0.0", "done")
		await clock.advance(10)
		const from = {executor: "e1", isStarted: true}
		placer.adopt(taskRequest("j.0.0.0"), from, end => void ends.push({...end, task: "j.0.0.0"}))
		expect(ends.map(({type}) => type)).to.eql(["done"])
	})

	it("never starts an adopted run itself, since under the new fence it runs already or never will", async () => {
		const {clock, orders, placer, ends, submit} = createWorld({orphansWaitMs: 800})
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		submit("x.0.0.0")
		submit("y.0.0.0")
		await clock.advance(10)
		const from = {executor: "e1", isStarted: false}
		placer.adopt(taskRequest("j.0.0.0"), from, end => void ends.push({...end, task: "j.0.0.0"}))
		await clock.advance(300)
		expect(orders.starts.map(({task}) => task[0])).to.eql(["x", "y"])
		expect(ends.map(({task, type}) => `${task[0]} ${type}`)).to.eql(["j returned"])
	})

	it("adopts a run whose start was not answered but carried out", async () => {
		const {clock, orders, placer, ends} = createWorld({orphansWaitMs: 800})
		orders.running.set("j.0.0.0", 1)
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		const from = {executor: "e1", isStarted: false}
		placer.adopt(taskRequest("j.0.0.0"), from, end => void ends.push({...end, task: "j.0.0.0"}))
		await clock.advance(300)
		orders.end("j.0.0.0", "done")
		await clock.advance(50)
		expect(orders.starts).to.eql([])
		expect(ends.map(({type}) => type)).to.eql(["done"])
	})

	it("stops runs of the previous placer that are not handed over", async () => {
		const {clock, orders, placer} = createWorld({orphansWaitMs: 300})
		orders.running.set("j.0.0.0", 1)
		placer.setExecutors([record("e1")])
		await clock.advance(200)
		expect(orders.stops).to.eql([])
		await clock.advance(1_000)
		expect(orders.stops.map(({task}) => task)).to.eql(["j.0.0.0"])
	})

	it("counts on a silent executor for a moment only", async () => {
		const {clock, orders, placer} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(500)
		orders.isSilent = true
		await clock.advance(700)
		expect(placer.expectedWaitMs(Infinity)).to.equal(0)
		await clock.advance(2_000)
		expect(placer.expectedWaitMs(Infinity)).to.equal(Infinity)
	})

	it("returns a foreign task when no room appears", async () => {
		const {clock, placer, ends, submit} = createWorld()
		placer.setExecutors([])
		submit("j.0.0.0", {isForeign: true})
		await clock.advance(100)
		expect(ends.map(({type}) => type)).to.eql(["returned"])
	})

	it("retries a task on another executor, and waits for one rather than return to where it failed", async () => {
		const {clock, orders, placer, submit} = createWorld()
		placer.setExecutors([record("e1"), record("e2", {capacity: {...NO_ROOM}})])
		await clock.advance(10)
		submit("j.0.0.0", {avoid: ["e1"], run: 2})
		await clock.advance(100)
		expect(orders.starts).to.have.length(0)
		placer.setExecutors([record("e1"), record("e2")])
		await clock.advance(10)
		expect(orders.starts.map(({executor}) => executor)).to.eql(["e2"])
	})

	it("retries a task where it failed when there is no other executor", async () => {
		const {clock, orders, placer, submit} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		submit("j.0.0.0", {avoid: ["e1"], run: 2})
		await clock.advance(10)
		expect(orders.starts).to.have.length(1)
	})

	it("stops a run that makes no progress, and reports it as lost", async () => {
		const {clock, orders, placer, ends, submit} = createWorld()
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		submit("j.0.0.0")
		await clock.advance(1_500)
		expect(orders.stops.map(({task}) => task)).to.eql(["j.0.0.0"])
		expect(ends.map(({type}) => type)).to.eql(["lost"])
	})
})

const NO_ROOM = {cpu: 1, memoryMb: 1_000, accelerators: 0}
