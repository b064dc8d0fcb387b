/** The choice of an executor for a task: labels, racks, tasks per executor, service, packing. */
import type {ExecutorRecord} from "@cottonwood/jobs"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeExecutors, record} from "./support/fake-executors.js"
import {createTestPlacer} from "./support/placers.js"
import {taskRequest} from "./support/requests.js"

async function createWorld(records: readonly ExecutorRecord[]) {
	const clock = createFakeClock()
	const orders = new FakeExecutors(clock)
	const placer = createTestPlacer({clock, orders})
	placer.setExecutors(records)
	await clock.advance(10)
	async function place(task: string, extra: Parameters<typeof taskRequest>[1] = {}) {
		placer.submit(
			taskRequest(task, extra),
			() => undefined,
			() => undefined,
		)
		await clock.advance(10)
		return orders.starts.find(start => start.task === task)?.executor
	}
	return {place, orders, clock}
}

describe("choice of an executor", () => {
	it("requires the task's label", async () => {
		const {place} = await createWorld([record("e1"), record("e2", {labels: ["b"]})])
		expect(await place("j.0.0.0", {label: "b"})).to.equal("e2")
		expect(await place("k.0.0.0", {label: "c"})).to.equal(undefined)
	})

	it("prefers the task's rack, and uses another when it is full", async () => {
		const {place} = await createWorld([record("e1"), record("e2", {labels: ["r1"]})])
		expect(await place("j.0.0.0", {rack: "r1"})).to.equal("e2")
		expect(await place("j.0.0.1", {rack: "r1"})).to.equal("e2")
		expect(await place("j.0.0.2", {rack: "r1"})).to.equal("e1")
	})

	it("respects a step's limit of tasks per executor", async () => {
		const {place} = await createWorld([record("e1"), record("e2")])
		const first = await place("j.0.0.0", {maxPerExecutor: 1})
		const second = await place("j.0.0.1", {maxPerExecutor: 1})
		expect([first, second].sort()).to.eql(["e1", "e2"])
		expect(await place("j.0.0.2", {maxPerExecutor: 1})).to.equal(undefined)
	})

	// A task that had failed once on the only executor with its label never ran again.
	it("returns to an avoided executor when no other could run the task", async () => {
		const labels = ["b"]
		const other = record("e3", {labels, service: "other"})
		const {place} = await createWorld([record("e1", {labels}), record("e2"), other])
		expect(await place("j.0.0.0", {label: "b", avoid: ["e1"]})).to.equal("e1")
	})

	it("requires the task's service", async () => {
		const {place} = await createWorld([record("e1", {service: "other"})])
		expect(await place("j.0.0.0")).to.equal(undefined)
	})

	it("packs tightly among executors of equal speed, so that large tasks find room", async () => {
		const large = record("e1", {capacity: {cpu: 96_000, memoryMb: 1_000, accelerators: 0}})
		const {place} = await createWorld([large, record("e2")])
		expect(await place("j.0.0.0")).to.equal("e2")
	})
})
