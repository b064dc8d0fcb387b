/**
 * Estimates of the free room of other failure domains: the last report less what was sent there since. Shared by everything
 * that sends work to other domains.
 */
import type {Clock} from "@cottonwood/core"
import type {FleetView, ReportedRoom} from "../fleet/members.js"

/** Reports older than this are ignored: two heartbeats. */
const REPORT_VALID_MS = 500
/** Work sent this shortly before a report may be missing from it. */
const IN_FLIGHT_MS = 5
const MILLICORES = 1_000

export interface RoomEstimate {
	readonly told: ReportedRoom
	/** Thousandths of a core by executor, largest first. */
	readonly freeCpu: number[]
	/** Thousandths of a core, and core-milliseconds, that were sent there since the report. */
	sentCpu: number
	sentWork: number
}

/** Tasks sent to another failure domain. */
export interface SentTasks {
	readonly tasks: number
	readonly cpu: number
	/** Core-milliseconds of all tasks. */
	readonly work: number
}

export interface RoomEstimates {
	/** Undefined without a recent report. */
	of(failureDomain: string): RoomEstimate | undefined
	deduct(failureDomain: string, sent: SentTasks): void
	/** Counts the room as none until the next report. */
	close(failureDomain: string): void
}

interface Sent extends SentTasks {
	readonly at: number
}

export const taskWork = ({need, estimateMs}: {need: {cpu: number}; estimateMs: number}) =>
	(need.cpu / MILLICORES) * estimateMs

function deductFrom(room: RoomEstimate, {tasks, cpu, work}: SentTasks) {
	const {freeCpu} = room
	for (let task = 0; task < tasks; task++) {
		freeCpu[0] = (freeCpu[0] ?? 0) - cpu
		freeCpu.sort((a, b) => b - a)
	}
	room.sentCpu += tasks * cpu
	room.sentWork += work
}

/** `countsInFlight`: work sent just before a report is deducted from it too. */
export function createRoomEstimates(
	clock: Clock,
	view: Pick<FleetView, "roomOf">,
	countsInFlight: boolean,
): RoomEstimates {
	const estimates = new Map<string, RoomEstimate | undefined>()
	const lastSent = new Map<string, readonly Sent[]>()

	function roomOf(failureDomain: string): RoomEstimate | undefined {
		const told = view.roomOf(failureDomain)
		if (!told || clock.now() - told.at > REPORT_VALID_MS) return undefined
		const known = estimates.get(failureDomain)
		if (known?.told === told) return known
		const fresh = {told, freeCpu: [...told.room.freeCpu], sentCpu: 0, sentWork: 0}
		estimates.set(failureDomain, fresh)
		for (const sent of inFlight(failureDomain, told.at)) deductFrom(fresh, sent)
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
			if (room) deductFrom(room, sent)
			if (countsInFlight) noteSent(failureDomain, sent)
		},
		close(failureDomain) {
			const told = view.roomOf(failureDomain)
			const none = told && {told, freeCpu: [], sentCpu: 0, sentWork: 0}
			estimates.set(failureDomain, none)
		},
	}
}
