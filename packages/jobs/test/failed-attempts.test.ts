/**
 * Failed attempts of kept jobs: each run counts once, whoever learns of its end, so that no job fails before its task has
 * failed as often as its queue allows.
 */
import {expect} from "chai"
import {accept, createKeeperWorld, job, task, type KeeperWorld} from "./support/keeper-world.js"
import {step} from "./support/records.js"

/** Less than the pause between two lists of ends, in which an executor is told to forget them. */
const TICK_MS = 1
const MAX_TICKS = 200
const TAKEOVER_MS = 3_000

/** Closes a placer as soon as the store has a failed attempt, before the executor is told to forget it. */
async function closeOnceCounted(world: KeeperWorld, placing: {close(): void}) {
	for (let tick = 0; tick < MAX_TICKS && !world.open()?.failures["0.0.0"]; tick++)
		await world.clock.advance(TICK_MS)
	placing.close()
	expect([world.open()?.failures, world.orders.forgotten]).to.eql([{"0.0.0": 1}, 0])
}

describe("failed attempts of a kept job", () => {
	// The end was in the store and at its executor, and the next placer counted it again.
	it("count once when the placer dies before the executor may forget the end", async () => {
		const world = createKeeperWorld()
		const first = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, first.keeper, job({steps: [step({count: 1})]}))
		world.orders.end(task(0), "failed")
		await closeOnceCounted(world, first)
		world.beginPlacing()
		await world.clock.advance(TAKEOVER_MS)
		expect([world.end(), world.open()?.failures]).to.eql([undefined, {"0.0.0": 1}])
		expect(world.startsOf(task(0))).to.have.length(2)
		expect(world.orders.forgotten).to.be.greaterThan(0)
		world.orders.end(task(0), "failed")
		await world.clock.advance(300)
		expect(world.end()?.state).to.equal("failed")
	})

	it("count once when the next placer does not know the queue", async () => {
		const world = createKeeperWorld()
		const first = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, first.keeper, job({steps: [step({count: 1})]}))
		world.orders.end(task(0), "failed")
		await closeOnceCounted(world, first)
		world.beginPlacing({queueOf: () => undefined})
		await world.clock.advance(TAKEOVER_MS)
		expect(world.open()?.failures).to.eql({"0.0.0": 1})
		expect(world.orders.forgotten).to.be.greaterThan(0)
	})

	// Members of a gang share a run: its attempt failed twice when two of them did.
	it("count once for all members of a gang", async () => {
		const world = createKeeperWorld()
		const {keeper} = world.beginPlacing()
		await world.clock.advance(200)
		await accept(world, keeper, job({steps: [step({count: 2, isGang: true})]}))
		world.orders.end(task(0), "failed")
		world.orders.end(task(1), "failed")
		await world.clock.advance(500)
		expect([world.end(), world.open()?.failures]).to.eql([undefined, {"0.0.0": 1}])
		for (const at of [0, 1]) expect(world.startsOf(task(at))).to.have.length(2)
	})
})
