/**
 * The fleet's instances and placers, and the messages in which they report their state.
 */

/** One process of the fleet. */
export interface Member {
	readonly name: string
	/** Identifies the process; a restarted instance has the same name and a new session. */
	readonly session: string
	readonly failureDomain: string
	/** Host and port for peers. */
	readonly address: string
	/** Usable cores; the largest instance of a failure domain is preferred as its placer. */
	readonly cpuShare: number
}

/** Names the placer of a failure domain's executors. */
export interface Claim {
	readonly failureDomain: string
	/** Increases with each change of the placer; executors obey only the highest. */
	readonly fence: number
	readonly placer: Member
}

/** The free capacity and waiting work that a placer reports. */
export interface Room {
	/** Free thousandths of a core of the freest usable executors, in descending order. */
	readonly freeCpu: readonly number[]
	/** Thousandths of a core of all usable executors. */
	readonly totalCpu: number
	/** Waiting work in core-milliseconds. */
	readonly waitingWork: number
	/** Labels and racks of the usable executors. */
	readonly labels: readonly string[]
}

/** The failure domains under evacuation, as of a revision of the store. */
export interface EvacuationSnapshot {
	readonly revision: number
	readonly failureDomains: readonly string[]
}

/** An instance's heartbeat; each is answered with the heartbeat of the receiver. */
export interface Heartbeat {
	readonly from: Member
	/** Known claims; between instances only those that the receiver may lack. */
	readonly claims: readonly Claim[]
	/** The capacity of each failure domain that the sender places, by name. */
	readonly rooms: Readonly<Record<string, Room>>
	readonly isLeaving: boolean
	/** The sender is overloaded and should not be given a failure domain. */
	readonly isStrained?: boolean
	/** How late the sender's timers fired lately; its next heartbeat may be as late. */
	readonly lateMs?: number
	readonly configVersion: number
	/** Absent when the sender has not known of any. */
	readonly evacuations?: EvacuationSnapshot
}

/** The highest known fence of each failure domain. */
export type Fences = Readonly<Record<string, number>>

/** Reports a placer's changed capacity between heartbeats. */
export interface RoomUpdate {
	/** The session of the placer. */
	readonly session: string
	/** The capacity of each failure domain that the sender places, by name. */
	readonly rooms: Readonly<Record<string, Omit<Room, "labels">>>
}
