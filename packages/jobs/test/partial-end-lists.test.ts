/**
 * Executors list a limited number of ends at once. A run that is in neither list may then have ended
 * with a result, so it must not count as lost, and its task must not start again.
 */
import type {RunLocation} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeExecutors, FakeFleet, record} from "./support/fake-executors.js"
import {createFakeStore} from "./support/fake-store.js"
import {accept, createKeeperWorld, job, task} from "./support/keeper-world.js"
import {LeasedExecutor} from "./support/leased-executor.js"
import {createTestPlacer} from "./support/placers.js"
import {step} from "./support/records.js"
import {taskRequest} from "./support/requests.js"

const COUNT = 6
const MAX_LISTED_ENDS = 2
const SMALL = {cpu: 1_000, memoryMb: 1, accelerators: 0}
const TASKS = Array.from({length: COUNT}, (_, at) => task(at))
const ONE_EXECUTOR = {listed: ["e1"]}
/** Longer than a lease, and than any retry. */
const LONG_MS = 3_000
const ignore = () => undefined

function createWorld() {
	const clock = createFakeClock()
	const orders = new FakeFleet(clock, MAX_LISTED_ENDS)
	const world = createKeeperWorld(clock, createFakeStore(), orders)
	const startsOfAll = () => TASKS.map(name => world.startsOf(name).length)

	/** Starts all tasks of a job, which then end with a result while the store is unavailable. */
	async function endAllUnrecorded() {
		const placing = world.beginPlacing({}, 0, ONE_EXECUTOR)
		await clock.advance(100)
		await accept(world, placing.keeper, job({steps: [step({count: COUNT, need: SMALL})]}))
		expect(startsOfAll()).to.eql(TASKS.map(() => 1))
		world.fake.isAway = true
		for (const name of TASKS) orders.end(name, "done")
		return placing
	}
	return {...world, startsOfAll, endAllUnrecorded}
}

describe("an executor that lists only part of its ends", () => {
	// A task that has ended with a result was started again while the store was unavailable.
	it("has no run counted as lost whose end it has not listed yet", async () => {
		const world = createWorld()
		await world.endAllUnrecorded()
		await world.clock.advance(LONG_MS)
		expect(world.startsOfAll()).to.eql(TASKS.map(() => 1))
		world.fake.isAway = false
		await world.clock.advance(LONG_MS)
		expect(world.end()?.state).to.equal("completed")
		expect(world.startsOfAll()).to.eql(TASKS.map(() => 1))
		expect(world.orders.forgotten).to.equal(COUNT)
	})

	// The next placer started tasks again whose ends were not in the first list.
	it("makes the next placer wait until all its ends are known", async () => {
		const world = createWorld()
		const previous = await world.endAllUnrecorded()
		await world.clock.advance(100)
		previous.close()
		world.fake.isAway = false
		world.beginPlacing({}, 0, ONE_EXECUTOR)
		await world.clock.advance(LONG_MS)
		expect(world.startsOfAll()).to.eql(TASKS.map(() => 1))
		expect(world.end()?.state).to.equal("completed")
	})

	// The next placer waited for ends of an executor that had crashed, until the list dropped it.
	it("makes the next placer wait no longer than its lease when it falls silent", async () => {
		const world = createWorld()
		const previous = await world.endAllUnrecorded()
		previous.close()
		world.fake.isAway = false
		const next = world.beginPlacing({}, 0, {listed: ["e1", "e2"]})
		await world.clock.advance(2)
		world.orders.silence("e1")
		await world.clock.advance(LONG_MS)
		expect(next.placer.hasTakenOver()).to.equal(true)
		expect(world.startsOfAll().slice(MAX_LISTED_ENDS)).to.eql([2, 2, 2, 2])
	})

	// A failed run in the first list was retried elsewhere, though the task's next run had ended with a result.
	it("makes the next placer retry no task before all its ends are known", async () => {
		const clock = createFakeClock()
		const world = createKeeperWorld(clock, createFakeStore(), new FakeFleet(clock, 4))
		const first = world.beginPlacing({}, 0, ONE_EXECUTOR)
		await clock.advance(100)
		await accept(world, first.keeper, job({steps: [step({count: 5, need: SMALL})]}))
		world.fake.isAway = true
		world.orders.end(task(0), "failed")
		await clock.advance(200)
		expect(world.startsOf(task(0)).map(({run}) => run)).to.eql([1, 2])
		for (const at of [1, 2, 3, 0, 4]) world.orders.end(task(at), "done")
		first.close()
		world.fake.isAway = false
		world.beginPlacing({}, 0, {listed: ["e1", "e2"]})
		await clock.advance(LONG_MS)
		expect(world.orders.starts).to.have.length(6)
		expect(world.end()?.state).to.equal("completed")
	})

	// The end of an adopted run was beyond the list; the run was reported as never started, and ran again.
	it("has no adopted run counted as never started", async () => {
		const clock = createFakeClock()
		const executor = new LeasedExecutor(clock)
		executor.maxListedEnds = MAX_LISTED_ENDS
		const first = createTestPlacer({clock, orders: executor})
		first.setExecutors([record("e1")])
		await clock.advance(10)
		const names = TASKS.slice(0, MAX_LISTED_ENDS + 1)
		for (const name of names) first.submit(taskRequest(name, {need: SMALL}), ignore, ignore)
		await clock.advance(5)
		executor.isLost = ({fence}) => fence === 1
		for (const name of names) executor.end(name, "done")
		const next = createTestPlacer({clock, orders: executor, fence: 2, orphansWaitMs: 200})
		next.setExecutors([record("e1")])
		await clock.advance(20)
		const ends: string[] = []
		first.handOverAll(({req}, from?: RunLocation) => {
			const unanswered = from && {...from, isStarted: false}
			if (unanswered) next.adopt(req, unanswered, ({type}) => void ends.push(`${req.task} ${type}`))
		})
		await clock.advance(500)
		expect(ends).to.eql([`${names.at(-1)} done`])
	})

	// No lease was renewed once nothing ran there, so after one lost answer the ends to come were given up.
	it("keeps its lease until all its ends are known", async () => {
		const world = createWorld()
		const {placer} = await world.endAllUnrecorded()
		await world.clock.advance(LONG_MS)
		world.orders.isSilent = true
		await world.clock.advance(400)
		world.orders.isSilent = false
		await world.clock.advance(400)
		placer.placeWaiting()
		await world.clock.advance(LONG_MS)
		expect(world.startsOfAll()).to.eql(TASKS.map(() => 1))
	})

	// An executor that left the list was dropped with ends that it had not listed yet.
	it("is kept until all its ends are known, also once it has left the list", async () => {
		const world = createWorld()
		const previous = await world.endAllUnrecorded()
		previous.close()
		world.fake.isAway = false
		const next = world.beginPlacing({}, 0, ONE_EXECUTOR)
		await world.clock.advance(5)
		next.placer.setExecutors([record("e2")])
		for (let times = 0; times < 20; times++) {
			await world.clock.advance(20)
			next.placer.setExecutors([record("e2")])
		}
		await world.clock.advance(LONG_MS)
		expect(world.end()?.state).to.equal("completed")
		expect(world.startsOfAll()).to.eql(TASKS.map(() => 1))
	})

	// Results of tasks whose callers wait were stuck behind ends that waited for the store.
	it("is given kept tasks only, while ends that wait for the store fill its list", async () => {
		const clock = createFakeClock()
		const executor = new FakeExecutors(clock)
		executor.maxListedEnds = 4
		let recordAll: () => void = ignore
		const recorded = new Promise<void>(resolve => (recordAll = resolve))
		const placer = createTestPlacer({clock, orders: executor})
		placer.setExecutors([record("e1")])
		await clock.advance(10)
		const ends: string[] = []
		const submit = (task: string, isKept = false) =>
			placer.submit(
				taskRequest(task, {need: {...SMALL, cpu: 20_000}, isKept}),
				end => {
					ends.push(`${task} ${end.type}`)
					return isKept ? recorded : undefined
				},
				ignore,
			)
		for (const at of [0, 1, 2]) submit(`k.0.0.${at}`, true)
		await clock.advance(10)
		for (const at of [0, 1, 2]) executor.end(`k.0.0.${at}`, "done")
		await clock.advance(30)
		// Three listed ends leave room for one.
		for (const at of [0, 1]) submit(`j.0.0.${at}`)
		await clock.advance(30)
		expect([...executor.running.keys()]).to.eql(["j.0.0.0"])
		executor.end("j.0.0.0", "done")
		await clock.advance(30)
		expect(ends).to.eql(["k.0.0.0 done", "k.0.0.1 done", "k.0.0.2 done", "j.0.0.0 done"])
		for (const at of [3, 4, 5]) submit(`k.0.0.${at}`, true)
		await clock.advance(30)
		for (const at of [3, 4, 5]) executor.end(`k.0.0.${at}`, "done")
		// Their ends are not listed yet, but their capacity is free.
		for (const at of [6, 7, 8]) submit(`k.0.0.${at}`, true)
		await clock.advance(30)
		expect([...executor.running.keys()]).to.eql([6, 7, 8].map(at => `k.0.0.${at}`))
		expect(ends).to.have.length(4)
		for (const at of [6, 7, 8]) executor.end(`k.0.0.${at}`, "done")
		recordAll()
		await clock.advance(100)
		expect(ends.filter(end => end.startsWith("k") && end.endsWith("done"))).to.have.length(9)
		expect([...executor.running.keys()]).to.eql(["j.0.0.1"])
	})
})
