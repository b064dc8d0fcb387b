/** The first moments after a restart of all instances: the store still lists the claims of earlier sessions. */
import {silentLog, type Job, type Member} from "@cottonwood/jobs"
import {
	createDispatcher,
	createFleetView,
	createOwnClaims,
	type HostedPlacers,
	type JobReply,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeFleet, record} from "./support/fake-executors.js"
import {fakePeers} from "./support/peers.js"
import {createTestPlacer} from "./support/placers.js"
import {QUEUE, STAYING, taskRequest} from "./support/requests.js"

const member = (name: string, life: number, failureDomain = "a"): Member => ({
	name,
	session: `${name}-${life}`,
	failureDomain,
	address: `${name}:1`,
	cpuShare: 1,
})
const nodeItem = (value: Member) => ({key: `fleet/node/${value.name}`, value, revision: 1})

function createWorld(self: Member, replyOf: (address: string) => JobReply | undefined) {
	const clock = createFakeClock()
	const view = createFleetView(clock, () => undefined)
	const asked: string[] = []
	const hosted: {of?: {readonly placer: object}} = {}
	const dispatcher = createDispatcher({
		clock,
		log: silentLog,
		view,
		self,
		peers: fakePeers({
			runJob(address) {
				asked.push(address)
				const reply = replyOf(address)
				const call = {wasUnsent: () => reply === undefined, wasRefused: () => reply === undefined}
				return {...call, reply: Promise.resolve(reply), cancel: () => undefined}
			},
		}),
		hosts: {
			of: (domain: string) => (domain === "a" ? hosted.of : undefined),
			run: () => Promise.resolve({type: "completed"}),
		} as unknown as HostedPlacers,
		config: () => undefined,
		refreshConfig: () => undefined,
		isLeaving: () => false,
		isEvacuated: () => false,
		ownLateMs: () => 0,
	})
	function dispatch(estimateMs: number) {
		const job: Job = {
			id: "00000000000000aa",
			queue: QUEUE.name,
			spec: "",
			steps: [{count: 1, need: {cpu: 1, memoryMb: 1, accelerators: 0}, estimateMs, after: []}],
			receivedAt: clock.now(),
			deadlineAt: clock.now() + 5_000,
		}
		const ended: {type?: string; at?: number} = {}
		void dispatcher.dispatch(job, QUEUE, STAYING).then(({type}) => {
			ended.type = type
			ended.at = clock.now()
		})
		return ended
	}
	return {clock, view, asked, hosted, dispatch}
}

describe("a job that arrives while the store lists the claims of earlier sessions", () => {
	/* Guards against a refusal during a restart: the listed placers are gone, and the new one is about to begin. */
	it("waits for the placer that begins and asks no placer that is gone", async () => {
		const self = member("a-1", 2)
		const {clock, view, asked, hosted, dispatch} = createWorld(self, () => ({type: "not placer"}))
		view.noteClaim({failureDomain: "a", fence: 1, placer: member("a-1", 1)})
		view.noteClaim({failureDomain: "b", fence: 1, placer: member("b-1", 1, "b")})
		view.applyListing([nodeItem(self), nodeItem(member("b-1", 2, "b"))])
		const ended = dispatch(500)
		await clock.advance(120)
		expect(ended.type).to.equal(undefined)
		expect(asked).to.eql([])
		view.noteClaim({failureDomain: "a", fence: 2, placer: self})
		hosted.of = {placer: {canServe: () => false, isStartingUp: () => true}}
		await clock.advance(20)
		expect(ended.type).to.equal("completed")
	})

	/* Its instance hasn't registered yet, so its earlier session can't be told from a current one without asking. */
	it("waits and asks again when the instances asked don't place yet", async () => {
		let isPlacing = false
		const {clock, view, asked, dispatch} = createWorld(member("a-2", 2), () =>
			isPlacing ? {type: "completed"} : {type: "not placer"},
		)
		view.noteClaim({failureDomain: "a", fence: 1, placer: member("a-1", 1)})
		const ended = dispatch(500)
		await clock.advance(120)
		expect(ended.type).to.equal(undefined)
		// Asked rarely, since the instances are busy starting.
		expect(asked.length).to.be.within(2, 4)
		isPlacing = true
		view.noteClaim({failureDomain: "a", fence: 2, placer: member("a-1", 2)})
		await clock.advance(60)
		expect(ended.type).to.equal("completed")
	})

	it("waits when the placer's address doesn't accept connections yet", async () => {
		let isThere = false
		const {clock, view, dispatch} = createWorld(member("a-2", 2), () =>
			isThere ? {type: "completed"} : undefined,
		)
		view.noteClaim({failureDomain: "a", fence: 1, placer: member("a-1", 1)})
		const ended = dispatch(500)
		await clock.advance(120)
		expect(ended.type).to.equal(undefined)
		isThere = true
		view.noteClaim({failureDomain: "a", fence: 2, placer: member("a-1", 2)})
		await clock.advance(60)
		expect(ended.type).to.equal("completed")
	})

	it("is refused as soon as it can't be on time any more", async () => {
		const {clock, view, dispatch} = createWorld(member("a-2", 2), () => ({type: "not placer"}))
		view.noteClaim({failureDomain: "a", fence: 1, placer: member("a-1", 1)})
		const ended = dispatch(50)
		await clock.advance(400)
		expect(ended.type).to.equal("refused")
		// Its objective is 140 ms and its work 50 ms; it arrived at 1,000 ms.
		expect(ended.at).to.be.within(1_090, 1_150)
	})

	it("is refused at once when a placer had no room, or no placer is about to begin", async () => {
		const full = {type: "refused", kind: "overloaded", cause: ""} as const
		const {clock, view, dispatch} = createWorld(member("a-2", 2), () => full)
		view.noteClaim({failureDomain: "a", fence: 1, placer: member("a-1", 1)})
		const ended = dispatch(500)
		await clock.advance(5)
		expect(ended.type).to.equal("refused")
		const late = createWorld(member("a-2", 2), () => ({type: "not placer"}))
		late.view.noteClaim({failureDomain: "a", fence: 1, placer: member("a-1", 1)})
		await late.clock.advance(3_000)
		const other = late.dispatch(500)
		await late.clock.advance(5)
		expect(other.type).to.equal("refused")
	})
})

describe("the claims in an instance's name", () => {
	/* Guards against a slow restart: the list of executors doesn't have to wait for the new claim's write. */
	it("ask once for the list of executors, from an earlier session's claim on", () => {
		const self = member("a-1", 2)
		const claims = createOwnClaims(self)
		expect(claims.update({failureDomain: "b", fence: 1, placer: member("b-1", 1, "b")})).to.equal(
			false,
		)
		expect(claims.hasAny()).to.equal(false)
		expect(claims.update({failureDomain: "a", fence: 1, placer: member("a-1", 1)})).to.equal(true)
		expect(claims.hasAny()).to.equal(true)
		expect(claims.update({failureDomain: "a", fence: 2, placer: self})).to.equal(false)
	})

	it("ask for nothing once another instance has the domain", () => {
		const claims = createOwnClaims(member("a-1", 2))
		claims.update({failureDomain: "a", fence: 1, placer: member("a-1", 1)})
		expect(claims.update({failureDomain: "a", fence: 2, placer: member("a-2", 1)})).to.equal(false)
		expect(claims.hasAny()).to.equal(false)
		expect(claims.update({failureDomain: "a", fence: 3, placer: member("a-1", 2)})).to.equal(true)
	})
})

describe("a placer that begins", () => {
	/* Guards against refusing jobs while the first answers of most executors are still on their way. */
	it("counts the executors whose first answers are on their way", async () => {
		const clock = createFakeClock()
		const orders = new FakeFleet(clock)
		const hold = orders.hold.bind(orders)
		orders.hold = async (executor, order, timeoutMs) => {
			if (executor.id !== "e1") await clock.sleep(80)
			return hold(executor, order, timeoutMs)
		}
		const placer = createTestPlacer({clock, orders})
		placer.setExecutors(["e1", "e2", "e3", "e4"].map(id => record(id)))
		await clock.advance(20)
		expect(placer.counts().usable).to.equal(1)
		expect(placer.isStartingUp()).to.equal(false)
		for (let at = 0; at < 10; at++)
			placer.submit(
				taskRequest(`j${at}.0.0.0`),
				() => undefined,
				() => undefined,
			)
		await clock.advance(5)
		const early = placer.expectedWaitMs(Infinity)
		// Two run on the executor that answered; the other eight count on all four.
		expect(early).to.be.closeTo((8 * 27 * 100) / (4 * 64 * 0.8), 1)
		await clock.advance(100)
		expect(placer.counts().running).to.equal(8)
		placer.close()
	})

	it("does not count an executor that has not answered in time", async () => {
		const clock = createFakeClock()
		const orders = new FakeFleet(clock)
		const hold = orders.hold.bind(orders)
		orders.hold = async (executor, order, timeoutMs) => {
			if (executor.id === "e1") return hold(executor, order, timeoutMs)
			await clock.sleep(timeoutMs)
			return {type: "silent", cause: "test"}
		}
		const placer = createTestPlacer({clock, orders})
		placer.setExecutors(["e1", "e2"].map(id => record(id)))
		await clock.advance(200)
		for (let at = 0; at < 4; at++)
			placer.submit(
				taskRequest(`j${at}.0.0.0`),
				() => undefined,
				() => undefined,
			)
		await clock.advance(5)
		expect(placer.expectedWaitMs(Infinity)).to.be.closeTo((2 * 27 * 100) / (64 * 0.8), 1)
		placer.close()
	})
})
