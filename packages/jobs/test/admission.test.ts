/** Admission control by forecast: admitted, late, refused and evicted jobs, fair shares, and when callers are told. */
import {createJobMetrics, silentLog, type Job, type JobEnd, type Queue} from "@cottonwood/jobs"
import {
	chooseJobToEvict,
	updateCorrection,
	createAdmission,
	drainMs,
	duesOf,
	forecastOf,
	decideAdmission,
	borrowableCoresOf,
	retryAfterMsOf,
	sharesOf,
	startJobRun,
	type AdmissionInput,
	type FleetView,
	type JobRun,
	type PlacerLoad,
	type TaskRequest,
	type QueueWork,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {QUEUE} from "./support/requests.js"

const EVEN = {servedRatio: 0.9, dueRatio: 0.9, excess: 0}
const INPUT: AdmissionInput = {
	forecast: {startInMs: 20, endInMs: 120},
	backlogMs: 10,
	slackMs: 100,
	usefulMs: 600,
	share: EVEN,
	requestedRatio: 1.2,
	lateBacklogMs: 0,
}
const LATE_FORECAST = {startInMs: 300, endInMs: 400}

describe("the admission decision", () => {
	it("admits a job that can be in time behind a short backlog", () => {
		expect(decideAdmission(INPUT)).to.eql({type: "admitted"})
	})

	it("bounds the backlog by the queue's excess over its fair share", () => {
		const backlogMs = 50
		const above = decideAdmission({...INPUT, backlogMs, share: {...EVEN, excess: 0.05}})
		const below = decideAdmission({...INPUT, backlogMs, share: {...EVEN, excess: -0.05}})
		expect(above).to.deep.include({type: "refused", reason: "backlog"})
		expect(below).to.eql({type: "admitted"})
	})

	it("refuses a job that cannot be in time while all capacity is requested", () => {
		const verdict = decideAdmission({...INPUT, forecast: LATE_FORECAST})
		expect(verdict).to.deep.include({type: "refused", reason: "not_in_time"})
	})

	it("admits it as late once there is spare capacity, and no more late work than that", () => {
		const later = {...INPUT, forecast: LATE_FORECAST, requestedRatio: 0.3}
		expect(decideAdmission(later)).to.eql({type: "late"})
		expect(decideAdmission({...later, lateBacklogMs: 500}).type).to.equal("refused")
		expect(decideAdmission({...later, usefulMs: 200}).type).to.equal("refused")
	})

	it("gives the absence of executors as the reason rather than load", () => {
		const forecast = {startInMs: Infinity, endInMs: Infinity}
		const verdict = decideAdmission({...INPUT, forecast, backlogMs: Infinity})
		expect(verdict).to.deep.include({type: "refused", reason: "no_executor"})
	})
})

describe("the forecast", () => {
	const load: PlacerLoad = {healthyCores: 100, freeCores: 10, freedCoresPerMs: 1}
	const standing = {load, workBefore: 0, borrowableCores: 0, correction: 1}

	it("is no wait for a job that fits, here or into borrowable cores", () => {
		expect(forecastOf({cores: 10, chainMs: 50}, standing).startInMs).to.equal(0)
		const lent = {...standing, borrowableCores: 20}
		expect(forecastOf({cores: 30, chainMs: 50}, lent)).to.eql({startInMs: 0, endInMs: 50})
	})

	it("depends on the work ahead and on the rate at which runs free cores", () => {
		expect(forecastOf({cores: 30, chainMs: 50}, standing).startInMs).to.equal(20)
		const behind = {...standing, workBefore: 800}
		expect(forecastOf({cores: 30, chainMs: 50}, behind).startInMs).to.equal(30)
	})

	it("is infinite without an executor", () => {
		const none = {...standing, load: {healthyCores: 0, freeCores: 0, freedCoresPerMs: 0}}
		expect(forecastOf({cores: 1, chainMs: 50}, none).startInMs).to.equal(Infinity)
		expect(drainMs(0, none.load)).to.equal(Infinity)
	})

	/* Executors turn slow, and every wait is three times its forecast; the correction converges within 200 jobs, and back. */
	it("is corrected by the actual waits, within bounds", () => {
		let correction = 1
		for (let job = 0; job < 200; job++)
			correction = updateCorrection(correction, 60 * correction, 180)
		expect(correction).to.be.within(2.5, 3.5)
		for (let job = 0; job < 200; job++)
			correction = updateCorrection(correction, 60 * correction, 1e9)
		expect(correction).to.be.at.most(4)
		for (let job = 0; job < 500; job++)
			correction = updateCorrection(correction, 60 * correction, 0)
		expect(correction).to.be.within(0.5, 0.6)
	})

	it("is not corrected by an unknown wait", () => {
		expect(updateCorrection(1.5, Infinity, 10)).to.equal(1.5)
		expect(updateCorrection(1.5, 10, NaN)).to.equal(1.5)
	})

	/* Reports of other instances are not trusted. */
	it("ignores reported room that is NaN, negative or old", () => {
		const placer = {session: "b-s"}
		const view = {
			claims: () => [{failureDomain: "b", fence: 1, placer}],
			isLeaving: () => false,
			roomOf: () => ({at: 0, room: {freeCpu: [NaN, -5_000, 4_000]}}),
		} as unknown as FleetView
		const self = {session: "a-s"} as Parameters<typeof borrowableCoresOf>[1]
		expect(borrowableCoresOf(view, self, 100)).to.equal(4)
		expect(borrowableCoresOf(view, self, 900)).to.equal(0)
	})
})

describe("shares", () => {
	const askedBy = (all: Readonly<Record<string, number>>) => (name: string) => all[name] ?? 0

	it("are the same ratio of each queue's requested work while none has a weight", () => {
		const dues = duesOf([{name: "a"}, {name: "b"}], askedBy({a: 300, b: 100}), 200)
		expect([...dues]).to.eql([
			["a", 150],
			["b", 50],
		])
	})

	it("are divided by weight above the floors, and unused shares go to others", () => {
		const rules = [{name: "a", weight: 3}, {name: "b", weight: 1, floor: 0.5}, {name: "c"}]
		const dues = duesOf(rules, askedBy({a: 1_000, b: 1_000, c: 10}), 200)
		expect(dues.get("c")).to.be.closeTo(10, 0.01)
		expect(dues.get("b")).to.be.closeTo(100 + 90 / 4, 1.5)
		expect(dues.get("a")).to.be.closeTo((90 * 3) / 4, 1.5)
	})

	it("leave a queue of weight 0 only capacity that no other queue requests", () => {
		const rules = [{name: "a"}, {name: "b", weight: 0}]
		expect(duesOf(rules, askedBy({a: 500, b: 500}), 200).get("b")).to.equal(0)
	})

	it("decay, so that an old peak does not count against a queue", () => {
		const work = new Map<string, QueueWork>([
			["a", {requested: 100, served: 100, at: 0}],
			["b", {requested: 100, served: 20, at: 0}],
		])
		const rules = [{name: "a"}, {name: "b"}]
		expect(sharesOf(rules, work, 0).get("a")?.excess).to.be.closeTo(0.4, 0.001)
		work.set("a", {requested: 100, served: 60, at: 10_000})
		expect(sharesOf(rules, work, 10_000).get("a")?.excess).to.be.lessThan(0.01)
	})
})

describe("a newcomer", () => {
	const newcomer = {slackMs: 50, work: 10, share: {...EVEN, excess: -0.1}}
	const waiting = {slackMs: 400, work: 40, share: {...EVEN, excess: 0.1}}

	it("evicts less urgent work of a queue above its fair share", () => {
		expect(chooseJobToEvict(newcomer, [waiting])).to.equal(waiting)
	})

	it("evicts nothing more urgent, nothing smaller, and nothing of a queue with a similar excess", () => {
		const others = [
			{...waiting, slackMs: 20},
			{...waiting, work: 5},
			{...waiting, share: newcomer.share},
		]
		expect(chooseJobToEvict(newcomer, others)).to.equal(undefined)
	})
})

describe("the time to retry", () => {
	it("follows the forecast and is spread, so that callers do not retry together", () => {
		const ids = Array.from({length: 400}, (_, at) => at.toString(16).padStart(16, "0"))
		const seconds = ids.map(id => Math.ceil(retryAfterMsOf(id, 0) / 1_000))
		expect(new Set(seconds)).to.eql(new Set([1, 2]))
		const first = seconds.filter(second => second === 1).length
		expect(first).to.be.within(120, 280)
		for (const id of ids) expect(retryAfterMsOf(id, 3_000)).to.be.within(3_000, 5_000)
	})

	it("is within bounds whatever the forecast says", () => {
		for (const forecastMs of [Infinity, NaN, -5, 1e12])
			expect(retryAfterMsOf("00000000000000aa", forecastMs)).to.be.within(1, 12_000)
	})
})

/** A placer whose load a test sets, and the tasks that were submitted to it. */
function createWorld() {
	const clock = createFakeClock()
	const load = {healthyCores: 100, freeCores: 0, freedCoresPerMs: 1}
	const state = {load, work: 0, isStartingUp: false}
	const admission = createAdmission({
		clock,
		log: silentLog,
		metrics: createJobMetrics(),
		placer: {
			load: () => state.load,
			work: () => state.work,
			workBefore: () => state.work,
			isStartingUp: () => state.isStartingUp,
			hasRoomFor: () => false,
		},
		borrowableCores: () => 0,
		queues: () => [{name: "orders"}, {name: "bulk"}],
	})
	const submitted: TaskRequest[] = []
	let serial = 0

	function jobOf(queue: Queue, estimateMs: number): Job {
		const need = {cpu: 1_000, memoryMb: 1, accelerators: 0}
		return {
			id: (++serial).toString(16).padStart(16, "0"),
			queue: queue.name,
			spec: "",
			steps: [{count: 1, need, estimateMs, after: []}],
			receivedAt: clock.now(),
			deadlineAt: clock.now() + 5_000,
		}
	}

	function follow(job: Job, queue: Queue, isLate: boolean): JobRun {
		const run = startJobRun(job, queue, {
			clock,
			log: silentLog,
			metrics: createJobMetrics(),
			confirmedAt: () => clock.now(),
			hasAdmission: true,
			isLate,
			submit(req, _onEnd, onStart) {
				submitted.push(req)
				starts.set(job.id, onStart)
				return {cancel: () => undefined}
			},
		})
		admission.follow(job, queue, run, isLate)
		return run
	}

	const starts = new Map<string, () => void>()
	return {clock, state, admission, submitted, starts, jobOf, follow}
}

async function endOf(run: JobRun): Promise<JobEnd | "open"> {
	return Promise.race([run.ended, new Promise<"open">(resolve => setImmediate(resolve, "open"))])
}

const BULK: Queue = {...QUEUE, name: "bulk", priority: 2}

describe("admission at a placer", () => {
	/* Most executors crash while a job waits; its caller must be told while another domain can still take the job. */
	it("refuses a waiting job within 50 ms once it can no longer be in time", async () => {
		const world = createWorld()
		const {clock, state, admission} = world
		const job = world.jobOf(QUEUE, 100)
		expect(admission.assess(job, QUEUE)).to.equal("in time")
		const run = world.follow(job, QUEUE, false)
		await clock.advance(30)
		expect(await endOf(run)).to.equal("open")
		state.load = {healthyCores: 10, freeCores: 0, freedCoresPerMs: 0.1}
		state.work = 8_000
		await clock.advance(50)
		const end = await run.ended
		expect(end).to.deep.include({type: "refused", kind: "overloaded"})
		expect((end as {retryAfterMs?: number}).retryAfterMs).to.be.greaterThan(0)
	})

	/* Before any executor has answered a new placer no start is forecast, which must not refuse its jobs. */
	it("keeps jobs waiting while their placer starts up", async () => {
		const world = createWorld()
		const {clock, state, admission} = world
		state.isStartingUp = true
		state.load = {healthyCores: 0, freeCores: 0, freedCoresPerMs: 0}
		const job = world.jobOf(QUEUE, 100)
		expect(admission.assess(job, QUEUE)).to.equal("in time")
		const run = world.follow(job, QUEUE, false)
		await clock.advance(100)
		expect(await endOf(run)).to.equal("open")
		state.isStartingUp = false
		await clock.advance(50)
		expect(await endOf(run)).to.deep.include({type: "refused", kind: "no_capacity"})
	})

	/* A started task may have run, so its caller must not be told that it did not. */
	it("refuses no job of which a task has started", async () => {
		const world = createWorld()
		const {clock, state} = world
		const job = world.jobOf(QUEUE, 100)
		const run = world.follow(job, QUEUE, false)
		world.starts.get(job.id)?.()
		state.work = 1e6
		await clock.advance(200)
		expect(await endOf(run)).to.equal("open")
		run.refuse({type: "refused", kind: "overloaded", cause: "test"})
		expect(await endOf(run)).to.equal("open")
	})

	/* Long work of a queue above its fair share fills the backlog, and urgent jobs of another queue are refused. */
	it("lets an urgent newcomer evict waiting work of a queue above its share", async () => {
		const world = createWorld()
		const {admission, state} = world
		state.load = {...state.load, healthyCores: 1}
		const long = world.jobOf(BULK, 900)
		expect(admission.assess(long, BULK)).to.equal("in time")
		const run = world.follow(long, BULK, false)
		state.work = 200
		for (let at = 0; at < 5; at++) {
			await world.clock.advance(11)
			const verdict = admission.assess(world.jobOf(QUEUE, 100), QUEUE)
			if (verdict === "in time") break
		}
		expect(await endOf(run)).to.deep.include({type: "refused"})
	})

	it("queues late jobs behind all that can be in time, at any placer", async () => {
		const world = createWorld()
		const job = world.jobOf(QUEUE, 100)
		world.follow(job, QUEUE, true)
		const [req] = world.submitted
		expect(req?.startBy).to.be.lessThan(world.clock.now())
		expect(req?.uselessAt).to.be.lessThan(world.clock.now())
		expect(req?.deadlineAt).to.equal(job.deadlineAt)
	})
})
