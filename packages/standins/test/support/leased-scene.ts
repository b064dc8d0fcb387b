/**
 * Fault scenarios on real instances and stand-in executors: helpers that start a fleet, throttle an instance, and
 * delay or drop an executor's orders.
 */
import {startEdges, startLeasedPlatform, untilPlaced} from "@cottonwood/standins"
import type {Edge, EdgeFleet, HostedExecutor, LeasedPlatform} from "@cottonwood/standins"
import {sleep} from "./late-callers.js"

const POLL_MS = 2
const WAIT_LIMIT_MS = 8_000

export interface SceneOptions {
	readonly instances: readonly (readonly [name: string, failureDomain: string])[]
	readonly executorsPerDomain?: number
	/** Placing features to enable; none by default. */
	readonly placing?: Readonly<Record<string, unknown>>
}

export interface Scene {
	readonly platform: LeasedPlatform
	readonly fleet: EdgeFleet
	/** The latest process of an instance. */
	edgeOf(name: string): Edge
	/** The instance that holds the failure domain's claim in the store. */
	placerOf(failureDomain: string): Edge
	/** Another instance of the same failure domain. */
	otherOf(failureDomain: string): Edge
	executorsOf(failureDomain: string): readonly HostedExecutor[]
	close(): Promise<void>
}

/** Polls until `holds` returns true; rejects after `timeoutMs`. */
export async function until(what: string, holds: () => boolean, timeoutMs = WAIT_LIMIT_MS) {
	const end = performance.now() + timeoutMs
	while (!holds()) {
		if (performance.now() > end) throw new Error(`timed out waiting for: ${what}`)
		await sleep(POLL_MS)
	}
}

/** Stops and continues an instance in turn, as on a machine short of CPU; resolves after `forMs`. */
export async function runThrottled(
	edge: Edge,
	forMs: number,
	stoppedMs: number,
	runningMs: number,
) {
	const end = performance.now() + forMs
	while (performance.now() < end) {
		edge.child.kill("SIGSTOP")
		await sleep(stoppedMs)
		edge.child.kill("SIGCONT")
		await sleep(runningMs)
	}
}

/** Makes an executor leave orders of this fence or a higher one unanswered, and carry them out `lateMs` later. */
export function delayAnswers({executor}: HostedExecutor, fromFence: number, lateMs: number) {
	executor.faults.lateOrders = fence => (fence >= fromFence ? lateMs : undefined)
}

/** Makes an executor ignore stop orders and leave them unanswered. */
export function dropStopOrders({executor}: HostedExecutor) {
	const handle = executor.handle.bind(executor)
	executor.handle = (req, body, res) =>
		req.url === "/run-stop" ? Promise.resolve() : handle(req, body, res)
}

export async function startScene(options: SceneOptions): Promise<Scene> {
	const failureDomains = [...new Set(options.instances.map(([, domain]) => domain))]
	const platform = await startLeasedPlatform({
		failureDomains,
		executorsPerDomain: options.executorsPerDomain ?? 2,
	})
	platform.putConfig(1)
	const fleet = await startEdges(platform, options.instances, {placing: options.placing})
	await untilPlaced(fleet, platform.executors.length)
	const edgeOf = (name: string) => fleet.edges.findLast(edge => edge.name === name) as Edge

	function placerOf(failureDomain: string): Edge {
		const claim = platform.store.read(`fleet/claim/${failureDomain}`)
		return edgeOf((claim as {placer: {name: string}}).placer.name)
	}

	return {
		platform,
		fleet,
		edgeOf,
		placerOf,
		otherOf(failureDomain) {
			const placer = placerOf(failureDomain).name
			const found = options.instances.find(
				([name, domain]) => domain === failureDomain && name !== placer,
			)
			return edgeOf((found as readonly [string, string])[0])
		},
		executorsOf: failureDomain =>
			platform.executors.filter(hosted => hosted.failureDomain === failureDomain),
		async close() {
			await fleet.close()
			await platform.close()
		},
	}
}
