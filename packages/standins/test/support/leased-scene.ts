/**
 * A scene on real instances in which one moment is brought about: who is frozen, slowed or killed, and what
 * each executor was seen to run.
 */
import {startEdges, startLeasedPlatform, untilPlaced} from "@cottonwood/standins"
import type {Edge, EdgeFleet, HostedExecutor, LeasedPlatform} from "@cottonwood/standins"
import {sleep} from "./late-callers.js"

const POLL_MS = 2
const WAIT_LIMIT_MS = 8_000

export interface SceneOptions {
	readonly instances: readonly (readonly [name: string, failureDomain: string])[]
	readonly executorsPerDomain?: number
	/** What of placing is switched on; by default nothing. */
	readonly placing?: Readonly<Record<string, unknown>>
}

export interface Scene {
	readonly platform: LeasedPlatform
	readonly fleet: EdgeFleet
	/** The newest life of an instance. */
	edgeOf(name: string): Edge
	/** The instance that places a failure domain by the store. */
	placerOf(failureDomain: string): Edge
	/** An instance of the domain that does not place it. */
	otherOf(failureDomain: string): Edge
	executorsOf(failureDomain: string): readonly HostedExecutor[]
	close(): Promise<void>
}

/** Waits until something holds; rejects when it does not come about. */
export async function until(what: string, holds: () => boolean, timeoutMs = WAIT_LIMIT_MS) {
	const end = performance.now() + timeoutMs
	while (!holds()) {
		if (performance.now() > end) throw new Error(`not seen: ${what}`)
		await sleep(POLL_MS)
	}
}

/** Lets an instance run by turns, as on a machine that gets too little processor time; resolves at the end. */
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

/** Lets an executor leave unanswered, and do so much later, what is ordered under this fence or a higher one. */
export function delayAnswers({executor}: HostedExecutor, fromFence: number, lateMs: number) {
	executor.faults.lateOrders = fence => (fence >= fromFence ? lateMs : undefined)
}

/** Lets an executor hear no order to stop. */
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
