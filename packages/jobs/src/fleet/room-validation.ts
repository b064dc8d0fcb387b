/**
 * Validates the capacity that other instances report. Work would be sent where an invalid figure
 * points, so invalid reports are dropped.
 */
import type {Room} from "../types/fleet.js"

type Figures = Omit<Room, "labels">

/**
 * `room`: a figure is missing, of another type, or negative. `room_unclaimed`: the domain has no
 * known placer. `slice_claim`: a claim's fence or key doesn't fit its slice. `heartbeat`: a heartbeat or a report of rooms is
 * none, or names a claim that is none.
 */
export type InvalidReport = "room" | "room_unclaimed" | "slice_claim" | "heartbeat"

export const isRecord = (value: unknown): value is Readonly<Record<string, unknown>> =>
	typeof value === "object" && value !== null

const isNonNegativeNumber = (value: unknown) =>
	typeof value === "number" && Number.isFinite(value) && value >= 0

/** Whether a value is a room, labels aside. */
export function isRoom(value: unknown): value is Figures {
	if (!isRecord(value) || !Array.isArray(value["freeCpu"])) return false
	return [value["totalCpu"], value["waitingWork"], ...value["freeCpu"]].every(isNonNegativeNumber)
}

/** Whether a value is a room with labels. */
export function isLabelledRoom(value: unknown): value is Room {
	if (!isRoom(value)) return false
	const {labels} = value as {readonly labels?: unknown}
	return Array.isArray(labels) && labels.every(label => typeof label === "string")
}

/** The valid rooms, by failure domain; calls `onInvalid` for each invalid one. */
export function validRooms<T extends Figures>(
	rooms: Readonly<Record<string, T>>,
	isValid: (value: unknown) => boolean,
	onInvalid: (reason: InvalidReport) => void,
): readonly (readonly [string, T])[] {
	if (!isRecord(rooms)) {
		onInvalid("room")
		return []
	}
	return Object.entries(rooms).filter(([, room]) => {
		if (isValid(room)) return true
		onInvalid("room")
		return false
	})
}
