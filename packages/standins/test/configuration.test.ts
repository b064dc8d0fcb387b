/**
 * Configuration versions on real instances while connections to the store fail.
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
/** Contract limit for an acknowledged version to take effect. */
const IN_FORCE_MS = 2_000
/** Contract limit for instances whose connections failed. */
const IN_TOUCH_MS = 3_000
const POLL_MS = 20

/** Returns a configuration with one additional queue. */
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
		/** Returns the instances that still refuse calls of the queue after `withinMs`. */
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

describe("a configuration version on real instances", () => {
	/* Guards against instances that wait for a watch's full timeout on a silent connection. */
	it("takes effect in time after open connections to the store went silent", async () => {
		const world = await startWorld()
		for (const link of world.links) link.hush()
		world.platform.putConfig(2, withQueue("/late/"))
		expect(await world.refusers("/late/", IN_TOUCH_MS)).to.eql([])
		await world.close()
	})

	/* Guards against keeping the older of two versions that arrive in one watch answer. */
	it("takes effect in time when one answer contains several versions", async () => {
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
