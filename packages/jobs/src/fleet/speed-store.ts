/**
 * Persists the executor speeds that a placer learns, for the failure domain's next placer.
 *
 * The record is read once when placing begins and written when it has changed notably, without a
 * lease or condition: a lost or old record costs only some speed. Nobody waits for either.
 */
import type {Clock, Store, StoreItem} from "@cottonwood/core"
import {failureDomainOf} from "../decide/slices.js"
import {createPersistentSpeeds, type PersistentSpeeds} from "../place/persistent-speeds.js"
import type {Claim} from "../types/fleet.js"
import type {PlacingSettings} from "../types/placing.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import {
	decodeSpeeds,
	encodeSpeeds,
	differsNotably,
	speedKey,
	type SpeedRecord,
} from "./speed-record.js"

/** Interval of the checks for changes to write, and thus the least time between two writes. */
const WRITE_MS = 2_000
/** Pause after an unanswered read. */
const READ_RETRY_MS = 400
/** Executors of the record that aren't listed by then are dropped. */
const LISTED_WITHIN_MS = 5_000

export interface SpeedStoreDeps {
	readonly clock: Clock
	readonly store: Store
	readonly log: EventLog
	readonly metrics: JobMetrics
}

export interface SpeedStore {
	readonly speeds: PersistentSpeeds
	/** Stops writing. */
	close(): void
}

export interface SpeedStores {
	/** Loads and persists the speeds of a domain that is placed here from now on. */
	open(claim: Claim): SpeedStore
}

const NOTHING_WRITTEN: Pick<SpeedRecord, "executors"> = {executors: {}}

/** Creates a store for each domain placed here, and gauges over all of them. */
export function createSpeedStores(deps: SpeedStoreDeps): SpeedStores {
	const stores = new Set<SpeedStore>()
	const stats = () => [...stores].map(({speeds}) => speeds.stats())
	deps.metrics.gauge("speeds_known", () => stats().reduce((sum, {known}) => sum + known, 0))
	deps.metrics.gauge("speeds_spread", () => Math.max(1, ...stats().map(({spread}) => spread)))
	return {
		open(claim) {
			const opened = openSpeedStore(deps, claim, () => stores.delete(opened))
			stores.add(opened)
			return opened
		},
	}
}

/** The function that opens a domain's store; undefined where the setting is off. */
export function speedStoreOpenerFor(
	{speeds}: Pick<PlacingSettings, "speeds">,
	deps: SpeedStoreDeps,
): SpeedStores["open"] | undefined {
	return speeds === "kept" ? createSpeedStores(deps).open : undefined
}

function openSpeedStore(
	{clock, store, log, metrics}: SpeedStoreDeps,
	{failureDomain, fence}: Claim,
	onClose: () => void,
): SpeedStore {
	const key = speedKey(failureDomain)
	const speeds = createPersistentSpeeds(() => clock.now())
	const beganAt = clock.now()
	let lastWritten = NOTHING_WRITTEN
	let isClosed = false

	async function read() {
		// A new slice has executors whose speeds the domain's first placer recorded.
		for (const from of new Set([key, speedKey(failureDomainOf(failureDomain))])) {
			const item = await readItem(from)
			if (isClosed) return
			if (item) return load(item.value)
		}
		load(undefined)
	}

	/** The item under a key; repeats the read until the store answers. */
	async function readItem(from: string): Promise<StoreItem | null> {
		for (;;) {
			const item = await store.get(from)
			if (item !== undefined || isClosed) return item ?? null
			await clock.sleep(READ_RETRY_MS)
			if (isClosed) return null
		}
	}

	function load(value: unknown) {
		const {
			executors,
			labels,
			dropped,
			fence: from,
		} = decodeSpeeds(value ?? {executors: {}, labels: {}})
		if (dropped > 0) metrics.count("broken_assumptions", "speed_entry", dropped)
		speeds.merge({executors, labels})
		const waitedMs = Math.round(clock.now() - beganAt)
		const outcome = value === undefined ? "none" : dropped > 0 ? `${dropped} dropped` : "whole"
		const detail = from === undefined ? undefined : `by fence ${from}`
		const fields = {failureDomain, fence, count: executors.size, waitedMs, outcome, detail}
		log.event("placer", "speeds_taken_over", "placer: loaded the speeds of its executors.", fields)
		clock.schedule(LISTED_WITHIN_MS, dropUnlisted)
		clock.schedule(WRITE_MS, writeIfChanged)
	}

	function dropUnlisted() {
		if (isClosed) return
		const count = speeds.dropUnseen()
		if (count > 0) metrics.count("speeds_dropped", "not listed", count)
	}

	async function writeIfChanged() {
		if (isClosed) return
		const record = encodeSpeeds(speeds.known(), fence)
		if (differsNotably(lastWritten, record)) await write(record)
		if (!isClosed) clock.schedule(WRITE_MS, () => void writeIfChanged())
	}

	async function write(record: SpeedRecord) {
		const {type} = await store.put(key, record)
		metrics.count("speed_writes", type)
		if (type === "done") lastWritten = record
	}

	void read()
	return {
		speeds,
		close() {
			isClosed = true
			onClose()
		},
	}
}
