/** The use of speeds that a previous placer learnt: choice of executors, stuck runs and health. */
import {createJobMetrics, silentLog, type Claim} from "@cottonwood/jobs"
import {
	createHostedPlacers,
	createPersistentSpeeds,
	createSpeedStores,
	speedKey,
	type Keeper,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock, type FakeClock} from "./support/fake-clock.js"
import {FakeExecutors, FakeFleet, record} from "./support/fake-executors.js"
import {createFakeStore} from "./support/fake-store.js"
import {createTestPlacer} from "./support/placers.js"
import {LEASE_RULE, NO_ADVISOR, NO_KEPT_RUNS, taskRequest} from "./support/requests.js"

const ignore = () => undefined
const EXECUTORS = [record("e1"), record("e2"), record("e3")]

/** An instance from its start to its end. */
function createInstance(
	session: string,
	clock: FakeClock,
	store: ReturnType<typeof createFakeStore>["store"],
) {
	const self = {name: "a-1", session, failureDomain: "a", address: "a-1:1", cpuShare: 1}
	const metrics = createJobMetrics()
	const keeper = {...NO_KEPT_RUNS, begin: ignore, close: ignore, jobCount: () => 0}
	const orders = new FakeFleet(clock)
	const hosts = createHostedPlacers({
		clock,
		orders,
		advisor: NO_ADVISOR,
		log: silentLog,
		metrics,
		self,
		leaseRule: LEASE_RULE,
		stopGraceMs: 50,
		handOver: () => false,
		onRoomChange: ignore,
		createKeeper: () => keeper as unknown as Keeper,
		executorsOf: () => EXECUTORS,
		isEvacuated: () => false,
		openSpeedStore: createSpeedStores({clock, store, log: silentLog, metrics}).open,
	})
	const claimOf = (fence: number): Claim => ({failureDomain: "a", fence, placer: self})
	async function place(task: string) {
		const startBy = clock.now() + 40
		hosts.of("a")?.placer.submit(taskRequest(task, {startBy, estimateMs: 100}), ignore, ignore)
		await clock.advance(10)
		return orders.starts.find(start => start.task === task)?.executor
	}
	return {hosts, orders, claimOf, place}
}

describe("inherited speeds", () => {
	it("decide where the first task goes after a loss of all instances", async () => {
		// The only instance learns that e2 is fast, and is replaced by one with no state but the store.
		const clock = createFakeClock()
		const {store} = createFakeStore()
		const before = createInstance("s1", clock, store)
		before.hosts.noteClaim(before.claimOf(1))
		await clock.advance(20)
		const speeds = before.hosts.of("a")?.speedStore?.speeds
		for (let run = 0; run < 15; run++)
			for (const [id, slowness] of [
				["e1", 1.6],
				["e2", 0.6],
				["e3", 1.6],
			] as const)
				speeds?.observe(id, slowness)
		await clock.advance(2_100)
		before.hosts.close()
		await clock.advance(560)
		const after = createInstance("s2", clock, store)
		after.hosts.noteClaim(after.claimOf(2))
		await clock.advance(20)
		expect(await after.place("j.0.0.0")).to.equal("e2")
	})

	it("are not written by a placer that has lost its domain", async () => {
		const clock = createFakeClock()
		const {fake, store} = createFakeStore()
		const {hosts, claimOf} = createInstance("s1", clock, store)
		hosts.noteClaim(claimOf(1))
		await clock.advance(20)
		const speeds = hosts.of("a")?.speedStore?.speeds
		const other = {...claimOf(2), placer: {...claimOf(2).placer, session: "other"}}
		hosts.noteClaim(other)
		for (let run = 0; run < 15; run++) speeds?.observe("e1", 3)
		await clock.advance(5_000)
		expect(fake.puts).to.equal(0)
	})

	it("do not prevent placing when the record is invalid", async () => {
		const clock = createFakeClock()
		const {fake, store} = createFakeStore()
		fake.write(speedKey("a"), "no record at all")
		const {hosts, claimOf, place} = createInstance("s1", clock, store)
		hosts.noteClaim(claimOf(1))
		await clock.advance(20)
		expect(await place("j.0.0.0")).to.be.oneOf(["e1", "e2", "e3"])
	})

	it("do not prevent placing while the store does not answer", async () => {
		const clock = createFakeClock()
		const {store} = createFakeStore()
		const silent = {...store, get: () => new Promise<undefined>(ignore)}
		const {hosts, claimOf, place} = createInstance("s1", clock, silent)
		hosts.noteClaim(claimOf(1))
		await clock.advance(20)
		expect(await place("j.0.0.0")).to.be.oneOf(["e1", "e2", "e3"])
	})
})

describe("runs on executors whose speed is known", () => {
	/** How long a run of 4,000 ms goes on without progress before it is stopped. */
	async function stuckAfterMs(slowness: number): Promise<number> {
		const clock = createFakeClock()
		const orders = new FakeExecutors(clock)
		const speeds = createPersistentSpeeds(() => clock.now())
		const inherited = new Map([["e1", {mean: Math.log(slowness), weight: 9, outliers: 0}]])
		speeds.merge({executors: inherited, labels: new Map()})
		const placer = createTestPlacer({clock, orders, speeds})
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		orders.percent = 0
		const startBy = clock.now() + 20_000
		placer.submit(taskRequest("j.0.0.0", {estimateMs: 4_000, startBy}), ignore, ignore)
		const startedAt = clock.now()
		while (orders.stops.length === 0 && clock.now() < startedAt + 9_000) await clock.advance(50)
		return clock.now() - startedAt
	}

	it("count as stuck by their expected time there", async () => {
		// The limit is 0.6 of the expected time on the executor without progress.
		const [fast, plain, slow] = [
			await stuckAfterMs(0.6),
			await stuckAfterMs(1),
			await stuckAfterMs(2),
		]
		expect(fast).to.be.within(1_440, 2_000)
		expect(plain).to.be.within(2_400, 3_000)
		expect(slow).to.be.within(4_800, 5_400)
	})

	it("do not set a slow executor aside for one outlier", async () => {
		// The executor is known to take twice its estimates; then one task takes seven times as long as that.
		const clock = createFakeClock()
		const orders = new FakeFleet(clock)
		const speeds = createPersistentSpeeds(() => clock.now())
		const metrics = createJobMetrics()
		const placer = createTestPlacer({clock, orders, speeds, metrics})
		placer.setExecutors([record("e1"), record("e2")])
		await clock.advance(10)
		async function run(task: string, avoid: string, ms: number) {
			const startBy = clock.now() + 9_000
			placer.submit(taskRequest(task, {estimateMs: 100, startBy, avoid: [avoid]}), ignore, ignore)
			for (let percent = 1; percent <= 50; percent++) {
				orders.percent = percent
				await clock.advance(ms / 50)
			}
			orders.end(task, "done")
			await clock.advance(5)
		}
		for (let at = 0; at < 12; at++) {
			await run(`e.0.0.${at}`, "e1", 100)
			await run(`s.0.0.${at}`, "e2", 200)
		}
		await run("t.0.0.0", "e2", 1_400)
		expect(speeds.expectedSlowness("e1")).to.be.within(1.5, 2.5)
		expect(await metrics.text()).to.not.include('cottonwood_executors_aside{reason="aside"}')
	})
})
