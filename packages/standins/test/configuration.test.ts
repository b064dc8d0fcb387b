/**
 * Versions of the configuration on real instances, whatever the way to the store does meanwhile.
 */
import {
	HOST,
	openLink,
	routesFor,
	startEdges,
	startLeasedPlatform,
	untilPlaced,
	type Edge,
	type Link,
} from "@cottonwood/standins"
import {expect} from "chai"
import {request} from "undici"
import {sleep} from "./support/late-callers.js"

const NAMES = [
	["a-1", "a"],
	["a-2", "a"],
	["b-1", "b"],
] as const
/** From the contract: an acknowledged version is in force within this. */
const IN_FORCE_MS = 2_000
/** From the contract: machines whose connections were in trouble have so much longer. */
const IN_TOUCH_MS = 3_000
const POLL_MS = 20

/** A configuration with one queue more. */
const withQueue = (prefix: string) => ({routes: routesFor([prefix])})

async function startWorld() {
	const platform = await startLeasedPlatform({failureDomains: ["a", "b"], executorsPerDomain: 1})
	platform.putConfig(1)
	const links = new Map<string, Link>()
	for (const [name] of NAMES)
		links.set(name, await openLink(() => Number(platform.storeAddress.split(":")[1])))
	const fleet = await startEdges(platform, NAMES, {
		storeAddressOf: name => `127.0.0.1:${links.get(name)?.port}`,
	})
	await untilPlaced(fleet, platform.executors.length)

	async function isServed(edge: Edge, prefix: string): Promise<boolean> {
		const res = await request(`http://${edge.callers}${prefix}`, {headers: {host: HOST}})
		await res.body.dump()
		return res.statusCode !== 404
	}

	return {
		platform,
		fleet,
		links: [...links.values()],
		/** The instances that refuse calls for a queue until the time is over. */
		async refusers(prefix: string, withinMs: number): Promise<readonly string[]> {
			const until = performance.now() + withinMs
			for (;;) {
				const areServed = await Promise.all(fleet.edges.map(edge => isServed(edge, prefix)))
				const refusers = fleet.edges.filter((_, at) => !areServed[at]).map(({name}) => name)
				if (refusers.length === 0 || performance.now() > until) return refusers
				await sleep(POLL_MS)
			}
		},
		async close() {
			await fleet.close()
			for (const link of links.values()) link.close()
			await platform.close()
		},
	}
}

describe("a version of the configuration, on processes", () => {
	/*
	 * Connections to the store went silent for good, without an end, while new ones worked. Every instance waited on its watch, which
	 * asks the store to answer within 10 s and is given up 0.9 s later, so none heard of a new version for up to
	 * 10.9 s and no beat named one. Settled by the lines: `prefix_lost` on `fleet/` and on `op/config` 119 ms apart, as two
	 * watches that began so far apart run out, and the version in force 9 ms later: the store had been there all the while.
	 */
	it("is in force in time though open connections to the store went silent", async () => {
		const world = await startWorld()
		for (const link of world.links) link.hush()
		world.platform.putConfig(2, withQueue("/late/"))
		expect(await world.refusers("/late/", IN_TOUCH_MS)).to.eql([])
		await world.close()
	})

	/*
	 * Three versions were written 60 ms apart while the store's answers took 400 ms. The answer after the first version told the two others
	 * at once, and the older of them came into force everywhere for good. Settled by the versions in `config_in_force`
	 * and by the calls that were refused from then on.
	 */
	it("is in force in time though it came with another one in one answer", async () => {
		const world = await startWorld()
		for (const link of world.links) link.delay(400)
		await sleep(500)
		for (const version of [2, 3, 4]) {
			world.platform.putConfig(version, withQueue(`/v${version}/`))
			await sleep(60)
		}
		expect(await world.refusers("/v4/", IN_FORCE_MS)).to.eql([])
		await world.close()
	})
})
