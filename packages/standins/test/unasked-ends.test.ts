/**
 * Processes that end by themselves. Guards against an instance that dies and is started again in time, unseen by tests
 * and soaks.
 */
import {
	endEdge,
	isReady,
	runLeasedSoak,
	runRoughSoak,
	startEdges,
	startLeasedPlatform,
	type Edge,
	type LeasedPlatform,
} from "@cottonwood/standins"
import {expect} from "chai"
import {readFileSync} from "node:fs"

const READY_TRIES = 100

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

/** Kills one instance that this process started, past the record of whoever started it. */
function killOneInstance() {
	const children = readFileSync(`/proc/${process.pid}/task/${process.pid}/children`, "utf8")
	const instances = children
		.split(" ")
		.filter(pid => pid !== "" && readFileSync(`/proc/${pid}/cmdline`, "utf8").includes("\0edge"))
	process.kill(Number(instances.at(-1)), "SIGKILL")
}

async function reasonOf(ending: Promise<unknown>): Promise<string> {
	return ending.then(
		() => "none",
		(err: unknown) => (err as Error).message,
	)
}

describe("an end that nobody asked for", () => {
	let platform: LeasedPlatform

	before(async () => {
		platform = await startLeasedPlatform({failureDomains: ["a"], executorsPerDomain: 1})
		platform.putConfig(1)
	})

	after(() => platform.close())

	it("fails a test when its instances are closed", async () => {
		const fleet = await startEdges(platform, [["a-1", "a"]])
		const [edge] = fleet.edges as [Edge]
		edge.child.kill("SIGABRT")
		await edge.life.ended
		expect(await reasonOf(fleet.close())).to.match(/^FAULT: a-1 ended by itself \(SIGABRT, \d+ ms/)
	})

	it("is not seen where the end was asked for, by a kill or by SIGTERM", async () => {
		const fleet = await startEdges(platform, [
			["a-1", "a"],
			["a-2", "a"],
		])
		const [first, second] = fleet.edges as [Edge, Edge]
		endEdge(first, "SIGKILL")
		endEdge(second, "SIGTERM")
		await Promise.all([first.life.ended, second.life.ended])
		expect(await reasonOf(fleet.close())).to.equal("none")
	})

	it("is reported with what the process wrote, when it ends before it is ready", async () => {
		const starting = startEdges(platform, [["a-1", "a"]], {
			envOf: () => ({COTTONWOOD_CONFIG: "/nowhere"}),
		})
		expect(await reasonOf(starting)).to.match(
			/^FAULT: a-1 ended by itself \(exit code 2, .*nowhere cannot be read/,
		)
	})

	it("is kept when the instance is started again, as the platform does", async () => {
		const fleet = await startEdges(platform, [["a-1", "a"]], {restartsEnded: true})
		const [edge] = fleet.edges as [Edge]
		process.kill(edge.child.pid as number, "SIGKILL")
		await edge.life.ended
		for (let tries = 0; tries < READY_TRIES && !(await isReady(edge)); tries++) await sleep(50)
		expect(await isReady(edge)).to.equal(true)
		expect(fleet.edges).to.have.length(2)
		await fleet.close()
		expect(fleet.faults()).to.have.length(1)
		expect(fleet.faults()[0]).to.match(/^FAULT: a-1 ended by itself \(SIGKILL, \d+ ms/)
	})

	it("is a violation of the platform soak", async () => {
		const plan = {seed: 1, count: 1, faultMs: 300, faults: ["store slow" as const], callers: 2}
		const verdict = await runLeasedSoak({...plan, onFault: killOneInstance})
		expect(verdict.violations).to.have.length(1)
		expect(verdict.violations[0]).to.match(/^FAULT: .* ended by itself \(SIGKILL, \d+ ms/)
	}).timeout(120_000)

	it("is a violation of the rough soak", async () => {
		const plan = {seed: 1, count: 1, faults: ["store slow"], callers: 2}
		const verdict = await runRoughSoak({...plan, onFault: killOneInstance})
		expect(verdict.violations).to.have.length(1)
		expect(verdict.violations[0]).to.match(/^FAULT: .* ended by itself \(SIGKILL, \d+ ms/)
	}).timeout(120_000)
})
