/**
 * Kept jobs whose queue is dropped from the configuration: they were accepted, so they run to their end under the settings of
 * their acceptance, also after a takeover.
 */
import {expect} from "chai"
import {accept, createKeeperWorld, job, task} from "./support/keeper-world.js"
import {step} from "./support/records.js"
import {QUEUE} from "./support/requests.js"

const TAKEOVER_MS = 2_500
const PERIOD_MS = 1_000

async function createWorld(request: Parameters<typeof job>[0]) {
	const world = createKeeperWorld()
	const known = {isDropped: false}
	const deps = {queueOf: () => (known.isDropped ? undefined : QUEUE)}
	const first = world.beginPlacing(deps)
	await world.clock.advance(200)
	await accept(world, first.keeper, job(request))
	async function takeOver() {
		first.close()
		world.beginPlacing(deps)
		await world.clock.advance(TAKEOVER_MS)
	}
	return {...world, known, takeOver}
}

describe("a kept job whose queue is dropped", () => {
	// A successor stopped its runs, and none started again until the queue was back.
	it("goes on after a takeover, and completes", async () => {
		const world = await createWorld({steps: [step({count: 2}), step({count: 1, after: [0]})]})
		world.known.isDropped = true
		await world.takeOver()
		expect(world.orders.stops).to.have.length(0)
		world.orders.end(task(0), "failed")
		await world.clock.advance(200)
		expect(world.startsOf(task(0))).to.have.length(2)
		for (const at of [0, 1]) world.orders.end(task(at), "done")
		await world.clock.advance(200)
		world.orders.end(task(0).replace(/0\.0$/, "1.0"), "done")
		await world.clock.advance(200)
		expect(world.end()?.state).to.equal("completed")
	})

	it("keeps its lasting tasks running after a takeover", async () => {
		const world = await createWorld({steps: [step({count: 1, isLasting: true})]})
		world.known.isDropped = true
		await world.takeOver()
		expect([world.orders.stops.length, world.startsOf(task(0)).length]).to.eql([0, 1])
		world.orders.end(task(0), "failed")
		await world.clock.advance(500)
		expect(world.startsOf(task(0))).to.have.length(2)
	})

	// Times that fell due meanwhile began once the queue was back, all at once.
	it("begins its times when they are due", async () => {
		const schedule = {times: 3, firstDueMs: 0, periodMs: PERIOD_MS}
		const world = await createWorld({steps: [step({count: 1})], schedule})
		world.known.isDropped = true
		await world.clock.advance(3 * PERIOD_MS)
		expect(world.orders.starts.length).to.equal(3)
	})

	it("fails after the attempts that its queue allowed", async () => {
		const world = await createWorld({steps: [step({count: 1})]})
		world.known.isDropped = true
		await world.takeOver()
		for (let times = 0; times < QUEUE.maxAttempts; times++) {
			world.orders.end(task(0), "failed")
			await world.clock.advance(200)
		}
		expect(world.end()?.state).to.equal("failed")
		expect(world.startsOf(task(0))).to.have.length(QUEUE.maxAttempts)
	})
})
