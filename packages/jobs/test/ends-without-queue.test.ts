/**
 * A placer takes kept jobs over while it does not know their queue. It can neither run nor judge them yet, and must not
 * give up what executors have of them.
 */
import type {Queue} from "@cottonwood/jobs"
import {openJobKey, type JobRecord} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {accept, createKeeperWorld, ID, job, task} from "./support/keeper-world.js"
import {step} from "./support/records.js"
import {QUEUE} from "./support/requests.js"

const SMALL = {cpu: 1_000, memoryMb: 1, accelerators: 0}
const ONE_EXECUTOR = {listed: ["e1"]}
const UNKNOWN_MS = 500
const LONG_MS = 3_000

/** The first placer has started three tasks; one has ended done and one failed, which the store does not have. */
async function createWorld(count = 3, extra: Parameters<typeof step>[0] = {}) {
	const world = createKeeperWorld()
	const first = world.beginPlacing({}, 0, ONE_EXECUTOR)
	await world.clock.advance(100)
	const steps = [step({count, need: SMALL, ...extra})]
	await accept(world, first.keeper, job({steps}))
	expect(world.orders.starts).to.have.length(count)
	world.fake.isAway = true
	world.orders.end(task(0), "done")
	world.orders.end(task(1), "failed")
	first.close()
	world.fake.isAway = false
	const runsOf = (at: number) => world.startsOf(task(at)).map(({run}) => run)
	/** Makes the record one of a program that did not keep the queue's settings in it. */
	function dropSettings() {
		world.fake.write(openJobKey(ID), {...(world.open() as JobRecord), settings: undefined})
	}
	return {...world, runsOf, dropSettings}
}

describe("kept jobs whose queue is not known yet", () => {
	// A process that had just started let executors forget ends before it knew any configuration, and stopped runs.
	it("keep their ends and runs until there is a configuration", async () => {
		const world = await createWorld()
		const known: {queue?: Queue} = {}
		const unconfigured = {queueOf: () => known.queue, isConfigured: () => known.queue !== undefined}
		world.beginPlacing(unconfigured, 0, ONE_EXECUTOR)
		await world.clock.advance(UNKNOWN_MS)
		known.queue = QUEUE
		await world.clock.advance(LONG_MS)
		expect(world.orders.stops).to.have.length(0)
		expect([world.runsOf(0), world.runsOf(2)]).to.eql([[1], [1]])
		expect(world.runsOf(1)).to.have.length(2)
		for (const at of [1, 2]) world.orders.end(task(at), "done")
		await world.clock.advance(200)
		expect(world.end()?.state).to.equal("completed")
	})

	// The ends of tasks whose queue was dropped were forgotten; once it was back, the tasks ran again.
	it("have their ends recorded while the configuration lacks their queue", async () => {
		const world = await createWorld()
		world.dropSettings()
		const known: {queue?: Queue} = {}
		world.beginPlacing({queueOf: () => known.queue}, 0, ONE_EXECUTOR)
		await world.clock.advance(UNKNOWN_MS)
		expect(world.open()).to.deep.include({done: ["0.0.0"], failures: {"0.0.1": 1}})
		known.queue = QUEUE
		await world.clock.advance(LONG_MS)
		expect(world.runsOf(0)).to.eql([1])
		expect(world.runsOf(1)).to.have.length(2)
	})

	// Of a gang only the member that was listed counted as done.
	it("have the end of a gang recorded for all its members", async () => {
		const world = await createWorld(2, {isGang: true})
		world.dropSettings()
		world.beginPlacing({queueOf: () => undefined}, 0, ONE_EXECUTOR)
		await world.clock.advance(UNKNOWN_MS)
		expect(world.open()?.done).to.eql(["0.0.0", "0.0.1"])
	})
})
