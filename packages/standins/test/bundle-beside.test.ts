/**
 * The bundle is built anew in a folder from which instances run. Guards against a build that writes to files which they have
 * mapped, which ended all of them.
 */
import {
	handIn,
	startEdges,
	startLeasedPlatform,
	untilPlaced,
	type Edge,
	type EdgeFleet,
	type LeasedPlatform,
} from "@cottonwood/standins"
import {expect} from "chai"
import {spawn} from "node:child_process"
import {once} from "node:events"
import {readdirSync} from "node:fs"

const PROGRAM = "target/cottonwood.cjs"
const BUILDS = 2

async function bundle() {
	const child = spawn(process.execPath, ["scripts/bundle.mjs"], {stdio: "ignore"})
	const [status] = (await once(child, "exit")) as [number | null]
	expect(status).to.equal(0)
}

describe("a build beside running instances", () => {
	let platform: LeasedPlatform
	let fleet: EdgeFleet

	before(async () => {
		await bundle()
		platform = await startLeasedPlatform({failureDomains: ["a"], executorsPerDomain: 2})
		platform.putConfig(1)
		fleet = await startEdges(platform, [["a-1", "a"]], {program: PROGRAM})
		await untilPlaced(fleet, platform.executors.length)
	})

	after(async () => {
		await fleet.close()
		await platform.close()
	})

	it("ends none of them, and they answer on", async () => {
		const edge = fleet.edges[0] as Edge
		const files = readdirSync("target")
		for (let at = 0; at < BUILDS; at++) await bundle()
		const answer = await handIn(edge, "00000000000000b1", {count: 2, spec: {workMs: 50}})
		expect([answer.status, edge.child.exitCode, edge.child.signalCode]).to.eql([200, null, null])
		expect(readdirSync("target"), "nothing is left over").to.eql(files)
	})
})
