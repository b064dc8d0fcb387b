/**
 * A small fleet on the stand-in platform: two failure domains, three instances.
 */
import {startEdges, startLeasedPlatform, untilPlaced} from "@cottonwood/standins"
import type {Edge, EdgeFleet, LeasedPlatform} from "@cottonwood/standins"

export interface LeasedTestWorld {
	readonly platform: LeasedPlatform
	readonly fleet: EdgeFleet
	/** The latest process of an instance. */
	edgeOf(name: string): Edge
	/** The name of the instance that holds the failure domain's claim in the store. */
	placerOf(domain: string): string
	close(): Promise<void>
}

/** Starts platform and fleet, and waits until every executor has a placer. */
export async function startLeasedWorld(): Promise<LeasedTestWorld> {
	const platform = await startLeasedPlatform({failureDomains: ["a", "b"], executorsPerDomain: 3})
	platform.putConfig(1)
	const fleet = await startEdges(platform, [
		["a-1", "a"],
		["a-2", "a"],
		["b-1", "b"],
	])
	await untilPlaced(fleet, platform.executors.length)
	return {
		platform,
		fleet,
		edgeOf: name => fleet.edges.findLast(edge => edge.name === name) as Edge,
		placerOf: domain =>
			(platform.store.read(`fleet/claim/${domain}`) as {placer: {name: string}}).placer.name,
		async close() {
			await fleet.close()
			await platform.close()
		},
	}
}
