/**
 * Leases are bounded by the oldest confirmation of the runs under them. Each test fails if one of
 * the checks behind that is omitted.
 */
import {
	createExecutorClock,
	type Placer,
	type PlacerDeps,
	type RunLocation,
	type TaskEnd,
	type TaskRequest,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {record} from "./support/fake-executors.js"
import {LeasedExecutor, ordersTo} from "./support/leased-executor.js"
import {createTestPlacer} from "./support/placers.js"
import {LEASE_RULE, taskRequest} from "./support/requests.js"

const TASK = "j.0.0.0"
const NEIGHBOUR = "k.0.0.0"
const SMALL = {cpu: 1_000, memoryMb: 1, accelerators: 0}
const ignore = () => undefined

function createWorld() {
	const clock = createFakeClock()
	const executor = new LeasedExecutor(clock)
	const ends: (TaskEnd & {readonly task: string})[] = []
	const orders = ordersTo(() => executor)

	function place(fence: number, extra: Partial<PlacerDeps> = {}): Placer {
		const placer = createTestPlacer({clock, orders, fence, ...extra})
		placer.setExecutors([record("e1")])
		return placer
	}

	function submit(placer: Placer, task: string, confirmedAt: TaskRequest["confirmedAt"]) {
		const extra = {estimateMs: 50_000, isLasting: true, need: SMALL, confirmedAt}
		return placer.submit(taskRequest(task, extra), end => void ends.push({...end, task}), ignore)
	}

	/** Hands some runs over; nobody reports the others. */
	function handOver(from: Placer, to: Placer, tasks: readonly string[]) {
		from.handOverAll(({req}, runsAt?: RunLocation) => {
			if (!runsAt || !tasks.includes(req.task)) return
			to.adopt(req, runsAt, end => void ends.push({...end, task: req.task}))
		})
	}

	const isRunning = (task: string) => executor.running.has(task)
	return {clock, executor, ends, place, submit, handOver, isRunning, now: () => clock.now()}
}

describe("a run whose caller is not heard any more", () => {
	it("ends in time although its neighbour's caller is still heard", async () => {
		const {clock, place, submit, isRunning, now} = createWorld()
		const placer = place(7)
		await clock.advance(1_500)
		const heardAt = now()
		submit(placer, NEIGHBOUR, now)
		submit(placer, TASK, () => heardAt)
		await clock.advance(200)
		expect([isRunning(TASK), isRunning(NEIGHBOUR)]).to.eql([true, true])
		await clock.advance(LEASE_RULE.endsWithinMs - 200)
		expect(isRunning(TASK)).to.equal(false)
	})

	it("does not start under a lease that outlasts it, until the caller is heard", async () => {
		const {clock, place, submit, isRunning, now} = createWorld()
		const placer = place(7)
		await clock.advance(1_500)
		submit(placer, NEIGHBOUR, now)
		await clock.advance(100)
		let heardAt = now() - 400
		submit(placer, TASK, () => heardAt)
		await clock.advance(200)
		expect(isRunning(TASK)).to.equal(false)
		heardAt = now()
		await clock.advance(50)
		expect(isRunning(TASK)).to.equal(true)
	})

	it("does not have its lease renewed for its neighbour while nobody has handed it over", async () => {
		const {clock, executor, place, submit, handOver, isRunning, now} = createWorld()
		const first = place(7)
		await clock.advance(1_500)
		submit(first, NEIGHBOUR, now)
		submit(first, TASK, now)
		await clock.advance(200)
		const second = place(8, {orphansWaitMs: 800})
		executor.isLost = ({type}) => type === "stop"
		await clock.advance(20)
		handOver(first, second, [NEIGHBOUR])
		await clock.advance(LEASE_RULE.longestEndMs)
		expect(isRunning(TASK)).to.equal(false)
	})

	it("does not start under a lease that the previous placer may have requested until its fence was refused", async () => {
		const {clock, executor, place, submit, isRunning, now} = createWorld()
		executor.isLost = () => true
		const placer = place(8)
		await clock.advance(900)
		executor.isLost = () => false
		await clock.advance(150)
		const heardAt = now() - 400
		submit(placer, TASK, () => heardAt)
		await clock.advance(50)
		expect(isRunning(TASK)).to.equal(false)
	})

	it("is not reported as lost at the successor before the last requested lease has ended", async () => {
		const {clock, executor, ends, place, submit, handOver, isRunning, now} = createWorld()
		const first = place(7)
		await clock.advance(1_500)
		submit(first, TASK, now)
		await clock.advance(200)
		executor.isLost = ({fence}) => fence === 8
		const second = place(8, {orphansWaitMs: 800})
		await clock.advance(600)
		handOver(first, second, [TASK])
		while (ends.length === 0) await clock.advance(10)
		expect(ends).to.eql([
			{
				type: "lost",
				executor: "e1",
				cause: "its lease ended while silent",
				// The executor may have crashed, as far as is known here.
				crash: "possible",
				task: TASK,
			},
		])
		expect(isRunning(TASK)).to.equal(false)
	})
})

describe("an executor's clock", () => {
	it("is estimated as low as possible, ignoring readings below the estimate", () => {
		const executorClock = createExecutorClock(LEASE_RULE)
		executorClock.observe(10_000, 0)
		expect(executorClock.lowestReading(1_000)).to.equal(10_980)
		executorClock.observe(10_970, 1_000)
		expect(executorClock.lowestReading(1_000)).to.equal(10_980)
		executorClock.observe(10_990, 1_000)
		expect(executorClock.lowestReading(1_000)).to.equal(10_990)
	})

	it("gives the latest end of all requested leases, at the slowest rate and with the end margin", () => {
		const executorClock = createExecutorClock(LEASE_RULE)
		executorClock.observe(10_000, 0)
		executorClock.noteLease(10_980)
		executorClock.noteLease(10_490)
		expect(executorClock.leasesEndAt(0)).to.be.closeTo(1_060, 0.001)
		expect([executorClock.haveLeasesEnded(1_059), executorClock.haveLeasesEnded(1_061)]).to.eql([
			false,
			true,
		])
	})
})
