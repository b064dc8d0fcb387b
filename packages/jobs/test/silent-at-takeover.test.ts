/**
 * A takeover while an executor is silent: it may have runs of the previous placer, which may even go on, so what could be
 * there must not start elsewhere; what is known to be elsewhere need not wait for it.
 */
import {expect} from "chai"
import {accept, createKeeperWorld, job, task} from "./support/keeper-world.js"
import {step} from "./support/records.js"

/** Longer than a takeover takes when all executors answer. */
const TAKEOVER_MS = 4_000
const RESTART_MS = 500

/** Two tasks, each on an executor of its own; the second one's falls silent as the placer changes. */
async function createWorld(extra: Parameters<typeof step>[0]) {
	const world = createKeeperWorld()
	const first = world.beginPlacing({}, 0, {listed: ["e1", "e2"]})
	await world.clock.advance(200)
	const steps = [step({count: 2, maxPerExecutor: 1, ...extra})]
	await accept(world, first.keeper, job({steps}))
	const executorOf = (at: number) => world.startsOf(task(at))[0]?.executor as string
	const starts = (at: number) => world.startsOf(task(at)).length
	first.close()
	world.orders.silence(executorOf(1))
	world.beginPlacing({}, 0, {listed: ["e1", "e2"]})
	await world.clock.advance(TAKEOVER_MS)
	return {...world, starts}
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

	it("starts no gang of which a member may run there", async () => {
		const {orders, clock, starts} = await createWorld({isGang: true})
		orders.end(task(0), "failed")
		await clock.advance(RESTART_MS)
		expect([starts(0), starts(1)]).to.eql([1, 1])
	})
})
