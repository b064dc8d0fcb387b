/** Speeds stored for successors: the record, when it is written and read, and invalid records. */
import {createJobMetrics, silentLog, type Claim} from "@cottonwood/jobs"
import {
	createSpeedStores,
	decodeSpeeds,
	encodeSpeeds,
	speedKey,
	SPEED_PREFIX,
	FLEET_PREFIX,
	type KnownSpeeds,
	type Speed,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock, type FakeClock} from "./support/fake-clock.js"
import {createFakeStore} from "./support/fake-store.js"

const placer = {name: "a-1", session: "s1", failureDomain: "a", address: "a-1:1", cpuShare: 1}
const claimOf = (fence: number): Claim => ({failureDomain: "a", fence, placer})

/** An instance with no state but the store. */
function createInstance(clock: FakeClock, store: ReturnType<typeof createFakeStore>["store"]) {
	const metrics = createJobMetrics()
	return {metrics, stores: createSpeedStores({clock, store, log: silentLog, metrics})}
}

function createWorld() {
	const clock = createFakeClock()
	const {fake, store} = createFakeStore()
	return {clock, fake, store, begin: () => createInstance(clock, store)}
}

const speed = (slowness: number, weight = 9): Speed => ({
	mean: Math.log(slowness),
	weight,
	outliers: 0,
})

/** Executor ids in the platform's format. */
const idOf = (at: number) => `i-${at.toString(16).padStart(10, "0")}`

function fleetOf(size: number): KnownSpeeds {
	const executors = new Map<string, Speed>()
	for (let at = 0; at < size; at++) executors.set(idOf(at), speed(1 / 32, 20))
	return {executors, labels: new Map([["a", speed(1)]])}
}

function learn(keeper: ReturnType<ReturnType<typeof createSpeedStores>["open"]>, runs = 20) {
	for (const [id, slowness] of [
		["fast", 0.6],
		["slow", 1.6],
	] as const) {
		keeper.speeds.add({id, labels: ["a"]})
		for (let run = 0; run < runs; run++) keeper.speeds.observe(id, slowness)
	}
}

describe("the record of speeds", () => {
	it("is small even for a large domain", () => {
		expect(JSON.stringify(encodeSpeeds(fleetOf(120), 4)).length).to.be.lessThan(4_000)
		expect(JSON.stringify(encodeSpeeds(fleetOf(700), 4)).length).to.be.lessThan(17_000)
	})

	it("is stored outside the prefix that all instances follow", () => {
		// Each change of a followed key costs an answer and a call at every instance.
		expect(speedKey("a").startsWith(FLEET_PREFIX)).to.equal(false)
		expect(speedKey("a").startsWith(SPEED_PREFIX)).to.equal(true)
	})

	it("has sufficient precision", () => {
		const known = {executors: new Map([["e", speed(1.6)]]), labels: new Map([["a", speed(0.7)]])}
		const {executors, labels, dropped} = decodeSpeeds(
			JSON.parse(JSON.stringify(encodeSpeeds(known, 1))),
		)
		expect(Math.exp(executors.get("e")!.mean)).to.be.closeTo(1.6, 0.05)
		expect(Math.exp(labels.get("a")!.mean)).to.be.closeTo(0.7, 0.03)
		expect(dropped).to.equal(0)
	})

	it("drops invalid entries one by one", () => {
		const bad: readonly unknown[] = [
			null,
			"x",
			5,
			{},
			[1],
			[1, 2, 3],
			[Number.NaN, 5],
			[null, 5],
			["1", 5],
			[0.5, 5],
			[1e9, 5],
			[-1e9, 5],
			[1, -5],
			[1, 0],
			[1, 1e9],
		]
		const executors: Record<string, unknown> = {good: [9, 5], ["x".repeat(1_000)]: [9, 5]}
		bad.forEach((entry, at) => (executors[`bad${at}`] = entry))
		const read = decodeSpeeds({fence: "x", executors, labels: {a: [2, 4]}})
		expect([...read.executors.keys()]).to.eql(["good"])
		expect([...read.labels.keys()]).to.eql(["a"])
		expect(read.dropped).to.equal(bad.length + 1)
		for (const value of [undefined, null, 7, "x", [], {}, {executors: []}])
			expect(decodeSpeeds(value).executors.size).to.equal(0)
	})

	it("bounds the number of decoded entries", () => {
		const executors: Record<string, unknown> = {}
		for (let at = 0; at < 5_000; at++) executors[idOf(at)] = [1, 5]
		expect(decodeSpeeds({executors, labels: {}}).executors.size).to.equal(2_000)
	})
})

describe("stored speeds", () => {
	it("let a successor begin with its predecessor's speeds", async () => {
		const {clock, begin} = createWorld()
		const first = begin().stores.open(claimOf(1))
		await clock.advance(10)
		learn(first)
		await clock.advance(2_000)
		first.close()
		const second = begin().stores.open(claimOf(2))
		second.speeds.add({id: "fast", labels: ["a"]})
		second.speeds.add({id: "slow", labels: ["a"]})
		await clock.advance(10)
		expect(second.speeds.expectedSlowness("fast")).to.be.lessThan(0.75)
		expect(second.speeds.expectedSlowness("slow")).to.be.greaterThan(1.4)
		// After twenty runs its own runs outweigh the inherited speed.
		for (let run = 0; run < 20; run++) second.speeds.observe("fast", 1.5)
		expect(second.speeds.expectedSlowness("fast")).to.be.greaterThan(Math.sqrt(0.6 * 1.5))
	})

	it("are available after a loss of all instances as soon as the store answers", async () => {
		const {clock, begin} = createWorld()
		const before = begin().stores.open(claimOf(1))
		await clock.advance(10)
		learn(before)
		await clock.advance(2_500)
		before.close()
		await clock.advance(560)
		const after = begin().stores.open(claimOf(2))
		await clock.advance(1)
		after.speeds.add({id: "slow", labels: ["a"]})
		expect(after.speeds.expectedSlowness("slow")).to.be.greaterThan(1.4)
		// A new executor begins with its label's speed.
		after.speeds.add({id: "new", labels: ["a"]})
		expect(after.speeds.expectedSlowness("new")).to.not.equal(after.speeds.expectedSlowness("slow"))
	})

	it("are read once the store is available, and merged with those learnt meanwhile", async () => {
		const {clock, fake, begin} = createWorld()
		fake.write(speedKey("a"), {fence: 1, executors: {slow: [9, 9], fast: [-10, 9]}, labels: {}})
		fake.isAway = true
		const keeper = begin().stores.open(claimOf(2))
		await clock.advance(3_000)
		learn(keeper, 1)
		await clock.advance(3_000)
		// Nothing is written before the record was read, since that would overwrite it.
		expect(fake.puts).to.equal(0)
		fake.isAway = false
		await clock.advance(500)
		expect(keeper.speeds.expectedSlowness("slow")).to.be.greaterThan(1.4)
		expect(keeper.speeds.expectedSlowness("fast")).to.be.lessThan(0.75)
	})

	it("are written when they change, and again when a write fails", async () => {
		const {clock, fake, begin} = createWorld()
		const keeper = begin().stores.open(claimOf(1))
		await clock.advance(5_000)
		expect(fake.puts, "nothing was learnt").to.equal(0)
		learn(keeper)
		fake.isAway = true
		await clock.advance(4_000)
		expect(fake.puts, "failed, and tried again").to.equal(2)
		fake.isAway = false
		await clock.advance(10_000)
		expect(fake.puts, "written once").to.equal(3)
		// Noise causes no write; a slowdown does.
		keeper.speeds.observe("slow", 1.4)
		await clock.advance(4_000)
		expect(fake.puts).to.equal(3)
		for (let run = 0; run < 8; run++) keeper.speeds.observe("slow", 9)
		await clock.advance(2_000)
		expect(fake.puts).to.equal(4)
		keeper.close()
		for (let run = 0; run < 8; run++) keeper.speeds.observe("slow", 1)
		await clock.advance(5_000)
		expect(fake.puts, "another placer has the domain").to.equal(4)
	})

	it("include inherited speeds of executors that have not appeared yet", async () => {
		// The list may be late or incomplete, and a placer lost meanwhile must not lose the others' speeds.
		const {clock, fake, begin} = createWorld()
		fake.write(speedKey("a"), {fence: 1, executors: {late: [9, 9]}, labels: {}})
		const keeper = begin().stores.open(claimOf(2))
		await clock.advance(10)
		learn(keeper)
		await clock.advance(2_500)
		const {executors} = decodeSpeeds(fake.items.get(speedKey("a"))?.value)
		expect([...executors.keys()].sort()).to.eql(["fast", "late", "slow"])
	})

	it("are counted where invalid or of unknown executors, and the others are used", async () => {
		const {clock, fake, begin} = createWorld()
		fake.write(speedKey("a"), {executors: {slow: [9, 9], gone: [9, 9], bad: ["x", 1]}, labels: 7})
		const {metrics, stores} = begin()
		const keeper = stores.open(claimOf(2))
		keeper.speeds.add({id: "slow", labels: []})
		await clock.advance(6_000)
		expect(keeper.speeds.expectedSlowness("slow")).to.be.greaterThan(1.3)
		const text = await metrics.text()
		expect(text).to.include('cottonwood_broken_assumptions{reason="speed_entry"} 2')
		expect(text).to.include('cottonwood_speeds_dropped{reason="not listed"} 1')
		expect(text).to.include("cottonwood_speeds_known 1")
	})
})
