/**
 * Lasting tasks of kept jobs whose executors end: a task that crashes its executors is given up, and one whose executors
 * crash now and then, or leave as planned, is not.
 */
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeFleet, record} from "./support/fake-executors.js"
import {accept, createKeeperWorld, ID, job, task} from "./support/keeper-world.js"
import {createTestPlacer} from "./support/placers.js"
import {step} from "./support/records.js"
import {taskRequest} from "./support/requests.js"

/** Longer than a run after which crashes are forgotten. */
const SOUND_MS = 61_000
/** Longer than a lasting task waits before it starts again. */
const RESTART_MS = 2_500
const EXECUTORS = ["e1", "e2", "e3", "e4"]

async function createWorld() {
	const world = createKeeperWorld()
	const first = world.beginPlacing({}, 0, {listed: EXECUTORS})
	await world.clock.advance(200)
	await accept(world, first.keeper, job({steps: [step({count: 1, isLasting: true})]}))
	const {orders, clock} = world
	const executor = () => world.startsOf(task(0)).at(-1)?.executor as string
	const starts = () => world.startsOf(task(0)).length
	async function crash() {
		orders.replace(executor())
		await clock.advance(RESTART_MS)
	}
	/** The executor's entry goes, it serves on for a while, and then another process is there. */
	async function leave() {
		const leaving = executor()
		const others = EXECUTORS.filter(id => id !== leaving)
		first.placer.setExecutors(others.map(id => record(id)))
		await clock.advance(500)
		orders.replace(leaving)
		await clock.advance(RESTART_MS)
	}
	return {...world, first, starts, crash, leave}
}

describe("a lasting task", () => {
	it("is given up when its executors crash soon after each start", async () => {
		const {crash, end, starts} = await createWorld()
		await crash()
		expect([end(), starts()]).to.eql([undefined, 2])
		await crash()
		expect([end()?.state, starts()]).to.eql(["failed", 2])
	})

	// Two crashes of executors in weeks made a sound task fail.
	it("is not given up for crashes between which it ran soundly", async () => {
		const {crash, clock, open, end, starts} = await createWorld()
		await crash()
		expect(open()?.crashes).to.eql({"0.0.0": 1})
		await clock.advance(SOUND_MS)
		expect(open()?.crashes).to.eql({"0.0.0": 0})
		await crash()
		expect([end(), starts(), open()?.crashes]).to.eql([undefined, 3, {"0.0.0": 1}])
		await crash()
		expect([end()?.state, starts()]).to.eql(["failed", 3])
	})

	it("is not given up for them after a takeover either", async () => {
		const world = await createWorld()
		await world.crash()
		world.first.close()
		const listed = EXECUTORS.filter(id => id !== world.startsOf(task(0))[0]?.executor)
		world.beginPlacing({}, 0, {listed})
		await world.clock.advance(SOUND_MS + RESTART_MS)
		await world.crash()
		expect([world.end(ID), world.starts()]).to.eql([undefined, 3])
	})

	// Executors that leave without saying so, one after another, made all lasting jobs fail.
	it("is not given up when its executors leave as planned without a word", async () => {
		const {leave, end, open, starts} = await createWorld()
		for (let times = 0; times < 2; times++) await leave()
		expect([end(), open()?.crashes, starts()]).to.eql([undefined, undefined, 3])
	})
})

describe("a lasting task that may crash its executor", () => {
	// It had its executor to itself for good, and others that could run nowhere else never started.
	it("has its executor to itself for a while only", async () => {
		const clock = createFakeClock()
		const orders = new FakeFleet(clock)
		const placer = createTestPlacer({clock, orders})
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		const submit = (name: string, extra: Parameters<typeof taskRequest>[1] = {}) =>
			placer.submit(
				taskRequest(name, {isKept: true, ...extra}),
				() => undefined,
				() => undefined,
			)
		submit("s.0.0.0", {isLasting: true, isolation: "required"})
		await clock.advance(10)
		submit("k.0.0.0")
		await clock.advance(2_500)
		expect(orders.starts.map(({task: started}) => started)).to.eql(["s.0.0.0"])
		await clock.advance(1_000)
		expect(orders.starts.map(({task: started}) => started)).to.eql(["s.0.0.0", "k.0.0.0"])
	})
})
