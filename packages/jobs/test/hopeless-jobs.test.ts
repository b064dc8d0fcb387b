/**
 * Jobs that no executor can run must not fill the memory of their placer, however many tasks they ask for.
 */
import {expect} from "chai"
import {setFlagsFromString} from "node:v8"
import {runInNewContext} from "node:vm"
import {createJobMetrics, type Step} from "@cottonwood/jobs"
import {
	createKeptMemory,
	endedJobKey,
	memoryOf,
	openJobKey,
	type Keeper,
	type KeptJobRequest,
} from "@cottonwood/jobs/internals"
import {accept, createKeeperWorld, job, type KeeperWorld} from "./support/keeper-world.js"
import {jobRecord, step} from "./support/records.js"

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

describe("the memory for open kept jobs", () => {
	const steps = [step({count: 1, label: "absent"})]
	const numbered = (at: number, queue = "orders") => job({id: `hopeless${at}`, queue, steps})
	/** A queue may take three quarters: three of these jobs. */
	const memoryForFour = () => createKeptMemory(4 * memoryOf(numbered(0)))

	/** Hands jobs in one after the other and returns the types of the answers. */
	async function handIn(world: KeeperWorld, keeper: Keeper, requests: readonly KeptJobRequest[]) {
		const types: string[] = []
		for (const request of requests) types.push(await accept(world, keeper, request))
		return types
	}

	// Open jobs were accepted without a bound, until the process had no memory left.
	it("is bounded: more jobs are refused at once, counted, and never run or written", async () => {
		const world = createKeeperWorld()
		const metrics = createJobMetrics()
		const {keeper} = world.beginPlacing({memory: memoryForFour().share(), metrics})
		await world.clock.advance(200)
		const all = [0, 1, 2, 3].map(at => numbered(at))
		const types = await handIn(world, keeper, all)
		expect(types).to.eql(["accepted", "accepted", "accepted", "refused"])
		expect(world.open("hopeless3")).to.equal(undefined)
		expect(keeper.jobCount()).to.equal(3)
		expect(await metrics.text()).to.include('cottonwood_keep_refusals{reason="memory"} 1')
		expect(await handIn(world, keeper, all.slice(0, 1))).to.eql(["accepted"])
	})

	// Jobs of one queue that cannot run would keep out those of all others.
	it("has room for other queues when one has taken its share, and again when jobs have left", async () => {
		const world = createKeeperWorld()
		const {keeper} = world.beginPlacing({memory: memoryForFour().share()})
		await world.clock.advance(200)
		const requests = [0, 1, 2, 3].map(at => numbered(at))
		await handIn(world, keeper, requests)
		const others = [numbered(4, "others"), numbered(5, "others")]
		expect(await handIn(world, keeper, others)).to.eql(["accepted", "refused"])
		const cancelled = keeper.cancel("hopeless4")
		await world.clock.advance(200)
		expect((await cancelled).type).to.equal("cancelled")
		expect(await handIn(world, keeper, others.slice(1))).to.eql(["accepted"])
	})

	// A refusal says that the job never runs, so one that was accepted before must not get it.
	it("is no reason to refuse a job that another placer has accepted", async () => {
		const world = createKeeperWorld()
		const {keeper} = world.beginPlacing({memory: createKeptMemory(0).share()})
		await world.clock.advance(200)
		world.fake.write(openJobKey("hopeless0"), jobRecord("hopeless0", {home: "b"}))
		world.fake.write(endedJobKey("hopeless1"), {state: "completed", endedAtMs: 1})
		const types = await handIn(world, keeper, [numbered(0), numbered(1), numbered(2)])
		expect(types).to.eql(["accepted", "accepted", "refused"])
		world.fake.isAway = true
		expect(await accept(world, keeper, numbered(3))).to.be.oneOf(["refused", "unknown"])
	})

	// What was accepted is never dropped, also by a successor with less memory.
	it("does not keep a successor from taking over all jobs", async () => {
		const world = createKeeperWorld()
		const memory = memoryForFour()
		const first = world.beginPlacing({memory: memory.share()})
		await world.clock.advance(200)
		await handIn(world, first.keeper, [numbered(0), numbered(1)])
		first.close()
		expect(memory.used()).to.equal(0)
		const small = createKeptMemory(memoryOf(numbered(0)))
		const second = world.beginPlacing({memory: small.share()})
		await world.clock.advance(3_000)
		expect(second.keeper.jobCount()).to.equal(2)
		expect(small.used()).to.equal(2 * memoryOf(numbered(0)))
	})
})
