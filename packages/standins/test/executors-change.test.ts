/**
 * Executors that a task crashes or that lose capacity while tasks run, on real processes.
 */
import {handIn, type HostedExecutor} from "@cottonwood/standins"
import {expect} from "chai"
import {startLeasedWorld, type LeasedTestWorld} from "./support/leased-world.js"

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))
/** Time for a crashed executor to return and for its placer to notice. */
const BACK_MS = 3_500
/** Contract limit for reduced capacity to be respected. */
const SHRUNK_COUNTS_MS = 3_600

let serial = 0
const newId = () => (++serial + 0xcc0000).toString(16).padStart(16, "0")

describe("changing executors on real instances", () => {
	let world: LeasedTestWorld

	beforeEach(async () => {
		world = await startLeasedWorld()
	})

	afterEach(() => world.close())

	it("keep serving other jobs while a task that crashes each of them is given up", async () => {
		const {platform, fleet} = world
		const id = newId()
		const spec = {workMs: 500, crashes: true}
		const culprit = handIn(world.edgeOf("a-1"), id, {spec, deadlineMs: 20_000})
		const sound: Promise<{readonly status: number}>[] = []
		for (let at = 0; at < 24; at++) {
			sound.push(handIn(world.edgeOf("b-1"), newId(), {spec: {workMs: 100}}))
			await sleep(100)
		}
		const {status, body} = await culprit
		expect({status, body}).to.eql({status: 200, body: {state: "failed"}})
		expect(platform.startsOf(`${id}.0.0.0`)).to.be.within(2, 3)
		const answers = await Promise.all(sound)
		expect(answers.filter(one => one.status === 200).length).to.equal(24)
		await sleep(BACK_MS)
		const later = await handIn(world.edgeOf("a-1"), newId(), {count: 4})
		expect(later.status).to.equal(200)
		const lines = fleet.edges.flatMap(edge => edge.lines)
		const told = lines.filter(({kind, job}) => kind === "task_crashed" && job === id)
		expect(told.length).to.be.within(2, 3)
		expect(platform.violations).to.eql([])
	})

	it("get no more than their reduced capacity and keep their running tasks", async () => {
		const {platform} = world
		const inA = platform.executors.filter(({failureDomain}) => failureDomain === "a")
		const long = handIn(world.edgeOf("a-1"), newId(), {
			count: 6,
			spec: {workMs: 4_000},
			deadlineMs: 12_000,
		})
		await sleep(500)
		for (const hosted of inA) platform.resize(hosted, 30_000)
		await sleep(SHRUNK_COUNTS_MS)
		expect((await long).status, "what ran goes on").to.equal(200)
		const most = (hosted: HostedExecutor) => hosted.executor.runningCount()
		const answers = Array.from({length: 6}, () =>
			handIn(world.edgeOf("a-1"), newId(), {spec: {workMs: 400}}),
		)
		let running = 0
		for (let at = 0; at < 60; at++) {
			running = Math.max(running, ...inA.map(most))
			await sleep(10)
		}
		await Promise.all(answers)
		expect(running).to.equal(1)
		for (const hosted of inA) platform.resize(hosted, 64_000)
		await sleep(2_000)
		const grown = await handIn(world.edgeOf("a-1"), newId(), {count: 6, spec: {workMs: 400}})
		expect(grown.status).to.equal(200)
		expect(platform.violations).to.eql([])
	})
})
