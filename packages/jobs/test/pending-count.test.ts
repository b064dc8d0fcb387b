/**
 * The count of a queue's pending jobs while a placer does not answer: its jobs must not be missing from it.
 */
import type {Claim} from "@cottonwood/jobs"
import {createPendingCount, openJobKey, type JobRecord} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {createFakeStore} from "./support/fake-store.js"
import {accept, createKeeperWorld, job} from "./support/keeper-world.js"
import {jobRecord} from "./support/records.js"

const COUNT_VALID_MS = 2_000

function createWorld() {
	const clock = createFakeClock()
	const {fake, store} = createFakeStore()
	const answers = new Map<string, number | undefined>([
		["a", 3],
		["b", 4],
	])
	const claims = [...answers.keys()].map((failureDomain): Claim => {
		const placer = {name: "n", session: "s", failureDomain, address: "n:1", cpuShare: 1}
		return {failureDomain, fence: 1, placer}
	})
	const pendingOf = createPendingCount({
		clock,
		store,
		claims: () => claims,
		askPlacer: async ({failureDomain}) => answers.get(failureDomain),
	})
	function write(id: string, extra: Partial<JobRecord>) {
		fake.write(openJobKey(id), jobRecord(id, {home: "b", ...extra}))
	}
	return {clock, fake, answers, pendingOf, write}
}

describe("the count of pending jobs", () => {
	// A placer that had just been killed counted as one without jobs.
	it("has the last count of a placer that does not answer", async () => {
		const {answers, pendingOf} = createWorld()
		expect(await pendingOf("orders")).to.equal(7)
		answers.set("b", undefined)
		expect(await pendingOf("orders")).to.equal(7)
	})

	it("has the jobs in the store of a placer that has not answered for long", async () => {
		const {clock, answers, fake, pendingOf, write} = createWorld()
		await pendingOf("orders")
		answers.set("b", undefined)
		await clock.advance(COUNT_VALID_MS)
		write("01", {})
		write("02", {})
		write("03", {home: "a"})
		write("04", {queue: "others"})
		write("05", {done: ["0.0.0"]})
		write("06", {endedTimes: [[0, 7]], schedule: {times: 9, firstDueMs: 0, periodMs: 1}})
		for (const value of [null, "text", 7, [], {home: "b", queue: "orders"}])
			fake.write(openJobKey(`other ${String(value)}`), value)
		expect(await pendingOf("orders")).to.equal(5)
	})

	it("is unknown when the store does not answer either", async () => {
		const {answers, fake, pendingOf} = createWorld()
		answers.set("b", undefined)
		fake.isAway = true
		expect(await pendingOf("orders")).to.equal(undefined)
	})

	// A successor that had not read the store yet counted none.
	it("is unknown to a placer until it has read the store", async () => {
		const world = createKeeperWorld()
		const first = world.beginPlacing()
		expect(first.keeper.pendingOf("orders")).to.equal(undefined)
		await world.clock.advance(200)
		expect(first.keeper.pendingOf("orders")).to.equal(0)
		await accept(
			world,
			first.keeper,
			job({schedule: {times: 1, firstDueMs: 1e15, periodMs: 1_000}}),
		)
		first.close()
		world.fake.isAway = true
		const second = world.beginPlacing()
		await world.clock.advance(500)
		expect(second.keeper.pendingOf("orders")).to.equal(undefined)
		world.fake.isAway = false
		await world.clock.advance(500)
		expect(second.keeper.pendingOf("orders")).to.equal(1)
	})
})
