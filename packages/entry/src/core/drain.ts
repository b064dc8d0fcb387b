/**
 * Graceful shutdown: reports not ready, hands over the shards and finishes the work in flight.
 */
import type {HttpServer} from "../http/app.js"
import {logOf} from "../utils/log.js"
import type {Base} from "./base.js"
import type {DispatchParts} from "./dispatch-parts.js"
import type {FleetParts} from "./fleet-parts.js"

const PEER_SERVER_CLOSE_MS = 2_000
const HANDOVER_POLL_MS = 100

/** Resolves when no shard is owned, no peer is live, or a lease's term has passed. */
async function handOverShards({settings, clock}: Base, {ownership, peers}: FleetParts) {
	const until = clock.now() + settings.timings.leaseTtlMs
	while (ownership.ownedCount() > 0 && peers.live().length > 0 && clock.now() < until) {
		ownership.checkSoon()
		await clock.sleep(HANDOVER_POLL_MS)
	}
}

/** Stops an instance; resolves when all its parts are closed. */
export async function drainInstance(
	base: Base,
	fleet: FleetParts,
	dispatch: DispatchParts,
	http: HttpServer,
): Promise<void> {
	const {settings, clock, state} = base
	const {timings} = settings
	const log = logOf(base.log, "instance")
	state.draining = true
	log.info("Draining: reporting not ready and handing over shards.")
	await Promise.race([fleet.session.announceDraining(), clock.sleep(timings.storeTimeoutMs)])
	fleet.ownership.checkSoon()
	dispatch.targetRegistry.assign()
	await clock.sleep(timings.drainGraceMs)
	const idle = Promise.all([http.close(), handOverShards(base, fleet), dispatch.owner.whenIdle()])
	const limit = clock.sleep(timings.drainLimitMs).then(() => "limit" as const)
	const how = await Promise.race([idle.then(() => "idle" as const), limit])
	if (how === "limit") log.warn("Drain time limit reached with work still in flight.")
	await fleet.session.end()
	await dispatch.peerServer.close(PEER_SERVER_CLOSE_MS)
	for (const part of [fleet.ownership, fleet.view, dispatch.targetRegistry, fleet.peers])
		part.stop()
	await Promise.all([fleet.store.close(), dispatch.clients.close()])
	base.metrics.close()
	log.info("Drained.")
}
