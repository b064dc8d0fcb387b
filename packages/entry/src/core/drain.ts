/**
 * A planned stop: readiness goes off, the shards are handed over, the work in flight ends, and only
 * then the process may exit.
 */
import type {HttpServer} from "../http/app.js"
import {logOf} from "../utils/log.js"
import type {Base} from "./base.js"
import type {DispatchParts} from "./dispatch-parts.js"
import type {FleetParts} from "./fleet-parts.js"

const CLOSE_MS = 2_000
const HANDOVER_POLL_MS = 100

/** Resolves when no shard is owned here, or nobody is there to take them. */
async function handOverShards({settings, clock}: Base, {ownership, peers}: FleetParts) {
	const until = clock.now() + settings.timings.leaseTtlMs
	while (ownership.ownedCount() > 0 && peers.live().length > 0 && clock.now() < until) {
		ownership.nudge()
		await clock.sleep(HANDOVER_POLL_MS)
	}
}

/** Stops an instance; resolves when nothing is left to do. */
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
	log.info("Draining: readiness is off, shards are handed over.")
	await Promise.race([fleet.session.announceDraining(), clock.sleep(timings.storeTimeoutMs)])
	fleet.ownership.nudge()
	dispatch.board.assign()
	await clock.sleep(timings.drainGraceMs)
	const idle = Promise.all([http.close(), handOverShards(base, fleet), dispatch.owner.whenIdle()])
	const limit = clock.sleep(timings.drainLimitMs).then(() => "limit" as const)
	const how = await Promise.race([idle.then(() => "idle" as const), limit])
	if (how === "limit") log.warn("The drain's time limit ended it with work in flight.")
	await fleet.session.end()
	await dispatch.peerServer.close(CLOSE_MS)
	for (const part of [fleet.ownership, fleet.view, dispatch.board, fleet.peers]) part.stop()
	await Promise.all([fleet.store.close(), dispatch.clients.close()])
	base.metrics.close()
	log.info("Drained.")
}
