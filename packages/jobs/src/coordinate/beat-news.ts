/**
 * What an instance says of itself in its beats, and what it does with the beats and the news of room of others.
 */
import {hasRoom} from "../fleet/beats.js"
import type {Configuration} from "../fleet/configuration.js"
import type {Evacuations} from "../fleet/evacuations.js"
import type {FleetView} from "../fleet/members.js"
import type {Peers} from "../fleet/peers.js"
import type {Strain} from "../fleet/strain.js"
import type {Beat, Member, RoomNews} from "../types/fleet.js"
import type {Hosts} from "./hosts.js"

export interface BeatNewsDeps {
	readonly self: Member
	readonly view: FleetView
	readonly hosts: Pick<Hosts, "rooms" | "walk">
	readonly peers: Pick<Peers, "noteReachable">
	readonly strain: Strain
	readonly config: Pick<Configuration, "current" | "noteNewer">
	readonly evacuations: Pick<Evacuations, "news" | "takeNews">
	readonly isLeaving: () => boolean
}

export interface BeatNews {
	own(): Beat
	take(beat: Beat): void
	takeRoom(news: RoomNews): void
}

export function createBeatNews(deps: BeatNewsDeps): BeatNews {
	const {self, view, hosts, peers, strain, config, evacuations} = deps
	return {
		own: () => ({
			from: self,
			claims: view.claims(),
			rooms: hosts.rooms(),
			isLeaving: deps.isLeaving(),
			isStrained: strain.isStrained(),
			lateMs: Math.round(strain.lateMs()),
			configVersion: config.current()?.version ?? 0,
			evacuations: evacuations.news(),
		}),
		take(beat) {
			view.takeBeat(beat)
			peers.noteReachable(beat.from.address)
			config.noteNewer(beat.configVersion, beat.from.name)
			if (beat.evacuations) evacuations.takeNews(beat.evacuations, beat.from.name)
			if (hasRoom(beat.rooms)) hosts.walk()
		},
		takeRoom(news) {
			view.takeRoomNews(news)
			if (hasRoom(news.rooms)) hosts.walk()
		},
	}
}
