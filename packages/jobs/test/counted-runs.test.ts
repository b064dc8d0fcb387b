/**
 * Fails when the placer looks at the runs of an executor to choose one for a task, so that a pass takes the square of its tasks.
 */
import {expect} from "chai"
import type {TaskRequest} from "@cottonwood/jobs/internals"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeFleet, record} from "./support/fake-executors.js"
import {createTestPlacer} from "./support/placers.js"
import {taskRequest} from "./support/requests.js"

const TASKS = 300
/** Choosing an executor, counting the run in and out, and watching it; each run over there would add one for each neighbour. */
const MAX_READS = 20

describe("the choice of an executor", () => {
	it("looks at a task's request equally often however many runs are there", async () => {
		const clock = createFakeClock()
		const orders = new FakeFleet(clock)
		const placer = createTestPlacer({clock, orders})
		const reads = {isolation: 0, isServing: 0, confirmed: 0}
		const confirmedAt = () => (reads.confirmed++, Infinity)
		const need = {cpu: 50, memoryMb: 1, accelerators: 0}
		const extra = {need, confirmedAt, isServing: true, maxPerExecutor: TASKS}
		for (let at = 0; at < TASKS; at++) {
			const req = new Proxy(taskRequest(`j.0.0.${at}`, extra), {
				get(target, key: keyof TaskRequest) {
					if (key === "isolation" || key === "isServing") reads[key]++
					return target[key]
				},
			})
			placer.submit(
				req,
				() => undefined,
				() => undefined,
			)
		}
		placer.setExecutors([record("e1", {capacity: {cpu: 64_000, memoryMb: 1_000, accelerators: 0}})])
		await clock.advance(10)
		expect(orders.starts.length).to.equal(TASKS)
		for (const [what, count] of Object.entries(reads))
			expect(count / TASKS, what).to.be.below(MAX_READS)
	})
})
