/**
 * Unwanted runs end within one lease, whatever is lost, and their tasks don't run again beside
 * them.
 */
import type {ExecutorRecord} from "@cottonwood/jobs"
import type {
	KeptRuns,
	Placer,
	PlacerDeps,
	RunLocation,
	TaskEnd,
	TaskRequest,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock, type FakeClock} from "./support/fake-clock.js"
import {record} from "./support/fake-executors.js"
import {LeasedExecutor, ordersTo, type AnyOrder} from "./support/leased-executor.js"
import {createTestPlacer} from "./support/placers.js"
import {NO_KEPT_RUNS, taskRequest} from "./support/requests.js"

const TASK = "j.0.0.0"
const NEIGHBOUR = "k.0.0.0"
const LEASE_MS = 1_000
/** Until a stop counts as unanswered, plus the time that a stop takes. */
const STOP_MS = 150 + 70
const SMALL = {cpu: 1_000, memoryMb: 1, accelerators: 0}
const isStop = ({type}: AnyOrder) => type === "stop"
const ignore = () => undefined

class Executors {
	private readonly executors = new Map<string, LeasedExecutor>()

	constructor(private readonly clock: FakeClock) {}

	at(id: string): LeasedExecutor {
		let executor = this.executors.get(id)
		if (!executor) this.executors.set(id, (executor = new LeasedExecutor(this.clock)))
		return executor
	}

	set isLost(isLost: (order: AnyOrder) => boolean) {
		for (const executor of this.executors.values()) executor.isLost = isLost
	}

	/** Ids of the executors where the task runs. */
	with(task: string): readonly string[] {
		return [...this.executors].filter(([, {running}]) => running.has(task)).map(([id]) => id)
	}

	readonly orders = ordersTo(id => this.at(id))
}

function createWorld() {
	const clock = createFakeClock()
	const executors = new Executors(clock)
	const ends: (TaskEnd & {readonly task: string})[] = []

	function place(fence: number, ids: readonly string[], extra: Partial<PlacerDeps> = {}): Placer {
		const placer = createTestPlacer({clock, orders: executors.orders, fence, ...extra})
		placer.setExecutors(ids.map(id => record(id)))
		return placer
	}

	async function run(placer: Placer, task: string, extra: Partial<TaskRequest> = {}) {
		await clock.advance(10)
		const req = taskRequest(task, {estimateMs: 50_000, isLasting: true, need: SMALL, ...extra})
		const handle = placer.submit(req, end => void ends.push({...end, task}), ignore)
		await clock.advance(10)
		return handle
	}

	/** Hands over all runs, as a leaving placer does. */
	function handOverAll(from: Placer, to: Placer) {
		from.handOverAll(({req}, runsAt?: RunLocation) => {
			if (runsAt) to.adopt(req, runsAt, end => void ends.push({...end, task: req.task}))
		})
	}

	return {clock, executors, ends, place, run, handOverAll}
}

describe("unwanted runs", () => {
	it("do not have their lease renewed by a placer that has not read the kept jobs yet", async () => {
		const {clock, executors, place, run} = createWorld()
		const first = place(7, ["e1"])
		await run(first, TASK)
		first.close()
		const kept: KeptRuns = {...NO_KEPT_RUNS, isRestoring: () => true}
		place(8, ["e1"], {kept})
		await clock.advance(LEASE_MS + 50)
		expect(executors.with(TASK)).to.eql([])
	})

	it("end with the lease when their stops stay unanswered, whatever else runs there", async () => {
		const {clock, executors, ends, place, run} = createWorld()
		const placer = place(7, ["e1"])
		const handle = await run(placer, TASK)
		await run(placer, NEIGHBOUR)
		executors.isLost = isStop
		handle.cancel()
		await clock.advance(LEASE_MS + STOP_MS)
		expect(executors.with(TASK)).to.eql([])
		expect(ends).to.deep.include({type: "stopped", task: TASK})
	})

	it("do not affect their neighbours once a stop is answered", async () => {
		const {clock, executors, ends, place, run} = createWorld()
		const placer = place(7, ["e1"])
		const handle = await run(placer, TASK)
		await run(placer, NEIGHBOUR)
		let lost = 0
		executors.isLost = order => isStop(order) && lost++ < 2
		handle.cancel()
		await clock.advance(3_000)
		expect(executors.with(NEIGHBOUR)).to.eql(["e1"])
		expect(ends.map(({task, type}) => ({task, type}))).to.eql([{task: TASK, type: "stopped"}])
	})

	it("do not have their lease extended by a start beside them", async () => {
		const {clock, executors, place, run} = createWorld()
		const placer = place(7, ["e1"])
		const handle = await run(placer, TASK)
		executors.isLost = isStop
		handle.cancel()
		await clock.advance(300)
		await run(placer, NEIGHBOUR)
		expect(executors.at("e1").started).to.eql([TASK])
		await clock.advance(LEASE_MS)
		expect(executors.with(TASK)).to.eql([])
	})

	it("get no further start once they are being stopped", async () => {
		const {clock, executors, place, run} = createWorld()
		const placer = place(7, ["e1"])
		await clock.advance(10)
		const starts: number[] = []
		executors.at("e1").isLost = ({type}) => {
			if (type === "start") starts.push(clock.now())
			return type !== "hold"
		}
		const handle = await run(placer, TASK)
		handle.cancel()
		await clock.advance(400)
		expect(starts).to.have.length(1)
	})

	it("delay the same task when it is submitted again, and leak no capacity", async () => {
		const {clock, executors, ends, place, run} = createWorld()
		const placer = place(7, ["e1", "e2"])
		const handle = await run(placer, TASK)
		const [where] = executors.with(TASK)
		executors.isLost = isStop
		handle.cancel()
		await clock.advance(400)
		await run(placer, TASK)
		expect(executors.with(TASK)).to.eql([where])
		executors.isLost = () => false
		await clock.advance(500)
		expect(executors.with(TASK)).to.have.length(1)
		expect(ends.map(({type}) => type)).to.eql(["stopped"])
		expect(placer.counts()).to.include({running: 1, waiting: 0})
	})

	it("are handed over as unwanted, from one successor to the next", async () => {
		const {clock, executors, ends, place, run, handOverAll} = createWorld()
		const first = place(7, ["e1"])
		const handle = await run(first, TASK)
		await run(first, NEIGHBOUR)
		executors.isLost = isStop
		handle.cancel()
		await clock.advance(100)
		const second = place(8, ["e1"], {orphansWaitMs: 800})
		await clock.advance(5)
		handOverAll(first, second)
		await clock.advance(50)
		const third = place(9, ["e1"], {orphansWaitMs: 800})
		await clock.advance(5)
		handOverAll(second, third)
		executors.isLost = () => false
		await clock.advance(300)
		expect(executors.with(TASK)).to.eql([])
		expect(executors.with(NEIGHBOUR)).to.eql(["e1"])
		expect(ends).to.eql([{type: "stopped", task: TASK}])
	})

	it("are reported as lost after a handover when they were stopped as stuck", async () => {
		const {clock, executors, ends, place, run, handOverAll} = createWorld()
		const first = place(7, ["e1"])
		await run(first, TASK, {isLasting: false, estimateMs: 100})
		executors.isLost = isStop
		await clock.advance(850)
		const second = place(8, ["e1"], {orphansWaitMs: 800})
		await clock.advance(5)
		handOverAll(first, second)
		executors.isLost = () => false
		await clock.advance(400)
		expect(ends.map(({type}) => type)).to.eql(["lost"])
		expect(executors.at("e1").stops.map(({fence}) => fence)).to.include(8)
	})
})

describe("links to executors", () => {
	const LISTED: readonly ExecutorRecord[] = [record("e1")]

	it("do not delay a task for a run that ended with its executor's process", async () => {
		const {clock, executors, ends, place, run, handOverAll} = createWorld()
		const first = place(7, ["e1"])
		await run(first, TASK)
		await run(first, NEIGHBOUR)
		const second = place(8, ["e1", "e2"], {orphansWaitMs: 800})
		await clock.advance(20)
		executors.at("e1").end(NEIGHBOUR, "done")
		await clock.advance(20)
		executors.at("e1").hold = async () => ({type: "replaced"})
		await clock.advance(600)
		handOverAll(first, second)
		await clock.advance(20)
		const lost = {type: "lost", executor: "e1", cause: "replaced", crash: "possible", task: TASK}
		expect(ends).to.deep.include(lost)
		const before = executors.at("e2").started.length
		await run(second, TASK, {run: 2})
		expect(executors.at("e2").started.length).to.equal(before + 1)
		second.setExecutors([record("e2")])
		expect(second.executors().map(({id}) => id)).to.eql(["e2"])
	})

	it("do not delay a task once the lease of its unknown run is over", async () => {
		const {clock, executors, place, run} = createWorld()
		const first = place(7, ["e1"])
		await run(first, TASK)
		first.close()
		const second = place(8, ["e1", "e2"])
		let holds = 0
		executors.at("e1").isLost = order =>
			order.fence === 8 && (isStop(order) || (order.type === "hold" && ++holds > 1))
		await clock.advance(2_000)
		await run(second, TASK, {run: 2})
		expect(executors.with(TASK)).to.eql(["e2"])
	})

	it("are closed when nobody claims a dead executor's end", async () => {
		const {clock, executors, place, run} = createWorld()
		const first = place(7, ["e1"])
		await run(first, NEIGHBOUR)
		const second = place(8, ["e1", "e2"], {orphansWaitMs: 800})
		await clock.advance(20)
		executors.at("e1").end(NEIGHBOUR, "done")
		await clock.advance(20)
		first.close()
		executors.at("e1").isLost = () => true
		second.setExecutors([record("e2")])
		await clock.advance(3_000)
		second.setExecutors([record("e2")])
		expect(second.executors().map(({id}) => id)).to.eql(["e2"])
	})

	it("treat a listed end as the answer to a stop, and are usable again", async () => {
		const {clock, executors, place, run} = createWorld()
		const first = place(7, ["e1"])
		await run(first, TASK)
		first.close()
		const e1 = executors.at("e1")
		const carryOut = e1.stop.bind(e1)
		e1.stop = async (executor, order, timeoutMs) => {
			await carryOut(executor, order, timeoutMs)
			await clock.sleep(timeoutMs)
			return {type: "silent", cause: "its answer comes too late"}
		}
		const second = place(8, ["e1"])
		await clock.advance(1_500)
		expect(second.counts().usable).to.equal(1)
		expect(e1.stops.length).to.be.at.most(2)
	})

	for (const lostHolds of [1, 2])
		it(`keep a run that is handed over within the wait though ${lostHolds} holds are lost`, async () => {
			for (let phase = 0; phase < 400; phase += 20) {
				const {clock, executors, ends, place, run, handOverAll} = createWorld()
				const first = place(7, ["e1"])
				await run(first, TASK)
				await clock.advance(500 + phase)
				const second = place(8, ["e1"], {orphansWaitMs: 800})
				let holds = 0
				executors.at("e1").isLost = ({type, fence}) =>
					fence === 8 && type === "hold" && ++holds > 1 && holds <= 1 + lostHolds
				await clock.advance(20)
				handOverAll(first, second)
				await clock.advance(2_000)
				expect(ends, `handed over at ${phase} ms of a hold`).to.eql([])
			}
		})

	it("repeat a start whose answer was lost once the stop beside it is answered", async () => {
		const {clock, executors, ends, place, run} = createWorld()
		const placer = place(7, ["e1"])
		const handle = await run(placer, NEIGHBOUR)
		let stops = 0
		let starts = 0
		executors.at("e1").isLost = ({type}) =>
			(type === "stop" && ++stops === 1) || (type === "start" && ++starts === 1)
		handle.cancel()
		await clock.advance(100)
		await run(placer, TASK)
		await clock.advance(1_000)
		expect(executors.with(TASK)).to.eql(["e1"])
		expect(ends.map(({task, type}) => ({task, type}))).to.eql([{task: NEIGHBOUR, type: "stopped"}])
	})

	it("are created anew when an executor that was given up is listed again", async () => {
		const {clock, executors, place, run} = createWorld()
		const placer = place(7, ["e1"])
		await run(placer, TASK)
		executors.isLost = () => true
		await clock.advance(600)
		placer.setExecutors([])
		await clock.advance(1_500)
		executors.isLost = () => false
		placer.setExecutors(LISTED)
		await clock.advance(500)
		expect(placer.counts().usable).to.equal(1)
	})

	it("report a run as lost that is handed over after another process has answered at its executor", async () => {
		const {clock, executors, ends, place, run, handOverAll} = createWorld()
		const first = place(7, ["e1"])
		await run(first, TASK)
		executors.at("e1").hold = async () => ({type: "replaced"})
		const second = place(8, ["e1"], {orphansWaitMs: 800})
		await clock.advance(5)
		handOverAll(first, second)
		await clock.advance(100)
		expect(ends.map(({type}) => type)).to.include("lost")
	})
})
