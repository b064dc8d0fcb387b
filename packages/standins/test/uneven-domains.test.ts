/**
 * A full failure domain beside one with free capacity, on real instances: whole jobs move, and none runs twice when the
 * receiving instance is killed.
 */
import {
	endEdge,
	handIn,
	startEdges,
	startLeasedPlatform,
	untilPlaced,
	type Edge,
	type EdgeFleet,
	type LeasedPlatform,
} from "@cottonwood/standins"
import {expect} from "chai"

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))
/** Executors per domain; each runs two tasks at once. */
const EXECUTORS = 2
/** Delay before callers resubmit. */
const COME_AGAIN_MS = 1_300
/** Time for log lines to arrive. */
const LINES_MS = 200
const MAX_TRIES = 30
const START_POLL_MS = 20

let serial = 0
const newId = () => (++serial + 0xd03a00).toString(16).padStart(16, "0")

describe("a full failure domain on real instances", () => {
	let platform: LeasedPlatform
	let fleet: EdgeFleet

	beforeEach(async () => {
		platform = await startLeasedPlatform({
			failureDomains: ["a", "b"],
			executorsPerDomain: EXECUTORS,
		})
		platform.putConfig(1)
		const names = [["a-1", "a"] as const, ["a-2", "a"] as const, ["b-1", "b"] as const]
		fleet = await startEdges(platform, names, {placing: {domainChoice: "forecast"}})
		await untilPlaced(fleet, platform.executors.length)
		for (const name of ["a-1", "a-2"]) await untilServedAtHome(name)
	})

	afterEach(async () => {
		await fleet.close()
		await platform.close()
	})

	const edgeOf = (name: string) => fleet.edges.find(edge => edge.name === name) as Edge
	const linesOf = (kind: string, job: string) =>
		fleet.edges
			.flatMap(({lines}) => lines)
			.filter(line => line["kind"] === kind && line["job"] === job)

	const domainsOf = (job: string) => linesOf("placer_asked", job).map(line => line["failureDomain"])

	/**
	 * An instance that has not heard the placer of its own failure domain yet passes jobs to the other one, which would fill the
	 * wrong domain.
	 */
	async function untilServedAtHome(name: string) {
		for (let tries = 0; tries < MAX_TRIES; tries++) {
			const id = newId()
			await handIn(edgeOf(name), id, {spec: {workMs: 1}})
			await sleep(LINES_MS)
			if (domainsOf(id).includes("a")) return
		}
		throw new Error(`${name} does not pass jobs to its own failure domain`)
	}

	async function untilStarted(task: string) {
		for (let tries = 0; tries < MAX_TRIES && platform.startsOf(task) === 0; tries++)
			await sleep(START_POLL_MS)
		expect(platform.startsOf(task), task).to.equal(1)
	}

	/** Uses all capacity of domain a for 2.5 seconds. */
	async function fill() {
		const id = newId()
		const options = {count: 2 * EXECUTORS, spec: {workMs: 2_500}, deadlineMs: 8_000}
		const answer = await handIn(edgeOf("a-1"), id, options)
		await sleep(LINES_MS)
		expect(domainsOf(id)).to.eql(["a"])
		return answer
	}

	it("has whole jobs run by the other domain, whichever of its instances was called", async () => {
		const taken = fill()
		await sleep(350)
		for (const name of ["a-1", "a-2"]) {
			const id = newId()
			const answer = await handIn(edgeOf(name), id, {count: 2, spec: {workMs: 200}})
			expect(answer.status, name).to.equal(200)
			await sleep(LINES_MS)
			const [line] = linesOf("whole_job_moved", id)
			expect(line, name).to.include({failureDomain: "b", outcome: "completed"})
			expect(line?.["hereMs"]).to.be.greaterThan(line?.["thereMs"] as number)
			expect(linesOf("task_handed_over", id)).to.have.length(0)
		}
		expect((await taken).status).to.equal(200)
		expect(platform.violations).to.eql([])
	})

	it("has no job started twice when the receiving instance is killed", async () => {
		const taken = fill()
		await sleep(350)
		const id = newId()
		const first = handIn(edgeOf("a-2"), id, {count: 2, spec: {workMs: 1_000}})
		await untilStarted(`${id}.0.0.0`)
		endEdge(edgeOf("b-1"), "SIGKILL")
		expect((await first).status).to.equal(502)
		await sleep(LINES_MS)
		expect(linesOf("whole_job_moved", id)[0]).to.include({outcome: "given up"})
		await sleep(COME_AGAIN_MS)
		const again = await handIn(edgeOf("a-2"), id, {
			count: 2,
			spec: {workMs: 200},
			deadlineMs: 6_000,
		})
		expect(again.status).to.equal(200)
		expect((await taken).status).to.equal(200)
		expect(platform.violations).to.eql([])
	})
})
