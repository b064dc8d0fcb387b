/** Slices of a failure domain: their executors, and what becomes of runs when a slice is added or loses its placer. */
import {createJobMetrics, silentLog, type Claim, type Member} from "@cottonwood/jobs"
import {
	claimKey,
	effectiveClaims,
	createEvacuations,
	createExecutorList,
	createFleetView,
	createOverflow,
	createSlicing,
	executorsOfSlice,
	failureDomainOf,
	fenceFloorOf,
	isFenceInRange,
	sliceName,
	sliceOf,
	targetSliceCount,
	type TaskEnd,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {record} from "./support/fake-executors.js"
import {createFakeStore} from "./support/fake-store.js"
import {fakePeers} from "./support/peers.js"
import {LEASE_RULE, taskRequest} from "./support/requests.js"
import {createSlicedDomain} from "./support/sliced-domain.js"

const placer: Member = {
	name: "a-1",
	session: "a-1-s",
	failureDomain: "a",
	address: "a-1:1",
	cpuShare: 1,
}

describe("slices of a failure domain", () => {
	it("are named so that the first slice has the domain's name", () => {
		expect(sliceName("a", 0)).to.equal("a")
		expect(failureDomainOf(sliceName("a", 3))).to.equal("a")
		expect(failureDomainOf("a/slice-0"), "no name that we give").to.equal("a/slice-0")
		expect(fenceFloorOf("a")).to.equal(0)
	})

	/* An executor that moved to an older slice would refuse its placer, whose fence is lower. */
	it("lose executors only to a new slice, and have about as many each", () => {
		const records = Array.from({length: 750}, (_, at) => record(`10.0.${at % 7}.${at}`))
		for (let count = 1; count < 8; count++) {
			const sizes = Array.from({length: count}, () => 0)
			for (const one of records) {
				const before = sliceOf(one, count)
				const after = sliceOf(one, count + 1)
				expect(after === before || after === count).to.equal(true)
				sizes[before] = (sizes[before] ?? 0) + 1
			}
			const fair = records.length / count
			for (const size of sizes) expect(size).to.be.within(fair * 0.75, fair * 1.25)
		}
	})

	it("have each executor once", () => {
		const records = Array.from({length: 40}, (_, at) => record(`e${at}`))
		const ids = [0, 1, 2].flatMap(index =>
			executorsOfSlice(sliceName("a", index), 3, records).map(({id}) => id),
		)
		expect(ids.sort()).to.eql(records.map(({id}) => id).sort())
	})

	it("are as many as the executors need and the instances allow, and never fewer than before", () => {
		const domain = {executors: 750, executorsPerPlacer: 150, instances: 100, slices: 1}
		expect(targetSliceCount(domain)).to.equal(5)
		expect(targetSliceCount({...domain, instances: 2})).to.equal(2)
		expect(targetSliceCount({...domain, executors: 150})).to.equal(1)
		expect(targetSliceCount({...domain, executors: 10, slices: 4})).to.equal(4)
	})

	/* Another writer may have written the store's entries; no executor would obey a claim with a low fence. */
	it("drop a claim with a fence outside the slice's range, and one under another key", () => {
		const dropped: Claim[] = []
		const view = createFleetView(
			createFakeClock(),
			() => undefined,
			(_reason, claim) => void dropped.push(claim as Claim),
		)
		const claimOf = (index: number, fence: number): Claim => {
			return {failureDomain: sliceName("a", index), fence, placer}
		}
		view.noteClaim(claimOf(0, 4))
		view.noteClaim(claimOf(1, 1_000_001))
		expect(view.sliceCount("a")).to.equal(2)
		const foreign = [claimOf(1, 7), claimOf(1, 2_000_001), claimOf(1, 1_000_002.5), claimOf(2, NaN)]
		for (const claim of foreign) expect(isFenceInRange(claim)).to.equal(false)
		view.applyListing(
			foreign.map(value => ({key: claimKey(value.failureDomain), value, revision: 9})),
		)
		for (const claim of foreign) view.noteClaim(claim)
		view.applyListing([{key: claimKey("a"), value: claimOf(2, 2_000_001), revision: 9}])
		view.applyListing([{key: claimKey("a/slice-2"), value: {count: "many"}, revision: 9}])
		expect(dropped.length).to.equal(2 * foreign.length + 1)
		expect(view.sliceCount("a")).to.equal(2)
		expect(view.claimOf("a/slice-1")?.fence).to.equal(1_000_001)
	})

	it("are evacuated with their domain", () => {
		const evacuations = createEvacuations({
			log: silentLog,
			metrics: createJobMetrics(),
			decodeEvacuation: () => undefined,
			onChange: () => undefined,
		})
		evacuations.applySnapshot({revision: 3, failureDomains: ["a"]}, "a-2")
		expect(["a", "a/slice-2", "b/slice-2"].map(evacuations.isUnderWay)).to.eql([true, true, false])
	})

	/* Traffic between domains is expensive, and other domains may need their spare capacity. */
	it("take a task that found no room in another slice before other domains do", () => {
		const clock = createFakeClock()
		const view = createFleetView(clock, () => undefined)
		const asked: string[] = []
		const members = ["a-2", "b-1"].map(name => {
			return {...placer, name, session: name, address: `${name}:1`, failureDomain: name.charAt(0)}
		})
		const [near, far] = members as [Member, Member]
		view.noteClaim({failureDomain: "a", fence: 1, placer})
		view.noteClaim({failureDomain: "b", fence: 1, placer: far})
		view.noteClaim({failureDomain: "a/slice-1", fence: 1_000_001, placer: near})
		const overflow = createOverflow({
			clock,
			leaseRule: LEASE_RULE,
			view,
			self: placer,
			log: silentLog,
			metrics: createJobMetrics(),
			peers: fakePeers({
				runTask(address) {
					asked.push(address)
					const reply = new Promise<undefined>(() => undefined)
					return {reply, wasUnsent: () => false, wasRefused: () => false, cancel: () => undefined}
				},
			}),
		})
		const tell = (from: Member, name: string, freeCpu: number) => {
			const room = {freeCpu: [freeCpu], totalCpu: 64_000, waitingWork: 0, labels: []}
			const beat = {from, claims: [], rooms: {[name]: room}, isLeaving: false, configVersion: 1}
			view.applyHeartbeat(beat)
		}
		tell(far, "b", 64_000)
		tell(near, "a/slice-1", 30_000)
		const item = {since: clock.now(), onEnd: () => undefined, onStart: () => undefined}
		for (const task of ["j.0.0.0", "k.0.0.0"]) overflow.handOver({...item, req: taskRequest(task)})
		expect(asked).to.eql(["a-2:1", "b-1:1"])
	})

	it("do not count above an unclaimed slice", () => {
		const names = ["a", "a/slice-2", "b/slice-1"]
		const claims = new Map(names.map(name => [name, {failureDomain: name, fence: 1, placer}]))
		expect(effectiveClaims(claims).map(claim => claim.failureDomain)).to.eql(["a"])
	})
})

describe("a divided failure domain", () => {
	it("is not divided with no more executors than one placer may have", async () => {
		const domain = createSlicedDomain({instances: 3, executors: 6, executorsPerPlacer: 6})
		await domain.clock.advance(4_000)
		expect([...domain.fake.items.keys()].filter(key => key.includes("claim"))).to.eql([
			claimKey("a"),
		])
		expect((domain.fake.items.get(claimKey("a"))?.value as Claim).fence).to.equal(1)
		expect(domain.placed("a-1").length).to.equal(6)
	})

	/* All executors are full while the domain is divided into two and then three slices, so runs are handed over. */
	it("is divided under load without losing or repeating a run", async () => {
		const domain = createSlicedDomain({instances: 4, executors: 12, executorsPerPlacer: 4})
		await domain.clock.advance(150)
		for (let at = 0; at < 75; at++) {
			domain.submit(1)
			await domain.clock.advance(60)
		}
		await domain.clock.advance(2_000)
		expect(new Set(domain.placers()).size, "each at another instance").to.equal(3)
		expect(domain.ends).to.eql(Array(75).fill("completed"))
		expect(domain.startCount(), "nothing is stopped and done again").to.equal(75)
		expect(domain.faults).to.eql([])
		const placed = ["a-1", "a-2", "a-3", "a-4"].flatMap(domain.placed)
		expect(placed.sort()).to.eql(domain.records.map(({id}) => id).sort())
	})

	it("is divided within two seconds", async () => {
		const domain = createSlicedDomain({instances: 4, executors: 12, executorsPerPlacer: 4})
		await domain.clock.advance(2_000)
		expect(domain.placers().length).to.equal(3)
	})

	it("spreads its callers' jobs over its slices", async () => {
		const domain = createSlicedDomain({instances: 4, executors: 12, executorsPerPlacer: 4})
		await domain.clock.advance(3_000)
		domain.submit(12)
		await domain.clock.advance(100)
		const counts = domain.placers().map((name, index) => {
			const host = domain.at(name).hosts.of(sliceName("a", index))
			return host?.placer.counts().running ?? 0
		})
		for (const count of counts) expect(count).to.be.within(2, 6)
	})

	it("gives the slice of a lost placer with runs to the next instance", async () => {
		const domain = createSlicedDomain({instances: 4, executors: 12, executorsPerPlacer: 4})
		await domain.clock.advance(3_000)
		domain.submit(9)
		await domain.clock.advance(100)
		const [first, second, third] = domain.placers()
		domain.kill(second as string)
		await domain.clock.advance(4_000)
		const next = domain.placers()
		expect([next[0], next[2]], "the others stay").to.eql([first, third])
		expect(next[1], "the one that places nothing yet").to.equal("a-4")
		expect(domain.fenceOf("a/slice-1"), "at once").to.equal(fenceFloorOf("a/slice-1") + 2)
		const later = domain.submit(12)
		await domain.clock.advance(2_000)
		expect(later).to.eql(Array(12).fill("completed"))
		expect(domain.faults).to.eql([])
		expect(domain.placed("a-4").length).to.equal(domain.sizeOf(1, 3))
	})

	it("hands a slice and its runs over to an instance without a slice on a planned stop", async () => {
		const domain = createSlicedDomain({instances: 4, executors: 12, executorsPerPlacer: 4})
		await domain.clock.advance(3_000)
		domain.submit(12)
		await domain.clock.advance(100)
		const third = domain.placers()[2] as string
		await Promise.all([domain.leave(third), domain.clock.advance(2_500)])
		expect(domain.placers()[2]).to.equal("a-4")
		expect(domain.fenceOf("a/slice-2"), "at once").to.equal(fenceFloorOf("a/slice-2") + 2)
		expect(domain.ends.filter(type => type !== "completed")).to.eql([])
		expect(domain.ends.length).to.equal(12)
		expect(domain.faults).to.eql([])
	})

	/*
	 * A slice's placer reaches neither the store nor its peers while executors move to a new slice and refuse its fence. It goes on
	 * with its other executors, and reports the runs on those that moved as lost once they have certainly ended.
	 */
	it("keeps a partitioned placer while another slice is added", async () => {
		const domain = createSlicedDomain({instances: 3, executors: 12, executorsPerPlacer: 6})
		await domain.clock.advance(1_500)
		const [, second] = domain.placers() as [string, string]
		expect(domain.placers().length).to.equal(2)
		const {is, hosts} = domain.at(second)
		domain.submit(18)
		await domain.clock.advance(100)
		is.cutFromStore = true
		is.cutFromPeers = true
		const third = domain.at("a-3")
		const fence = fenceFloorOf("a/slice-2")
		third.hosts.expectHandover({failureDomain: "a/slice-2", fence: fence + 1}, [])
		await Promise.all([third.claims.claimNow("a/slice-2", fence), domain.clock.advance(50)])
		await domain.clock.advance(300)
		// The platform's list is read again periodically.
		hosts.setExecutors(domain.records)
		await domain.clock.advance(100)
		expect(hosts.of("a/slice-1")).to.not.equal(undefined)
		const gone = domain.sizeOf(1, 2) - domain.sizeOf(1, 3)
		expect(gone, "the test needs some").to.be.greaterThan(0)
		expect(domain.placed(second).length).to.equal(domain.sizeOf(1, 3))
		is.cutFromStore = false
		is.cutFromPeers = false
		await domain.clock.advance(3_000)
		expect(domain.faults).to.eql([])
		expect(domain.at(second).view.sliceCount("a")).to.equal(3)
		expect(hosts.of("a/slice-1")?.jobs.size, "jobs that nobody can end").to.equal(0)
		expect(domain.placed("a-3").length).to.equal(domain.sizeOf(2, 3))
		const later = domain.submit(12)
		await domain.clock.advance(2_000)
		expect(later).to.eql(Array(12).fill("completed"))
	})

	/* A silent placer cannot hand over the runs on executors that move, so the next slice waits for its successor. */
	it("is not divided further while a slice's placer is silent", async () => {
		const domain = createSlicedDomain({instances: 4, executors: 8, executorsPerPlacer: 4})
		const {clock} = domain
		await clock.advance(3_000)
		domain.kill(domain.placers()[1] as string)
		// The placer counts as alive until its heartbeats are missed.
		await clock.advance(700)
		domain.addExecutors(4)
		for (let ms = 0; ms < 4_000 && domain.placers().length < 3; ms += 10) await clock.advance(10)
		expect(domain.fenceOf("a/slice-1")).to.equal(fenceFloorOf("a/slice-1") + 2)
	})

	it("is placed entirely by the one instance that is left of two", async () => {
		const domain = createSlicedDomain({instances: 2, executors: 12, executorsPerPlacer: 4})
		await domain.clock.advance(3_000)
		expect(domain.placers().length, "no more slices than instances").to.equal(2)
		const [first, second] = domain.placers() as [string, string]
		domain.kill(first)
		await domain.clock.advance(4_000)
		expect(domain.placers()).to.eql([second, second])
		domain.submit(12)
		await domain.clock.advance(2_000)
		// A new instance gets the second slice.
		domain.addInstance("a-3")
		domain.submit(12)
		await domain.clock.advance(4_000)
		expect(domain.placers()).to.eql([second, "a-3"])
		expect(domain.ends).to.eql(Array(24).fill("completed"))
		expect(domain.faults).to.eql([])
	})

	it("recovers from the loss of a new slice's placer just after it has written its claim", async () => {
		const domain = createSlicedDomain({instances: 4, executors: 12, executorsPerPlacer: 6})
		domain.submit(9)
		while (domain.placers().length < 2) await domain.clock.advance(5)
		const died = domain.placers()[1] as string
		domain.kill(died)
		await domain.clock.advance(4_000)
		expect(domain.placers()[1]).to.not.equal(died)
		const later = domain.submit(12)
		await domain.clock.advance(2_000)
		expect(later).to.eql(Array(12).fill("completed"))
		expect(domain.faults).to.eql([])
	})

	/* The instance that asked learns of the claim from the store, and hands over then. */
	it("is divided although the answers to its placer are lost", async () => {
		const domain = createSlicedDomain({instances: 4, executors: 12, executorsPerPlacer: 4})
		domain.at("a-1").is.deaf = true
		await domain.clock.advance(5_000)
		expect(new Set(domain.placers()).size).to.equal(3)
		const placed = ["a-1", "a-2", "a-3", "a-4"].flatMap(domain.placed)
		expect(placed.sort()).to.eql(domain.records.map(({id}) => id).sort())
	})

	it("is not divided while the store is unavailable, and is once it is back", async () => {
		const domain = createSlicedDomain({instances: 4, executors: 12, executorsPerPlacer: 4})
		await domain.clock.advance(200)
		const all = ["a-1", "a-2", "a-3", "a-4"].map(name => domain.at(name).is)
		for (const is of all) is.cutFromStore = true
		domain.submit(6)
		await domain.clock.advance(3_000)
		expect(domain.placers().length).to.equal(1)
		expect(domain.ends).to.eql(Array(6).fill("completed"))
		for (const is of all) is.cutFromStore = false
		await domain.clock.advance(2_500)
		expect(domain.placers().length).to.equal(3)
	})

	/* The claims outlast the loss, and each instance recognises its own by its name. */
	it("is divided as before within half a second after a loss of all instances", async () => {
		const domain = createSlicedDomain({instances: 4, executors: 12, executorsPerPlacer: 4})
		await domain.clock.advance(3_000)
		const before = domain.placers()
		for (const name of ["a-1", "a-2", "a-3", "a-4"]) domain.kill(name)
		await domain.clock.advance(1_000)
		for (const name of ["a-1", "a-2", "a-3", "a-4"]) domain.addInstance(name, `${name}-next`)
		await domain.clock.advance(500)
		expect(domain.placers()).to.eql(before)
		for (const [index, name] of ["a", "a/slice-1", "a/slice-2"].entries()) {
			expect(domain.fenceOf(name)).to.equal(fenceFloorOf(name) + 2)
			expect(domain.placed(before[index] as string).length).to.equal(domain.sizeOf(index, 3))
		}
		const later = domain.submit(12)
		await domain.clock.advance(2_000)
		expect(later).to.eql(Array(12).fill("completed"))
	})

	/* The run of a kept job is not handed over: the new placer stops it, and no placer renews its lease. */
	it("reports a kept job's run on a moved executor as lost once it has certainly ended", async () => {
		const clock = createFakeClock()
		const view = createFleetView(clock, () => undefined)
		const common = {clock, view, self: placer, log: silentLog, metrics: createJobMetrics()}
		const slicing = createSlicing({
			...common,
			leaseRule: LEASE_RULE,
			peers: fakePeers(),
			overflow: {sendTo: () => expect.fail("handed over")},
			executorsPerPlacer: undefined,
			executorsOf: () => [],
			isPlacing: () => false,
			isLeaving: () => false,
		})
		view.noteClaim({failureDomain: "a", fence: 1, placer})
		view.noteClaim({failureDomain: "a/slice-1", fence: 1_000_001, placer})
		const moved = Array.from({length: 9}, (_, at) => record(`e${at}`)).find(
			one => sliceOf(one, 2) === 1,
		) as ReturnType<typeof record>
		const ends: string[] = []
		const item = {
			since: 0,
			onStart: () => undefined,
			onEnd: ({type}: TaskEnd) => void ends.push(type),
		}
		const req = taskRequest("j.0.0.0", {isKept: true})
		slicing.forwardRun("a", {...item, req}, {executor: moved.id, record: moved, isStarted: true})
		await clock.advance(LEASE_RULE.longestEndMs)
		expect(ends).to.eql([])
		await clock.advance(LEASE_RULE.endsWithinMs - LEASE_RULE.longestEndMs)
		expect(ends).to.eql(["lost"])
	})

	it("starts nothing in any slice while it is evacuated", async () => {
		const domain = createSlicedDomain({instances: 4, executors: 12, executorsPerPlacer: 4})
		await domain.clock.advance(3_000)
		domain.evacuate(true)
		domain.submit(9)
		await domain.clock.advance(1_000)
		expect(domain.runningCount()).to.equal(0)
		expect(new Set(domain.ends)).to.eql(new Set(["refused"]))
		domain.evacuate(false)
		domain.submit(9)
		await domain.clock.advance(100)
		expect(domain.runningCount()).to.equal(9)
	})

	it("is not divided by a request for a slice above a gap", async () => {
		const domain = createSlicedDomain({instances: 2, executors: 4})
		await domain.clock.advance(1_000)
		const asked = domain.at("a-2").claims.claimNow("a/slice-3", fenceFloorOf("a/slice-3"))
		expect(await asked).to.equal(false)
		expect(domain.placers().length).to.equal(1)
	})
})

describe("the list of executors", () => {
	/* Hundreds of entries are renewed each second at every placer, and decoding is expensive. */
	it("decodes an entry again only when it has changed", async () => {
		const clock = createFakeClock()
		const {fake, store} = createFakeStore()
		const lists: (readonly string[])[] = []
		let checks = 0
		createExecutorList({
			clock,
			store,
			log: silentLog,
			metrics: createJobMetrics(),
			prefix: "servers/",
			decode({key, value}) {
				checks++
				const {isLeaving} = value as {readonly isLeaving: boolean}
				return record(key.slice("servers/".length), {isLeaving})
			},
			onList: records => void lists.push(records.map(({id, isLeaving}) => `${id} ${isLeaving}`)),
			isNeeded: () => true,
		})
		fake.write("servers/e1", {isLeaving: false})
		await clock.advance(2_000)
		const before = checks
		fake.write("servers/e1", {isLeaving: false})
		await clock.advance(2_000)
		expect(checks).to.equal(before)
		fake.write("servers/e1", {isLeaving: true})
		await clock.advance(2_000)
		expect(lists.at(-1)).to.eql(["e1 true"])
	})
})
