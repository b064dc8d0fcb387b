/**
 * The fleet: its instances, and which of them places the tasks of each failure domain.
 */

/** One process of the fleet during one life. */
export interface Member {
	readonly name: string
	/** Differs between two lives of an instance with the same name. */
	readonly session: string
	readonly failureDomain: string
	/** Where peers reach it: host and port. */
	readonly address: string
	/** The cores that it may use; the largest instance of a failure domain places it. */
	readonly cpuShare: number
}

/** Who places the tasks of a failure domain's executors. */
export interface Claim {
	readonly failureDomain: string
	/** Rises with each change of the placer; executors obey the highest. */
	readonly fence: number
	readonly placer: Member
}

/** What a placer tells of the room that it has. */
export interface Room {
	/** Free thousandths of a core of its freest usable executors, largest first. */
	readonly freeCpu: readonly number[]
	/** All thousandths of a core of its usable executors. */
	readonly totalCpu: number
	/** Core-milliseconds of work that wait there. */
	readonly waitingWork: number
	/** Labels and racks of its usable executors. */
	readonly labels: readonly string[]
}

/** The failure domains that operators are emptying, as of a revision of the store. */
export interface EvacuationSnapshot {
	readonly revision: number
	readonly failureDomains: readonly string[]
}

/** What instances tell each other; each answer to a beat is a beat of the other side. */
export interface Heartbeat {
	readonly from: Member
	/** Claims that the sender knows; in a beat between instances only those that the reader may lack. */
	readonly claims: readonly Claim[]
	/** The room of the failure domains that the sender places, by name. */
	readonly rooms: Readonly<Record<string, Room>>
	readonly isLeaving: boolean
	/** The sender cannot keep up with what it has to do; no domain should be given to it. */
	readonly isStrained?: boolean
	/** By how much the sender's timers were late of late, in milliseconds: its next word may be as late, and is waited for. */
	readonly lateMs?: number
	readonly configVersion: number
	/** Absent while the sender has never known of any. */
	readonly evacuations?: EvacuationSnapshot
}

/** The highest fence that somebody knows of each failure domain. */
export type Fences = Readonly<Record<string, number>>

/** What a placer tells others between two beats, when its room has changed. */
export interface RoomUpdate {
	/** The placer's. */
	readonly session: string
	/** The room of the failure domains that it places, by name. */
	readonly rooms: Readonly<Record<string, Omit<Room, "labels">>>
}
