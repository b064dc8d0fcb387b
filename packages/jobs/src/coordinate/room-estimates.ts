/**
 * The room that other domains told, counted down by what was sent there since; the next telling replaces the count.
 */
import type {Clock} from "@cottonwood/core"
import type {FleetView, ReportedRoom} from "../fleet/members.js"

/** Told room that is older says nothing any more: two beats. */
const ROOM_AGE_MS = 500
/** What was sent so shortly before room was told may not have been counted there. */
const IN_FLIGHT_MS = 5
const MILLICORES = 1_000

export interface RoomEstimate {
	readonly told: ReportedRoom
	/** Thousandths of a core, largest first. */
	readonly freeCpu: number[]
	/** Thousandths of a core, and core-milliseconds, that were sent there since. */
	sentCpu: number
	sentWork: number
}

/** Tasks that are sent to another domain. */
export interface SentTasks {
	readonly tasks: number
	readonly cpu: number
	/** Core-milliseconds of all of them. */
	readonly work: number
}

export interface RoomEstimates {
	/** Undefined where nothing was told of late. */
	of(failureDomain: string): RoomEstimate | undefined
	deduct(failureDomain: string, sent: SentTasks): void
	/** Its room is of no use until it is told again. */
	close(failureDomain: string): void
}

interface Sent extends SentTasks {
	readonly at: number
}

export const taskWork = ({need, estimateMs}: {need: {cpu: number}; estimateMs: number}) =>
	(need.cpu / MILLICORES) * estimateMs

function take(room: RoomEstimate, {tasks, cpu, work}: SentTasks) {
	const {freeCpu} = room
	for (let task = 0; task < tasks; task++) {
		freeCpu[0] = (freeCpu[0] ?? 0) - cpu
		freeCpu.sort((a, b) => b - a)
	}
	room.sentCpu += tasks * cpu
	room.sentWork += work
}

/** `countsInFlight`: what was sent just before a telling is taken off it too. */
export function createRoomEstimates(
	clock: Clock,
	view: Pick<FleetView, "roomOf">,
	countsInFlight: boolean,
): RoomEstimates {
	const counted = new Map<string, RoomEstimate | undefined>()
	const lastSent = new Map<string, readonly Sent[]>()

	function roomOf(failureDomain: string): RoomEstimate | undefined {
		const told = view.roomOf(failureDomain)
		if (!told || clock.now() - told.at > ROOM_AGE_MS) return undefined
		const known = counted.get(failureDomain)
		if (known?.told === told) return known
		const fresh = {told, freeCpu: [...told.room.freeCpu], sentCpu: 0, sentWork: 0}
		counted.set(failureDomain, fresh)
		for (const sent of inFlight(failureDomain, told.at)) take(fresh, sent)
		return fresh
	}

	function inFlight(failureDomain: string, toldAt: number): readonly Sent[] {
		const sent = lastSent.get(failureDomain) ?? []
		return sent.filter(({at}) => at > toldAt - IN_FLIGHT_MS)
	}

	function noteSent(failureDomain: string, sent: SentTasks) {
		const at = clock.now()
		lastSent.set(failureDomain, [...inFlight(failureDomain, at), {...sent, at}])
	}

	return {
		of: roomOf,
		deduct(failureDomain, sent) {
			const room = roomOf(failureDomain)
			if (room) take(room, sent)
			if (countsInFlight) noteSent(failureDomain, sent)
		},
		close(failureDomain) {
			const told = view.roomOf(failureDomain)
			const none = told && {told, freeCpu: [], sentCpu: 0, sentWork: 0}
			counted.set(failureDomain, none)
		},
	}
}
