/**
 * This instance's view of the fleet: members and claims from the store, and what heartbeats
 * reported, which is often newer. For claims the higher fence wins, whatever its source.
 */
import type {Clock, StoreItem} from "@cottonwood/core"
import {
	effectiveClaims,
	countSlices,
	failureDomainOf,
	isFenceInRange,
	sliceIndexOf,
} from "../decide/slices.js"
import type {Heartbeat, Claim, Member, Room, RoomUpdate} from "../types/fleet.js"
import {
	isLabelledRoom,
	isRecord,
	isRoom,
	validRooms,
	type InvalidReport,
} from "./room-validation.js"

export const FLEET_PREFIX = "fleet/"
const MEMBER_PREFIX = "fleet/node/"
const CLAIM_PREFIX = "fleet/claim/"
const HOST_AND_PORT = /^[^:]+:(\d{1,5})$/
const MAX_PORT = 65_535

export const memberKey = (name: string) => MEMBER_PREFIX + name
export const claimKey = (failureDomain: string) => CLAIM_PREFIX + failureDomain

export interface ReportedRoom {
	readonly room: Room
	readonly at: number
}

export interface FleetView {
	/** Applies a complete listing of the store. */
	applyListing(items: readonly StoreItem[]): void
	applyChanges(items: readonly StoreItem[], deleted: readonly string[]): void
	applyHeartbeat(heartbeat: Heartbeat): void
	applyRoomUpdate(update: RoomUpdate): void
	noteClaim(claim: Claim): void
	/** The claims in force, those of slices included. */
	claims(): readonly Claim[]
	/** Number of slices of a failure domain; 1 when it is undivided. */
	sliceCount(failureDomain: string): number
	claimOf(failureDomain: string): Claim | undefined
	/** Milliseconds since the domain's current claim became known; Infinity without one. */
	claimAgeMs(failureDomain: string): number
	members(): readonly Member[]
	/** The instances of a failure domain, or of the one that a slice belongs to. */
	membersOf(failureDomain: string): readonly Member[]
	/** Milliseconds since a session was last heard; Infinity if never. */
	silentMs(session: string): number
	/** Whether nothing is known of the session, not even that a call to it failed. */
	isUnknown(session: string): boolean
	/** Records that the session just answered something other than a heartbeat. */
	noteHeard(session: string): void
	/** Records that nothing listens at the session's address: it counts as silent for ever. */
	noteGone(session: string): void
	/**
	 * Records that a call did not reach the session in time. Its process may live: a busy machine
	 * drops the first packet of a connection too. The session gets no new work until it is heard
	 * again.
	 */
	noteUnreachable(session: string): void
	/** Whether a call failed to reach the session since it was last heard. */
	isUnreachable(session: string): boolean
	isLeaving(session: string): boolean
	/** Whether the session last reported that it cannot keep up. */
	isStrained(session: string): boolean
	/** How late the session's timers were by its last report, in milliseconds. */
	lateMs(session: string): number
	roomOf(failureDomain: string): ReportedRoom | undefined
}

/** A host and a port, as a socket can send to it. */
function isAddress(value: unknown): boolean {
	if (typeof value !== "string") return false
	const port = Number(HOST_AND_PORT.exec(value)?.[1])
	return port > 0 && port <= MAX_PORT
}

/**
 * Whether a value is a member. Entries may come from other writers; invalid ones count as absent.
 */
export function isMember(value: unknown): value is Member {
	if (!isRecord(value) || !Number.isFinite(value["cpuShare"])) return false
	const {name, session, failureDomain, address} = value
	const areNames = [name, session, failureDomain].every(text => typeof text === "string")
	return areNames && isAddress(address)
}

export function isClaim(value: unknown): value is Claim {
	if (!isRecord(value) || typeof value["fence"] !== "number") return false
	return typeof value["failureDomain"] === "string" && isMember(value["placer"])
}

/**
 * Whether a value is the claim that belongs under the key; a slice's must have a fence in its own
 * range.
 */
export function isClaimAt(key: string, value: unknown): value is Claim {
	if (!isClaim(value)) return false
	const isWhole = sliceIndexOf(value.failureDomain) === 0 && sliceIndexOf(key) === 0
	return isWhole || (key === claimKey(value.failureDomain) && isFenceInRange(value))
}

interface SessionStatus {
	readonly at: number
	readonly isLeaving: boolean
	readonly isStrained?: boolean
	readonly isUnreachable?: boolean
	readonly lateMs?: number
}

const NEVER_HEARD: SessionStatus = {at: -Infinity, isLeaving: false}

/**
 * `onInvalid` is called for each invalid report, which is dropped; with the claim, if it is about
 * one.
 */
export function createFleetView(
	clock: Clock,
	onClaim: (claim: Claim) => void,
	onInvalid: (reason: InvalidReport, claim?: Claim) => void = () => undefined,
): FleetView {
	const members = new Map<string, Member>()
	const claims = new Map<string, Claim>()
	const statuses = new Map<string, SessionStatus>()
	const rooms = new Map<string, ReportedRoom>()
	const learnedAt = new Map<string, number>()
	let inForce: readonly Claim[] = []

	function noteClaim(claim: Claim) {
		if (!isFenceInRange(claim)) return onInvalid("slice_claim", claim)
		const known = claims.get(claim.failureDomain)
		if (known && known.fence >= claim.fence) return
		claims.set(claim.failureDomain, claim)
		inForce = effectiveClaims(claims)
		learnedAt.set(claim.failureDomain, clock.now())
		rooms.delete(claim.failureDomain)
		onClaim(claim)
	}

	/** Whether the session is known to place the domain. */
	function isPlacedBy(failureDomain: string, session: string): boolean {
		const claim = claims.get(failureDomain)
		if (!claim) onInvalid("room_unclaimed")
		return claim?.placer.session === session
	}

	function applyItem(item: StoreItem) {
		const {key, value} = item
		if (key.startsWith(MEMBER_PREFIX)) {
			if (isMember(value)) members.set(key, value)
			else members.delete(key)
		}
		if (!key.startsWith(CLAIM_PREFIX)) return
		if (isClaimAt(key, value)) noteClaim(value)
		else if (isClaim(value)) onInvalid("slice_claim", value)
	}

	return {
		noteClaim,
		applyListing(items) {
			members.clear()
			for (const item of items) applyItem(item)
		},
		applyChanges(items, deleted) {
			for (const item of items) applyItem(item)
			for (const key of deleted) members.delete(key)
		},
		applyHeartbeat(heartbeat) {
			const at = clock.now()
			const {isLeaving, isStrained, lateMs} = heartbeat
			statuses.set(heartbeat.from.session, {at, isLeaving, isStrained, lateMs})
			for (const claim of heartbeat.claims) noteClaim(claim)
			for (const [failureDomain, room] of validRooms(heartbeat.rooms, isLabelledRoom, onInvalid))
				if (isPlacedBy(failureDomain, heartbeat.from.session)) rooms.set(failureDomain, {room, at})
		},
		applyRoomUpdate({session, rooms: reportedRooms}) {
			const at = clock.now()
			const last = statuses.get(session)
			statuses.set(session, {...(last ?? NEVER_HEARD), at, isUnreachable: false})
			for (const [failureDomain, figures] of validRooms(reportedRooms, isRoom, onInvalid)) {
				if (!isPlacedBy(failureDomain, session)) continue
				const labels = rooms.get(failureDomain)?.room.labels ?? []
				rooms.set(failureDomain, {room: {...figures, labels}, at})
			}
		},
		claims: () => inForce,
		sliceCount: failureDomain =>
			countSlices(failureDomainOf(failureDomain), name => claims.has(name)),
		claimOf: failureDomain => claims.get(failureDomain),
		claimAgeMs: failureDomain => clock.now() - (learnedAt.get(failureDomain) ?? -Infinity),
		members: () => [...members.values()],
		membersOf: name => {
			const failureDomain = failureDomainOf(name)
			return [...members.values()].filter(member => member.failureDomain === failureDomain)
		},
		silentMs(session) {
			const last = statuses.get(session)
			return last ? clock.now() - last.at : Infinity
		},
		isUnknown: session => !statuses.has(session),
		noteHeard(session) {
			statuses.set(session, {at: clock.now(), isLeaving: false})
		},
		noteGone: session => void statuses.set(session, NEVER_HEARD),
		noteUnreachable(session) {
			statuses.set(session, {...(statuses.get(session) ?? NEVER_HEARD), isUnreachable: true})
		},
		isUnreachable: session => statuses.get(session)?.isUnreachable ?? false,
		isStrained: session => statuses.get(session)?.isStrained ?? false,
		lateMs: session => statuses.get(session)?.lateMs ?? 0,
		isLeaving: session => statuses.get(session)?.isLeaving ?? false,
		roomOf: failureDomain => rooms.get(failureDomain),
	}
}

/**
 * Records why a call to a member was not sent: its process is gone, or it was not reached in time.
 */
export function noteUnsent(
	view: FleetView,
	{session}: Member,
	call: {wasRefused(): boolean},
): void {
	if (call.wasRefused()) view.noteGone(session)
	else view.noteUnreachable(session)
}
