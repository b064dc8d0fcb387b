/**
 * Jobs that no executor can run must not fill the memory of their placer, however many tasks they ask for.
 */
import {expect} from "chai"
import {setFlagsFromString} from "node:v8"
import {runInNewContext} from "node:vm"
import {createKeeperWorld, job} from "./support/keeper-world.js"
import {step} from "./support/records.js"

const MB = 1_000_000

/** Bytes that are still in use after a collection. */
function usedBytes(): number {
	setFlagsFromString("--expose-gc")
	const collect = runInNewContext("gc") as () => void
	collect()
	return process.memoryUsage().heapUsed
}

/** Hands in jobs with a label that no executor has, lets another placer read them, and returns the heap's growth in bytes. */
async function growthOf(jobs: number, count: number, times: number) {
	const world = createKeeperWorld()
	const first = world.beginPlacing()
	await world.clock.advance(200)
	const before = usedBytes()
	const steps = [step({count, label: "absent"})]
	const schedule = {times, firstDueMs: 0, periodMs: 0}
	for (let at = 0; at < jobs; at++) {
		const reply = first.keeper.accept(job({id: `hopeless${at}`, steps, schedule}))
		await world.clock.advance(100)
		expect((await reply).type).to.equal("accepted")
	}
	await world.clock.advance(1_000)
	const accepted = usedBytes() - before
	first.close()
	const second = world.beginPlacing()
	await world.clock.advance(3_000)
	const restored = usedBytes() - before
	expect(second.keeper.jobCount()).to.equal(jobs)
	second.close()
	return {accepted, restored}
}

describe("jobs that no executor can run", () => {
	// A few jobs of many tasks, or of many times, ended one process after the other for lack of memory, and each successor.
	for (const {jobs, count, times} of [
		{jobs: 5, count: 720, times: 15},
		{jobs: 1, count: 10, times: 5_000},
		{jobs: 5, count: 10_000, times: 1},
	])
		it(`take no memory for their tasks: ${jobs} of ${count} tasks, ${times} times`, async () => {
			const {accepted, restored} = await growthOf(jobs, count, times)
			expect(accepted).to.be.below(3 * MB)
			expect(restored).to.be.below(6 * MB)
		})
})
