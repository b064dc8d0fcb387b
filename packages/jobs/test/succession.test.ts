/**
 * Handover of runs from one placer of a failure domain to the next. Guards against a successor that reports a run as lost while
 * it still runs, so that its task runs twice.
 */
import type {EventLog, LogFields} from "@cottonwood/jobs"
import {fieldsOf, type PlacerDeps, type TaskEnd} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {record} from "./support/fake-executors.js"
import {LeasedExecutor} from "./support/leased-executor.js"
import {createTestPlacer} from "./support/placers.js"
import {taskRequest} from "./support/requests.js"

const TASK = "j.0.0.0"
const LEASE_MS = 1_000
const HANDOVER_WAIT_MS = 800

interface Line extends LogFields {
	readonly kind: string
}

function createWorld() {
	const clock = createFakeClock()
	const executor = new LeasedExecutor(clock)
	const lines: Line[] = []
	const log: EventLog = {
		event: () => undefined,
		alarm: (_part, kind, _message, fields = {}) => void lines.push({kind, ...fieldsOf(fields)}),
	}
	const ends: (TaskEnd & {readonly isRunning: boolean})[] = []
	const onEnd = (end: TaskEnd) => void ends.push({...end, isRunning: executor.running.has(TASK)})

	function place(fence: number, extra: Partial<PlacerDeps> = {}) {
		return createTestPlacer({clock, orders: executor, fence, ...extra})
	}

	/** A placer with a run of the task. */
	async function placeFirst() {
		const first = place(7)
		first.setExecutors([record("e1")])
		await clock.advance(10)
		first.submit(taskRequest(TASK, {estimateMs: 5_000}), onEnd, () => undefined)
		await clock.advance(10)
		expect([...executor.running.keys()]).to.eql([TASK])
		return first
	}

	/** Hands the run over to a successor, whose executor list is `listed`. */
	async function handOver(listed: readonly string[]) {
		const first = await placeFirst()
		const successor = place(8, {orphansWaitMs: HANDOVER_WAIT_MS, log})
		successor.setExecutors(listed.map(id => record(id)))
		await clock.advance(5)
		first.handOverAll(({req}, from) => {
			if (from) successor.adopt(req, from, onEnd)
		})
		return successor
	}

	return {clock, executor, ends, lines, place, placeFirst, handOver}
}

describe("succession of placers", () => {
	it("keeps a run whose executor leaves the successor's first orders unanswered", async () => {
		const {clock, executor, ends, handOver} = createWorld()
		const answersAt = clock.now() + 320
		executor.isLost = ({fence}) => fence === 8 && clock.now() < answersAt
		await handOver(["e1"])
		await clock.advance(1_500)
		expect(ends).to.eql([])
		executor.end(TASK, "done")
		await clock.advance(200)
		expect(ends.map(({type}) => type)).to.eql(["done"])
	})

	it("takes over a run on an executor that the successor does not list", async () => {
		const {clock, executor, ends, handOver} = createWorld()
		await handOver([])
		await clock.advance(1_500)
		expect(ends).to.eql([])
		executor.end(TASK, "done")
		await clock.advance(200)
		expect(ends.map(({type}) => type)).to.eql(["done"])
	})

	it("stops a run that is not handed over although the first stop is lost", async () => {
		const {clock, executor, placeFirst, place} = createWorld()
		const first = await placeFirst()
		first.close()
		let lost = 0
		executor.isLost = ({type}) => type === "stop" && lost++ === 0
		place(8).setExecutors([record("e1")])
		await clock.advance(600)
		expect(executor.stops.length).to.be.greaterThan(1)
		expect([...executor.running.keys()]).to.eql([])
	})

	it("lets a run that is never handed over end with its current lease", async () => {
		const {clock, executor, placeFirst, place} = createWorld()
		const first = await placeFirst()
		first.close()
		executor.isLost = ({type}) => type === "stop"
		place(8, {orphansWaitMs: HANDOVER_WAIT_MS}).setExecutors([record("e1")])
		await clock.advance(LEASE_MS + 50)
		expect([...executor.running.keys()]).to.eql([])
	})

	it("reports a run as lost only once the last lease that any placer requested has ended", async () => {
		const {clock, executor, ends, handOver} = createWorld()
		executor.isLost = ({fence}) => fence === 8
		await handOver(["e1"])
		await clock.advance(3_000)
		expect(ends.map(({type, isRunning}) => ({type, isRunning}))).to.eql([
			{type: "lost", isRunning: false},
		])
	})

	it("repeats no start after a stall, since the task may run elsewhere by now", async () => {
		const {clock, executor, place} = createWorld()
		const placer = place(7)
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		executor.isLost = ({type}) => type === "start"
		placer.submit(
			taskRequest(TASK),
			() => undefined,
			() => undefined,
		)
		await clock.advance(20)
		executor.isLost = () => false
		clock.freeze(3_000)
		await clock.advance(300)
		expect(executor.started).to.eql([])
	})

	it("reads its messages before it starts tasks that waited during a stall", async () => {
		const {clock, executor, place} = createWorld()
		const placer = place(7)
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		const task = placer.submit(
			taskRequest(TASK),
			() => undefined,
			() => undefined,
		)
		clock.freeze(3_000)
		await clock.advance(1)
		task.cancel()
		await clock.advance(300)
		expect(executor.started).to.eql([])
	})

	it("goes on placing while each turn of the event loop takes longer than a stall", async () => {
		const {clock, executor, place} = createWorld()
		const placer = place(7)
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		placer.submit(
			taskRequest(TASK),
			() => undefined,
			() => undefined,
		)
		// The pass is due before the tick that would show that the event loop has completed a turn.
		clock.freeze(450)
		await clock.advance(0)
		clock.freeze(450)
		await clock.advance(0)
		expect(executor.started).to.eql([TASK])
	})

	it("logs what was known of an adopted run", async () => {
		const {clock, executor, lines, handOver} = createWorld()
		executor.isLost = ({fence}) => fence === 8
		await handOver(["e1"])
		await clock.advance(10)
		const adopted = lines.find(({kind}) => kind === "run_adopted")
		expect(adopted).to.include({task: TASK, run: 1, executor: "e1", fence: 8})
		expect(adopted).to.include({outcome: "not listed yet", inputAgeMs: undefined})
	})
})
