/**
 * Jobs that no executor can run must not fill the memory of their placer, however many tasks they ask for.
 */
import type {Step} from "@cottonwood/jobs"
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
async function growthOf(jobs: number, count: number, times: number, isGang: boolean) {
	const world = createKeeperWorld()
	const first = world.beginPlacing()
	await world.clock.advance(200)
	const before = usedBytes()
	const steps = [step({count, label: "absent", isGang})]
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
	for (const {jobs, count, times, isGang = false} of [
		{jobs: 5, count: 720, times: 15},
		{jobs: 1, count: 10, times: 5_000},
		{jobs: 5, count: 10_000, times: 1},
		{jobs: 5, count: 720, times: 15, isGang: true},
	]) {
		const what = `${jobs} of ${count} tasks${isGang ? " in a gang" : ""}, ${times} times`
		it(`take no memory for their tasks: ${what}`, async () => {
			const {accepted, restored} = await growthOf(jobs, count, times, isGang)
			expect(accepted).to.be.below(3 * MB)
			expect(restored).to.be.below(6 * MB)
		})
	}
})

describe("jobs with a part that no executor can run", () => {
	const small = {cpu: 1_000, memoryMb: 64, accelerators: 0}
	const schedule = {times: 20, firstDueMs: 0, periodMs: 0}

	async function startsOf(steps: readonly Step[]) {
		const world = createKeeperWorld()
		const {keeper} = world.beginPlacing()
		await world.clock.advance(200)
		const reply = keeper.accept(job({steps, schedule}))
		await world.clock.advance(300)
		expect((await reply).type).to.equal("accepted")
		return world.orders.starts.map(({task}) => task)
	}

	// The times of a job waited behind those whose other step could not run.
	it("run the other steps of all their times", async () => {
		const steps = [step({label: "absent", need: small}), step({need: small, count: 1})]
		const starts = await startsOf(steps)
		expect(starts).to.have.length(schedule.times)
		expect(new Set(starts).size).to.equal(schedule.times)
	})

	// A gang was made of members of several times.
	it("start gangs of one time each, and as many as there is room for", async () => {
		const steps = [
			step({label: "absent", need: small}),
			step({need: small, count: 2, isGang: true}),
		]
		const starts = await startsOf(steps)
		const times = starts.map(task => task.split(".")[1])
		expect(starts).to.have.length(2 * schedule.times)
		expect(times.filter((time, at) => at % 2 === 1 && time !== times[at - 1])).to.eql([])
	})
})
