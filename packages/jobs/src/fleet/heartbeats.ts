/**
 * Who tells whom what: every instance beats to its own domain's placer, placers beat to each other.
 *
 * So the number of beats grows with instances, not with pairs of them. A beat is a datagram; the
 * placer answers a beat that asks for it. Placers also tell each other when their room changed, soon when it came
 * or went, and at most once in a while otherwise.
 *
 * What is told often is short. A beat names the fences that its sender knows, and describes only those claims that its
 * reader was not known to have; news of room names the sender's session and the room. Where a link is narrow room is told
 * as seldom as a share of the link asks for.
 */
import type {Clock} from "@cottonwood/core"
import {sliceNames} from "../decide/slices.js"
import type {Heartbeat, Claim, Fences, Member, Room, RoomUpdate} from "../types/fleet.js"
import type {FleetView} from "./members.js"
import type {Peers} from "./peers.js"
import {isRoom} from "./room-validation.js"

/** A fifth of the silence after which a placer is replaced. */
const BEAT_MS = 200
/** Between two beats when room came or went; a fraction of a short task. */
const URGENT_ROOM_MS = 15
/** Between two beats when there is more or less of it. */
const ROOM_MS = 60
/** Of the own link, for news of room; the rest carries jobs, orders and answers. */
const ROOM_LINK_SHARE = 0.05
/** One piece of news of room with its packet's headers, for one failure domain. */
const ROOM_NEWS_BYTES = 230
const BYTES_PER_MS_AT_1_MBPS = 125
/** Sessions whose fences are remembered, some 0.2 KB each; one that is forgotten is told all claims again. */
const MAX_READERS = 1_000
/** A sign of life that is asked for is missed after this; thirty times the longest way. */
const PING_TIMEOUT_MS = 350
/** A placer that was not heard for so long may have changed; everybody is told. */
const HOME_QUIET_MS = 3 * BEAT_MS

export interface HeartbeatDatagram extends Heartbeat {
	readonly type: "beat"
	readonly wantsAnswer: boolean
	/** Of all claims that the sender knows; a reader that knows less is told them with the next beat to it. */
	readonly fences: Fences
}

export interface RoomDatagram extends RoomUpdate {
	readonly type: "room"
}

export type FleetDatagram = HeartbeatDatagram | RoomDatagram

export interface HeartbeatsDeps {
	readonly clock: Clock
	readonly peers: Peers
	readonly send: (address: string, message: FleetDatagram) => void
	readonly view: FleetView
	readonly self: Member
	readonly ownHeartbeat: () => Heartbeat
	/** The room of the failure domains that are placed here, by name. */
	readonly rooms: () => Readonly<Record<string, Room>>
	readonly onHeartbeat: (beat: Heartbeat) => void
	readonly onRoomNews: (news: RoomUpdate) => void
	/** Whether the own domain's callers are, or may soon be, served by the other domains' placers. */
	readonly needsOthers: () => boolean
	/** What the own link carries, in millions of bits a second. */
	readonly linkMbps: number
}

export interface Heartbeats {
	/** Takes a datagram that arrived. */
	receive(message: FleetDatagram): void
	/** The room here may have changed: other placers are told soon if it has. */
	noteRoomChange(): void
	/**
	 * Asks a member for a sign of life, and waits for it so much longer than usual; resolves with the session that
	 * answers at its address, if any does.
	 */
	ping(member: Member, patienceMs: number): Promise<string | undefined>
	close(): void
}

/** Whether any of the rooms has a place that is free for others. */
export const hasRoom = (rooms: Readonly<Record<string, Pick<Room, "freeCpu">>>) =>
	Object.values(rooms ?? {}).some(room => isRoom(room) && room.freeCpu.length > 0)

/** What others decide by; the rest of a room changes without their needing to know. */
const digestOf = (rooms: Readonly<Record<string, Room>>) =>
	Object.values(rooms)
		.map(room => room.freeCpu.join())
		.join("|")

function fencesOf(claims: readonly Claim[]): Fences {
	return Object.fromEntries(claims.map(({failureDomain, fence}) => [failureDomain, fence]))
}

/** Claims that a reader with these fences has not heard of; all of them when nothing is known of it. */
function lackedClaims(claims: readonly Claim[], known: Fences = {}): readonly Claim[] {
	return claims.filter(({failureDomain, fence}) => (known[failureDomain] ?? 0) < fence)
}

/** Labels change with the list of executors, so beats tell them soon enough. */
function withoutLabels(rooms: Readonly<Record<string, Room>>): RoomUpdate["rooms"] {
	const told = Object.entries(rooms).map(([failureDomain, {freeCpu, totalCpu, waitingWork}]) => [
		failureDomain,
		{freeCpu, totalCpu, waitingWork},
	])
	return Object.fromEntries(told) as RoomUpdate["rooms"]
}

export function createHeartbeats(deps: HeartbeatsDeps): Heartbeats {
	const {clock, peers, view, self, ownHeartbeat: own} = deps
	let isClosed = false
	let lastRoomAt = -Infinity
	let lastHadRoom = false
	let lastTold = ""
	let isLookDue = false
	/** What each session told last that it knows. */
	const knownThere = new Map<string, Fences>()

	function tell({address, session}: Member, wantsAnswer: boolean) {
		const beat = own()
		const fences = fencesOf(beat.claims)
		const claims = lackedClaims(beat.claims, knownThere.get(session))
		deps.send(address, {...beat, type: "beat", claims, fences, wantsAnswer})
	}

	/** Between two pieces of news of room to all others, by what the link can spare. */
	function pacedMs(ms: number): number {
		const readers = Math.max(1, view.claims().length - 1)
		const spareBytesPerMs = deps.linkMbps * BYTES_PER_MS_AT_1_MBPS * ROOM_LINK_SHARE
		return Math.max(ms, (readers * ROOM_NEWS_BYTES) / spareBytesPerMs)
	}

	function otherPlacers(): Iterable<Member> {
		const placers = new Map<string, Member>()
		for (const {placer} of view.claims())
			if (placer.session !== self.session) placers.set(placer.session, placer)
		return placers.values()
	}

	function isPlacer(): boolean {
		return view.claims().some(({placer}) => placer.session === self.session)
	}

	/** The placers of all slices of the own domain. */
	function homePlacers(): readonly (Member | undefined)[] {
		const {failureDomain} = self
		return sliceNames(failureDomain, view.sliceCount(failureDomain)).map(
			name => view.claimOf(name)?.placer,
		)
	}

	function beatAll() {
		if (isClosed) return
		const homes = homePlacers()
		const isHomeHeard = homes.every(home => home && view.silentMs(home.session) < HOME_QUIET_MS)
		const tellsAll = isPlacer() || !isHomeHeard || deps.needsOthers()
		const isHome = ({session}: Member) => homes.some(home => home?.session === session)
		for (const placer of otherPlacers()) if (tellsAll || isHome(placer)) tell(placer, true)
		clock.schedule(BEAT_MS, beatAll)
	}

	/** Room is worked out when it may be told, not at each of the many changes in between. */
	function lookSoon(ms: number) {
		isLookDue = true
		clock.schedule(ms, () => {
			isLookDue = false
			if (!isClosed) lookAtRoom()
		})
	}

	function lookAtRoom() {
		const rooms = deps.rooms()
		const digest = digestOf(rooms)
		if (digest === lastTold) return
		const sinceLast = clock.now() - lastRoomAt
		const isUrgent = hasRoom(rooms) !== lastHadRoom
		if (!isUrgent && sinceLast < pacedMs(ROOM_MS)) return lookSoon(pacedMs(URGENT_ROOM_MS))
		lastRoomAt = clock.now()
		lastHadRoom = hasRoom(rooms)
		lastTold = digest
		const news: RoomDatagram = {type: "room", session: self.session, rooms: withoutLabels(rooms)}
		for (const {address} of otherPlacers()) deps.send(address, news)
	}

	function noteKnownThere(session: string, fences: Fences) {
		knownThere.delete(session)
		knownThere.set(session, fences)
		const [oldest] = knownThere.keys()
		if (knownThere.size > MAX_READERS && oldest !== undefined) knownThere.delete(oldest)
	}

	function takeBeat(message: HeartbeatDatagram) {
		const {from, fences, wantsAnswer, ...beat} = message
		noteKnownThere(from.session, fences)
		deps.onHeartbeat({...beat, from})
		if (wantsAnswer) tell(from, false)
	}

	beatAll()
	return {
		receive(message) {
			if (message.type === "room") deps.onRoomNews(message)
			else takeBeat(message)
		},
		noteRoomChange() {
			if (isLookDue) return
			lookSoon(Math.max(0, lastRoomAt + pacedMs(URGENT_ROOM_MS) - clock.now()))
		},
		async ping(member, patienceMs) {
			const answer = await peers.beat(member.address, own(), PING_TIMEOUT_MS + patienceMs)
			if (answer) deps.onHeartbeat(answer)
			return answer?.from.session
		},
		close() {
			isClosed = true
		},
	}
}
