/**
 * The compact record of a failure domain's executor speeds in the store.
 *
 * Entries that are invalid, such as another writer's, are dropped one by one.
 */
import {MAX_SPEED_RATIO, type Speed} from "../decide/speeds.js"
import type {KnownSpeeds} from "../place/persistent-speeds.js"

/** Outside the prefix that all instances follow, so only the domain's placer pays for changes. */
export const SPEED_PREFIX = "speed/"
export const speedKey = (failureDomain: string) => SPEED_PREFIX + failureDomain

/** Speeds are stored as logarithms in steps of a twentieth, finer than a placer's certainty. */
const STEPS = 20
const MAX_STEPS = Math.round(Math.log(MAX_SPEED_RATIO) * STEPS)
/**
 * The weight of a stored speed is limited, so that new runs outweigh it within a second or two of
 * load.
 */
const MAX_RUNS = 9
/** A speed from fewer runs says less than the label's. */
const MIN_RUNS = 2
/** Far more than a domain has; bounds the cost of a foreign record. */
const MAX_ENTRIES = 2_000
/** Executor ids and labels are short. */
const MAX_NAME_LENGTH = 64

type Entry = readonly [steps: number, runs: number]
type Entries = Readonly<Record<string, Entry>>

export interface SpeedRecord {
	/** Fence of the placer that wrote the record; only for logging. */
	readonly fence: number
	readonly executors: Entries
	readonly labels: Entries
}

export interface DecodedSpeeds extends KnownSpeeds {
	readonly fence: number | undefined
	/** Number of invalid entries. */
	readonly dropped: number
}

function encode(speeds: ReadonlyMap<string, Speed>): Entries {
	const entries: Record<string, Entry> = {}
	for (const [name, {mean, weight}] of speeds) {
		if (weight < MIN_RUNS || name.length > MAX_NAME_LENGTH) continue
		entries[name] = [Math.round(mean * STEPS), Math.min(MAX_RUNS, Math.round(weight))]
	}
	return entries
}

export function encodeSpeeds({executors, labels}: KnownSpeeds, fence: number): SpeedRecord {
	return {fence, executors: encode(executors), labels: encode(labels)}
}

const isObject = (value: unknown): value is Readonly<Record<string, unknown>> =>
	typeof value === "object" && value !== null && !Array.isArray(value)

function isEntry(value: unknown): value is Entry {
	if (!Array.isArray(value) || value.length !== 2) return false
	const [steps, runs] = value as readonly unknown[]
	if (!Number.isInteger(steps) || !Number.isInteger(runs)) return false
	const isPlausible = Math.abs(steps as number) <= MAX_STEPS
	return isPlausible && (runs as number) >= MIN_RUNS && (runs as number) <= MAX_RUNS
}

/** The valid entries, and how many are not. */
function decode(value: unknown): {readonly speeds: Map<string, Speed>; readonly dropped: number} {
	const speeds = new Map<string, Speed>()
	if (!isObject(value)) return {speeds, dropped: 1}
	const names = Object.keys(value)
	for (const name of names.slice(0, MAX_ENTRIES)) {
		const entry = value[name]
		if (!isEntry(entry) || name.length > MAX_NAME_LENGTH) continue
		speeds.set(name, {mean: entry[0] / STEPS, weight: entry[1], outliers: 0})
	}
	return {speeds, dropped: names.length - speeds.size}
}

/** Decodes a record from any writer. */
export function decodeSpeeds(value: unknown): DecodedSpeeds {
	const record = isObject(value) ? value : {}
	const executors = decode(record["executors"])
	const labels = decode(record["labels"])
	const {fence} = record
	return {
		fence: typeof fence === "number" ? fence : undefined,
		executors: executors.speeds,
		labels: labels.speeds,
		dropped: executors.dropped + labels.dropped,
	}
}

/**
 * An executor counts as changed if its speed differs by about a fifth, or was not stored. The
 * record is written when this many executors, or this share if that is more, have changed.
 */
const CHANGED_STEPS = 4
const CHANGED_SHARE = 0.1
const CHANGED_EXECUTORS = 3
/** A single executor whose speed changed this much suffices. */
const LARGE_CHANGE_STEPS = 12

/** Whether a record differs notably from the last one written. */
export function differsNotably(
	{executors: lastWritten}: Pick<SpeedRecord, "executors">,
	next: SpeedRecord,
): boolean {
	let count = 0
	let size = 0
	for (const [id, [steps]] of Object.entries(next.executors)) {
		const by = Math.abs(steps - (lastWritten[id]?.[0] ?? 0))
		size++
		if (by >= LARGE_CHANGE_STEPS) return true
		if (!lastWritten[id] || by >= CHANGED_STEPS) count++
	}
	return count >= Math.min(Math.max(1, size), Math.max(CHANGED_EXECUTORS, size * CHANGED_SHARE))
}
