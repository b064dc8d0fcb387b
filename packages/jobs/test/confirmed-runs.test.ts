/**
 * Runs whose callers are heard no more: each has ended in time for its caller to come back, though nobody here learns that it
 * left, though stops are lost, and whatever else runs beside it.
 */
import type {PlacerDeps, TaskEnd, TaskRequest} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {record} from "./support/fake-executors.js"
import {LeasedExecutor} from "./support/leased-executor.js"
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
	/** As of when the callers of each task are known to want it; those that are not named always do. */
	const confirmedAt = new Map<string, number>()

	function place(fence: number, extra: Partial<PlacerDeps> = {}) {
		const placer = createTestPlacer({clock, orders: executor, fence, ...extra})
		placer.setExecutors([record("e1")])
		return placer
	}

	function submit(
		placer: ReturnType<typeof place>,
		task: string,
		extra: Partial<TaskRequest> = {},
	) {
		const isWantedAt = () => confirmedAt.get(task) ?? clock.now()
		const req = taskRequest(task, {
			estimateMs: 50_000,
			need: SMALL,
			isLasting: true,
			confirmedAt: isWantedAt,
			...extra,
		})
		return placer.submit(req, end => void ends.push({...end, task}), ignore)
	}

	async function run(placer: ReturnType<typeof place>, task: string) {
		await clock.advance(10)
		const handle = submit(placer, task)
		await clock.advance(10)
		return handle
	}

	return {clock, executor, ends, confirmedAt, place, submit, run}
}

describe("confirmed runs", () => {
	it("end in time though their neighbours' leases are renewed and no stop arrives", async () => {
		for (let phase = 0; phase < 200; phase += 20) {
			const {clock, executor, confirmedAt, place, run} = createWorld()
			const placer = place(1)
			await run(placer, TASK)
			await run(placer, NEIGHBOUR)
			await clock.advance(500 + phase)
			confirmedAt.set(TASK, clock.now())
			executor.isLost = ({type}) => type === "stop"
			await clock.advance(LEASE_RULE.endsWithinMs)
			expect(executor.running.has(TASK), `silent at ${phase} ms of a hold`).to.equal(false)
		}
	})

	it("are stopped once their caller was not heard for long, and their neighbours go on", async () => {
		const {clock, executor, ends, confirmedAt, place, run} = createWorld()
		const placer = place(1)
		await run(placer, TASK)
		await run(placer, NEIGHBOUR)
		confirmedAt.set(TASK, clock.now())
		await clock.advance(3_000)
		expect([...executor.running.keys()]).to.eql([NEIGHBOUR])
		const cause = "its caller was not heard"
		expect(ends).to.eql([{type: "lost", executor: "e1", cause, task: TASK}])
	})

	it("begin under no lease that outlasts what their confirmation allows, and do once they are confirmed again", async () => {
		const {clock, executor, confirmedAt, place, run, submit} = createWorld()
		const placer = place(1)
		await run(placer, NEIGHBOUR)
		await clock.advance(600)
		confirmedAt.set(TASK, clock.now() - 600)
		submit(placer, TASK)
		await clock.advance(300)
		expect(executor.running.has(TASK)).to.equal(false)
		confirmedAt.set(TASK, clock.now())
		await clock.advance(60)
		expect(executor.running.has(TASK)).to.equal(true)
	})

	/*
	 * A successor knows nothing of a run that it finds, nor as of when its caller wanted it. If it renewed the
	 * lease for the sake of a run of its own, the unknown one would go on under it, beside the next run of its task.
	 */
	it("get no lease renewed beside a run of which nothing is known", async () => {
		const {clock, executor, place, run} = createWorld()
		const first = place(7)
		await run(first, TASK)
		await run(first, NEIGHBOUR)
		const second = place(8, {orphansWaitMs: 2_000})
		await clock.advance(20)
		first.handOverAll(({req}, runsAt) => {
			if (runsAt && req.task === NEIGHBOUR) second.adopt(req, runsAt, ignore)
		})
		await clock.advance(LEASE_RULE.longestEndMs)
		expect(executor.running.has(TASK)).to.equal(false)
	})

	/*
	 * Until an executor obeys the successor the placer before may renew its lease. A task that was last confirmed a while
	 * ago would go on under that lease for longer than it may.
	 */
	it("begin at a successor only in time with the leases of the placer before", async () => {
		const {clock, executor, confirmedAt, place, run, submit} = createWorld()
		const first = place(7)
		await run(first, NEIGHBOUR)
		executor.isLost = ({fence}) => fence === 8
		const second = place(8)
		await clock.advance(1_500)
		executor.isLost = () => false
		executor.end(NEIGHBOUR, "done")
		confirmedAt.set(TASK, clock.now() - 230)
		submit(second, TASK)
		await clock.advance(100)
		expect(executor.running.has(TASK)).to.equal(false)
		confirmedAt.set(TASK, clock.now())
		await clock.advance(60)
		expect(executor.running.has(TASK)).to.equal(true)
	})

	it("that nobody wants any more are confirmed by nothing that comes later", async () => {
		const {clock, executor, place, run} = createWorld()
		const placer = place(1)
		let isOver = false
		let lastAt = 0
		const req = {confirmedAt: () => (isOver ? lastAt : (lastAt = clock.now()))}
		await run(placer, NEIGHBOUR)
		const handle = placer.submit(
			taskRequest(TASK, {estimateMs: 50_000, need: SMALL, ...req}),
			ignore,
			ignore,
		)
		await clock.advance(300)
		isOver = true
		executor.isLost = ({type}) => type === "stop"
		handle.cancel()
		await clock.advance(LEASE_RULE.endsWithinMs)
		expect(executor.running.has(TASK)).to.equal(false)
	})
})
