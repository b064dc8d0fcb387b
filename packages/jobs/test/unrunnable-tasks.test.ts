/**
 * Kept tasks that no executor of the domain can run now wait there, and must not hold up the tasks behind them.
 */
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeFleet, record} from "./support/fake-executors.js"
import {createTestPlacer} from "./support/placers.js"
import {taskRequest} from "./support/requests.js"

/** More jobs than a scheduling pass tries. */
const JOBS = 30
const LABEL = "gpu"
/** After this wait a gang may hold back others. */
const GANG_PATIENCE_MS = 400

async function createWorld() {
	const clock = createFakeClock()
	const orders = new FakeFleet(clock)
	const placer = createTestPlacer({clock, orders})
	const submit = (task: string, extra: Parameters<typeof taskRequest>[1] = {}) =>
		placer.submit(
			taskRequest(task, {isKept: true, ...extra}),
			() => undefined,
			() => undefined,
		)
	const executorOf = (task: string) => orders.starts.find(start => start.task === task)?.executor
	placer.setExecutors([record("e1", {labels: [LABEL]}), record("e2")])
	await clock.advance(10)
	return {clock, orders, placer, submit, executorOf}
}

describe("kept tasks that no executor can run", () => {
	// Jobs whose label no executor has took up all places of each scheduling pass.
	it("leave the places of a scheduling pass to others", async () => {
		const {clock, placer, submit, executorOf} = await createWorld()
		for (let at = 0; at < JOBS; at++) submit(`j${at}.0.0.0`, {label: "absent", isBegun: true})
		submit("k.0.0.0")
		await clock.advance(10)
		expect(executorOf("k.0.0.0")).to.be.a("string")
		placer.setExecutors([record("e1", {labels: [LABEL]}), record("e3", {labels: ["absent"]})])
		await clock.advance(10)
		expect(executorOf("j0.0.0.0")).to.equal("e3")
	})

	// Jobs whose only executor had crashed did the same until its entry was gone.
	it("leave them also while their executor is silent", async () => {
		const {clock, orders, submit, executorOf} = await createWorld()
		orders.silence("e1")
		await clock.advance(2_500)
		for (let at = 0; at < JOBS; at++) submit(`j${at}.0.0.0`, {label: LABEL, isBegun: true})
		submit("k.0.0.0")
		await clock.advance(50)
		expect(executorOf("k.0.0.0")).to.equal("e2")
	})

	// Their work counted as ahead of others, and hid the free room from other domains for as long as they waited.
	it("count neither as work ahead of others nor as a need for free room", async () => {
		const {clock, placer, submit} = await createWorld()
		const free = placer.room()
		for (let at = 0; at < JOBS; at++) submit(`j${at}.0.0.0`, {label: "absent"})
		await clock.advance(10)
		expect(placer.room()).to.eql(free)
		expect([placer.work(), placer.workBefore(Infinity)]).to.eql([0, 0])
		expect(placer.counts().waiting).to.equal(JOBS)
	})

	it("are cancelled as others are", async () => {
		const {clock, placer, submit, orders} = await createWorld()
		const handle = submit("j.0.0.0", {label: "absent"})
		await clock.advance(10)
		handle.cancel()
		expect(placer.counts().waiting).to.equal(0)
		placer.setExecutors([record("e3", {labels: ["absent"]})])
		await clock.advance(50)
		expect(orders.starts).to.have.length(0)
	})

	// A gang was taken to fit on executors without its label, and room was held back for it for ever.
	it("have no room held back for them as a gang", async () => {
		const {clock, submit, executorOf} = await createWorld()
		const need = {cpu: 40_000, memoryMb: 64, accelerators: 0}
		const gang = {size: 2, wantsOneRack: false}
		for (const at of [0, 1]) submit(`j.0.0.${at}`, {label: LABEL, need, gang, isBegun: true})
		await clock.advance(2 * GANG_PATIENCE_MS)
		submit("k.0.0.0")
		await clock.advance(10)
		expect(executorOf("k.0.0.0")).to.be.a("string")
	})
})
