/**
 * A takeover while an executor is silent: it may have runs of the previous placer, which may even go on, so what could be
 * there must not start elsewhere; what is known to be elsewhere need not wait for it.
 */
import {expect} from "chai"
import {record} from "./support/fake-executors.js"
import {accept, createKeeperWorld, job, task} from "./support/keeper-world.js"
import {step} from "./support/records.js"

/** Longer than a takeover takes when all executors answer. */
const TAKEOVER_MS = 4_000
const RESTART_MS = 500

/** Two tasks, each on an executor of its own; the second one's falls silent as the placer changes. */
async function createWorld(extra: Parameters<typeof step>[0], waitMs = TAKEOVER_MS) {
	const world = createKeeperWorld()
	const first = world.beginPlacing({}, 0, {listed: ["e1", "e2"]})
	await world.clock.advance(200)
	const steps = [step({count: 2, maxPerExecutor: 1, ...extra})]
	await accept(world, first.keeper, job({steps}))
	const executorOf = (at: number) => world.startsOf(task(at))[0]?.executor as string
	const starts = (at: number) => world.startsOf(task(at)).length
	first.close()
	const silent = executorOf(1)
	world.orders.silence(silent)
	const second = world.beginPlacing({}, 0, {listed: ["e1", "e2"]})
	await world.clock.advance(waitMs)
	return {...world, second, silent, starts}
}

describe("a takeover with a silent executor", () => {
	// Nothing of the domain's kept jobs started while one executor was silent.
	it("starts a task again whose run was found at another one", async () => {
		for (const isLasting of [true, false]) {
			const {orders, clock, starts} = await createWorld({isLasting})
			orders.end(task(0), "failed")
			await clock.advance(RESTART_MS)
			expect([starts(0), starts(1)], `lasting: ${isLasting}`).to.eql([2, 1])
		}
	})

	it("starts no task that may run there", async () => {
		const {clock, starts} = await createWorld({isLasting: true})
		await clock.advance(5 * TAKEOVER_MS)
		expect([starts(0), starts(1)]).to.eql([1, 1])
	})

	// Restored kept jobs waited for as long as the entry of a dead executor stayed in the list.
	it("starts the other tasks once the placer before has ended its kept runs by itself", async () => {
		const world = await createWorld({isLasting: true}, 300)
		world.second.placer.setExecutors(["e1", "e2", "e3"].map(id => record(id)))
		await world.clock.advance(TAKEOVER_MS)
		expect([world.starts(0), world.starts(1)]).to.eql([1, 1])
		await world.clock.advance(TAKEOVER_MS)
		expect([world.starts(0), world.starts(1)]).to.eql([1, 2])
	})

	it("starts no gang of which a member may run there", async () => {
		const {orders, clock, starts} = await createWorld({isGang: true})
		orders.end(task(0), "failed")
		await clock.advance(RESTART_MS)
		expect([starts(0), starts(1)]).to.eql([1, 1])
	})

	// The jobs waited for an executor that had left the list until the list was read again.
	it("starts the other tasks once it has left the list and its lease is over", async () => {
		// Its lease is not over yet.
		const world = await createWorld({isLasting: true}, 300)
		const others = ["e1", "e2", "e3"].filter(id => id !== world.silent)
		world.second.placer.setExecutors(others.map(id => record(id)))
		await world.clock.advance(TAKEOVER_MS)
		expect([world.starts(0), world.starts(1)]).to.eql([1, 2])
	})
})
