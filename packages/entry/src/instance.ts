/**
 * Assembles, starts and drains an entry instance.
 */
import {createBase, type Base} from "./core/base.js"
import {createDispatchParts, type DispatchParts} from "./core/dispatch-parts.js"
import {drainInstance} from "./core/drain.js"
import {createFleetParts, type FleetParts} from "./core/fleet-parts.js"
import {
	describeInstances,
	describeTargets,
	explainEverywhere,
	notReadyCause,
	startGauges,
} from "./core/operators-view.js"
import type {Settings} from "./core/settings.js"
import {createApp, listenHttp, type HttpDeps} from "./http/app.js"
import {logOf} from "./utils/log.js"

/** A running entry instance. */
export interface Instance {
	readonly httpPort: number
	readonly peerPort: number
	/** Finishes open requests and stops; resolves after the callback `onDrained`. */
	drain(): Promise<void>
}

function toHttpDeps(
	base: Base,
	fleet: FleetParts,
	dispatch: DispatchParts,
	drain: () => void,
): HttpDeps {
	const {settings, clock, metrics, state} = base
	return {
		clock,
		router: dispatch.router,
		configStore: fleet.config,
		metrics,
		log: logOf(base.log, "http"),
		bodyBytes: settings.limits.bodyBytes,
		config: fleet.configNow,
		storeSilentMs: fleet.store.silentMs,
		beginRequest: () => void state.openRequests++,
		endRequest: () => void state.openRequests--,
		explain: key => explainEverywhere(base, fleet, key),
		listSubmissions: limit => dispatch.owner.list(limit),
		describeInstances: () => describeInstances(base, fleet),
		describeTargets: type => describeTargets(dispatch, type),
		drain,
		notReadyCause: () => notReadyCause(base, fleet),
	}
}

/**
 * Starts an entry instance; rejects when a port is taken.
 *
 * @example
 * const instance = await startInstance(settings, () => process.exit(0))
 * process.on("SIGTERM", () => void instance.drain())
 */
export async function startInstance(settings: Settings, onDrained: () => void): Promise<Instance> {
	const base = createBase(settings)
	const fleet: FleetParts = createFleetParts(base, {
		owner: () => dispatch.owner,
		rooms: () => dispatch.scheduler.rooms(),
		onMembers: () => dispatch.targetRegistry.assign(),
		onRoom: (peer, pool) => dispatch.scheduler.onPeerRoomReport(peer, pool),
		onConfig() {
			dispatch.targetRegistry.assign()
			dispatch.scheduler.placeQueued()
		},
	})
	const dispatch: DispatchParts = createDispatchParts(base, fleet)
	const {state} = base
	let draining: Promise<void> | undefined
	const drain = () => (draining ??= drainInstance(base, fleet, dispatch, http).then(onDrained))

	state.peerPort = await dispatch.peerServer.listen(settings.peer.host, settings.peer.port)
	const app = createApp(toHttpDeps(base, fleet, dispatch, () => void drain()))
	const http = await listenHttp(app, {...settings.http, ...settings.limits})
	state.httpPort = http.port
	for (const part of [
		fleet.view,
		fleet.session,
		fleet.ownership,
		fleet.peers,
		dispatch.targetRegistry,
	]) {
		part.start()
	}
	startGauges(base, fleet, dispatch)
	const {httpPort, peerPort} = state
	logOf(base.log, "instance").info(
		`Listening for callers on port ${httpPort}, for peers on port ${peerPort}.`,
	)
	return {httpPort, peerPort, drain}
}
