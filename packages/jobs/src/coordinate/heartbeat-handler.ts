/** Builds this instance's heartbeat, and applies the heartbeats and room reports of other instances. */
import {hasRoom} from "../fleet/heartbeats.js"
import type {Configuration} from "../fleet/configuration.js"
import type {Evacuations} from "../fleet/evacuations.js"
import type {FleetView} from "../fleet/members.js"
import type {Peers} from "../fleet/peers.js"
import type {LagMonitor} from "../fleet/lag-monitor.js"
import type {Heartbeat, Member, RoomUpdate} from "../types/fleet.js"
import type {HostedPlacers} from "./hosted-placers.js"

export interface HeartbeatHandlerDeps {
	readonly self: Member
	readonly view: FleetView
	readonly hosts: Pick<HostedPlacers, "rooms" | "placeWaiting">
	readonly peers: Pick<Peers, "noteReachable">
	readonly lagMonitor: LagMonitor
	readonly config: Pick<Configuration, "current" | "noteNewer">
	readonly evacuations: Pick<Evacuations, "snapshot" | "applySnapshot">
	readonly isLeaving: () => boolean
}

export interface HeartbeatHandler {
	own(): Heartbeat
	applyHeartbeat(heartbeat: Heartbeat): void
	applyRoomUpdate(update: RoomUpdate): void
}

export function createHeartbeatHandler(deps: HeartbeatHandlerDeps): HeartbeatHandler {
	const {self, view, hosts, peers, lagMonitor, config, evacuations} = deps
	return {
		own: () => ({
			from: self,
			claims: view.claims(),
			rooms: hosts.rooms(),
			isLeaving: deps.isLeaving(),
			isStrained: lagMonitor.isStrained(),
			lateMs: Math.round(lagMonitor.lateMs()),
			configVersion: config.current()?.version ?? 0,
			evacuations: evacuations.snapshot(),
		}),
		applyHeartbeat(heartbeat) {
			view.applyHeartbeat(heartbeat)
			peers.noteReachable(heartbeat.from.address)
			config.noteNewer(heartbeat.configVersion, heartbeat.from.name)
			if (heartbeat.evacuations)
				evacuations.applySnapshot(heartbeat.evacuations, heartbeat.from.name)
			if (hasRoom(heartbeat.rooms)) hosts.placeWaiting()
		},
		applyRoomUpdate(update) {
			view.applyRoomUpdate(update)
			if (hasRoom(update.rooms)) hosts.placeWaiting()
		},
	}
}
