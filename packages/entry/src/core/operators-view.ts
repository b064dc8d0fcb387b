/**
 * Builds operators' views: the fleet, the targets, and the decisions on a submission at all
 * instances. Also updates the gauges.
 */
import type {SubmissionKey} from "@cottonwood/core"
import type {Peer} from "../peers/peer-table.js"
import type {Base} from "./base.js"
import type {DispatchParts} from "./dispatch-parts.js"
import type {FleetParts} from "./fleet-parts.js"

interface LocatedStep {
	readonly instance: string
	readonly at: number
	readonly step: string
	readonly cause: string
}

const EXPLAIN_TIMEOUT_MS = 1_000
const GAUGE_INTERVAL_MS = 1_000

function explainAt(peer: Peer, key: SubmissionKey): Promise<readonly LocatedStep[]> {
	return new Promise(resolve => {
		const deadline = Date.now() + EXPLAIN_TIMEOUT_MS
		peer.client.explain({key, waitMs: 0}, {deadline}, (error, reply) => {
			if (error || !reply) return resolve([])
			resolve(reply.steps.map(step => ({...step, instance: reply.instance})))
		})
	})
}

/** Collects the steps of a submission from all reachable instances, by their wall clocks. */
export async function explainEverywhere(base: Base, fleet: FleetParts, key: SubmissionKey) {
	const {instance} = base.settings
	const own = base.explainer.explain(key).map(step => ({instance, ...step}))
	const others = await Promise.all([...fleet.peers.all()].map(peer => explainAt(peer, key)))
	return [...own, ...others.flat()].sort((a, b) => a.at - b.at)
}

/** Returns why this instance is not ready, or undefined when it is. */
export function notReadyCause(base: Base, fleet: FleetParts): string | undefined {
	if (base.state.draining) return "draining"
	return fleet.config.current() ? undefined : "no configuration is in force"
}

/** Returns this instance, then its peers as seen from it. */
export function describeInstances(base: Base, fleet: FleetParts) {
	const {settings, clock} = base
	const {peers, config, ownership, session} = fleet
	const self = {
		instance: settings.instance,
		failureDomain: settings.failureDomain,
		session: session.id() ?? null,
		state: notReadyCause(base, fleet) ?? "ready",
		configVersion: config.current()?.version ?? 0,
		shards: ownership.ownedCount(),
	}
	const others = [...peers.all()].map(peer => ({
		instance: peer.instance,
		failureDomain: peer.failureDomain,
		session: peer.session,
		state: peer.draining ? "draining" : Number.isFinite(peer.lastAnswerAt) ? "seen" : "never seen",
		answeredMsAgo: Math.round(clock.now() - peer.lastAnswerAt),
		configVersion: peer.configVersion,
	}))
	return [self, ...others]
}

export function describeTargets({targetRegistry}: DispatchParts, type: "executor" | "worker") {
	return targetRegistry
		.all()
		.filter(target => target.type === type)
		.map(target => ({...target, placer: targetRegistry.placerOf(target) ?? null}))
}

/** Updates the gauges every second until the process ends. */
export function startGauges({metrics, state}: Base, fleet: FleetParts, dispatch: DispatchParts) {
	const {scheduler, owner} = dispatch
	const timer = setInterval(() => {
		const {queued, running, aside} = scheduler.snapshot()
		const room = [...scheduler.rooms().values()].reduce((sum, free) => sum + free, 0)
		metrics.gauge("queue.length", queued)
		metrics.gauge("attempts.running", running)
		metrics.gauge("slots.free", room)
		metrics.gauge("targets.aside", aside)
		metrics.gauge("submissions.known", owner.size())
		metrics.gauge("requests.open", state.openRequests)
		metrics.gauge("store.silent_ms", fleet.store.silentMs())
		metrics.gauge("config.age_ms", fleet.config.inForceMs())
		metrics.gauge("memory.rss_bytes", process.memoryUsage.rss())
	}, GAUGE_INTERVAL_MS)
	timer.unref()
}
