/**
 * Admission by forecast: what is taken, what goes behind, who is refused in whose place, and when callers are told.
 */
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
const asked: AdmissionInput = {
	forecast: {startInMs: 20, endInMs: 120},
	backlogMs: 10,
	slackMs: 100,
	usefulMs: 600,
	share: EVEN,
	requestedRatio: 1.2,
	lateBacklogMs: 0,
}
const HOPELESS = {startInMs: 300, endInMs: 400}

describe("the judgement of an arrival", () => {
	it("takes what can be in time behind a short backlog", () => {
		expect(decideAdmission(asked)).to.eql({type: "admitted"})
	})

	it("bounds the backlog by how the queue stands to its share", () => {
		// The same backlog: too long for a queue that has had more than its due, and fine for one that has had less.
		const backlogMs = 50
		const above = decideAdmission({...asked, backlogMs, share: {...EVEN, excess: 0.05}})
		const below = decideAdmission({...asked, backlogMs, share: {...EVEN, excess: -0.05}})
		expect(above).to.deep.include({type: "refused", reason: "backlog"})
		expect(below).to.eql({type: "admitted"})
	})

	it("refuses what cannot be in time while all the room is asked for", () => {
		const verdict = decideAdmission({...asked, forecast: HOPELESS})
		expect(verdict).to.deep.include({type: "refused", reason: "not_in_time"})
	})

	it("takes it as late once the room is forecast to carry it, and no more of it than that", () => {
		const later = {...asked, forecast: HOPELESS, requestedRatio: 0.3}
		expect(decideAdmission(later)).to.eql({type: "late"})
		expect(decideAdmission({...later, lateBacklogMs: 500}).type).to.equal("refused")
		expect(decideAdmission({...later, usefulMs: 200}).type).to.equal("refused")
	})

	it("says that no executor is there rather than that there is load", () => {
		const forecast = {startInMs: Infinity, endInMs: Infinity}
		const verdict = decideAdmission({...asked, forecast, backlogMs: Infinity})
		expect(verdict).to.deep.include({type: "refused", reason: "no_executor"})
	})
})

describe("the forecast", () => {
	const load: PlacerLoad = {healthyCores: 100, freeCores: 10, freedCoresPerMs: 1}
	const standing = {load, workBefore: 0, borrowableCores: 0, correction: 1}

	it("is none for what fits, here or with what others lend", () => {
		expect(forecastOf({cores: 10, chainMs: 50}, standing).startInMs).to.equal(0)
		const lent = {...standing, borrowableCores: 20}
		expect(forecastOf({cores: 30, chainMs: 50}, lent)).to.eql({startInMs: 0, endInMs: 50})
	})

	it("goes by the work before and by the cores that runs set free", () => {
		expect(forecastOf({cores: 30, chainMs: 50}, standing).startInMs).to.equal(20)
		const behind = {...standing, workBefore: 800}
		expect(forecastOf({cores: 30, chainMs: 50}, behind).startInMs).to.equal(30)
	})

	it("knows no start without an executor", () => {
		const none = {...standing, load: {healthyCores: 0, freeCores: 0, freedCoresPerMs: 0}}
		expect(forecastOf({cores: 1, chainMs: 50}, none).startInMs).to.equal(Infinity)
		expect(drainMs(0, none.load)).to.equal(Infinity)
	})

	/* Executors turn slow, and every forecast is a third of what comes. It learns that within some hundred jobs, and unlearns it. */
	it("is corrected by what came, within bounds", () => {
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

	it("is left as it is by a wait that nobody knows", () => {
		expect(updateCorrection(1.5, Infinity, 10)).to.equal(1.5)
		expect(updateCorrection(1.5, 10, NaN)).to.equal(1.5)
	})

	/* Other instances may tell anything; a room of NaN or below 0 lends nothing. */
	it("counts on no room that cannot be", () => {
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

	it("are the same ratio of what each queue asks for while none has a weight", () => {
		const dues = duesOf([{name: "a"}, {name: "b"}], askedBy({a: 300, b: 100}), 200)
		expect([...dues]).to.eql([
			["a", 150],
			["b", 50],
		])
	})

	it("go by weight above the floors, and what is not asked for is lent", () => {
		const rules = [{name: "a", weight: 3}, {name: "b", weight: 1, floor: 0.5}, {name: "c"}]
		const dues = duesOf(rules, askedBy({a: 1_000, b: 1_000, c: 10}), 200)
		expect(dues.get("c")).to.be.closeTo(10, 0.01)
		expect(dues.get("b")).to.be.closeTo(100 + 90 / 4, 1.5)
		expect(dues.get("a")).to.be.closeTo((90 * 3) / 4, 1.5)
	})

	it("leave a queue of weight 0 only what nobody else asks for", () => {
		const rules = [{name: "a"}, {name: "b", weight: 0}]
		expect(duesOf(rules, askedBy({a: 500, b: 500}), 200).get("b")).to.equal(0)
	})

	it("fade, so that an old crest does not count against a queue", () => {
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

	it("goes in the place of less urgent work of a queue that has had more than its due", () => {
		expect(chooseJobToEvict(newcomer, [waiting])).to.equal(waiting)
	})

	it("pushes out nothing more urgent, nothing smaller, and nothing that stands alike", () => {
		const others = [
			{...waiting, slackMs: 20},
			{...waiting, work: 5},
			{...waiting, share: newcomer.share},
		]
		expect(chooseJobToEvict(newcomer, others)).to.equal(undefined)
	})
})

describe("the time to come back", () => {
	it("follows the forecast and is spread, so that callers do not return together", () => {
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

/** A placer whose figures a test sets, and the tasks that were submitted to it. */
function createWorld() {
	const clock = createFakeClock()
	const load = {healthyCores: 100, freeCores: 0, freedCoresPerMs: 1}
	const figures = {load, work: 0, isBeginning: false}
	const admission = createAdmission({
		clock,
		log: silentLog,
		metrics: createJobMetrics(),
		placer: {
			load: () => figures.load,
			work: () => figures.work,
			workBefore: () => figures.work,
			isStartingUp: () => figures.isBeginning,
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
	return {clock, figures, admission, submitted, starts, jobOf, follow}
}

async function endOf(run: JobRun): Promise<JobEnd | "open"> {
	return Promise.race([run.ended, new Promise<"open">(resolve => setImmediate(resolve, "open"))])
}

const BULK: Queue = {...QUEUE, name: "bulk", priority: 2}

describe("admission at a placer", () => {
	/*
	 * A job waits with a good forecast; then half the executors crash and the work before it would take a second. A patience
	 * of 0.6 objectives told its caller after 0.13 s more; it is told at the next look, while it has time to go elsewhere.
	 */
	it("tells a caller within 50 ms that its job cannot be in time any more", async () => {
		const world = createWorld()
		const {clock, figures, admission} = world
		const job = world.jobOf(QUEUE, 100)
		expect(admission.assess(job, QUEUE)).to.equal("in time")
		const run = world.follow(job, QUEUE, false)
		await clock.advance(30)
		expect(await endOf(run)).to.equal("open")
		figures.load = {healthyCores: 10, freeCores: 0, freedCoresPerMs: 0.1}
		figures.work = 8_000
		await clock.advance(50)
		const end = await run.ended
		expect(end).to.deep.include({type: "refused", kind: "overloaded"})
		expect((end as {retryAfterMs?: number}).retryAfterMs).to.be.greaterThan(0)
	})

	/*
	 * All instances have lost power, and calls come before any executor has answered the new placer. No start is forecast
	 * then, but within a moment there are executors: the jobs wait for them, and are judged once it has begun.
	 */
	it("keeps what waits for a placer that has only just begun", async () => {
		const world = createWorld()
		const {clock, figures, admission} = world
		figures.isBeginning = true
		figures.load = {healthyCores: 0, freeCores: 0, freedCoresPerMs: 0}
		const job = world.jobOf(QUEUE, 100)
		expect(admission.assess(job, QUEUE)).to.equal("in time")
		const run = world.follow(job, QUEUE, false)
		await clock.advance(100)
		expect(await endOf(run)).to.equal("open")
		figures.isBeginning = false
		await clock.advance(50)
		expect(await endOf(run)).to.deep.include({type: "refused", kind: "no_capacity"})
	})

	/* Whatever was started may have run, so its caller must not be told that it never did. */
	it("refuses nothing of which something has started", async () => {
		const world = createWorld()
		const {clock, figures} = world
		const job = world.jobOf(QUEUE, 100)
		const run = world.follow(job, QUEUE, false)
		world.starts.get(job.id)?.()
		figures.work = 1e6
		await clock.advance(200)
		expect(await endOf(run)).to.equal("open")
		run.refuse({type: "refused", kind: "overloaded", cause: "test"})
		expect(await endOf(run)).to.equal("open")
	})

	/*
	 * Long work of a queue that has had all that it asked for fills the backlog. An urgent job of a queue of which most was
	 * refused takes the place of what nothing has started, and that caller is told at once.
	 */
	it("lets an urgent newcomer push out waiting work of a queue above its share", async () => {
		const world = createWorld()
		const {admission, figures} = world
		figures.load = {...figures.load, healthyCores: 1}
		const long = world.jobOf(BULK, 900)
		expect(admission.assess(long, BULK)).to.equal("in time")
		const run = world.follow(long, BULK, false)
		figures.work = 200
		for (let at = 0; at < 5; at++) {
			await world.clock.advance(11)
			const verdict = admission.assess(world.jobOf(QUEUE, 100), QUEUE)
			if (verdict === "in time") break
		}
		expect(await endOf(run)).to.deep.include({type: "refused"})
	})

	/* It is of use until its deadline, so it waits, but at no placer does work that can be in time wait for it. */
	it("puts late work behind all that can be in time, at any placer", async () => {
		const world = createWorld()
		const job = world.jobOf(QUEUE, 100)
		world.follow(job, QUEUE, true)
		const [req] = world.submitted
		expect(req?.startBy).to.be.lessThan(world.clock.now())
		expect(req?.uselessAt).to.be.lessThan(world.clock.now())
		expect(req?.deadlineAt).to.equal(job.deadlineAt)
	})
})
