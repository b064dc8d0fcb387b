/**
 * Runs whose callers are no longer heard end in time for the caller to resubmit, even when the loss
 * goes unnoticed, stops are lost, or other runs share the executor.
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
	/** Times as of which the callers of each task want it; tasks not named are always wanted. */
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
	it("end in time although their neighbours' leases are renewed and no stop arrives", async () => {
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

	it("are stopped once their caller was unheard for long, while their neighbours continue", async () => {
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

	it("do not start under a lease that outlasts their confirmation, until they are confirmed again", async () => {
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
	 * Guards against a successor renewing the lease of an unknown run for the sake of its own, so
	 * that the unknown run continues beside its task's next run.
	 */
	it("do not have the lease renewed beside an unknown run", async () => {
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
	 * Until an executor accepts the successor's fence, the previous placer may renew its lease.
	 * Guards against a task with an old confirmation starting under that lease.
	 */
	it("start at a successor only if their confirmation outlasts the previous placer's leases", async () => {
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

	it("are not confirmed by anything after they are cancelled", async () => {
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
