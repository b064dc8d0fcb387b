/** Handing a failure domain over to a successor. */
import {createJobMetrics, silentLog, type Claim, type Member} from "@cottonwood/jobs"
import {
	createFleetView,
	createHandover,
	memberKey,
	type HostedPlacers,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {fakePeers, unused} from "./support/peers.js"

const member = (name: string, cpuShare = 0.675): Member => ({
	name,
	session: `${name}-s`,
	failureDomain: "a",
	address: `${name}:1`,
	cpuShare,
})

function createWorld(members: readonly Member[], answerAfterMs: number, isTaken = true) {
	const clock = createFakeClock()
	const self = members[0] as Member
	const view = createFleetView(clock, () => undefined)
	view.applyListing(members.map(one => ({key: memberKey(one.name), value: one, revision: 1})))
	const claim: Claim = {failureDomain: "a", fence: 4, placer: self}
	view.noteClaim(claim)
	const strain = {isStrained: false}
	const asked: string[] = []
	const given: string[] = []
	const hosts = {
		executorsOf: () => [],
		offerHandover: () => undefined,
		withdrawHandover: () => undefined,
		handOverTo: (successor: Claim) =>
			void given.push(`${successor.placer.name}/${successor.fence}`),
	} as unknown as HostedPlacers
	const handover = createHandover({
		clock,
		log: silentLog,
		metrics: createJobMetrics(),
		view,
		self,
		hosts,
		overflow: {handOver: unused, sendTo: unused},
		claims: unused,
		placedDomains: () => (view.claimOf("a")?.placer === self ? ["a"] : []),
		isLeaving: () => false,
		isStrained: () => strain.isStrained,
		peers: fakePeers({
			takeOver(address, _message, timeoutMs) {
				asked.push(address)
				const isInTime = answerAfterMs <= timeoutMs
				const reply = clock
					.sleep(Math.min(answerAfterMs, timeoutMs))
					.then(() => (isInTime ? {isTaken} : undefined))
				return {reply, wasUnsent: () => false, wasRefused: () => false, cancel: () => undefined}
			},
		}),
	})
	return {clock, handover, view, asked, given, strain}
}

describe("handover", () => {
	it("waits for a successor with a slow store instead of asking another one", async () => {
		const world = createWorld([member("a-1"), member("a-2"), member("a-3")], 1_200)
		void world.handover.handOverAll()
		await world.clock.advance(3_000)
		expect(world.asked).to.eql(["a-2:1"])
		expect(world.given).to.eql(["a-2/5"])
	})

	/*
	 * Guards against handing a domain to a much smaller instance during a rolling restart: it takes over slowly, and jobs
	 * find no placer in time.
	 */
	it("goes to an instance of its size elsewhere rather than to a much smaller one", async () => {
		const large = {...member("b-1", 1.35), failureDomain: "b"}
		const members = [member("a-1", 1.35), member("a-2", 0.324), large]
		const world = createWorld(members, 10)
		void world.handover.handOverAll()
		await world.clock.advance(1_000)
		expect(world.asked).to.eql(["b-1:1"])
		const small = createWorld([member("a-1", 1.35), member("a-2", 0.324)], 10)
		void small.handover.handOverAll()
		await small.clock.advance(1_000)
		expect(small.asked, "better than nobody").to.eql(["a-2:1"])
	})

	it("returns to a large instance of its own domain soon, and to a small one much later", async () => {
		const placer = {...member("b-1", 1.35), failureDomain: "b"}
		const small = createWorld([placer, member("a-2", 0.324)], 10)
		await small.clock.advance(15_000)
		expect(small.asked).to.eql([])
		await small.clock.advance(10_000)
		expect(small.asked).to.eql(["a-2:1"])
		const large = createWorld([placer, member("a-1", 1.35)], 10)
		await large.clock.advance(3_000)
		expect(large.asked).to.eql(["a-1:1"])
	})

	it("asks another one when the first declines", async () => {
		const world = createWorld([member("a-1"), member("a-2"), member("a-3")], 10, false)
		void world.handover.handOverAll()
		await world.clock.advance(1_000)
		expect(world.asked).to.eql(["a-2:1", "a-3:1"])
		expect(world.given).to.eql([])
	})

	it("hands its runs over when the successor has the claim but its answer was lost", async () => {
		const world = createWorld([member("a-1"), member("a-2"), member("a-3")], 5_000)
		void world.handover.handOverAll()
		await world.clock.advance(100)
		world.view.noteClaim({failureDomain: "a", fence: 5, placer: member("a-2")})
		await world.clock.advance(2_500)
		expect(world.asked).to.eql(["a-2:1"])
		expect(world.given).to.eql(["a-2/5"])
	})

	it("asks one instance at a time, also when a planned stop begins during a handover", async () => {
		const world = createWorld([member("a-1", 0.3), member("a-2", 0.4), member("a-3", 1.3)], 1_000)
		await world.clock.advance(2_600)
		expect(world.asked).to.eql(["a-3:1"])
		let isGiven = false
		void world.handover.handOverAll().then(() => (isGiven = true))
		await world.clock.advance(100)
		expect(world.asked).to.eql(["a-3:1"])
		expect(isGiven).to.equal(false)
		await world.clock.advance(1_500)
		expect(world.given).to.eql(["a-3/5"])
		expect(isGiven).to.equal(true)
	})

	it("moves the domain to a much larger instance that has been there for a while", async () => {
		const world = createWorld([member("a-1", 0.3), member("a-2", 0.4), member("a-3", 1.3)], 10)
		await world.clock.advance(1_500)
		expect(world.asked).to.eql([])
		await world.clock.advance(2_000)
		expect(world.given).to.eql(["a-3/5"])
	})

	/*
	 * Guards against an overloaded placer that keeps its domain: it still sends heartbeats, so silence alone never moves
	 * its claim.
	 */
	it("moves the domain off an overloaded instance, to one that isn't, and not again at once", async () => {
		const world = createWorld([member("a-1"), member("a-2"), member("a-3")], 10)
		const beatOf = (name: string, isStrained: boolean) => ({
			from: member(name),
			claims: [],
			rooms: {},
			isLeaving: false,
			isStrained,
			configVersion: 1,
		})
		world.view.applyHeartbeat(beatOf("a-2", true))
		world.view.applyHeartbeat(beatOf("a-3", false))
		await world.clock.advance(1_000)
		expect(world.asked).to.eql([])
		world.strain.isStrained = true
		await world.clock.advance(500)
		expect(world.given).to.eql(["a-3/5"])
		world.view.noteClaim({failureDomain: "a", fence: 6, placer: member("a-1")})
		await world.clock.advance(1_000)
		expect(world.given).to.have.length(1)
	})

	it("declines a takeover while overloaded", async () => {
		const world = createWorld([member("a-1"), member("a-2")], 10)
		world.strain.isStrained = true
		const message = {failureDomain: "a", fence: 4, executors: [], from: "a-2-s"}
		expect(await world.handover.takeOver(message)).to.eql({isTaken: false})
	})
})
