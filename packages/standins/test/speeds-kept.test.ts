/**
 * Persistent executor speeds on real instances: learned from runs, written to the store, and read back after all
 * instances were killed.
 */
import {endEdge, handIn, startEdges, startLeasedPlatform, untilPlaced} from "@cottonwood/standins"
import {expect} from "chai"
import {until} from "./support/leased-scene.js"

const NAMES = [
	["a-1", "a"],
	["a-2", "a"],
] as const
const KEY = "speed/a"
/** Contract limit for speeds to be known again after placing has begun. */
const KNOWN_AGAIN_MS = 500

interface Told {
	readonly executors: Readonly<Record<string, readonly [steps: number, runs: number]>>
}

async function startWorld(placing: Readonly<Record<string, unknown>>) {
	const platform = await startLeasedPlatform({failureDomains: ["a"], executorsPerDomain: 3})
	platform.putConfig(1)
	const fleet = await startEdges(platform, NAMES, {placing})
	await untilPlaced(fleet, platform.executors.length)
	return {
		platform,
		fleet,
		told: () => platform.store.read(KEY) as Told | undefined,
		/** Runs jobs that keep all executors busy. */
		async run(jobs: number) {
			for (let at = 0; at < jobs; at++) {
				const id = (at + 1).toString(16).padStart(16, "0")
				await handIn(fleet.edges[0]!, id, {count: 6, estimateMs: 40, spec: {workMs: 40}})
			}
		},
		async close() {
			await fleet.close()
			await platform.close()
		},
	}
}

describe("speeds of executors, on processes", () => {
	it("are known again after all instances were killed", async () => {
		// One of three executors takes three times as long.
		const world = await startWorld({speeds: "kept"})
		const slow = world.platform.executors[0]!
		slow.executor.faults.slowness = 3
		await world.run(16)
		const isTold = () => Object.keys(world.told()?.executors ?? {}).length === 3
		await until("three speeds in the store", isTold)
		const steps = Object.values(world.told()!.executors).map(([mean]) => mean)
		expect(Math.max(...steps) - Math.min(...steps)).to.be.greaterThan(8)
		const before = [...world.fleet.edges]
		for (const edge of before) endEdge(edge, "SIGKILL")
		await Promise.all(before.map(({exited}) => exited))
		for (const edge of before) await world.fleet.relaunch(edge)
		const after = world.fleet.edges.slice(before.length)
		const lineOf = () =>
			after.flatMap(({lines}) => lines).find(({kind}) => kind === "speeds_taken_over")
		await until("speeds taken over", () => lineOf() !== undefined)
		expect(lineOf()).to.include({count: 3, outcome: "whole"})
		expect(lineOf()?.["waitedMs"]).to.be.lessThan(KNOWN_AGAIN_MS)
		await world.close()
	})

	it("are neither written nor read unless enabled", async () => {
		const world = await startWorld({})
		await world.run(8)
		await new Promise(resolve => setTimeout(resolve, 2_500))
		expect(world.told()).to.equal(undefined)
		const kinds = world.fleet.edges.flatMap(({lines}) => lines).map(({kind}) => kind)
		expect(kinds).to.not.include("speeds_taken_over")
		await world.close()
	})
})
