/**
 * Reads records of jobs out of the store's entries, and passes over those that are none: the jobs of the others go on.
 */
import type {StoreItem} from "@cottonwood/core"
import {openJobKey, type JobRecord} from "../types/kept-job.js"
import type {EventLog} from "../utils/log.js"
import type {JobMetrics} from "../utils/metrics.js"
import {homeOf, invalidPartOf} from "./record-validation.js"

/** Entries that are told of once; beyond, they are told of again. */
const MAX_TOLD = 1_000

export interface RecordReaderDeps {
	readonly log: EventLog
	readonly metrics: Pick<JobMetrics, "count">
}

/**
 * Returns a function that reads an entry; undefined if it is no record of a job under that key. Such an entry is told of once for
 * each of its revisions.
 */
export function createRecordReader({log, metrics}: RecordReaderDeps) {
	/** Revisions of the entries that were told of, by key. */
	const told = new Map<string, number>()

	function tellOnce({key, value, revision}: StoreItem, part: string) {
		if (told.get(key) === revision) return
		if (told.size >= MAX_TOLD) told.clear()
		told.set(key, revision)
		metrics.count("broken_assumptions", "job_record")
		const fields = {detail: key, failureDomain: homeOf(value), cause: `its ${part} is invalid`}
		log.alarm("store", "record_invalid", "store: passed over an invalid record of a job.", fields)
	}

	return (item: StoreItem): JobRecord | undefined => {
		const record = item.value as JobRecord
		const invalid = invalidPartOf(record)
		if (invalid === undefined && openJobKey(record.id) === item.key) return record
		tellOnce(item, invalid ?? "key")
		return undefined
	}
}
