/**
 * The client of the platform's instance list: entry instances, executors and workers, live or
 * leaving. The list lags behind the fleet.
 */
import type {Target} from "@cottonwood/core"
import {Agent, request} from "undici"
import {z} from "zod"

const labels = z.record(z.string(), z.string()).default({})
const common = {
	id: z.string(),
	address: z.string(),
	failureDomain: z.string(),
	rack: z.string().default(""),
	labels,
	state: z.enum(["live", "leaving"]),
}

const lineSchema = z.discriminatedUnion("kind", [
	z.object({kind: z.literal("entry"), ...common}),
	z.object({kind: z.literal("executor"), ...common, endpoint: z.string(), slots: z.number()}),
	z.object({
		kind: z.literal("worker"),
		...common,
		cpu: z.number(),
		memoryMb: z.number(),
		accelerators: z.number().default(0),
	}),
])

type Line = z.infer<typeof lineSchema>

export interface ListedEntry {
	readonly id: string
	/** The peer address, host:port. */
	readonly address: string
	readonly failureDomain: string
}

export interface InstanceListing {
	readonly targets: readonly Target[]
	readonly entries: readonly ListedEntry[]
	/** Lines that did not match the schema. */
	readonly malformed: number
}

const READ_TIMEOUT_MS = 2_000

function toTarget(line: Exclude<Line, {kind: "entry"}>): Target {
	const {id, address, failureDomain, rack, state} = line
	const base = {id, address, failureDomain, rack, labels: line.labels, state}
	if (line.kind === "executor") {
		const capacity = {cpu: line.slots, memoryMb: 0, accelerators: 0}
		return {...base, type: "executor", endpoint: line.endpoint, capacity}
	}
	const {cpu, memoryMb, accelerators} = line
	return {...base, type: "worker", endpoint: "", capacity: {cpu, memoryMb, accelerators}}
}

function parseLines(raw: readonly unknown[]): InstanceListing {
	const parsed = raw.map(line => lineSchema.safeParse(line))
	const lines = parsed.flatMap(result => (result.success ? [result.data] : []))
	return {
		targets: lines.flatMap(line => (line.kind === "entry" ? [] : [toTarget(line)])),
		entries: lines.flatMap(line => (line.kind === "entry" ? [line] : [])),
		malformed: parsed.length - lines.length,
	}
}

export interface InstanceList {
	/** Reads the list; returns undefined when there is no valid answer. */
	read(): Promise<InstanceListing | "unchanged" | undefined>
	close(): Promise<void>
}

/**
 * Creates the client. Each read sends the last answer's entity tag, so that an unchanged list is not
 * sent again.
 */
export function createInstanceList(url: string): InstanceList {
	const agent = new Agent({connections: 1})
	let tag: string | undefined
	return {
		async read() {
			try {
				const options = {
					dispatcher: agent,
					signal: AbortSignal.timeout(READ_TIMEOUT_MS),
					headers: tag === undefined ? {} : {"if-none-match": tag},
				}
				const res = await request(`${url}/instances`, options)
				if (res.statusCode === 304) {
					await res.body.dump()
					return "unchanged"
				}
				const etag = res.headers.etag
				tag = typeof etag === "string" ? etag : undefined
				const body = (await res.body.json()) as {instances?: readonly unknown[]}
				return res.statusCode === 200 ? parseLines(body.instances ?? []) : undefined
			} catch {
				return undefined
			}
		},
		close: () => agent.destroy(),
	}
}
