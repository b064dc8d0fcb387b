/**
 * The operators' configuration: schema, defaults and versions. The store holds one
 * `VersionedConfig`, whose version only increases.
 */
import {ok, type Result} from "neverthrow"
import {z} from "zod"
import {fail, type DispatchError} from "../utils/errors.js"
import {parseSelector} from "./selector.js"

const selectorText = z.string().superRefine((text, ctx) => {
	const parsed = parseSelector(text)
	if (parsed.isErr()) ctx.addIssue({code: "custom", message: parsed.error.detail})
})

const endpointSchema = z.strictObject({
	/** Selects the executors that serve this endpoint. */
	selector: selectorText.default(""),
	/** Whether another failure domain may serve when the caller's own cannot. */
	spill: z.boolean().default(true),
	defaultDeadlineMs: z.int().positive().max(600_000).default(10_000),
})

const teamSchema = z.strictObject({
	callers: z.array(z.string().min(1)).default([]),
	/** The team's share of the fleet under contention, relative to the other teams. */
	weight: z.number().positive().max(1_000).default(1),
	/** Tasks and requests of the team that may run at once in the whole fleet. */
	maxRunning: z.int().positive().default(100_000),
	/** Tasks and requests of the team that may be queued in the whole fleet. */
	maxQueued: z.int().positive().default(100_000),
})

export const configSchema = z.strictObject({
	endpoints: z.record(z.string().min(1), endpointSchema).default({}),
	teams: z.record(z.string().min(1), teamSchema).default({}),
	/** The team of callers that no team lists; null refuses them. */
	defaultTeam: z.string().nullable().default(null),
	workers: z
		.strictObject({
			selector: selectorText.default(""),
			spill: z.boolean().default(true),
			defaultDeadlineMs: z.int().positive().max(3_600_000).default(60_000),
		})
		.prefault({}),
	/** Failure domains under evacuation: nothing further is sent to their targets. */
	evacuated: z.array(z.string().min(1)).default([]),
	limits: z
		.strictObject({
			maxQueuedPerInstance: z.int().positive().default(20_000),
			maxTasksPerJob: z.int().positive().max(720).default(720),
			/** How long ids and answers are kept for resubmissions. */
			retentionMs: z.int().min(1_000).max(86_400_000).default(600_000),
			/** Writes per second of all entry instances together. */
			storeWritesPerSecond: z.number().positive().default(240),
		})
		.prefault({}),
	retries: z
		.strictObject({
			/** Retries per first try, per team and pool. */
			ratio: z.number().min(0).max(1).default(0.1),
			maxPerTask: z.int().min(0).max(10).default(3),
			/** Whether late repeatable work gets a second try, from the same budget. */
			hedge: z.boolean().default(false),
		})
		.prefault({}),
	health: z
		.strictObject({
			/** The largest share of a pool that may be set aside at once. */
			maxAsideShare: z.number().min(0).max(0.9).default(0.3),
			probeAfterMs: z.int().positive().default(5_000),
		})
		.prefault({}),
})

export type Config = z.infer<typeof configSchema>

export interface VersionedConfig {
	/** Increases by one with each accepted change, from 1. */
	readonly version: number
	/** Identifies the write, so that its writer recognizes it after a lost answer. */
	readonly nonce: string
	readonly author: string
	/** Wall-clock time of the acceptance, in milliseconds. */
	readonly at: number
	readonly config: Config
}

/** Formats the issues of a schema check: the path and the message of each. */
export function describeIssues(error: z.ZodError): string {
	return error.issues
		.map(issue => `${issue.path.map(String).join(".") || "(root)"}: ${issue.message}`)
		.join("; ")
}

/** Validates a configuration and fills in defaults; fails with `config_invalid`. */
export function parseConfig(value: unknown): Result<Config, DispatchError> {
	const parsed = configSchema.safeParse(value)
	if (!parsed.success) return fail("config_invalid", describeIssues(parsed.error))
	const {defaultTeam, teams} = parsed.data
	if (defaultTeam !== null && !(defaultTeam in teams)) {
		return fail("config_invalid", `defaultTeam: expected a team, found "${defaultTeam}"`)
	}
	return ok(parsed.data)
}

/** Returns whether `next` may replace `current`; versions never go back. */
export function isNewer(next: VersionedConfig, current: VersionedConfig | undefined): boolean {
	return current === undefined || next.version > current.version
}

/** Returns the team of a caller, or undefined when the caller is unknown. */
export function teamOf(config: Config, caller: string): string | undefined {
	for (const [name, team] of Object.entries(config.teams)) {
		if (team.callers.includes(caller)) return name
	}
	return config.defaultTeam ?? undefined
}
