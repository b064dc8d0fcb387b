/**
 * The record of a failure domain's speeds in the store: what a placer has learnt, in few bytes.
 *
 * Another writer's record, or parts of one, are dropped entry by entry; what remains holds.
 */
import {MAX_SPEED_RATIO, type Speed} from "../decide/speeds.js"
import type {KnownSpeeds} from "../place/persistent-speeds.js"

/** Apart from what all instances follow: only who places reads it, once, and the others pay nothing for its changes. */
export const SPEED_PREFIX = "speed/"
export const speedKey = (failureDomain: string) => SPEED_PREFIX + failureDomain

/** Speeds are told in steps of a twentieth: less than a placer is ever sure of. */
const STEPS = 20
const MOST_STEPS = Math.round(Math.log(MAX_SPEED_RATIO) * STEPS)
/** What is told counts as so many runs at most: what is seen outweighs what was told within a second or two of load. */
const MOST_RUNS = 9
/** Fewer runs tell less than the label does. */
const LEAST_RUNS = 2
/** Far more than a domain has, so that a foreign record costs neither time nor memory. */
const MOST_ENTRIES = 2_000
/** Ids and labels are names, and short. */
const LONGEST_NAME = 64

type Entry = readonly [steps: number, runs: number]
type Entries = Readonly<Record<string, Entry>>

export interface SpeedRecord {
	/** Of the placer that wrote it; for lines alone, since the speeds are as good under any. */
	readonly fence: number
	readonly executors: Entries
	readonly labels: Entries
}

export interface DecodedSpeeds extends KnownSpeeds {
	readonly fence: number | undefined
	/** Entries that nobody of ours has written. */
	readonly dropped: number
}

function encode(speeds: ReadonlyMap<string, Speed>): Entries {
	const entries: Record<string, Entry> = {}
	for (const [name, {mean, weight}] of speeds) {
		if (weight < LEAST_RUNS || name.length > LONGEST_NAME) continue
		entries[name] = [Math.round(mean * STEPS), Math.min(MOST_RUNS, Math.round(weight))]
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
	const isPlausible = Math.abs(steps as number) <= MOST_STEPS
	return isPlausible && (runs as number) >= LEAST_RUNS && (runs as number) <= MOST_RUNS
}

/** The entries that hold, and how many do not. */
function decode(value: unknown): {readonly speeds: Map<string, Speed>; readonly dropped: number} {
	const speeds = new Map<string, Speed>()
	if (!isObject(value)) return {speeds, dropped: 1}
	const names = Object.keys(value)
	for (const name of names.slice(0, MOST_ENTRIES)) {
		const entry = value[name]
		if (!isEntry(entry) || name.length > LONGEST_NAME) continue
		speeds.set(name, {mean: entry[0] / STEPS, weight: entry[1], outliers: 0})
	}
	return {speeds, dropped: names.length - speeds.size}
}

/** Reads a record, whoever wrote it. */
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

/** Executors whose speed is another by a fifth than was told, or of which nothing was: three of them, or this share, are news. */
const NEWS_STEPS = 4
const NEWS_SHARE = 0.1
const NEWS_EXECUTORS = 3
/** One that has turned so much slower or faster is news by itself. */
const GREAT_STEPS = 12

/** Whether a record tells notably more than the one before. */
export function isNews(
	{executors: told}: Pick<SpeedRecord, "executors">,
	next: SpeedRecord,
): boolean {
	let count = 0
	let size = 0
	for (const [id, [steps]] of Object.entries(next.executors)) {
		const by = Math.abs(steps - (told[id]?.[0] ?? 0))
		size++
		if (by >= GREAT_STEPS) return true
		if (!told[id] || by >= NEWS_STEPS) count++
	}
	return count >= Math.min(Math.max(1, size), Math.max(NEWS_EXECUTORS, size * NEWS_SHARE))
}
