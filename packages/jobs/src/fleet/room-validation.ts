/**
 * What other instances say of their room, as far as it can be true. A placer that sends work where a broken figure points
 * would send all of it there; what is dropped is as if it had not been told.
 */
import type {Room} from "../types/fleet.js"

type Figures = Omit<Room, "labels">

/** `room`: a figure is missing, of another type, or below nothing. `room_unclaimed`: nobody is known to place the domain. */
export type InvalidReport = "room" | "room_unclaimed" | "slice_claim"

const isRecord = (value: unknown): value is Readonly<Record<string, unknown>> =>
	typeof value === "object" && value !== null

const isFigure = (value: unknown) =>
	typeof value === "number" && Number.isFinite(value) && value >= 0

/** Whether its figures can be those of a room. */
export function isRoom(value: unknown): value is Figures {
	if (!isRecord(value) || !Array.isArray(value["freeCpu"])) return false
	return [value["totalCpu"], value["waitingWork"], ...value["freeCpu"]].every(isFigure)
}

/** Whether it can be a room with its labels. */
export function isLabelledRoom(value: unknown): value is Room {
	if (!isRoom(value)) return false
	const {labels} = value as {readonly labels?: unknown}
	return Array.isArray(labels) && labels.every(label => typeof label === "string")
}

/** Rooms that pass, by failure domain; each that does not is told of. */
export function validRooms<T extends Figures>(
	told: Readonly<Record<string, T>>,
	isSound: (value: unknown) => boolean,
	onBroken: (reason: InvalidReport) => void,
): readonly (readonly [string, T])[] {
	if (!isRecord(told)) {
		onBroken("room")
		return []
	}
	return Object.entries(told).filter(([, room]) => {
		if (isSound(room)) return true
		onBroken("room")
		return false
	})
}
