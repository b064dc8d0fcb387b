/**
 * Log lines about runs: who submitted each run, under which fence, and what proved its end. They
 * must explain a report that a task ran twice.
 */
import {
	createJobMetrics,
	type Claim,
	type EventLog,
	type LogFields,
	type Member,
} from "@cottonwood/jobs"
import {
	createDispatcher,
	createFleetView,
	createOverflow,
	fieldsOf,
	type PlacerDeps,
	type TaskReply,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock, settle, type FakeClock} from "./support/fake-clock.js"
import {record} from "./support/fake-executors.js"
import {LeasedExecutor} from "./support/leased-executor.js"
import {createTestPlacer} from "./support/placers.js"
import {LEASE_RULE, QUEUE, STAYING, taskRequest} from "./support/requests.js"
import {fakePeers} from "./support/peers.js"

const TASK = "j.0.0.0"
const CALLER = "0a1b2c3d-0000-4000-8000-000000000000"
const CALLER_SHORT = "0a1b2c3d"
const ignore = () => undefined

interface Line extends LogFields {
	readonly kind: string
	readonly isSampled: boolean
}

function createLines() {
	const lines: Line[] = []
	const log: EventLog = {
		event: (_part, kind, _message, fields = {}) =>
			void lines.push({kind, isSampled: true, ...fieldsOf(fields)}),
		alarm: (_part, kind, _message, fields = {}) =>
			void lines.push({kind, isSampled: false, ...fieldsOf(fields)}),
	}
	const lineOf = (kind: string) => lines.find(line => line.kind === kind)
	return {lines, log, lineOf}
}

describe("log lines of a run", () => {
	function createWorld(extra: Partial<PlacerDeps> = {}) {
		const clock = createFakeClock()
		const executor = new LeasedExecutor(clock)
		const {lines, log, lineOf} = createLines()
		const placer = createTestPlacer({clock, orders: executor, fence: 7, log, ...extra})
		placer.setExecutors([record("e1")])
		async function run() {
			await clock.advance(10)
			const req = taskRequest(TASK, {estimateMs: 5_000, askedBy: CALLER})
			const handle = placer.submit(req, ignore, ignore)
			await clock.advance(10)
			return handle
		}
		return {clock, executor, placer, lines, lineOf, log, run}
	}

	it("name the submitting instance and the fence", async () => {
		const {lineOf, run} = createWorld()
		await run()
		expect(lineOf("task_started")).to.include({task: TASK, run: 1, fence: 7, askedBy: CALLER_SHORT})
	})

	it("report an end that the executor listed", async () => {
		const {clock, executor, lineOf, run} = createWorld()
		await run()
		executor.end(TASK, "done")
		await clock.advance(300)
		const expected = {outcome: "done", proof: "listed end", fence: 7, askedBy: CALLER_SHORT}
		expect(lineOf("run_ended")).to.include({...expected, isSampled: true})
	})

	it("report an end proved by a list without the run", async () => {
		const {clock, executor, lineOf, run} = createWorld()
		await run()
		executor.running.clear()
		await clock.advance(800)
		const expected = {outcome: "lost", cause: "not there", proof: "not in a list"}
		expect(lineOf("run_ended")).to.include({...expected, isSampled: false})
	})

	it("report an end proved by an expired lease", async () => {
		const {clock, executor, lineOf, run} = createWorld()
		await run()
		executor.isLost = () => true
		await clock.advance(3_000)
		expect(lineOf("run_ended")).to.include({outcome: "lost", proof: "lease over"})
	})

	it("report an end proved by a restarted executor", async () => {
		const clock = createFakeClock()
		let isReplaced = false
		const executor = new LeasedExecutor(clock)
		const orders: PlacerDeps["orders"] = {
			maxListedEnds: executor.maxListedEnds,
			start: (...args) => executor.start(...args),
			stop: (...args) => executor.stop(...args),
			hold: (...args) =>
				isReplaced ? Promise.resolve({type: "replaced"}) : executor.hold(...args),
			isReachable: () => executor.isReachable(),
			forget: ignore,
		}
		const {lineOf, log} = createLines()
		const placer = createTestPlacer({clock, orders, fence: 7, log})
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		placer.submit(taskRequest(TASK), ignore, ignore)
		await clock.advance(10)
		isReplaced = true
		await clock.advance(600)
		expect(lineOf("run_ended")).to.include({outcome: "lost", proof: "replaced"})
	})

	it("report that an executor lists only part of its ends, also in its first list", async () => {
		const clock = createFakeClock()
		const executor = new LeasedExecutor(clock)
		executor.maxListedEnds = 1
		const first = createTestPlacer({clock, orders: executor})
		first.setExecutors([record("e1")])
		await clock.advance(10)
		first.submit(taskRequest(TASK), ignore, ignore)
		await clock.advance(10)
		executor.isLost = ({fence}) => fence < 7
		executor.end(TASK, "done")
		const {lines, log} = createLines()
		const next = createTestPlacer({clock, orders: executor, fence: 7, log})
		next.setExecutors([record("e1")])
		await clock.advance(100)
		const listed = lines.filter(({kind}) => kind === "end_list")
		expect(listed.map(({outcome, count}) => [outcome, count])).to.eql([
			["partial", 1],
			["complete", 0],
		])
		expect(listed[0]).to.include({isSampled: false, executor: "e1", fence: 7})
	})

	it("report the stop order, without sampling", async () => {
		const {clock, lineOf, run} = createWorld()
		const handle = await run()
		handle.cancel()
		await clock.advance(1)
		const stopping = {task: TASK, run: 1, executor: "e1", fence: 7, cause: "cancelled"}
		expect(lineOf("run_stopping")).to.include({...stopping, isSampled: false})
		await clock.advance(300)
		const ended = {outcome: "stopped", proof: "listed end", isSampled: false}
		expect(lineOf("run_ended")).to.include(ended)
	})

	it("are not sampled from the second run on", async () => {
		const {clock, placer, lineOf} = createWorld()
		await clock.advance(10)
		placer.submit(taskRequest(TASK, {run: 2}), ignore, ignore)
		await clock.advance(10)
		expect(lineOf("task_started")).to.include({run: 2, isSampled: false})
	})

	it("report how an unwanted run of the previous placer ended", async () => {
		const {clock, executor, placer, run, log, lines, lineOf} = createWorld()
		await run()
		placer.close()
		lines.length = 0
		createTestPlacer({clock, orders: executor, fence: 8, log}).setExecutors([record("e1")])
		await clock.advance(600)
		const orphan = {job: "j", task: TASK, run: 1, executor: "e1", fence: 8}
		expect(lineOf("orphan_stopped")).to.include(orphan)
		expect(lineOf("orphan_ended")).to.include({...orphan, outcome: "stopped", isSampled: false})
	})

	it("name the submitting instance of an adopted run", async () => {
		const {clock, lineOf, placer} = createWorld()
		await clock.advance(10)
		const from = {executor: "e1", isStarted: true}
		placer.adopt(taskRequest(TASK, {askedBy: CALLER}), from, ignore)
		expect(lineOf("run_adopted")).to.include({task: TASK, fence: 7, askedBy: CALLER_SHORT})
	})
})

const memberOf = (name: string, failureDomain: string, session: string): Member => ({
	name,
	session,
	failureDomain,
	address: `${name}:1`,
	cpuShare: 1,
})

const PEERS = fakePeers()
const OWN = memberOf("a-1", "a", "11111111-own")
const OTHER = memberOf("b-1", "b", "22222222-other")

describe("log lines of requests to placers", () => {
	const beatOf = (from: Member) => ({
		from,
		claims: [],
		rooms: {},
		isLeaving: false,
		configVersion: 1,
	})

	function createWorld(clock: FakeClock, claim: Claim, reply: object) {
		const {lineOf, log} = createLines()
		const view = createFleetView(clock, ignore)
		view.noteClaim(claim)
		const host = claim.placer === OWN ? {placer: {canServe: () => true}} : undefined
		const asked: {readonly askedBy?: string}[] = []
		const dispatcher = createDispatcher({
			clock,
			log,
			view,
			self: OWN,
			peers: {
				...PEERS,
				runJob: () => ({
					reply: Promise.resolve(reply as never),
					wasUnsent: () => false,
					wasRefused: () => false,
					cancel: ignore,
				}),
			},
			hosts: {
				of: () => host,
				run(_host: unknown, job: {readonly askedBy?: string}) {
					asked.push(job)
					return Promise.resolve(reply)
				},
			} as never,
			config: () => undefined,
			refreshConfig: ignore,
			isLeaving: () => false,
			isEvacuated: () => false,
			ownLateMs: () => 0,
		})
		const steps = [{count: 1, need: taskRequest(TASK).need, estimateMs: 100, after: []}]
		const job = {id: "j", queue: "orders", spec: "", steps, receivedAt: 0, deadlineAt: 9_000}
		return {clock, view, dispatcher, job, asked, lineOf}
	}

	it("distinguish a request to the instance itself from one to a silent placer", async () => {
		const clock = createFakeClock()
		const claim = {failureDomain: "a", fence: 5, placer: OWN}
		const {view, dispatcher, job, lineOf} = createWorld(clock, claim, {type: "completed"})
		// A heartbeat sent to the address of its previous process returns to the instance.
		view.applyHeartbeat(beatOf(OWN))
		await clock.advance(17_000)
		await dispatcher.dispatch(job, QUEUE, STAYING)
		const line = lineOf("placer_asked")
		expect(line).to.include({peer: "a-1", session: "11111111", isOwn: true, isSampled: true})
		expect(line?.inputAgeMs).to.equal(undefined)
	})

	it("name the session that was asked, and how long it had been silent", async () => {
		const clock = createFakeClock()
		const claim = {failureDomain: "b", fence: 5, placer: OTHER}
		const end = {type: "given up", kind: "placer_lost", cause: "b-1 is silent"}
		const {view, dispatcher, job, lineOf} = createWorld(clock, claim, end)
		view.applyHeartbeat(beatOf(OTHER))
		await clock.advance(200)
		await dispatcher.dispatch(job, QUEUE, STAYING)
		const asked = {peer: "b-1", session: "22222222", isOwn: false, inputAgeMs: 200}
		expect(lineOf("placer_asked")).to.include({...asked, isSampled: false})
	})

	it("name the instance that sent the job to the placer", async () => {
		const clock = createFakeClock()
		const claim = {failureDomain: "a", fence: 5, placer: OWN}
		const {dispatcher, job, asked} = createWorld(clock, claim, {type: "completed"})
		const message = {
			job: {id: job.id, queue: job.queue, spec: "", steps: job.steps},
			queue: QUEUE,
			ageMs: 0,
			leftMs: 1_000,
			configVersion: 1,
			failureDomain: "a",
			from: CALLER,
		}
		await dispatcher.runJob(message, {...STAYING, madeAt: clock.now()})
		expect(asked[0]?.askedBy).to.equal(CALLER)
	})

	it("name the fence of another placer, and whether it reported the end", async () => {
		const replies: (TaskReply | undefined)[] = [
			{type: "done", executor: "e1"},
			{type: "lost", executor: "e1", cause: "replaced"},
			undefined,
		]
		const {lines, log} = createLines()
		const clock = createFakeClock()
		const overflow = createOverflow({
			clock,
			leaseRule: LEASE_RULE,
			log,
			metrics: createJobMetrics(),
			view: createFleetView(clock, ignore),
			self: OWN,
			peers: {
				...PEERS,
				runTask: () => ({
					reply: Promise.resolve(replies.shift() as never),
					wasUnsent: () => false,
					wasRefused: () => false,
					cancel: ignore,
				}),
			},
		})
		const claim = {failureDomain: "b", fence: 5, placer: OTHER}
		for (let at = 0; at < 3; at++) {
			const req = taskRequest(TASK, {run: at + 1})
			overflow.sendTo(claim, {req, since: 0, onEnd: ignore, onStart: ignore})
			await settle()
		}
		const shared = {peer: "b-1", session: "22222222", fence: 5}
		const proof = "told by another placer"
		expect(lines).to.have.length(3)
		expect(lines[0]).to.include({...shared, outcome: "done", proof, isSampled: true})
		expect(lines[1]).to.include({...shared, outcome: "lost", cause: "replaced", proof})
		expect(lines[2]).to.include({...shared, outcome: "silent", isSampled: false})
		expect(lines[2]?.proof).to.equal(undefined)
	})
})
