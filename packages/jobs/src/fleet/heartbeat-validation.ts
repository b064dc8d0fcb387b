/**
 * Validates the messages in which instances report their state, once, where they come in.
 *
 * What they say is kept and passed on: a claim that names no address would reach every instance. So a message of which a part
 * is invalid is dropped as a whole, like a lost one; rooms aside, which are validated one by one where they are applied.
 */
import type {Fences, Heartbeat, RoomUpdate} from "../types/fleet.js"
import {isClaim, isMember} from "./members.js"
import {isRecord} from "./room-validation.js"

const isAbsentOr = (value: unknown, isValid: (value: unknown) => boolean) =>
	value === undefined || isValid(value)

const isLateness = (value: unknown) => Number.isFinite(value) && (value as number) >= 0

function isEvacuationSnapshot(value: unknown): boolean {
	if (!isRecord(value) || !Number.isFinite(value["revision"])) return false
	const {failureDomains} = value
	return Array.isArray(failureDomains) && failureDomains.every(name => typeof name === "string")
}

/** Whether a value is a heartbeat. */
export function isHeartbeat(value: unknown): value is Heartbeat {
	if (!isRecord(value) || !isMember(value["from"])) return false
	const {claims, configVersion, lateMs, evacuations} = value
	if (!Array.isArray(claims) || !claims.every(isClaim)) return false
	if (!Number.isFinite(configVersion) || !isAbsentOr(lateMs, isLateness)) return false
	return isAbsentOr(evacuations, isEvacuationSnapshot)
}

/** Whether a value is a list of fences by failure domain. */
export const isFences = (value: unknown): value is Fences => isRecord(value)

/** Whether a value reports rooms, whatever they are. */
export function isRoomUpdate(value: unknown): value is RoomUpdate {
	return isRecord(value) && typeof value["session"] === "string"
}
