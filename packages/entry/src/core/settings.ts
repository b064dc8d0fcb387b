/**
 * Reads a process's settings from a JSON file; environment variables override names and addresses.
 * Unknown keys, wrong types and conflicting values are rejected.
 */
import {readFileSync} from "node:fs"
import {describeIssues, fail, type DispatchError} from "@cottonwood/core"
import {ok, type Result} from "neverthrow"
import {z} from "zod"

const port = z.int().min(0).max(65_535)
const hostPort = z.string().regex(/^[^:]+:\d+$/, "expected host:port")

export const settingsSchema = z.strictObject({
	/** The instance's name, stable across restarts. */
	instance: z
		.string()
		.regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "expected lower case, digits and hyphens"),
	failureDomain: z.string().min(1),
	/** The address for callers, operators and the load balancer. */
	http: z.strictObject({host: z.string().default("127.0.0.1"), port}),
	/** The listening address for peers. */
	peer: z.strictObject({
		host: z.string().default("127.0.0.1"),
		port,
		/** The address that peers use, if not host and port. */
		advertise: hostPort.optional(),
		/** Addresses for peers of certain failure domains, by domain. */
		advertiseTo: z.record(z.string(), hostPort).default({}),
	}),
	platform: z.strictObject({
		/** The URL of the key-value service. */
		store: z.url(),
		/** The URL of the instance list. */
		list: z.url(),
	}),
	statsd: z.strictObject({host: z.string(), port}).nullable().default(null),
	log: z
		.strictObject({
			level: z.enum(["error", "warn", "info", "debug"]).default("info"),
			format: z.enum(["json", "text"]).default("text"),
		})
		.prefault({}),
	timings: z
		.strictObject({
			/** Time to live of the session's lease in the store. */
			leaseTtlMs: z.int().min(500).default(4_000),
			/** Timeout of a store call; its outcome is unknown afterwards. */
			storeTimeoutMs: z.int().positive().default(1_000),
			/** Heartbeat interval to peers in the same failure domain; to others it is five times as long. */
			heartbeatMs: z.int().min(50).default(1_000),
			/** A peer counts as unreachable after this long without an answer. */
			peerTimeoutMs: z.int().positive().default(3_000),
			/** Polling interval of the instance list. */
			listMs: z.int().min(50).default(1_000),
			/** How long a draining instance accepts requests after it reports not ready. */
			drainGraceMs: z.int().min(0).default(2_000),
			/** How long a draining instance waits for work in flight. */
			drainLimitMs: z.int().positive().default(60_000),
			/** How long a submission is retried while its owner changes or is unreachable. */
			ownerPatienceMs: z.int().positive().default(8_000),
		})
		.prefault({}),
	limits: z
		.strictObject({
			bodyBytes: z
				.int()
				.positive()
				.default(4 * 1024 * 1024),
			headerBytes: z
				.int()
				.positive()
				.default(16 * 1024),
			/** Time limit for receiving a request. */
			requestTimeoutMs: z.int().positive().default(15_000),
			maxConnections: z.int().positive().default(10_000),
		})
		.prefault({}),
})

export type Settings = z.infer<typeof settingsSchema>

type Environment = Readonly<Record<string, string | undefined>>

/** Applies environment variables to the raw settings before validation. */
function overrideFromEnvironment(raw: Record<string, unknown>, env: Environment) {
	const merged = structuredClone(raw)
	const set = (variable: string, path: readonly [string] | readonly [string, string]) => {
		const value = env[variable]
		if (value === undefined) return
		const [first, second] = path
		if (second === undefined) merged[first] = value
		else {
			const typed = second === "port" ? Number(value) : value
			merged[first] = {...(merged[first] as object), [second]: typed}
		}
	}
	set("COTTONWOOD_INSTANCE", ["instance"])
	set("COTTONWOOD_FAILURE_DOMAIN", ["failureDomain"])
	set("COTTONWOOD_HTTP_HOST", ["http", "host"])
	set("COTTONWOOD_HTTP_PORT", ["http", "port"])
	set("COTTONWOOD_PEER_HOST", ["peer", "host"])
	set("COTTONWOOD_PEER_PORT", ["peer", "port"])
	set("COTTONWOOD_PEER_ADVERTISE", ["peer", "advertise"])
	set("COTTONWOOD_STORE", ["platform", "store"])
	set("COTTONWOOD_LIST", ["platform", "list"])
	return merged
}

function checkCombinations(settings: Settings): string | undefined {
	const {timings, http, peer} = settings
	if (timings.storeTimeoutMs * 2 > timings.leaseTtlMs) {
		return `timings.leaseTtlMs: expected at least twice storeTimeoutMs (${timings.storeTimeoutMs}), found ${timings.leaseTtlMs}`
	}
	if (timings.heartbeatMs * 2 > timings.peerTimeoutMs) {
		return `timings.peerTimeoutMs: expected at least twice heartbeatMs (${timings.heartbeatMs}), found ${timings.peerTimeoutMs}`
	}
	if (http.port !== 0 && http.port === peer.port && http.host === peer.host) {
		return `peer.port: expected another port than http.port, found ${peer.port}`
	}
	return undefined
}

/** Validates raw settings and fills in defaults; fails with `config_invalid`. */
export function parseSettings(raw: unknown, env: Environment): Result<Settings, DispatchError> {
	if (typeof raw !== "object" || raw === null || Array.isArray(raw)) {
		return fail("config_invalid", "(root): expected an object")
	}
	const merged = overrideFromEnvironment(raw as Record<string, unknown>, env)
	const parsed = settingsSchema.safeParse(merged)
	if (!parsed.success) return fail("config_invalid", describeIssues(parsed.error))
	const problem = checkCombinations(parsed.data)
	return problem === undefined ? ok(parsed.data) : fail("config_invalid", problem)
}

/** Reads and validates a settings file; fails with `config_invalid`. */
export function readSettingsFile(file: string, env: Environment): Result<Settings, DispatchError> {
	let raw: unknown
	try {
		raw = JSON.parse(readFileSync(file, "utf8"))
	} catch (error) {
		return fail("config_invalid", `${file}: ${(error as Error).message}`)
	}
	return parseSettings(raw, env)
}
