/**
 * Fails when a scheduling pass keeps the event loop from timers and requests, or forgets what has changed between its turns.
 */
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeFleet, record} from "./support/fake-executors.js"
import {createTestPlacer} from "./support/placers.js"
import {taskRequest} from "./support/requests.js"

const TASKS = 200
const MAX_STARTS_PER_TURN = 64
const MAX_TURN_MS = 10
const NEED = {cpu: 50, memoryMb: 1, accelerators: 0}

const turn = () => new Promise<void>(resolve => void setImmediate(resolve))

async function createWorld() {
	const clock = createFakeClock()
	const orders = new FakeFleet(clock)
	const placer = createTestPlacer({clock, orders})
	placer.setExecutors([record("e1", {capacity: {cpu: 64_000, memoryMb: 1_000, accelerators: 0}})])
	await clock.advance(10)
	const submit = (
		task: string,
		extra: Parameters<typeof taskRequest>[1] = {},
		onStart = () => undefined as void,
	) => placer.submit(taskRequest(task, {need: NEED, ...extra}), () => undefined, onStart)
	const startedOf = (job: string) =>
		orders.starts.filter(({task}) => task.startsWith(`${job}.`)).length
	return {clock, orders, placer, submit, startedOf}
}

describe("the turns of a scheduling pass", () => {
	it("end after some starts, and the next goes on", async () => {
		const {orders, submit} = await createWorld()
		for (let at = 0; at < TASKS; at++) submit(`j.0.0.${at}`)
		const perTurn: number[] = []
		for (let at = 0, before = 0; at < 5; at++, before = orders.starts.length) {
			await turn()
			perTurn.push(orders.starts.length - before)
		}
		expect(perTurn).to.deep.equal([64, 64, 64, 8, 0])
	})

	it("end after some time", async () => {
		const {clock, orders, submit} = await createWorld()
		for (let at = 0; at < 20; at++) submit(`j${at}.0.0.0`, {}, () => clock.freeze(MAX_TURN_MS / 2))
		await turn()
		expect(orders.starts.length).to.equal(2)
		await turn()
		expect(orders.starts.length).to.equal(4)
	})

	it("take a change between them into account", async () => {
		const {submit, startedOf} = await createWorld()
		const handles = Array.from({length: TASKS}, (_, at) => submit(`j.0.0.${at}`))
		for (let at = 0; at < TASKS; at++) submit(`k.0.0.${at}`, {startBy: 3_000})
		await turn()
		for (const handle of handles.slice(MAX_STARTS_PER_TURN + 10)) handle.cancel()
		submit("urgent.0.0.0", {startBy: 1_500, isBegun: true})
		await turn()
		expect(startedOf("j")).to.equal(MAX_STARTS_PER_TURN + 10)
		expect(startedOf("urgent")).to.equal(1)
		expect(startedOf("k")).to.equal(MAX_STARTS_PER_TURN - 11)
	})

	it("start nothing at once after a stall between them", async () => {
		const {clock, orders, submit} = await createWorld()
		for (let at = 0; at < TASKS; at++) submit(`j.0.0.${at}`)
		await turn()
		clock.freeze(500)
		await turn()
		expect(orders.starts.length).to.equal(MAX_STARTS_PER_TURN)
		await clock.advance(10)
		expect(orders.starts.length).to.equal(TASKS)
	})

	it("offer room that was freed between them to the first in order", async () => {
		const {clock, orders, submit, startedOf} = await createWorld()
		const wide = {...NEED, cpu: 40_000}
		submit("first.0.0.0", {need: wide})
		await clock.advance(1)
		submit("wide.0.0.0", {need: wide, isBegun: true})
		for (let at = 0; at < TASKS; at++) submit(`j.0.0.${at}`)
		await turn()
		expect(startedOf("wide")).to.equal(0)
		orders.end("first.0.0.0", "done")
		await turn()
		await turn()
		expect(startedOf("wide")).to.equal(1)
		expect(startedOf("j")).to.be.below(TASKS)
	})

	it("keep a gang together", async () => {
		const {submit, startedOf} = await createWorld()
		for (let at = 0; at < MAX_STARTS_PER_TURN - 4; at++) submit(`j.0.0.${at}`)
		const gang = {size: 10, wantsOneRack: false}
		for (let at = 0; at < 10; at++) submit(`g.0.0.${at}`, {gang, startBy: 3_000})
		await turn()
		expect(startedOf("g")).to.equal(10)
	})
})
