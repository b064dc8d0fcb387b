/**
 * Tasks beside lasting ones, which never end: a task must not wait for room that lasting tasks hold, nor for an executor that
 * its step may not use again.
 */
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeFleet, record} from "./support/fake-executors.js"
import {createTestPlacer} from "./support/placers.js"
import {taskRequest} from "./support/requests.js"

const WHOLE = {cpu: 64_000, memoryMb: 64, accelerators: 0}
/** After this wait a gang may hold back others. */
const GANG_PATIENCE_MS = 400

async function createWorld(executors: readonly string[]) {
	const clock = createFakeClock()
	const orders = new FakeFleet(clock)
	const placer = createTestPlacer({clock, orders})
	placer.setExecutors(executors.map(id => record(id)))
	await clock.advance(10)
	function submit(task: string, extra: Parameters<typeof taskRequest>[1] = {}) {
		placer.submit(
			taskRequest(task, {isKept: true, ...extra}),
			() => undefined,
			() => undefined,
		)
	}
	async function place(task: string, extra: Parameters<typeof taskRequest>[1] = {}) {
		submit(task, extra)
		await clock.advance(10)
		return executorOf(task)
	}
	const executorOf = (task: string) => orders.starts.find(start => start.task === task)?.executor
	return {clock, orders, submit, place, executorOf}
}

describe("an avoided executor", () => {
	// Executors at the step's limit counted as alternatives, though their lasting tasks never end.
	it("is used again by a lasting task whose step has its other executors", async () => {
		const {place} = await createWorld(["e1", "e2"])
		const extra = {isLasting: true, maxPerExecutor: 1}
		const first = await place("j.0.0.0", extra)
		const free = first === "e1" ? "e2" : "e1"
		expect(await place("j.0.0.1", {...extra, avoid: [free], run: 2})).to.equal(free)
	})

	it("is used again by a lasting task rather than wait for others' tasks", async () => {
		const {place} = await createWorld(["e1", "e2"])
		expect(await place("k.0.0.0", {need: WHOLE, avoid: ["e1"]})).to.equal("e2")
		expect(await place("j.0.0.0", {isLasting: true, avoid: ["e1"], run: 2})).to.equal("e1")
	})

	it("is used again when lasting tasks hold the room of the others", async () => {
		const {place} = await createWorld(["e1", "e2"])
		expect(await place("k.0.0.0", {need: WHOLE, isLasting: true, avoid: ["e1"]})).to.equal("e2")
		expect(await place("j.0.0.0", {avoid: ["e1"], run: 2})).to.equal("e1")
	})

	it("is used again by a task that must run alone where only lasting tasks are", async () => {
		const {place} = await createWorld(["e1", "e2"])
		expect(await place("k.0.0.0", {isLasting: true, avoid: ["e1"]})).to.equal("e2")
		const suspect = {isolation: "required" as const, avoid: ["e1"], run: 2}
		expect(await place("j.0.0.0", suspect)).to.equal("e1")
	})

	it("is not used again while tasks that end hold the room of the others", async () => {
		const {place, orders, clock, executorOf} = await createWorld(["e1", "e2"])
		expect(await place("k.0.0.0", {need: WHOLE, avoid: ["e1"]})).to.equal("e2")
		expect(await place("j.0.0.0", {avoid: ["e1"], run: 2})).to.equal(undefined)
		orders.end("k.0.0.0", "done")
		await clock.advance(20)
		expect(executorOf("j.0.0.0")).to.equal("e2")
	})

	// The members before had reserved the room of the others, and the last one waited for it.
	it("is used again by a gang that needs all executors", async () => {
		const {submit, executorOf, clock} = await createWorld(["e1", "e2"])
		const gang = {size: 2, wantsOneRack: false}
		for (const at of [0, 1]) submit(`j.0.0.${at}`, {need: WHOLE, gang, avoid: ["e1"], run: 2})
		await clock.advance(10)
		expect([executorOf("j.0.0.0"), executorOf("j.0.0.1")].sort()).to.eql(["e1", "e2"])
	})
})

describe("a gang that cannot fit", () => {
	async function whileItWaits(extra: Parameters<typeof taskRequest>[1], size: number) {
		const world = await createWorld(["e1", "e2"])
		await world.place("s.0.0.0", {need: {...WHOLE, cpu: 48_000}, isLasting: true})
		const gang = {size, wantsOneRack: false}
		for (let at = 0; at < size; at++) world.submit(`g.0.0.${at}`, {gang, ...extra})
		await world.clock.advance(2 * GANG_PATIENCE_MS)
		expect(world.executorOf("g.0.0.0")).to.equal(undefined)
		return world.place("k.0.0.0")
	}

	// It kept all room free for ever, and nothing behind it in the queue started.
	it("holds back nothing when its step's limit forbids it", async () => {
		expect(await whileItWaits({maxPerExecutor: 1}, 3)).to.be.a("string")
	})

	it("holds back nothing when lasting tasks hold its room", async () => {
		expect(await whileItWaits({need: WHOLE}, 2)).to.be.a("string")
	})

	it("holds back nothing when executors lack its accelerators", async () => {
		const need = {...WHOLE, cpu: 1_000, accelerators: 1}
		expect(await whileItWaits({need}, 2)).to.be.a("string")
	})
})
