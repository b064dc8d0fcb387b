import {
	assignEvenly,
	createEstimates,
	createHealth,
	createRetryBudget,
	emptyOwnership,
	creationTimeOf,
	moveShards,
	planOwnership,
	splitKey,
	submissionKey,
	writeSpacingMs,
	SHARD_COUNT,
} from "@cottonwood/core"
import {expect} from "chai"

function healthOf(share = 0.3) {
	let now = 0
	const changes: string[] = []
	const health = createHealth({
		now: () => now,
		maxAsideShare: () => share,
		probeAfterMs: () => 100,
		onChange: (target, state) => changes.push(`${target} ${state}`),
	})
	const run = (target: string, failed: boolean, slowness = 1) =>
		health.observe({target, failed, slowness})
	return {health, changes, run, advance: (ms: number) => void (now += ms)}
}

const TARGETS = ["a", "b", "c", "d", "e"]

describe("the health of targets", () => {
	it("sets aside a target that fails where its peers succeed", () => {
		const {health, run} = healthOf()
		for (let i = 0; i < 6; i++) for (const target of TARGETS) run(target, target === "a")
		expect(TARGETS.filter(target => health.isAside(target))).to.deep.equal(["a"])
	})

	it("sets no target aside when a task fails everywhere", () => {
		const {health, run} = healthOf()
		for (let i = 0; i < 10; i++) for (const target of TARGETS) run(target, true)
		expect(health.asideCount()).to.equal(0)
	})

	it("sets aside a straggler, and never more than the set share", () => {
		const {health, run} = healthOf(0.2)
		for (let i = 0; i < 40; i++) {
			for (const target of TARGETS) run(target, false, target < "c" ? 9 : 1)
		}
		expect(health.asideCount()).to.equal(1)
	})

	it("probes a target back in, one probe at a time", () => {
		const {health, run, changes, advance} = healthOf()
		for (let i = 0; i < 6; i++) for (const target of TARGETS) run(target, target === "a")
		expect(health.isUsable("a")).to.equal(false)
		advance(150)
		expect(health.isUsable("a")).to.equal(true)
		health.beginProbe("a")
		expect(health.isUsable("a")).to.equal(false)
		run("a", false)
		expect(changes).to.deep.equal(["a aside", "a back"])
	})

	// A probe that never ended kept a target aside for good.
	it("lets another probe follow one that takes longer than the delay between two", () => {
		const {health, run, advance} = healthOf()
		for (let i = 0; i < 6; i++) for (const target of TARGETS) run(target, target === "a")
		advance(150)
		health.beginProbe("a")
		advance(50)
		expect(health.isUsable("a")).to.equal(false)
		advance(100)
		expect(health.isUsable("a")).to.equal(true)
	})
})

describe("the retry budget", () => {
	it("is a share of first tries", () => {
		const budget = createRetryBudget(
			() => 0.1,
			() => 0,
		)
		while (budget.spend());
		for (let i = 0; i < 100; i++) budget.earn()
		let retries = 0
		while (budget.spend()) retries++
		expect(retries).to.be.within(9, 11)
	})

	it("keeps a reserve for little traffic, which refills with time", () => {
		let now = 0
		const budget = createRetryBudget(
			() => 0.1,
			() => now,
		)
		const spendAll = () => {
			let spent = 0
			while (budget.spend()) spent++
			return spent
		}
		expect(spendAll()).to.equal(20)
		expect(spendAll()).to.equal(0)
		now = 1_000
		expect(spendAll()).to.equal(5)
	})
})

describe("the assignment of targets", () => {
	it("is even, and the same whatever the order of the names", () => {
		const targets = Array.from({length: 10}, (_, i) => `x${i}`)
		const assigned = assignEvenly(targets, ["e1", "e2"])
		const ofFirst = [...assigned.values()].filter(member => member === "e1")
		expect(ofFirst).to.have.length(5)
		const again = assignEvenly([...targets].reverse(), ["e2", "e1"])
		expect([...again].sort()).to.deep.equal([...assigned].sort())
	})
})

describe("the ownership plan", () => {
	const view = (self: string, eligible: readonly string[], live = eligible) => ({
		self,
		eligible,
		live: new Set(live),
	})

	it("covers all shards once among the eligible sessions", () => {
		const names = ["s1", "s2", "s3"]
		const claims = names.flatMap(self => planOwnership(emptyOwnership(), view(self, names)).claims)
		expect(claims.sort((a, b) => a - b)).to.deep.equal(
			Array.from({length: SHARD_COUNT}, (_, i) => i),
		)
	})

	it("seals a dead owner before its shards are taken, and never a live one", () => {
		const moves = Array.from({length: SHARD_COUNT}, (_, shard) => ({shard, to: "dead"}))
		const map = moveShards(emptyOwnership(), moves, "n", 0, 1_000)
		const plan = planOwnership(map, view("s1", ["s1"]))
		expect(plan.seals).to.deep.equal(["dead"])
		expect(plan.claims).to.have.length(SHARD_COUNT)
		expect(planOwnership(map, view("s1", ["s1"], ["s1", "dead"])).claims).to.deep.equal([])
	})

	it("releases the shards of a draining session", () => {
		const moves = Array.from({length: SHARD_COUNT}, (_, shard) => ({shard, to: "old"}))
		const map = moveShards(emptyOwnership(), moves, "n", 0, 1_000)
		const {releases} = planOwnership(map, view("old", ["new"], ["old", "new"]))
		expect(releases).to.have.length(SHARD_COUNT)
	})

	it("forgets past owners only after the retention time", () => {
		const first = moveShards(emptyOwnership(), [{shard: 0, to: "a"}], "1", 0, 1_000)
		const second = moveShards(first, [{shard: 0, to: "b"}], "2", 100, 1_000)
		const third = moveShards(second, [{shard: 0, to: "c"}], "3", 500, 1_000)
		expect(third.shards[0]!.past.map(item => item.session)).to.deep.equal(["a", "b"])
		const fourth = moveShards(third, [{shard: 0, to: "d"}], "4", 1_200, 1_000)
		expect(fourth.shards[0]!.past.map(item => item.session)).to.deep.equal(["b", "c"])
	})
})

describe("ids and rates", () => {
	it("keeps caller and id apart in a key", () => {
		expect(submissionKey("a/b", "c")).to.not.equal(submissionKey("a", "b/c"))
		expect(splitKey(submissionKey("a/b", "c d"))).to.deep.equal({caller: "a/b", id: "c d"})
	})

	it("reads the creation time of a UUID version 7 only", () => {
		expect(creationTimeOf("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")).to.equal(1_645_557_742_000)
		expect(creationTimeOf("017f22e2-79b0-4cc3-98c4-dc0c0c07398f")).to.equal(undefined)
	})

	it("shares the store's writes among the instances", () => {
		expect(writeSpacingMs(200, 8)).to.equal(40)
	})

	it("learns run times per kind", () => {
		const estimates = createEstimates()
		for (let i = 0; i < 100; i++) estimates.observe("k", 80)
		expect(estimates.expectedMs("k")).to.be.closeTo(80, 1)
		expect(estimates.lateMs("k")).to.be.closeTo(80, 5)
	})
})
