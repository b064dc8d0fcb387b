/**
 * The operators' configuration: its schema, its defaults, and the rule by which a version replaces
 * another. The store holds one `VersionedConfig`; versions only rise.
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
	/** Limits the executors that serve this endpoint. */
	selector: selectorText.default(""),
	/** Whether another failure domain may serve when the caller's own cannot. */
	spill: z.boolean().default(true),
	defaultDeadlineMs: z.int().positive().max(600_000).default(10_000),
})

const teamSchema = z.strictObject({
	callers: z.array(z.string().min(1)).default([]),
	/** The share of the fleet that the team gets when all teams are busy, relative to the others. */
	weight: z.number().positive().max(1_000).default(1),
	/** Tasks and requests of the team that may run at once over the whole fleet. */
	maxRunning: z.int().positive().default(100_000),
	/** Tasks and requests of the team that may wait over the whole fleet. */
	maxQueued: z.int().positive().default(100_000),
})

export const configSchema = z.strictObject({
	endpoints: z.record(z.string().min(1), endpointSchema).default({}),
	teams: z.record(z.string().min(1), teamSchema).default({}),
	/** The team of a caller that no team names; null refuses such callers. */
	defaultTeam: z.string().nullable().default(null),
	workers: z
		.strictObject({
			selector: selectorText.default(""),
			spill: z.boolean().default(true),
			defaultDeadlineMs: z.int().positive().max(3_600_000).default(60_000),
		})
		.prefault({}),
	/** Failure domains that operators are emptying: nothing further is sent to their targets. */
	evacuated: z.array(z.string().min(1)).default([]),
	limits: z
		.strictObject({
			maxQueuedPerInstance: z.int().positive().default(20_000),
			maxTasksPerJob: z.int().positive().max(720).default(720),
			/** How long ids and answers are kept for a resubmission. */
			retentionMs: z.int().min(1_000).max(86_400_000).default(600_000),
			/** Writes a second that all entry instances together may make to the store. */
			storeWritesPerSecond: z.number().positive().default(240),
		})
		.prefault({}),
	retries: z
		.strictObject({
			/** Retries per first try, per team and pool. */
			ratio: z.number().min(0).max(1).default(0.1),
			maxPerTask: z.int().min(0).max(10).default(3),
			/** Second tries of repeatable work that is late, from the same budget. */
			hedge: z.boolean().default(false),
		})
		.prefault({}),
	health: z
		.strictObject({
			/** The largest share of a pool that is set aside at once. */
			maxAsideShare: z.number().min(0).max(0.9).default(0.3),
			probeAfterMs: z.int().positive().default(5_000),
		})
		.prefault({}),
})

export type Config = z.infer<typeof configSchema>

export interface VersionedConfig {
	/** Rises by one with each accepted change; 0 is never in force. */
	readonly version: number
	/** The writer's mark, by which it recognizes a change whose acceptance was lost. */
	readonly nonce: string
	readonly author: string
	/** Wall-clock milliseconds of the acceptance. */
	readonly at: number
	readonly config: Config
}

/** One line per issue of a schema check: path, what was expected, what was found. */
export function describeIssues(error: z.ZodError): string {
	return error.issues
		.map(issue => `${issue.path.map(String).join(".") || "(root)"}: ${issue.message}`)
		.join("; ")
}

/** Checks a configuration and fills in defaults. */
export function parseConfig(value: unknown): Result<Config, DispatchError> {
	const parsed = configSchema.safeParse(value)
	if (!parsed.success) return fail("config_invalid", describeIssues(parsed.error))
	const {defaultTeam, teams} = parsed.data
	if (defaultTeam !== null && !(defaultTeam in teams)) {
		return fail("config_invalid", `defaultTeam: expected a team, found "${defaultTeam}"`)
	}
	return ok(parsed.data)
}

/** Says whether `next` may replace `current`: a configuration never reverts. */
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
