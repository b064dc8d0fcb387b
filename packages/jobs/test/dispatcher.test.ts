/**
 * Jobs that other instances hand to the placer here.
 */
import {silentLog, type FleetConfig, type Queue} from "@cottonwood/jobs"
import {createDispatcher, createFleetView, type JobMessage} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {QUEUE, STAYING} from "./support/requests.js"

const unused = () => {
	throw new Error("not used")
}

function createWorld(own: FleetConfig | undefined) {
	const clock = createFakeClock()
	const ran: Queue[] = []
	let refreshed = 0
	const host = {placer: {canServe: () => true}}
	const dispatcher = createDispatcher({
		clock,
		knownAt: () => clock.now(),
		log: silentLog,
		peers: {
			beat: unused,
			runJob: unused,
			runTask: unused,
			takeOver: unused,
			kept: unused,
			noteReachable: () => undefined,
			close: unused,
		},
		view: createFleetView(clock, () => undefined),
		self: {name: "a-1", session: "s", failureDomain: "a", address: "a-1:1", cpuShare: 1},
		hosts: {
			of: () => host,
			run(_host: unknown, _job: unknown, queue: Queue) {
				ran.push(queue)
				return Promise.resolve({type: "completed"})
			},
		} as never,
		config: () => own,
		refreshConfig: () => void refreshed++,
		isLeaving: () => false,
	})
	const caller = {...STAYING, madeAt: clock.now()}
	return {clock, dispatcher, caller, ran, refreshed: () => refreshed}
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

	it("go by the placer's own configuration when that is as new, or newer", async () => {
		const {dispatcher, caller, ran, clock} = createWorld(configOf(5, [QUEUE]))
		void dispatcher.runJob(messageUnder(4, newer), caller)
		await clock.advance(1)
		expect(ran.map(({service}) => service)).to.eql(["svc"])
	})

	it("are refused when the newer configuration here has their queue no more", async () => {
		const {dispatcher, caller, ran} = createWorld(configOf(5, []))
		const reply = await dispatcher.runJob(messageUnder(4, newer), caller)
		expect(reply).to.deep.include({type: "refused", kind: "no_configuration"})
		expect(ran).to.have.length(0)
	})
})
