/** Poison tasks: telling crashes from lost runs, isolating suspects, and giving up. */
import {
	createJobMetrics,
	silentLog,
	type ExecutorOrders,
	type Job,
	type StartReply,
} from "@cottonwood/jobs"
import {startJobRun, type Crash, type TaskEnd, type TaskRequest} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock, settle, type FakeClock} from "./support/fake-clock.js"
import {FakeExecutors, FakeFleet, record} from "./support/fake-executors.js"
import {createTestPlacer} from "./support/placers.js"
import {QUEUE, taskRequest} from "./support/requests.js"

/** Wraps executors so that they can be made to refuse connections or to be silent. */
function withLoss(fleet: FakeExecutors, clock: FakeClock, lost: {how?: "refused" | "silent"}) {
	async function unless<T>(timeoutMs: number, answer: () => Promise<T>) {
		if (!lost.how) return answer()
		await clock.sleep(lost.how === "refused" ? 1 : timeoutMs)
		return {type: "silent", cause: "test", isRefused: lost.how === "refused"} as const
	}
	const orders: ExecutorOrders = {
		maxListedEnds: fleet.maxListedEnds,
		start: (executor, order, timeoutMs) =>
			unless(timeoutMs, () => fleet.start(executor, order, timeoutMs)) as Promise<StartReply>,
		stop: (executor, order, timeoutMs) =>
			unless(timeoutMs, () => fleet.stop(executor, order, timeoutMs)),
		hold: (executor, order, timeoutMs) =>
			unless(timeoutMs, () => fleet.hold(executor, order, timeoutMs)),
		isReachable: () => fleet.isReachable(),
		forget: () => undefined,
	}
	return orders
}

async function loseRuns(tasks: readonly string[], how: "refused" | "silent" | "replaced") {
	const clock = createFakeClock()
	const fleet = new FakeExecutors(clock)
	const lost: {how?: "refused" | "silent"} = {}
	const placer = createTestPlacer({clock, orders: withLoss(fleet, clock, lost)})
	const ends: TaskEnd[] = []
	placer.setExecutors([record("e1")])
	await clock.advance(10)
	for (const task of tasks) {
		const onEnd = (end: TaskEnd) => void ends.push(end)
		placer.submit(taskRequest(task, {estimateMs: 20_000}), onEnd, () => undefined)
	}
	await clock.advance(50)
	expect(fleet.running.size).to.equal(tasks.length)
	if (how === "replaced") fleet.isReplaced = true
	else lost.how = how
	await clock.advance(3_000)
	expect(ends).to.have.length(tasks.length)
	return ends.map(end => (end.type === "lost" ? end.crash : end.type))
}

describe("the end of an executor with runs", () => {
	it("is a crash when connections are refused, or a restarted executor answers", async () => {
		expect(await loseRuns(["j.0.0.0"], "refused")).to.eql(["alone"])
		expect(await loseRuns(["j.0.0.0"], "replaced")).to.eql(["alone"])
		const beside: readonly Crash[] = ["beside others", "beside others"]
		expect(await loseRuns(["j.0.0.0", "k.0.0.0"], "refused")).to.eql(beside)
	})

	it("is a possible crash when the executor is silent, which a network partition causes too", async () => {
		expect(await loseRuns(["j.0.0.0"], "silent")).to.eql(["possible"])
	})

	it("is no crash when the executor was leaving", async () => {
		const clock = createFakeClock()
		const fleet = new FakeExecutors(clock)
		const placer = createTestPlacer({clock, orders: fleet})
		const ends: TaskEnd[] = []
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		const onEnd = (end: TaskEnd) => void ends.push(end)
		placer.submit(taskRequest("j.0.0.0", {estimateMs: 20_000}), onEnd, () => undefined)
		await clock.advance(50)
		placer.setExecutors([record("e1", {isLeaving: true})])
		fleet.isReplaced = true
		await clock.advance(500)
		expect(ends.map(end => end.type === "lost" && end.crash)).to.eql([undefined])
	})
})

describe("a task whose executor has crashed", () => {
	async function createPair() {
		const clock = createFakeClock()
		const orders = new FakeFleet(clock)
		const placer = createTestPlacer({clock, orders})
		placer.setExecutors([record("e1"), record("e2")])
		await clock.advance(10)
		async function place(task: string, extra: Partial<TaskRequest> = {}) {
			const req = taskRequest(task, {estimateMs: 20_000, ...extra})
			placer.submit(
				req,
				() => undefined,
				() => undefined,
			)
			await clock.advance(10)
			return orders.starts.find(start => start.task === task)?.executor
		}
		return {place}
	}

	it("runs alone and others run elsewhere, if there is room", async () => {
		const {place} = await createPair()
		const first = await place("j.0.0.0")
		const suspect = await place("s.0.0.0", {isolation: "preferred"})
		expect(suspect).to.not.equal(first)
		expect(await place("j.0.0.1")).to.equal(first)
		// The only room left is beside the suspect.
		expect(await place("j.0.0.2")).to.equal(suspect)
	})

	it("waits for an idle executor once it must run alone, and no other task joins it", async () => {
		const {place} = await createPair()
		await place("j.0.0.0")
		const loner = await place("s.0.0.0", {isolation: "required"})
		expect(loner).to.not.equal(undefined)
		expect(await place("t.0.0.0", {isolation: "required"})).to.equal(undefined)
		await place("j.0.0.1")
		expect(await place("j.0.0.2"), "the other one is full").to.equal(undefined)
	})
})

function createRun() {
	const clock = createFakeClock()
	const submitted: {readonly req: TaskRequest; readonly onEnd: (end: TaskEnd) => void}[] = []
	const need = {cpu: 1_000, memoryMb: 1, accelerators: 0}
	const job: Job = {
		id: "00000000000000aa",
		queue: "orders",
		spec: "",
		steps: [{count: 1, need, estimateMs: 100, after: []}],
		receivedAt: clock.now(),
		deadlineAt: clock.now() + 20_000,
	}
	const run = startJobRun(job, QUEUE, {
		clock,
		log: silentLog,
		metrics: createJobMetrics(),
		confirmedAt: () => clock.now(),
		submit(req, onEnd, onStart) {
			submitted.push({req, onEnd})
			onStart()
			return {cancel: () => undefined}
		},
	})
	let end: Awaited<typeof run.ended> | undefined
	void run.ended.then(value => (end = value))
	/** Ends the latest run with its executor; returns the isolation of the next one. */
	async function crash(how: Crash | undefined) {
		submitted.at(-1)?.onEnd({type: "lost", executor: "e", cause: "test", crash: how})
		await clock.advance(30)
		await settle()
		return submitted.at(-1)?.req.isolation
	}
	return {crash, starts: () => submitted.length, end: () => end}
}

describe("a job with a task that crashes its executors", () => {
	it("fails after two crashes, the last with the task alone", async () => {
		const {crash, starts, end} = createRun()
		expect(await crash("beside others")).to.equal("preferred")
		await crash("alone")
		expect(end()).to.deep.include({type: "failed"})
		expect(starts()).to.equal(2)
	})

	it("is not started again after three known crashes, or after five possible ones", async () => {
		const {crash, starts, end} = createRun()
		expect(await crash("alone")).to.equal("preferred")
		expect(await crash("beside others")).to.equal("required")
		expect(await crash("alone")).to.equal("required")
		expect(end()).to.deep.include({type: "failed"})
		expect(starts()).to.equal(3)
		const silent = createRun()
		for (let at = 0; at < 8; at++) await silent.crash("possible")
		expect(silent.end()).to.deep.include({type: "given up"})
		expect(silent.starts()).to.equal(5)
	})

	it("isolates the task after two runs on executors that became silent", async () => {
		const {crash} = createRun()
		expect(await crash("possible")).to.equal(undefined)
		expect(await crash("possible")).to.equal("preferred")
	})

	it("does not fail for crashes beside other tasks, nor for lost runs", async () => {
		const {crash, end} = createRun()
		await crash("beside others")
		await crash("beside others")
		for (let at = 0; at < 4; at++) await crash(undefined)
		expect(end()).to.equal(undefined)
	})
})
