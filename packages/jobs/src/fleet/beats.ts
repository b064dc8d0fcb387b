/**
 * Who tells whom what: every instance beats to its own domain's placer, placers beat to each other.
 *
 * So the number of beats grows with instances, not with pairs of them. A beat is a datagram; the
 * placer answers a beat that asks for it. Placers also beat when their room changed, soon when it came
 * or went, and at most once in a while otherwise.
 */
import type {Clock} from "@cottonwood/core"
import type {Beat, Member, Room} from "../types/fleet.js"
import type {FleetView} from "./members.js"
import type {Peers} from "./peers.js"

/** A fifth of the silence after which a placer is replaced. */
const BEAT_MS = 200
/** Between two beats when room came or went; a fraction of a short task. */
const URGENT_ROOM_MS = 15
/** Between two beats when there is more or less of it. */
const ROOM_MS = 60
/** A sign of life that is asked for is missed after this; thirty times the longest way. */
const PING_TIMEOUT_MS = 350
/** A placer that was not heard for so long may have changed; everybody is told. */
const HOME_QUIET_MS = 3 * BEAT_MS

export interface BeatMessage extends Beat {
	readonly wantsAnswer: boolean
}

export interface BeatsDeps {
	readonly clock: Clock
	readonly peers: Peers
	readonly send: (address: string, message: BeatMessage) => void
	readonly view: FleetView
	readonly self: Member
	readonly own: () => Beat
	readonly onBeat: (beat: Beat) => void
}

export interface Beats {
	/** Takes a beat that arrived. */
	take(message: BeatMessage): void
	/** The room here may have changed: other placers are told soon if it has. */
	noteRoomChange(): void
	/** Asks a member for a sign of life; resolves with the session that answers at its address, if any does. */
	ping(member: Member): Promise<string | undefined>
	close(): void
}

const hasRoom = (rooms: Readonly<Record<string, Room>>) =>
	Object.values(rooms).some(room => room.freeCpu.length > 0)

/** What others decide by; the rest of a room changes without their needing to know. */
const digestOf = (rooms: Readonly<Record<string, Room>>) =>
	Object.values(rooms)
		.map(room => room.freeCpu.join())
		.join("|")

export function createBeats(deps: BeatsDeps): Beats {
	const {clock, peers, view, self, own} = deps
	let isClosed = false
	let lastRoomAt = -Infinity
	let lastHadRoom = false
	let lastTold = ""
	let isLookDue = false

	function tell(member: Member, wantsAnswer: boolean) {
		deps.send(member.address, {...own(), wantsAnswer})
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

	function beatAll() {
		if (isClosed) return
		const home = view.claimOf(self.failureDomain)?.placer
		const isHomeHeard = home && view.silentMs(home.session) < HOME_QUIET_MS
		if (isPlacer() || !isHomeHeard) for (const placer of otherPlacers()) tell(placer, true)
		else tell(home, true)
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
		const {rooms} = own()
		const digest = digestOf(rooms)
		if (digest === lastTold) return
		const sinceLast = clock.now() - lastRoomAt
		const isUrgent = hasRoom(rooms) !== lastHadRoom
		if (!isUrgent && sinceLast < ROOM_MS) return lookSoon(URGENT_ROOM_MS)
		lastRoomAt = clock.now()
		lastHadRoom = hasRoom(rooms)
		lastTold = digest
		for (const placer of otherPlacers()) tell(placer, false)
	}

	beatAll()
	return {
		take(message) {
			deps.onBeat(message)
			if (message.wantsAnswer) tell(message.from, false)
		},
		noteRoomChange() {
			if (isLookDue) return
			lookSoon(Math.max(0, lastRoomAt + URGENT_ROOM_MS - clock.now()))
		},
		async ping(member) {
			const answer = await peers.beat(member.address, own(), PING_TIMEOUT_MS)
			if (answer) deps.onBeat(answer)
			return answer?.from.session
		},
		close() {
			isClosed = true
		},
	}
}
