/** One job at its placer: order of steps, retries and how it ends. */
import {createJobMetrics, silentLog, type Job, type Step} from "@cottonwood/jobs"
import {startJobRun, type TaskEnd, type TaskRequest} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock, settle} from "./support/fake-clock.js"
import {QUEUE} from "./support/requests.js"

interface Submitted {
	readonly req: TaskRequest
	readonly onEnd: (end: TaskEnd) => void
	readonly onStart: () => void
	isCancelled: boolean
}

function createWorld(steps: readonly Partial<Step>[]) {
	const clock = createFakeClock()
	const submitted: Submitted[] = []
	const need = {cpu: 1_000, memoryMb: 1, accelerators: 0}
	const job: Job = {
		id: "00000000000000aa",
		queue: "orders",
		spec: "",
		steps: steps.map(step => ({count: 1, need, estimateMs: 100, after: [], ...step})),
		receivedAt: clock.now(),
		deadlineAt: clock.now() + 2_000,
	}
	const run = startJobRun(job, QUEUE, {
		clock,
		log: silentLog,
		metrics: createJobMetrics(),
		confirmedAt: () => clock.now(),
		submit(req, onEnd, onStart) {
			const item = {req, onEnd, onStart, isCancelled: false}
			submitted.push(item)
			return {cancel: () => void (item.isCancelled = true)}
		},
	})
	let end: Awaited<typeof run.ended> | undefined
	void run.ended.then(value => (end = value))
	return {clock, submitted, run, end: () => end}
}

const done: TaskEnd = {type: "done", executor: "e1"}

describe("job run", () => {
	it("starts a step once every task of the previous steps is done", async () => {
		const {submitted, end} = createWorld([{count: 2}, {after: [0]}])
		expect(submitted).to.have.length(2)
		submitted[0]?.onEnd(done)
		expect(submitted).to.have.length(2)
		submitted[1]?.onEnd(done)
		expect(submitted.map(({req}) => req.task.slice(-4))).to.eql([".0.0", ".0.1", ".1.0"])
		submitted[2]?.onEnd(done)
		await settle()
		expect(end()).to.eql({type: "completed"})
	})

	it("retries a failed task on another executor and fails after the queue's number of attempts", async () => {
		const {clock, submitted, end} = createWorld([{}])
		submitted[0]?.onEnd({type: "failed", executor: "e1", cause: "failed"})
		await clock.advance(50)
		expect(submitted[1]?.req.avoid).to.eql(["e1"])
		expect(submitted[1]?.req.run).to.equal(2)
		submitted[1]?.onEnd({type: "failed", executor: "e2", cause: "failed"})
		await settle()
		expect(end()?.type).to.equal("failed")
	})

	it("does not count a lost run as an attempt", async () => {
		const {clock, submitted, end} = createWorld([{}])
		for (let at = 0; at < 4; at++) {
			submitted[at]?.onEnd({type: "lost", executor: `e${at}`, cause: "crashed"})
			await clock.advance(50)
		}
		expect(submitted).to.have.length(5)
		submitted[4]?.onEnd(done)
		await settle()
		expect(end()?.type).to.equal("completed")
	})

	it("doesn't fail when its runs were only lost", async () => {
		const {clock, submitted, end} = createWorld([{}])
		for (let at = 0; at < 40 && end() === undefined; at++) {
			submitted[at]?.onStart()
			submitted[at]?.onEnd({type: "lost", executor: `e${at}`, cause: "stuck"})
			await clock.advance(20)
		}
		expect(end()).to.deep.include({type: "given up"})
	})

	it("raises the run number past one that an executor has seen", async () => {
		const {clock, submitted} = createWorld([{}])
		submitted[0]?.onEnd({type: "outnumbered", executor: "e1"})
		await clock.advance(50)
		expect(submitted[1]?.req.run).to.be.greaterThan(10)
	})

	it("ends as not run only when nothing has started", async () => {
		const unstarted = createWorld([{}])
		await unstarted.clock.advance(2_100)
		expect(unstarted.end()).to.deep.include({type: "refused"})
		const started = createWorld([{}])
		started.submitted[0]?.onStart()
		await started.clock.advance(2_100)
		expect(started.end()).to.deep.include({type: "given up", kind: "deadline_exceeded"})
		expect(started.submitted[0]?.isCancelled).to.equal(true)
	})

	/* Guards against an unknown outcome for jobs that never started: callers can't repeat an unsafe call after it. */
	it("ends as not run when its placer loses the domain before anything has started", async () => {
		const unstarted = createWorld([{count: 2}])
		unstarted.run.abandon("another claim was written")
		await settle()
		expect(unstarted.end()).to.deep.include({type: "refused", kind: "no_capacity"})
		const started = createWorld([{count: 2}])
		started.submitted[0]?.onStart()
		started.run.abandon("another claim was written")
		await settle()
		expect(started.end()).to.deep.include({type: "given up", kind: "placer_lost"})
	})

	it("stops its remaining tasks when its caller leaves", async () => {
		const {submitted, run} = createWorld([{count: 3}])
		submitted[0]?.onStart()
		submitted[0]?.onEnd(done)
		run.cancel()
		await settle()
		expect(submitted.map(({isCancelled}) => isCancelled)).to.eql([false, true, true])
	})

	it("ignores its caller's confirmations after its end", async () => {
		const {clock, submitted, run} = createWorld([{count: 2}])
		submitted[0]?.onStart()
		await clock.advance(100)
		run.cancel()
		const endedAt = clock.now()
		await clock.advance(500)
		expect(submitted.map(({req}) => req.confirmedAt())).to.eql([endedAt, endedAt])
	})
})
