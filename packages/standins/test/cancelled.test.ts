/**
 * Cancellation on real processes: no task of a job starts or keeps running after the cancellation was acknowledged.
 */
import {endEdge, askJob, handIn} from "@cottonwood/standins"
import type {Edge} from "@cottonwood/standins"
import {expect} from "chai"
import {dropStopOrders} from "./support/leased-scene.js"
import {startLeasedWorld, type LeasedTestWorld} from "./support/leased-world.js"

const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms))
/** Contract limit after the acknowledgement for starts and runs of the job. */
const CANCEL_MS = 4_000
const STOP_GRACE_MS = 50
/** Allowance for timers and the delivery of an order. */
const SLACK_MS = 250
const LONGEST_LEASE_MS = 1_000
const LONG_MS = 30_000

let serial = 0
const newId = () => (++serial + 0xcace00).toString(16).padStart(16, "0")

describe("a cancelled job", function () {
	this.timeout(30_000)
	let world: LeasedTestWorld

	beforeEach(async () => {
		world = await startLeasedWorld()
	})

	afterEach(() => world.close())

	const runs = () =>
		world.platform.executors.reduce((sum, {executor}) => sum + executor.runningCount(), 0)
	const starts = () =>
		world.platform.executors.reduce((sum, {executor}) => sum + executor.starts, 0)

	async function accept(edge: Edge, id: string, count: number) {
		const options = {count, spec: {workMs: LONG_MS}, body: {"best-effort": false}}
		for (let tries = 0; tries < 20; tries++) {
			if ((await handIn(edge, id, options)).status === 200) return
			await sleep(200)
		}
		throw new Error(`${id} was not accepted`)
	}

	/** Repeats the cancellation until it is acknowledged. Returns all statuses. */
	async function cancel(edge: Edge, id: string): Promise<readonly number[]> {
		const statuses: number[] = []
		for (let tries = 0; tries < 60; tries++) {
			const {status} = await askJob(edge, id, "DELETE")
			statuses.push(status)
			if (status === 200 || status === 410) return statuses
			await sleep(100)
		}
		throw new Error(`not acknowledged: ${statuses.join()}`)
	}

	async function until(what: string, holds: () => boolean, patienceMs: number) {
		const end = performance.now() + patienceMs
		while (!holds()) {
			if (performance.now() > end) throw new Error(`not seen: ${what}`)
			await sleep(5)
		}
	}

	/* Guards against runs that go on until the acknowledgement, which lost store answers delay. */
	it("stops all runs before a delayed acknowledgement", async () => {
		const id = newId()
		await accept(world.edgeOf("a-1"), id, 2)
		await until("its runs", () => runs() === 2, 2_000)
		world.platform.store.faults.loseAnswers = 2
		const before = starts()
		const acknowledged = cancel(world.edgeOf("b-1"), id)
		await until("their ends", () => runs() === 0, CANCEL_MS)
		await acknowledged
		await sleep(1_000)
		expect(starts()).to.equal(before)
		expect((await askJob(world.edgeOf("a-2"), id)).body).to.eql({state: "cancelled"})
	})

	/* Guards against late starts that outlive their first lease when the stop order is lost. */
	it("ends soon after a late start when the stop order is lost", async () => {
		const lateMs = 600
		for (const hosted of world.platform.executors) {
			hosted.executor.faults.lateStarts = {count: 10, delayMs: lateMs}
			dropStopOrders(hosted)
		}
		const id = newId()
		await accept(world.edgeOf("a-1"), id, 1)
		await cancel(world.edgeOf("a-1"), id)
		await until("a late start", () => starts() > 0, lateMs + 1_000)
		await sleep(LONGEST_LEASE_MS + STOP_GRACE_MS + SLACK_MS)
		// Every order that was sent is carried out within these two seconds.
		const seen = new Set<number>()
		for (let look = 0; look < 100; look++) {
			seen.add(runs())
			await sleep(20)
		}
		expect([...seen]).to.eql([0])
	})

	/* Guards against runs that a new placer does not stop after the first placer was killed. */
	it("is stopped after its placer was killed", async () => {
		const id = newId()
		await accept(world.edgeOf("a-1"), id, 2)
		await until("its runs", () => runs() === 2, 2_000)
		const placer = world.placerOf("a")
		endEdge(world.edgeOf(placer), "SIGKILL")
		await cancel(world.edgeOf("b-1"), id)
		const before = starts()
		await sleep(CANCEL_MS + STOP_GRACE_MS)
		expect(runs()).to.equal(0)
		expect(starts()).to.equal(before)
		const other = placer === "a-1" ? "a-2" : "a-1"
		expect((await askJob(world.edgeOf(other), id)).body).to.eql({state: "cancelled"})
		expect(world.platform.violations).to.eql([])
	})
})
