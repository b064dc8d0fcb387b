/**
 * Kept jobs with many tasks in many times: their record must stay short enough for the store, and say all that is done.
 */
import {expect} from "chai"
import {accept, createKeeperWorld, ID, job} from "./support/keeper-world.js"
import {step} from "./support/records.js"

const SMALL = {cpu: 100, memoryMb: 0, accelerators: 0}
const TASKS = 500
const TIMES = 40
const PERIOD_MS = 1_000
/** Half of what the record would have at its end if each of its tasks were listed. */
const MAX_BYTES = (TASKS * TIMES * '"10.0.100",'.length) / 2

async function createWorld() {
	const world = createKeeperWorld()
	const first = world.beginPlacing()
	await world.clock.advance(200)
	const schedule = {times: TIMES, firstDueMs: 0, periodMs: PERIOD_MS}
	await accept(world, first.keeper, job({steps: [step({count: TASKS, need: SMALL})], schedule}))
	let largest = 0
	/** Runs the times up to `end`, each to its end. */
	async function runTimes(begin: number, end: number, except = new Set<string>()) {
		for (let time = begin; time < end; time++) {
			await world.clock.advance(PERIOD_MS)
			for (const {task} of world.orders.starts)
				if (!except.has(task)) world.orders.end(task, "done")
			await world.clock.advance(100)
			largest = Math.max(largest, JSON.stringify(world.open() ?? "").length)
		}
	}
	const startsByTask = () => {
		const counts = new Map<string, number>()
		for (const {task} of world.orders.starts) counts.set(task, (counts.get(task) ?? 0) + 1)
		return counts
	}
	return {...world, first, runTimes, largest: () => largest, startsByTask}
}

describe("the record of a job with many times", () => {
	// It listed each task that was done, until the store did not take it any more.
	it("stays short, and its tasks run once each, also after a takeover", async () => {
		const world = await createWorld()
		await world.runTimes(0, TIMES / 2)
		expect(world.largest()).to.be.lessThan(MAX_BYTES)
		expect(world.open()?.endedTimes).to.have.length(1)
		expect(world.first.keeper.stateOf(ID)).to.equal("running")
		world.first.close()
		const second = world.beginPlacing()
		await world.clock.advance(100)
		expect(second.keeper.stateOf(ID)).to.equal("running")
		await world.clock.advance(2_500)
		await world.runTimes(TIMES / 2, TIMES)
		expect(world.end()?.state).to.equal("completed")
		expect(world.largest()).to.be.lessThan(MAX_BYTES)
		const counts = world.startsByTask()
		expect([counts.size, Math.max(...counts.values())]).to.eql([TASKS * TIMES, 1])
	})

	it("keeps the tasks of a time that is not over", async () => {
		const world = await createWorld()
		const open = `${ID}.3.0.7`
		await world.runTimes(0, TIMES / 2, new Set([open]))
		expect(world.open()?.endedTimes?.[0]).to.eql([0, 2])
		world.first.close()
		world.beginPlacing()
		await world.clock.advance(2_500)
		await world.runTimes(TIMES / 2, TIMES)
		expect(world.end()?.state).to.equal("completed")
		const counts = world.startsByTask()
		// It makes no progress, so it is stopped and started again.
		counts.delete(open)
		expect([counts.size, Math.max(...counts.values())]).to.eql([TASKS * TIMES - 1, 1])
	})
})
