/**
 * A scheduling pass looks at a limited number of groups; those behind must get their turn too.
 */
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeFleet, record} from "./support/fake-executors.js"
import {createTestPlacer} from "./support/placers.js"
import {taskRequest} from "./support/requests.js"

/** More jobs than a scheduling pass tries. */
const JOBS = 60
const FULL = {cpu: 64_000, memoryMb: 64, accelerators: 0}
const SMALL = {cpu: 1_000, memoryMb: 64, accelerators: 0}

/** One executor with a label, which a lasting task fills, and one without. */
async function createWorld() {
	const clock = createFakeClock()
	const orders = new FakeFleet(clock)
	const placer = createTestPlacer({clock, orders})
	const submit = (task: string, extra: Parameters<typeof taskRequest>[1] = {}) =>
		placer.submit(
			taskRequest(task, {isKept: true, need: SMALL, ...extra}),
			() => undefined,
			() => undefined,
		)
	const executorOf = (task: string) => orders.starts.find(start => start.task === task)?.executor
	placer.setExecutors([record("e1", {labels: ["x"]}), record("e2")])
	await clock.advance(10)
	submit("full.0.0.0", {label: "x", need: FULL, isLasting: true})
	await clock.advance(10)
	expect(executorOf("full.0.0.0")).to.equal("e1")
	return {clock, submit, executorOf}
}

describe("a scheduling pass", () => {
	// Late jobs behind many others without room were never started, though executors were idle.
	it("gets to every kept job, however many wait before it", async () => {
		const {clock, submit, executorOf} = await createWorld()
		for (let at = 0; at < JOBS; at++) submit(`j${at}.0.0.0`, {label: "x", startBy: 0})
		submit("k.0.0.0", {startBy: 500})
		await clock.advance(1_000)
		expect(executorOf("k.0.0.0")).to.equal("e2")
	})

	// Kept jobs whose tasks had run before took up all places of each pass.
	it("leaves places to callers' jobs when many begun kept jobs wait", async () => {
		const {clock, submit, executorOf} = await createWorld()
		for (let at = 0; at < JOBS; at++) submit(`j${at}.0.0.0`, {label: "x", isBegun: true})
		submit("c.0.0.0", {isKept: false})
		await clock.advance(10)
		expect(executorOf("c.0.0.0")).to.equal("e2")
	})

	// A gang that is wider than all executors together was tried in each pass, before those that fit.
	it("leaves out gangs that all executors together have no room for", async () => {
		const {clock, submit, executorOf} = await createWorld()
		for (let job = 0; job < JOBS; job++)
			for (const at of [0, 1, 2])
				submit(`g${job}.0.0.${at}`, {
					need: FULL,
					gang: {size: 3, wantsOneRack: false},
					isBegun: true,
				})
		submit("c.0.0.0", {isKept: false})
		await clock.advance(10)
		expect(executorOf("c.0.0.0")).to.equal("e2")
	})
})
