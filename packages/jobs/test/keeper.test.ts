/**
 * Kept jobs at their placer: accepted once their record is in the store, restored by the next
 * placer, and never run twice after a lost answer or a takeover.
 */
import {claimKey, createWallClock, openJobKey, type JobRecord} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {accept, createKeeperWorld as createWorld, ID, job, task} from "./support/keeper-world.js"
import {step} from "./support/records.js"

describe("keeper", () => {
	it("accepts a job once its record is in the store, and starts none of its tasks before", async () => {
		const world = createWorld()
		const {keeper} = world.beginPlacing()
		await world.clock.advance(200)
		world.fake.isAway = true
		const reply = keeper.accept(job())
		await world.clock.advance(500)
		expect(world.orders.starts).to.have.length(0)
		world.fake.isAway = false
		await world.clock.advance(500)
		expect((await reply).type).to.equal("accepted")
		expect(world.orders.starts).to.have.length(2)
	})

	it("answers that the outcome is unknown while the store does not answer, and runs the job once it is written", async () => {
		const world = createWorld()
		const {keeper} = world.beginPlacing()
		await world.clock.advance(200)
		world.fake.faults = Array.from({length: 40}, () => "lost" as const)
		const reply = keeper.accept(job())
		await world.clock.advance(2_000)
		expect((await reply).type).to.equal("unknown")
		world.fake.faults = []
		await world.clock.advance(1_000)
		expect(world.orders.starts).to.have.length(2)
	})

	it("refuses a job when the store has certainly not written it, and never runs it", async () => {
		const world = createWorld()
		const {keeper} = world.beginPlacing()
		await world.clock.advance(200)
		world.fake.isAway = true
		const replies = [keeper.accept(job()), keeper.accept(job())]
		await world.clock.advance(1_200)
		expect((await Promise.all(replies)).map(({type}) => type)).to.eql(["refused", "refused"])
		world.fake.isAway = false
		await world.clock.advance(3_000)
		expect(world.orders.starts).to.have.length(0)
		expect(world.open()).to.equal(undefined)
	})

	it("treats a second submission with the same id as the same job", async () => {
		const world = createWorld()
		const {keeper} = world.beginPlacing()
		await world.clock.advance(200)
		const replies = [keeper.accept(job()), keeper.accept(job())]
		await world.clock.advance(100)
		expect((await Promise.all(replies)).map(({type}) => type)).to.eql(["accepted", "accepted"])
		expect(world.orders.starts).to.have.length(2)
	})

	it("reports a job as ended only once its end is in the store", async () => {
		const world = createWorld()
		const {keeper} = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, keeper)
		expect(keeper.stateOf(ID)).to.equal("running")
		world.orders.end(task(0), "done")
		await world.clock.advance(50)
		world.fake.isAway = true
		world.orders.end(task(1), "done")
		await world.clock.advance(300)
		expect(world.end()).to.equal(undefined)
		expect(keeper.stateOf(ID)).to.equal("running")
		world.fake.isAway = false
		await world.clock.advance(800)
		expect(world.end()?.state).to.equal("completed")
		expect(world.open()).to.equal(undefined)
	})

	it("lets an executor forget an end only once it is in the store", async () => {
		const world = createWorld()
		const {keeper} = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, keeper)
		world.fake.isAway = true
		world.orders.end(task(0), "done")
		await world.clock.advance(400)
		expect(world.orders.forgotten).to.equal(0)
		world.fake.isAway = false
		await world.clock.advance(800)
		expect(world.orders.forgotten).to.equal(1)
	})

	it("fails a job after as many failed attempts as its queue allows, counted across placers", async () => {
		const world = createWorld()
		const first = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, first.keeper, job({steps: [step({count: 1})]}))
		world.orders.end(task(0), "failed")
		await world.clock.advance(200)
		expect(world.open()?.failures).to.eql({"0.0.0": 1})
		first.close()
		world.beginPlacing()
		await world.clock.advance(2_500)
		world.orders.end(task(0), "failed")
		await world.clock.advance(300)
		expect(world.end()?.state).to.equal("failed")
	})

	it("adopts running tasks on a takeover, and starts only the others", async () => {
		const world = createWorld()
		const first = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, first.keeper)
		world.orders.end(task(0), "done")
		await world.clock.advance(100)
		first.close()
		const second = world.beginPlacing()
		await world.clock.advance(3_000)
		expect(second.keeper.jobCount()).to.equal(1)
		expect(world.startsOf(task(0))).to.have.length(1)
		expect(world.startsOf(task(1))).to.have.length(1)
		expect(world.orders.stops).to.eql([])
		world.orders.end(task(1), "done")
		await world.clock.advance(300)
		expect(world.end()?.state).to.equal("completed")
	})

	it("adopts runs that executors listed before the store was read", async () => {
		const world = createWorld()
		const first = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, first.keeper)
		first.close()
		const {list} = world.store
		world.store.list = async prefix => {
			await world.clock.sleep(300)
			return list(prefix)
		}
		world.beginPlacing()
		await world.clock.advance(3_000)
		for (const at of [0, 1]) expect(world.startsOf(task(at))).to.have.length(1)
		expect(world.orders.stops).to.eql([])
	})

	it("does not load a job again that ended while the records were being read", async () => {
		const world = createWorld()
		const {keeper} = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, keeper)
		const {list} = world.store
		world.store.list = async prefix => {
			const listing = await list(prefix)
			await world.clock.sleep(400)
			return listing
		}
		// A listing begins every 2.5 s; the job ends while one is being read.
		await world.clock.advance(2_300)
		while (world.fake.lists < 2) await world.clock.advance(20)
		for (const at of [0, 1]) world.orders.end(task(at), "done")
		await world.clock.advance(2_000)
		expect(world.end()?.state).to.equal("completed")
		expect(keeper.jobCount()).to.equal(0)
		for (const at of [0, 1]) expect(world.startsOf(task(at))).to.have.length(1)
	})

	it("learns of ends that the previous placer had not recorded", async () => {
		const world = createWorld()
		const first = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, first.keeper)
		first.close()
		world.orders.end(task(0), "done")
		world.orders.end(task(1), "done")
		world.beginPlacing()
		await world.clock.advance(3_000)
		expect(world.startsOf(task(0))).to.have.length(1)
		expect(world.end()?.state).to.equal("completed")
	})

	it("learns of such ends at once on a planned handover, while it waits for other runs", async () => {
		const world = createWorld()
		const first = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, first.keeper)
		first.close()
		world.orders.end(task(0), "done")
		world.orders.end(task(1), "done")
		world.beginPlacing({}, 800)
		await world.clock.advance(400)
		expect(world.end()?.state).to.equal("completed")
		for (const at of [0, 1]) expect(world.startsOf(task(at))).to.have.length(1)
	})

	it("starts a restored job's tasks only once the previous placer's runs have certainly ended", async () => {
		const world = createWorld()
		const first = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, first.keeper)
		first.close()
		world.orders.isSilent = true
		const begunAt = world.clock.now()
		world.beginPlacing()
		const before = world.orders.starts.length
		await world.clock.advance(1_900)
		expect(world.orders.starts).to.have.length(before)
		world.orders.isSilent = false
		world.orders.clear()
		await world.clock.advance(2_000)
		expect(world.orders.starts.length).to.equal(before + 2)
		const runs = world.startsOf(task(0)).map(({run}) => run)
		expect(runs[1], "a higher run number").to.be.greaterThan(runs[0] as number)
		expect(world.clock.now()).to.be.greaterThan(begunAt)
	})

	it("starts a restored task again only when executors missing from the list have certainly ended it", async () => {
		const world = createWorld()
		const first = world.beginPlacing({}, 0, {listed: ["e1"]})
		await world.clock.advance(100)
		await accept(world, first.keeper, job({steps: [step({count: 1})]}))
		expect(world.startsOf(task(0)).map(({executor}) => executor)).to.eql(["e1"])
		first.close()
		world.beginPlacing({}, 0, {listed: ["e2", "e3"], knowsAllExecutors: false})
		await world.clock.advance(1_900)
		expect(world.startsOf(task(0))).to.have.length(1)
		await world.clock.advance(300)
		expect(world.startsOf(task(0))).to.have.length(2)
	})

	it("starts a restored task again when its executor was replaced while the records were being read", async () => {
		const world = createWorld()
		const first = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, first.keeper, job({steps: [step({count: 1})]}))
		const [where] = world.startsOf(task(0)).map(({executor}) => executor)
		world.fake.isAway = true
		first.close()
		world.beginPlacing()
		await world.clock.advance(50)
		world.orders.replace(where as string)
		await world.clock.advance(600)
		world.fake.isAway = false
		await world.clock.advance(3_000)
		expect(world.startsOf(task(0))).to.have.length(2)
	})

	it("writes nothing after another placer has the claim", async () => {
		const world = createWorld()
		const first = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, first.keeper)
		world.beginPlacing()
		const reply = first.keeper.accept(job({id: "00000000000000bb"}))
		await world.clock.advance(300)
		expect((await reply).type).to.equal("unknown")
		expect(first.deposed()).to.equal(1)
		expect(world.open("00000000000000bb")).to.equal(undefined)
	})

	it("lets executors forget no end that it could not record because another placer has the claim", async () => {
		const world = createWorld()
		const {keeper, deposed} = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, keeper)
		// The successor has the claim, but has not reached the executors yet.
		world.fake.write(claimKey("a"), {failureDomain: "a", fence: 2, placer: {session: "other"}})
		world.orders.end(task(0), "done")
		await world.clock.advance(800)
		expect(deposed()).to.equal(1)
		expect(world.orders.forgotten).to.equal(0)
	})

	it("cancels a job by writing its end and stopping its runs", async () => {
		const world = createWorld()
		const {keeper} = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, keeper)
		const cancelled = keeper.cancel(ID)
		await world.clock.advance(300)
		expect((await cancelled).type).to.equal("cancelled")
		expect(world.end()?.state).to.equal("cancelled")
		expect(world.orders.runningCount).to.equal(0)
	})

	/*
	 * Guards against a job that its home reports as running after its cancellation was written late.
	 */
	it("drops a job whose cancellation was written after the caller was told that its outcome is unknown", async () => {
		const world = createWorld()
		const {keeper} = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, keeper)
		world.fake.isAway = true
		const cancelled = keeper.cancel(ID)
		await world.clock.advance(1_500)
		expect((await cancelled).type).to.equal("unknown")
		world.fake.isAway = false
		await world.clock.advance(1_500)
		expect(world.end()?.state).to.equal("cancelled")
		expect(keeper.stateOf(ID)).to.equal(undefined)
	})

	it("cancels a job that is marked as cancelled only in its record", async () => {
		const world = createWorld()
		const {keeper} = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, keeper)
		world.fake.write(openJobKey(ID), {
			...(world.open() as JobRecord),
			isCancelled: true,
			writer: "",
		})
		await world.clock.advance(2_900)
		expect(world.end()?.state).to.equal("cancelled")
		expect(world.orders.runningCount).to.equal(0)
	})

	it("starts a gang whole or not at all, and again as a whole under one run number", async () => {
		const world = createWorld()
		const {keeper} = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, keeper, job({id: "00000000000000bb", steps: [step({count: 4})]}))
		// Four of six slots are taken, so a gang of three must wait.
		await accept(world, keeper, job({steps: [step({count: 3, isGang: true})]}))
		expect(world.startsOf(task(0))).to.have.length(0)
		for (let at = 0; at < 4; at++) world.orders.end(task(at, "00000000000000bb"), "done")
		await world.clock.advance(300)
		const first = [0, 1, 2].map(at => world.startsOf(task(at)).length)
		expect(first).to.eql([1, 1, 1])
		world.orders.end(task(0), "failed")
		await world.clock.advance(500)
		const second = [0, 1, 2].map(at => world.startsOf(task(at)).at(-1)?.run)
		expect(second[0]).to.be.greaterThan(1)
		expect(new Set(second).size).to.equal(1)
		world.orders.end(task(2), "done")
		await world.clock.advance(300)
		expect(world.end()?.state).to.equal("completed")
	})

	it("starts a lasting task again whenever it ends", async () => {
		const world = createWorld()
		const {keeper} = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, keeper, job({steps: [step({count: 1, isLasting: true})]}))
		for (const how of ["done", "failed", "failed", "failed"] as const) {
			world.orders.end(task(0), how)
			await world.clock.advance(1_000)
		}
		expect(world.startsOf(task(0))).to.have.length(5)
		expect(world.end()).to.equal(undefined)
	})

	it("runs a scheduled job's occurrences when they are due, and never before", async () => {
		const world = createWorld()
		const {keeper} = world.beginPlacing()
		await world.clock.advance(200)
		const firstDueMs = world.clock.now() + 2_000
		const schedule = {times: 2, firstDueMs, periodMs: 1_500}
		await accept(world, keeper, job({steps: [step({count: 1})], schedule}))
		await world.clock.advance(firstDueMs - world.clock.now() - 20)
		expect(world.orders.starts).to.have.length(0)
		await world.clock.advance(60)
		expect(world.startsOf(`${ID}.0.0.0`)).to.have.length(1)
		world.orders.end(`${ID}.0.0.0`, "done")
		await world.clock.advance(1_400)
		expect(world.startsOf(`${ID}.1.0.0`)).to.have.length(0)
		await world.clock.advance(200)
		expect(world.startsOf(`${ID}.1.0.0`)).to.have.length(1)
		world.orders.end(`${ID}.1.0.0`, "done")
		await world.clock.advance(200)
		expect(world.end()?.state).to.equal("completed")
	})

	it("moves a job that has no room to a domain that reported free capacity", async () => {
		const world = createWorld()
		const far = {name: "f", session: "f", failureDomain: "b", address: "f:1", cpuShare: 1}
		const notified: string[] = []
		const {keeper} = world.beginPlacing({
			findRoom: async () => ({failureDomain: "b", fence: 9, placer: far}),
			notifyHome: (claim, id) => void notified.push(`${claim.failureDomain} ${id}`),
		})
		await world.clock.advance(200)
		await accept(world, keeper, job({id: "00000000000000bb", steps: [step({count: 6})]}))
		await accept(world, keeper)
		await world.clock.advance(2_000)
		expect(world.open()).to.deep.include({home: "b", homeFence: 9})
		expect(notified).to.eql([`b ${ID}`])
		expect(keeper.stateOf(ID)).to.equal(undefined)
	})

	it("does not load a moved job from a listing that was read during the move", async () => {
		const world = createWorld()
		const far = {name: "f", session: "f", failureDomain: "b", address: "f:1", cpuShare: 1}
		const {keeper} = world.beginPlacing({
			findRoom: async () => ({failureDomain: "b", fence: 9, placer: far}),
		})
		await world.clock.advance(200)
		await accept(world, keeper, job({id: "00000000000000bb", steps: [step({count: 6})]}))
		// The move is written slowly; a listing that was read meanwhile arrives later.
		const {transact, list} = world.store
		world.store.transact = async transaction => {
			await world.clock.sleep(4_000)
			return transact(transaction)
		}
		world.store.list = async prefix => {
			const listing = await list(prefix)
			await world.clock.sleep(1_500)
			return listing
		}
		const accepted = keeper.accept(job())
		await world.clock.advance(8_000)
		// Frees capacity in this domain.
		for (let at = 0; at < 6; at++) world.orders.end(task(at, "00000000000000bb"), "done")
		await world.clock.advance(7_000)
		expect((await accepted).type).to.equal("unknown")
		expect(world.open()?.home).to.equal("b")
		expect(world.startsOf(task(0))).to.have.length(0)
		expect(keeper.stateOf(ID)).to.equal(undefined)
	})

	it("never places filling tasks on an executor with serving ones", async () => {
		const world = createWorld()
		const {keeper} = world.beginPlacing()
		await world.clock.advance(200)
		const small = {cpu: 1_000, memoryMb: 1, accelerators: 0}
		const serving = step({
			count: 3,
			isLasting: true,
			isServing: true,
			need: small,
			maxPerExecutor: 1,
		})
		const filling = step({count: 2, isLasting: true, isFilling: true, need: small})
		await accept(world, keeper, job({id: "00000000000000bb", steps: [{...serving, count: 2}]}))
		await accept(world, keeper, job({steps: [filling]}))
		const places = (id: string) =>
			new Set(world.orders.starts.filter(one => one.task.startsWith(id)).map(one => one.executor))
		const [servingAt, fillingAt] = [places("00000000000000bb"), places(ID)]
		expect(servingAt.size).to.equal(2)
		expect(fillingAt.size).to.equal(1)
		for (const executor of fillingAt) expect(servingAt.has(executor)).to.equal(false)
	})
})

describe("time of day", () => {
	it("ignores a jump that is reverted, and follows a lasting one", async () => {
		const clock = createFakeClock()
		let jump = 0
		const wall = createWallClock(clock, () => clock.now() + 1_000_000 + jump)
		await clock.advance(2_000)
		jump = 2_500
		await clock.advance(6_000)
		expect(wall.now()).to.equal(clock.now() + 1_000_000)
		jump = 0
		await clock.advance(6_000)
		expect(wall.now()).to.equal(clock.now() + 1_000_000)
		jump = -4_000
		await clock.advance(20_000)
		expect(wall.now()).to.equal(clock.now() + 996_000)
	})
})
