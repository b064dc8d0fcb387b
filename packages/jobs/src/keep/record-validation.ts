/**
 * Validates the stored records of kept jobs. Other writers and other versions may leave anything under a job's key, and whoever
 * restores a record trusts each of its numbers: it decides how many tasks are made of it.
 *
 * A field that only newer versions write may be absent; one that is there must be valid. The bounds are those of submitted jobs or
 * above, so that no accepted job is passed over.
 */
import {isRecord} from "../fleet/room-validation.js"
import type {JobRecord} from "../types/kept-job.js"

/** As many as a submitted step or schedule may have. */
const MAX_TASKS_PER_STEP = 10_000
const MAX_TIMES = 10_000
/** Ten times as many as a submitted job may have. */
const MAX_TASKS = 100_000
const COMPLETED_TASK = /^\d+\./

/** Whether a field's value is valid in the record that it belongs to. */
type Check = (value: unknown, record: Fields) => boolean
type Fields = Readonly<Record<string, unknown>>

const isText: Check = value => typeof value === "string"
const isFlag: Check = value => typeof value === "boolean"
const isNumber: Check = value => Number.isFinite(value)
const isAmount: Check = value => Number.isFinite(value) && (value as number) >= 0
const isCount = (value: unknown, max: number): value is number =>
	Number.isInteger(value) && (value as number) >= 0 && (value as number) <= max
const isSafeCount: Check = value => isCount(value, Number.MAX_SAFE_INTEGER)

const optional =
	(isValid: Check): Check =>
	(value, record) =>
		value === undefined || isValid(value, record)

const isListOf =
	(isValid: (value: unknown) => boolean): Check =>
	value =>
		Array.isArray(value) && value.every(one => isValid(one))

const isMapOf =
	(isValid: Check): Check =>
	(value, record) =>
		isRecord(value) && Object.values(value).every(one => isValid(one, record))

function invalidFieldOf(value: Fields, checks: Readonly<Record<string, Check>>) {
	return Object.keys(checks).find(name => !checks[name]?.(value[name], value))
}

function hasFields(value: unknown, checks: Readonly<Record<string, Check>>): boolean {
	return isRecord(value) && invalidFieldOf(value, checks) === undefined
}

const NEED_CHECKS: Readonly<Record<string, Check>> = {
	cpu: isAmount,
	memoryMb: isAmount,
	accelerators: isAmount,
}

const STEP_CHECKS: Readonly<Record<string, Check>> = {
	count: value => isCount(value, MAX_TASKS_PER_STEP),
	need: value => hasFields(value, NEED_CHECKS),
	estimateMs: isAmount,
	after: isListOf(step => isCount(step, Number.MAX_SAFE_INTEGER)),
	label: optional(isText),
	rack: optional(isText),
	maxPerExecutor: optional(isNumber),
	isGang: optional(isFlag),
	wantsOneRack: optional(isFlag),
	isLasting: optional(isFlag),
	isFilling: optional(isFlag),
	isServing: optional(isFlag),
}

const ADVICE_CHECKS: Readonly<Record<string, Check>> = {decideMs: isAmount, perExecutorMs: isAmount}

const QUEUE_CHECKS: Readonly<Record<string, Check>> = {
	name: isText,
	service: isText,
	priority: isNumber,
	maxAttempts: isNumber,
	stretch: isNumber,
	slackMs: isNumber,
	advice: optional(value => hasFields(value, ADVICE_CHECKS)),
	weight: optional(isNumber),
	floor: optional(isNumber),
}

interface CheckedStep {
	readonly count: number
	readonly after: readonly number[]
}

function areSteps(value: unknown): boolean {
	if (!Array.isArray(value) || value.length === 0) return false
	if (!value.every(step => hasFields(step, STEP_CHECKS))) return false
	const steps = value as readonly CheckedStep[]
	const tasks = steps.reduce((sum, {count}) => sum + count, 0)
	return tasks <= MAX_TASKS && steps.every(({after}, at) => after.every(before => before < at))
}

const SCHEDULE_CHECKS: Readonly<Record<string, Check>> = {
	times: value => isCount(value, MAX_TIMES) && value > 0,
	firstDueMs: isNumber,
	periodMs: isAmount,
}

/** Whether a value is a list of spans of a schedule's times, in order. */
function areEndedTimes(value: unknown, {schedule}: Fields): boolean {
	if (!Array.isArray(value)) return false
	const times = isRecord(schedule) ? (schedule["times"] as number) : 1
	let next = 0
	return value.every(span => {
		if (!Array.isArray(span) || span.length !== 2) return false
		const [first, last] = span as readonly unknown[]
		const isInOrder = isCount(first, times - 1) && isCount(last, times - 1) && first >= next
		if (!isInOrder || last < first) return false
		next = last + 1
		return true
	})
}

const RECORD_CHECKS: Readonly<Record<keyof JobRecord, Check>> = {
	id: isText,
	queue: isText,
	spec: isText,
	steps: areSteps,
	schedule: optional(value => hasFields(value, SCHEDULE_CHECKS)),
	home: isText,
	homeFence: isSafeCount,
	runBase: isSafeCount,
	acceptedAtMs: isNumber,
	settings: optional(value => hasFields(value, QUEUE_CHECKS)),
	done: isListOf(name => typeof name === "string" && COMPLETED_TASK.test(name)),
	endedTimes: optional(areEndedTimes),
	failures: isMapOf(isAmount),
	failedRuns: optional(isMapOf(isListOf(Number.isFinite))),
	crashes: optional(isMapOf(isAmount)),
	fruitlessMoves: optional(isAmount),
	isCancelled: optional(isFlag),
	writer: optional(isText),
}

/** The name of the first field that is missing or invalid; undefined for a job's record. */
export function invalidPartOf(value: unknown): string | undefined {
	return isRecord(value) ? invalidFieldOf(value, RECORD_CHECKS) : "record"
}

/** Whether a stored value is a job's record. */
export const isJobRecord = (value: unknown): value is JobRecord =>
	invalidPartOf(value) === undefined

/** The home that a stored value names, whatever else is in it; undefined if none. */
export function homeOf(value: unknown): string | undefined {
	const home = isRecord(value) ? value["home"] : undefined
	return typeof home === "string" ? home : undefined
}

/** Whether a stored value asks for the job's cancellation, whatever else is in it. */
export const isMarkedCancelled = (value: unknown) =>
	isRecord(value) && value["isCancelled"] === true

/** Whether a stored value names another home; one that names none concerns every reader, so that somebody tells of it. */
export const isOfOtherHome = (value: unknown, home: string) => (homeOf(value) ?? home) !== home
