/**
 * Sends heartbeats: every instance to its own domain's placers, and placers to each other, so their
 * number grows with instances, not with pairs. A heartbeat is a datagram, answered by another one
 * on request.
 *
 * Placers also send each other room updates: soon when capacity appears or runs out, otherwise
 * rate-limited, and slower on narrow links. To keep heartbeats short, they name the fences the
 * sender knows and describe only claims that the receiver isn't known to have.
 */
import type {Clock} from "@cottonwood/core"
import {sliceNames} from "../decide/slices.js"
import type {Heartbeat, Claim, Fences, Member, Room, RoomUpdate} from "../types/fleet.js"
import {isFences, isHeartbeat, isRoomUpdate} from "./heartbeat-validation.js"
import type {FleetView} from "./members.js"
import type {Peers} from "./peers.js"
import {isRecord, isRoom, type InvalidReport} from "./room-validation.js"

/** A fifth of the silence after which a placer is replaced. */
const HEARTBEAT_MS = 200
/**
 * Least time between two room updates when capacity appeared or ran out; a fraction of a short
 * task.
 */
const URGENT_ROOM_MS = 15
/** Least time between two room updates when the amount of capacity changed. */
const ROOM_MS = 60
/** Share of this instance's link for room updates; the rest carries jobs, orders and answers. */
const ROOM_LINK_SHARE = 0.05
/** Size of one room update for one failure domain, with its packet's headers. */
const ROOM_UPDATE_BYTES = 230
const BYTES_PER_MS_AT_1_MBPS = 125
/**
 * Sessions whose known fences are kept, some 0.2 KB each; a forgotten one is sent all claims again.
 */
const MAX_SESSIONS = 1_000
/** Thirty times the longest round trip. */
const PING_TIMEOUT_MS = 350
/**
 * After this silence the own domain's placer may have changed, so all placers are sent heartbeats.
 */
const HOME_SILENT_MS = 3 * HEARTBEAT_MS

export interface HeartbeatDatagram extends Heartbeat {
	readonly type: "beat"
	readonly wantsAnswer: boolean
	/**
	 * Fences of all claims that the sender knows; the receiver's next heartbeat includes the claims
	 * that the sender lacks.
	 */
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
	/** The capacity of the failure domains placed here, by name. */
	readonly rooms: () => Readonly<Record<string, Room>>
	readonly onHeartbeat: (heartbeat: Heartbeat) => void
	readonly onRoomUpdate: (update: RoomUpdate) => void
	/** Called for each message that is none, which is dropped. */
	readonly onInvalid?: (reason: InvalidReport) => void
	/**
	 * Whether callers of the own domain are, or may soon be, served by placers of other domains.
	 */
	readonly needsOthers: () => boolean
	/** Bandwidth of this instance's link, in millions of bits a second. */
	readonly linkMbps: number
}

export interface Heartbeats {
	/** Handles a received datagram, which may come from anywhere. */
	receive(message: unknown): void
	/** The capacity here may have changed: other placers are sent an update soon if it has. */
	noteRoomChange(): void
	/**
	 * Asks a member for a heartbeat, with the time-out extended by `allowanceMs` milliseconds.
	 * Resolves with the session that answers at its address; undefined without an answer, or with one that is no heartbeat.
	 */
	ping(member: Member, allowanceMs: number): Promise<string | undefined>
	close(): void
}

/** Whether any of the rooms has free capacity. */
export const hasRoom = (rooms: Readonly<Record<string, Pick<Room, "freeCpu">>>) =>
	Object.values(rooms ?? {}).some(room => isRoom(room) && room.freeCpu.length > 0)

/** The figures that other placers decide by; an update is sent only when they change. */
const digestOf = (rooms: Readonly<Record<string, Room>>) =>
	Object.values(rooms)
		.map(room => room.freeCpu.join())
		.join("|")

function fencesOf(claims: readonly Claim[]): Fences {
	return Object.fromEntries(claims.map(({failureDomain, fence}) => [failureDomain, fence]))
}

/** Claims that a receiver with these fences lacks; all of them when its fences are unknown. */
function missingClaims(claims: readonly Claim[], known: Fences = {}): readonly Claim[] {
	return claims.filter(({failureDomain, fence}) => (known[failureDomain] ?? 0) < fence)
}

/** Removes labels: they change with the list of executors, so heartbeats carry them soon enough. */
function withoutLabels(rooms: Readonly<Record<string, Room>>): RoomUpdate["rooms"] {
	const entries = Object.entries(rooms).map(([failureDomain, {freeCpu, totalCpu, waitingWork}]) => [
		failureDomain,
		{freeCpu, totalCpu, waitingWork},
	])
	return Object.fromEntries(entries) as RoomUpdate["rooms"]
}

export function createHeartbeats(deps: HeartbeatsDeps): Heartbeats {
	const {clock, peers, view, self, ownHeartbeat} = deps
	const onInvalid = deps.onInvalid ?? (() => undefined)
	let isClosed = false
	let lastRoomAt = -Infinity
	let lastHadRoom = false
	let lastDigest = ""
	let isRoomCheckDue = false
	/** Fences that each session last reported. */
	const knownFences = new Map<string, Fences>()

	function sendHeartbeat({address, session}: Member, wantsAnswer: boolean) {
		const heartbeat = ownHeartbeat()
		const fences = fencesOf(heartbeat.claims)
		const claims = missingClaims(heartbeat.claims, knownFences.get(session))
		deps.send(address, {...heartbeat, type: "beat", claims, fences, wantsAnswer})
	}

	/** Least time between two room updates, in milliseconds, as the link's share allows. */
	function pacedMs(ms: number): number {
		const receivers = Math.max(1, view.claims().length - 1)
		const spareBytesPerMs = deps.linkMbps * BYTES_PER_MS_AT_1_MBPS * ROOM_LINK_SHARE
		return Math.max(ms, (receivers * ROOM_UPDATE_BYTES) / spareBytesPerMs)
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

	/** The placers of all slices of the own domain; undefined for a slice without one. */
	function homePlacers(): readonly (Member | undefined)[] {
		const {failureDomain} = self
		return sliceNames(failureDomain, view.sliceCount(failureDomain)).map(
			name => view.claimOf(name)?.placer,
		)
	}

	function sendHeartbeats() {
		if (isClosed) return
		const homes = homePlacers()
		const isHomeHeard = homes.every(home => home && view.silentMs(home.session) < HOME_SILENT_MS)
		const sendsToAll = isPlacer() || !isHomeHeard || deps.needsOthers()
		const isHome = ({session}: Member) => homes.some(home => home?.session === session)
		for (const placer of otherPlacers())
			if (sendsToAll || isHome(placer)) sendHeartbeat(placer, true)
		clock.schedule(HEARTBEAT_MS, sendHeartbeats)
	}

	/**
	 * Schedules the next check of the capacity, which isn't computed at each of the many changes in
	 * between.
	 */
	function scheduleRoomCheck(ms: number) {
		isRoomCheckDue = true
		clock.schedule(ms, () => {
			isRoomCheckDue = false
			if (!isClosed) sendRoomIfChanged()
		})
	}

	function sendRoomIfChanged() {
		const rooms = deps.rooms()
		const digest = digestOf(rooms)
		if (digest === lastDigest) return
		const sinceLast = clock.now() - lastRoomAt
		const isUrgent = hasRoom(rooms) !== lastHadRoom
		if (!isUrgent && sinceLast < pacedMs(ROOM_MS)) return scheduleRoomCheck(pacedMs(URGENT_ROOM_MS))
		lastRoomAt = clock.now()
		lastHadRoom = hasRoom(rooms)
		lastDigest = digest
		const update: RoomDatagram = {type: "room", session: self.session, rooms: withoutLabels(rooms)}
		for (const {address} of otherPlacers()) deps.send(address, update)
	}

	function noteKnownFences(session: string, fences: Fences) {
		knownFences.delete(session)
		knownFences.set(session, fences)
		const [oldest] = knownFences.keys()
		if (knownFences.size > MAX_SESSIONS && oldest !== undefined) knownFences.delete(oldest)
	}

	function isHeartbeatDatagram(message: unknown): message is HeartbeatDatagram {
		return isHeartbeat(message) && isFences((message as Partial<HeartbeatDatagram>).fences)
	}

	function receiveHeartbeat(message: HeartbeatDatagram) {
		const {from, fences, wantsAnswer, ...heartbeat} = message
		noteKnownFences(from.session, fences)
		deps.onHeartbeat({...heartbeat, from})
		if (wantsAnswer) sendHeartbeat(from, false)
	}

	sendHeartbeats()
	return {
		receive(message) {
			const isRoomReport = isRecord(message) && message["type"] === "room"
			if (isRoomReport && isRoomUpdate(message)) deps.onRoomUpdate(message)
			else if (!isRoomReport && isHeartbeatDatagram(message)) receiveHeartbeat(message)
			else onInvalid("heartbeat")
		},
		noteRoomChange() {
			if (isRoomCheckDue) return
			scheduleRoomCheck(Math.max(0, lastRoomAt + pacedMs(URGENT_ROOM_MS) - clock.now()))
		},
		async ping(member, allowanceMs) {
			const answer = await peers.beat(member.address, ownHeartbeat(), PING_TIMEOUT_MS + allowanceMs)
			if (answer === undefined) return undefined
			if (!isHeartbeat(answer)) return void onInvalid("heartbeat")
			deps.onHeartbeat(answer)
			return answer.from.session
		},
		close() {
			isClosed = true
		},
	}
}
