/**
 * Membership and claims: which instance claims a failure domain, and when.
 */
import {
	createJobMetrics,
	silentLog,
	type Heartbeat,
	type Claim,
	type Member,
} from "@cottonwood/jobs"
import {
	claimKey,
	createClaimsLoop,
	createExecutorList,
	createFleetView,
	memberKey,
	type ClaimsDeps,
} from "@cottonwood/jobs/internals"
import type {StoreChange} from "@cottonwood/core"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {record} from "./support/fake-executors.js"
import {createFakeStore} from "./support/fake-store.js"

const member = (name: string, failureDomain = "a", session = `${name}-s`): Member => ({
	name,
	session,
	failureDomain,
	address: `${name}:1`,
	cpuShare: 0.675,
})

/** The time-out of a ping, unless somebody is known to be late. */
const USUAL_PING_MS = 350

function createWorld(options: {
	readonly self: Member
	readonly members: readonly Member[]
	readonly claims?: readonly Claim[]
	readonly answers?: (member: Member) => boolean
	readonly canReachExecutors?: () => boolean
	readonly hasKeptJobs?: boolean
	readonly domains?: readonly string[]
	/** The session that answers at a member's address. */
	readonly sessionAt?: (member: Member) => string
	readonly pingTakesMs?: (member: Member) => number
	readonly ownLateMs?: () => number
}) {
	const sessionAt = options.sessionAt ?? (({session}: Member) => session)
	const clock = createFakeClock()
	const {fake, store} = createFakeStore()
	const view = createFleetView(clock, () => undefined)
	const cutOff: Pick<Claim, "failureDomain" | "fence">[] = []
	for (const one of options.members) fake.write(memberKey(one.name), one)
	for (const claim of options.claims ?? []) fake.write(claimKey(claim.failureDomain), claim)
	view.applyListing([...fake.items.values()])
	const deps: ClaimsDeps = {
		clock,
		store,
		log: silentLog,
		metrics: createJobMetrics(),
		self: options.self,
		view,
		failureDomains: () => options.domains ?? ["a"],
		isLeaving: () => false,
		async ping(one, patienceMs) {
			const tookMs = options.pingTakesMs?.(one) ?? 0
			if (tookMs > 0) await clock.sleep(Math.min(tookMs, USUAL_PING_MS + patienceMs))
			const isInTime = tookMs <= USUAL_PING_MS + patienceMs
			return isInTime && options.answers?.(one) ? sessionAt(one) : undefined
		},
		ownLateMs: () => options.ownLateMs?.() ?? 0,
		canReachExecutors: () => Promise.resolve(options.canReachExecutors?.() ?? true),
		hasKeptJobs: () => Promise.resolve(options.hasKeptJobs ?? false),
		onCutOff: claim => void cutOff.push(claim),
	}
	const loop = createClaimsLoop(deps)
	return {
		cutOff,
		clock,
		fake,
		view,
		loop,
		fenceOf: (domain = "a") => view.claimOf(domain)?.fence,
	}
}

describe("claims", () => {
	const [one, two, far] = [member("a-1"), member("a-2"), member("b-1", "b")] as const
	const claimOfOne: Claim = {failureDomain: "a", fence: 4, placer: one}

	it("takes a vacant domain with the first fence", async () => {
		const world = createWorld({self: one, members: [one, two], answers: () => true})
		await world.clock.advance(300)
		expect(world.view.claimOf("a")?.placer.name).to.equal("a-1")
		expect(world.fenceOf()).to.equal(1)
	})

	it("raises the fence when the placer has been silent and does not answer", async () => {
		const answers = ({name}: Member) => name === "b-1"
		const world = createWorld({self: two, members: [one, two, far], claims: [claimOfOne], answers})
		await world.clock.advance(800)
		expect(world.fenceOf()).to.equal(4)
		await world.clock.advance(1_200)
		expect(world.fenceOf()).to.equal(5)
		expect(world.view.claimOf("a")?.placer.name).to.equal("a-2")
	})

	/*
	 * Guards against taking any answer at a placer's address for the placer's own: after a restart
	 * of all instances a new session answers there, and the domain stayed without a placer.
	 */
	it("takes a domain over from a foreign placer when a new session answers at its address", async () => {
		const heldByFar: Claim = {failureDomain: "a", fence: 4, placer: member("b-1", "b", "earlier")}
		const world = createWorld({
			self: one,
			members: [one, two, far],
			claims: [heldByFar],
			answers: () => true,
			sessionAt: ({name}) => `${name}-s`,
		})
		await world.clock.advance(400)
		expect(world.fenceOf()).to.equal(5)
		expect(world.view.claimOf("a")?.placer.name).to.equal("a-1")
	})

	it("does not wait for a silent witness once another one has answered", async () => {
		const slow = member("b-2", "b")
		const world = createWorld({
			self: two,
			members: [one, two, far, slow],
			claims: [claimOfOne],
			answers: ({name}) => name === "b-1",
			pingTakesMs: ({name}) => (name === "b-1" ? 1 : 350),
		})
		// A second of silence, a tick, and the placer's ping time-out; a silent witness would take
		// as long again.
		await world.clock.advance(1_600)
		expect(world.fenceOf()).to.equal(5)
	})

	/*
	 * Guards against replacing live placers under overload, whose heartbeats and answers are late:
	 * each replacement discards runs and causes the next one.
	 */
	describe("of a placer that is late, not silent", () => {
		const heartbeatFrom = (from: Member, lateMs: number): Heartbeat => ({
			from,
			claims: [],
			rooms: {},
			isLeaving: false,
			configVersion: 1,
			lateMs,
		})

		/**
		 * The placer sends a heartbeat each 1.2 s and answers pings after 0.9 s, as if each of its
		 * turns took 0.3 s.
		 */
		async function simulateLatePlacer(lateMs: number) {
			const world = createWorld({
				self: two,
				members: [one, two, far],
				claims: [claimOfOne],
				answers: () => true,
				pingTakesMs: ({name}) => (name === one.name ? 900 : 1),
			})
			for (let beats = 0; beats < 8; beats++) {
				world.view.applyHeartbeat(heartbeatFrom(one, lateMs))
				await world.clock.advance(1_200)
			}
			return world.fenceOf()
		}

		it("stay with it when it has reported its lateness", async () => {
			expect(await simulateLatePlacer(0)).to.be.greaterThan(4)
			expect(await simulateLatePlacer(300)).to.equal(4)
		})

		it("stay with it when the watching instance itself is late", async () => {
			const world = createWorld({
				self: two,
				members: [one, two, far],
				claims: [claimOfOne],
				answers: () => true,
				pingTakesMs: ({name}) => (name === one.name ? 900 : 1),
				ownLateMs: () => 300,
			})
			await world.clock.advance(5_000)
			expect(world.fenceOf()).to.equal(4)
		})

		it("go to another one sooner when a call did not reach it either, unless it was late", async () => {
			const answers = ({name}: Member) => name === "b-1"
			const fenceAfter = async (lateMs: number) => {
				const world = createWorld({
					self: two,
					members: [one, two, far],
					claims: [claimOfOne],
					answers,
				})
				world.view.applyHeartbeat(heartbeatFrom(one, lateMs))
				world.view.noteUnreachable(one.session)
				await world.clock.advance(1_000)
				return world.fenceOf()
			}
			expect(await fenceAfter(5)).to.equal(5)
			expect(await fenceAfter(300)).to.equal(4)
		})

		it("go to another one when it is gone, however late it was", async () => {
			const answers = ({name}: Member) => name === "b-1"
			const world = createWorld({
				self: two,
				members: [one, two, far],
				claims: [claimOfOne],
				answers,
			})
			world.view.applyHeartbeat(heartbeatFrom(one, 5_000))
			await world.clock.advance(4_500)
			expect(world.fenceOf()).to.equal(5)
		})
	})

	it("takes its previous session's domain back at once, without a ping", async () => {
		const earlier: Claim = {failureDomain: "a", fence: 4, placer: member("a-1", "a", "earlier")}
		const world = createWorld({
			self: one,
			members: [one, two, far],
			claims: [earlier],
			pingTakesMs: () => 350,
		})
		world.loop.checkNow()
		await world.clock.advance(20)
		expect(world.fenceOf()).to.equal(5)
	})

	it("does not replace a silent placer that answers a ping", async () => {
		const world = createWorld({
			self: two,
			members: [one, two],
			claims: [claimOfOne],
			answers: () => true,
		})
		await world.clock.advance(5_000)
		expect(world.fenceOf()).to.equal(4)
	})

	it("takes nothing over when no other instance answers", async () => {
		const world = createWorld({self: two, members: [one, two, far], claims: [claimOfOne]})
		await world.clock.advance(5_000)
		expect(world.fake.puts).to.equal(0)
	})

	it("takes another domain only if it has no instances and reachable executors", async () => {
		const heldByFar: Claim = {failureDomain: "b", fence: 2, placer: far}
		const base = {self: one, claims: [heldByFar], domains: ["b"], answers: () => false}
		const withNative = createWorld({...base, members: [one, member("b-2", "b")]})
		await withNative.clock.advance(6_000)
		expect(withNative.fenceOf("b")).to.equal(2)
		const cutOff = createWorld({...base, members: [one], canReachExecutors: () => false})
		await cutOff.clock.advance(6_000)
		expect(cutOff.fenceOf("b")).to.equal(2)
		const alone = createWorld({...base, members: [one]})
		await alone.clock.advance(6_000)
		expect(alone.fenceOf("b")).to.equal(3)
	})

	it("does not take another domain that has only just become reachable", async () => {
		const heldByFar: Claim = {failureDomain: "b", fence: 2, placer: far}
		let canReach = false
		const world = createWorld({
			self: one,
			members: [one],
			claims: [heldByFar],
			domains: ["b"],
			canReachExecutors: () => canReach,
		})
		await world.clock.advance(6_000)
		canReach = true
		await world.clock.advance(1_200)
		expect(world.fenceOf("b")).to.equal(2)
		await world.clock.advance(3_000)
		expect(world.fenceOf("b")).to.equal(3)
	})

	describe("of a domain of which nothing answers", () => {
		const heldByFar: Claim = {failureDomain: "b", fence: 2, placer: far}
		const lost = {
			self: one,
			members: [one],
			claims: [heldByFar],
			domains: ["b"],
			canReachExecutors: () => false,
		}

		// The kept jobs of a zone that was lost whole were never run: nobody claimed it, as no executor answered.
		it("are taken for its kept jobs alone, and announced as cut off", async () => {
			const idle = createWorld(lost)
			const busy = createWorld({...lost, hasKeptJobs: true})
			await Promise.all([idle.clock.advance(6_000), busy.clock.advance(4_500)])
			expect([idle.fenceOf("b"), busy.fenceOf("b")]).to.eql([2, 3])
			expect(busy.cutOff.map(({fence}) => fence)).to.eql([3])
		})

		it("are left alone while its instances are registered, or its placer answers", async () => {
			const registered = [one, member("b-2", "b")]
			const native = createWorld({...lost, hasKeptJobs: true, members: registered})
			const heard = createWorld({...lost, hasKeptJobs: true, answers: () => true})
			await Promise.all([native.clock.advance(8_000), heard.clock.advance(8_000)])
			expect([native.fenceOf("b"), heard.fenceOf("b")]).to.eql([2, 2])
		})

		// An instance that had been cut off itself took the other domains over as soon as it reached the store again.
		it("are left alone while its placer is registered, and right after the store was away", async () => {
			const placed = createWorld({...lost, hasKeptJobs: true, members: [one, far]})
			const cutOff = createWorld({...lost, hasKeptJobs: true})
			cutOff.fake.silentMs = 700
			await Promise.all([placed.clock.advance(8_000), cutOff.clock.advance(8_000)])
			cutOff.fake.silentMs = 0
			await cutOff.clock.advance(1_400)
			expect([placed.fenceOf("b"), cutOff.fenceOf("b")]).to.eql([2, 2])
			await cutOff.clock.advance(1_000)
			expect(cutOff.fenceOf("b")).to.equal(3)
		})

		it("are not announced as cut off when an executor answers", async () => {
			const world = createWorld({...lost, hasKeptJobs: true, canReachExecutors: () => true})
			await world.clock.advance(6_000)
			expect([world.fenceOf("b"), world.cutOff.length]).to.eql([3, 0])
		})

		it("are taken slice by slice", async () => {
			const slice: Claim = {failureDomain: "b/slice-1", fence: 1_000_001, placer: far}
			const domains = ["b", "b/slice-1"]
			const claims = [heldByFar, slice]
			const world = createWorld({...lost, hasKeptJobs: true, domains, claims})
			await world.clock.advance(5_500)
			expect(world.cutOff.map(({failureDomain}) => failureDomain)).to.have.members(domains)
		})
	})

	it("lets the largest instance of a domain try first", async () => {
		const small = {...member("a-1"), cpuShare: 0.3}
		const large = {...member("a-2"), cpuShare: 1.3}
		const members = [small, large]
		const answers = () => true
		const atSmall = createWorld({self: small, members, answers})
		const atLarge = createWorld({self: large, members, answers})
		await Promise.all([atSmall.clock.advance(230), atLarge.clock.advance(230)])
		expect([atSmall.fenceOf(), atLarge.fenceOf()]).to.eql([undefined, 1])
	})

	it("yields to a claim that was written in between, and evaluates that one anew", async () => {
		const world = createWorld({self: two, members: [two], claims: [claimOfOne]})
		const other: Claim = {failureDomain: "a", fence: 9, placer: member("a-3")}
		world.fake.write(claimKey("a"), other)
		await world.clock.advance(1_900)
		expect(world.fenceOf()).to.equal(9)
		expect(world.fake.puts).to.equal(0)
		await world.clock.advance(1_000)
		expect(world.fenceOf()).to.equal(10)
	})

	it("does not take its previous session's domain back from a successor that it does not know yet", async () => {
		const earlier: Claim = {failureDomain: "a", fence: 1, placer: member("a-2", "a", "before")}
		const successor: Claim = {failureDomain: "a", fence: 2, placer: one}
		const world = createWorld({
			self: two,
			members: [one, two],
			claims: [earlier],
			answers: () => true,
		})
		world.fake.write(claimKey("a"), successor)
		await world.clock.advance(3_000)
		expect(world.fenceOf()).to.equal(2)
		expect(world.fake.puts).to.equal(0)
	})

	it("probes another domain while its instance's registration still exists", async () => {
		const heldByFar: Claim = {failureDomain: "b", fence: 2, placer: far}
		const world = createWorld({
			self: one,
			members: [one, member("b-2", "b")],
			claims: [heldByFar],
			domains: ["b"],
		})
		await world.clock.advance(3_500)
		world.view.applyChanges([], [memberKey("b-2")])
		await world.clock.advance(1_200)
		expect(world.fenceOf("b")).to.equal(3)
	})
})

describe("claims of other domains", () => {
	const [here, there, third] = [member("a-1"), member("b-1", "b"), member("b-2", "b")] as const
	const heldThere: Claim = {failureDomain: "b", fence: 2, placer: there}
	const heldHere: Claim = {failureDomain: "a", fence: 1, placer: here}

	function createForeignDomain(members: readonly Member[], isAnswering: boolean) {
		let probes = 0
		const world = createWorld({
			self: here,
			members,
			claims: [heldHere, heldThere],
			answers: ({name}) => isAnswering || name !== there.name,
			domains: ["a", "b"],
			canReachExecutors: () => {
				probes++
				return true
			},
		})
		return {...world, probes: () => probes}
	}

	it("does not probe the executors of an unheard placer that answers pings", async () => {
		const world = createForeignDomain([here, there], true)
		await world.clock.advance(10_000)
		expect(world.probes()).to.equal(0)
		expect(world.fenceOf("b")).to.equal(2)
	})

	it("are left to the domain's own instances", async () => {
		const world = createForeignDomain([here, there, third], false)
		await world.clock.advance(10_000)
		expect(world.fenceOf("b")).to.equal(2)
	})

	it("are watched by the first instance of each domain only", async () => {
		const larger = {...member("a-2"), cpuShare: 1.35}
		const world = createForeignDomain([here, there, larger], false)
		await world.clock.advance(10_000)
		expect(world.probes()).to.equal(0)
		expect(world.fenceOf("b")).to.equal(2)
	})

	it("are taken over from a placer that does not answer when the domain has no other instance", async () => {
		const world = createForeignDomain([here, there], false)
		await world.clock.advance(5_500)
		expect(world.fenceOf("b")).to.equal(3)
	})
})

describe("fleet view", () => {
	it("keeps the claim with the highest fence, whatever its source", () => {
		const view = createFleetView(createFakeClock(), () => undefined)
		const claim = (fence: number): Claim => ({failureDomain: "a", fence, placer: member("a-1")})
		view.noteClaim(claim(3))
		view.noteClaim(claim(2))
		expect(view.claimOf("a")?.fence).to.equal(3)
	})
})

/** A list of the executors whose ids are in a fake store. */
function createList() {
	const clock = createFakeClock()
	const {fake, store} = createFakeStore()
	let last: readonly string[] = []
	fake.write("e/1", "e1")
	fake.write("e/2", "e2")
	const list = createExecutorList({
		clock,
		store,
		log: silentLog,
		metrics: createJobMetrics(),
		prefix: "e/",
		decode: item => (typeof item.value === "string" ? record(item.value) : undefined),
		onList: records => void (last = records.map(({id}) => id)),
		isNeeded: () => true,
	})
	return {clock, fake, list, last: () => last}
}

describe("executor list", () => {
	it("keeps entries that lapsed during a store outage until the grace after it is over", async () => {
		const {clock, fake, list, last} = createList()
		await clock.advance(1_000)
		expect(last()).to.eql(["e1", "e2"])
		fake.isAway = true
		await clock.advance(5_000)
		fake.items.delete("e/2")
		fake.isAway = false
		await clock.advance(2_000)
		expect(last()).to.eql(["e1", "e2"])
		// Two seconds of grace, a read that notices the return, and one after the grace.
		await clock.advance(1_100)
		expect(last()).to.eql(["e1"])
		list.close()
	})

	it("keeps an entry that returns within the grace", async () => {
		const {clock, fake, list, last} = createList()
		await clock.advance(1_000)
		fake.isAway = true
		await clock.advance(700)
		fake.items.delete("e/2")
		fake.isAway = false
		await clock.advance(1_900)
		fake.write("e/2", "e2")
		await clock.advance(3_000)
		expect(last()).to.eql(["e1", "e2"])
		list.close()
	})

	it("drops an entry that is missing while the store is available, at the next read", async () => {
		const {clock, fake, list, last} = createList()
		await clock.advance(2_000)
		fake.items.delete("e/1")
		// An executor that leaves without notice gets no new work well within 2 s.
		await clock.advance(700)
		expect(last()).to.eql(["e2"])
		list.close()
	})
})

describe("executor list, followed by its changes", () => {
	/** A list whose watch is answered by the test. */
	function createFollowed() {
		const world = createList()
		const waiting: ((change: StoreChange | undefined) => void)[] = []
		world.fake.watch = () => new Promise(resolve => waiting.push(resolve))
		const change = (part: Partial<StoreChange>) =>
			waiting.shift()?.({items: [], deleted: [], revision: 9, ...part})
		return {...world, change, cut: () => waiting.shift()?.(undefined)}
	}

	it("is listed once, and then follows the changes", async () => {
		const {clock, fake, list, last, change} = createFollowed()
		await clock.advance(100)
		change({items: [{key: "e/3", value: "e3", revision: 5}]})
		await clock.advance(2_000)
		change({deleted: ["e/1"]})
		await clock.advance(2_000)
		expect(last()).to.eql(["e2", "e3"])
		expect(fake.lists).to.equal(1)
		list.close()
	})

	it("is listed regularly, so that a missed change is found", async () => {
		const {clock, fake, list, last, change} = createFollowed()
		await clock.advance(100)
		fake.items.delete("e/1")
		for (let at = 0; at < 9; at++) {
			await clock.advance(600)
			change({})
		}
		await clock.advance(10)
		expect(last()).to.eql(["e2"])
		list.close()
	})

	it("is listed again when its changes are lost", async () => {
		const {clock, fake, list, last, cut} = createFollowed()
		await clock.advance(100)
		fake.items.delete("e/1")
		await clock.advance(600)
		cut()
		await clock.advance(10)
		expect(last()).to.eql(["e2"])
		expect(fake.lists).to.equal(2)
		list.close()
	})

	it("does not hold an executor that one answer adds and deletes", async () => {
		const {clock, list, last, change} = createFollowed()
		await clock.advance(100)
		change({items: [{key: "e/3", value: "e3", revision: 5}], deleted: ["e/3"]})
		await clock.advance(1)
		expect(last()).to.eql(["e1", "e2"])
		list.close()
	})

	it("drops only the executor whose entry became unreadable", async () => {
		const {clock, list, last, change} = createFollowed()
		await clock.advance(100)
		change({deleted: ["e/1"], unreadable: ["e/1"]})
		await clock.advance(1)
		expect(last()).to.eql(["e2"])
		// The next watch follows after the batching pause.
		await clock.advance(400)
		change({items: [{key: "e/2", value: {of: "another shape"}, revision: 6}]})
		await clock.advance(1)
		expect(last()).to.eql([])
		list.close()
	})

	it("drops such an entry also during the grace after a store outage", async () => {
		const {clock, fake, list, last, cut} = createFollowed()
		await clock.advance(100)
		fake.isAway = true
		cut()
		await clock.advance(2_000)
		fake.items.delete("e/2")
		fake.write("e/1", {of: "another shape"})
		fake.isAway = false
		await clock.advance(700)
		expect(last()).to.eql(["e2"])
		list.close()
	})
})

describe("fleet view, entries of another writer", () => {
	it("ignores invalid members and claims", () => {
		const claims: Claim[] = []
		const view = createFleetView(createFakeClock(), claim => void claims.push(claim))
		const odd = [null, 7, "text", {}, {fence: "3"}, {failureDomain: "a", fence: 2, placer: {}}]
		odd.forEach((value, at) => {
			view.applyChanges([{key: memberKey(`n${at}`), value, revision: at}], [])
			view.applyChanges([{key: claimKey("a"), value, revision: at}], [])
		})
		view.applyChanges([{key: memberKey("a-1"), value: member("a-1"), revision: 9}], [])
		expect(view.members().map(({name}) => name)).to.eql(["a-1"])
		expect(claims).to.eql([])
	})
})
