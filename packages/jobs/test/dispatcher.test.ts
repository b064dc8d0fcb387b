/** Jobs submitted to the dispatcher by callers and other instances. */
import {silentLog, type FleetConfig, type Job, type Queue} from "@cottonwood/jobs"
import {createDispatcher, createFleetView, type JobMessage} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {QUEUE, STAYING} from "./support/requests.js"
import {fakePeers} from "./support/peers.js"

function createWorld(own: FleetConfig | undefined) {
	const clock = createFakeClock()
	const ran: Queue[] = []
	const jobs: Job[] = []
	let knownAt = clock.now()
	let refreshed = 0
	const host = {placer: {canServe: () => true}}
	const self = {name: "a-1", session: "s", failureDomain: "a", address: "a-1:1", cpuShare: 1}
	const view = createFleetView(clock, () => undefined)
	const dispatcher = createDispatcher({
		clock,
		log: silentLog,
		peers: fakePeers(),
		view,
		self,
		hosts: {
			of: () => host,
			run(_host: unknown, job: Job, queue: Queue) {
				ran.push(queue)
				jobs.push(job)
				return Promise.resolve({type: "completed"})
			},
		} as never,
		config: () => own,
		refreshConfig: () => void refreshed++,
		isLeaving: () => false,
		isEvacuated: () => false,
		ownLateMs: () => 0,
	})
	const caller = {...STAYING, madeAt: clock.now()}
	const claim = () => view.noteClaim({failureDomain: "a", fence: 1, placer: self})
	const read = () => void (knownAt = clock.now())
	const ownCaller = () => ({...STAYING, madeAt: knownAt, confirmedAt: () => knownAt})
	return {clock, dispatcher, caller, ownCaller, claim, read, ran, jobs, refreshed: () => refreshed}
}

const configOf = (version: number, queues: readonly Queue[]): FleetConfig => ({
	version,
	queues,
	services: [],
	maxBodyBytes: 1_000,
	idleTimeoutMs: 1_000,
})

const messageUnder = (configVersion: number, queue: Queue): JobMessage => ({
	job: {id: "00000000000000aa", queue: queue.name, spec: "", steps: []},
	queue,
	ageMs: 0,
	leftMs: 1_000,
	configVersion,
	failureDomain: "a",
	from: "other",
})

describe("jobs from other instances", () => {
	const newer = {...QUEUE, service: "moved"}

	it("are run at once under a newer configuration than the placer has", async () => {
		const {dispatcher, caller, ran, clock, refreshed} = createWorld(configOf(3, [QUEUE]))
		void dispatcher.runJob(messageUnder(4, newer), caller)
		await clock.advance(1)
		expect(ran.map(({service}) => service)).to.eql(["moved"])
		expect(refreshed()).to.equal(1)
	})

	it("are run at once by a placer that has no configuration yet", async () => {
		const {dispatcher, caller, ran, clock} = createWorld(undefined)
		void dispatcher.runJob(messageUnder(4, newer), caller)
		await clock.advance(1)
		expect(ran).to.have.length(1)
	})

	it("use the placer's own configuration when it is as new or newer", async () => {
		const {dispatcher, caller, ran, clock} = createWorld(configOf(5, [QUEUE]))
		void dispatcher.runJob(messageUnder(4, newer), caller)
		await clock.advance(1)
		expect(ran.map(({service}) => service)).to.eql(["svc"])
	})

	it("are refused when the newer configuration here lacks their queue", async () => {
		const {dispatcher, caller, ran} = createWorld(configOf(5, []))
		const reply = await dispatcher.runJob(messageUnder(4, newer), caller)
		expect(reply).to.deep.include({type: "refused", kind: "no_configuration"})
		expect(ran).to.have.length(0)
	})
})

describe("jobs whose call waited unread", () => {
	it("count their age from when the sending instance made the call", async () => {
		const {dispatcher, caller, jobs, clock} = createWorld(configOf(4, [QUEUE]))
		clock.freeze(3_000)
		const madeAt = clock.now() - 2_500
		void dispatcher.runJob({...messageUnder(4, QUEUE), ageMs: 40}, {...caller, madeAt})
		await clock.advance(1)
		expect(jobs).to.have.length(1)
		expect(jobs[0]).to.include({receivedAt: madeAt - 40, deadlineAt: madeAt + 1_000})
	})

	/*
	 * Guards against running a job twice: an instance stood still with a call unread while the caller gave up and submitted
	 * the same id elsewhere.
	 */
	it("count the longest possible age at the instance that their caller reached", async () => {
		const {dispatcher, ownCaller, claim, read, jobs, clock} = createWorld(configOf(4, [QUEUE]))
		const job = (): Job => ({
			id: "00000000000000aa",
			queue: QUEUE.name,
			spec: "",
			steps: [],
			receivedAt: clock.now(),
			deadlineAt: clock.now() + 1_500,
		})
		claim()
		clock.freeze(3_000)
		const late = job()
		void dispatcher.dispatch(late, QUEUE, ownCaller())
		await clock.advance(1)
		expect(jobs[0]?.deadlineAt).to.equal(late.deadlineAt - 3_000)
		read()
		const fresh = job()
		void dispatcher.dispatch(fresh, QUEUE, ownCaller())
		await clock.advance(1)
		expect(jobs[1]?.deadlineAt).to.equal(fresh.deadlineAt)
	})
})
