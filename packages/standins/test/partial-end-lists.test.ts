/**
 * Kept jobs on a real process while the store is unavailable, with an executor that has more ends than it lists at once.
 */
import {askJob, handIn, startEdges, startLeasedPlatform, untilPlaced} from "@cottonwood/standins"
import type {Edge, EdgeFleet, LeasedPlatform} from "@cottonwood/standins"
import {expect} from "chai"

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))
const ID = "0000000000def900"
/** More than the 500 ends that an executor lists. */
const COUNT = 720
const CPU = 500
const WORK_MS = 300
/** All tasks end within it: 128 fit at once. */
const STORE_DOWN_MS = 4_000
const END_MS = 15_000
const POLL_MS = 200

describe("an executor with more ends than it lists, on a real process", () => {
	let platform: LeasedPlatform
	let fleet: EdgeFleet

	beforeEach(async () => {
		platform = await startLeasedPlatform({failureDomains: ["a"], executorsPerDomain: 1})
		platform.putConfig(1)
		fleet = await startEdges(platform, [["a-1", "a"]])
		await untilPlaced(fleet, 1)
	})

	afterEach(async () => {
		await fleet.close()
		await platform.close()
	})

	// Tasks whose ends were beyond the list were started again while the store was unavailable.
	it("has no task started again while the store is unavailable", async () => {
		const edge = fleet.edges[0] as Edge
		const options = {count: COUNT, cpu: CPU, spec: {workMs: WORK_MS}, body: {"best-effort": false}}
		expect((await handIn(edge, ID, options)).status).to.equal(200)
		platform.store.faults.down = "busy"
		await sleep(STORE_DOWN_MS)
		platform.store.faults.down = undefined
		const stateOf = async () => ((await askJob(edge, ID)).body as {state?: string}).state
		const giveUpAt = performance.now() + END_MS
		while ((await stateOf()) !== "completed" && performance.now() < giveUpAt) await sleep(POLL_MS)
		expect(await stateOf()).to.equal("completed")
		expect(platform.executors[0]?.executor.starts).to.equal(COUNT)
		expect(platform.violations).to.eql([])
	}).timeout(60_000)
})
