/**
 * Commands for operators: config, evacuate, instances, endpoints, workers, drain.
 */
import {readFileSync} from "node:fs"
import {callEntry} from "../client.js"
import {diffJson} from "../diff.js"
import {EXIT, printJson, printLine, printTable, reportFailure, type Cell} from "../output.js"
import type {Command, Invocation} from "./command.js"

interface VersionedConfig {
	readonly version: number
	readonly author: string
	readonly at: number
	readonly config: unknown
}

interface TargetLine {
	readonly id: string
	readonly failureDomain: string
	readonly rack: string
	readonly endpoint: string
	readonly capacity: {
		readonly cpu: number
		readonly memoryMb: number
		readonly accelerators: number
	}
	readonly state: string
	readonly placer: string | null
}

interface InstanceLine {
	readonly instance: string
	readonly failureDomain: string
	readonly session: string | null
	readonly state: string
	readonly configVersion: number
	readonly shards?: number
}

const readConfig = ({connection}: Invocation) =>
	callEntry<VersionedConfig>(connection, "/v1/config")

async function getConfig(invocation: Invocation): Promise<number> {
	const current = await readConfig(invocation)
	if (current.isErr()) return reportFailure(current.error, invocation.asJson)
	printJson(invocation.asJson ? current.value : current.value.config)
	if (!invocation.asJson) process.stderr.write(`version ${current.value.version}\n`)
	return EXIT.ok
}

async function putConfig(invocation: Invocation, file: string): Promise<number> {
	const {connection, asJson, flags} = invocation
	if (flags.version === undefined) {
		process.stderr.write("config put: --if-version N is needed: the version that it replaces\n")
		return EXIT.usage
	}
	const result = await callEntry<VersionedConfig>(connection, "/v1/config", {
		method: "PUT",
		body: readFileSync(file, "utf8"),
		headers: {"if-match": String(flags.version), "cottonwood-author": flags.author},
	})
	if (result.isErr()) return reportFailure(result.error, asJson)
	if (asJson) printJson(result.value)
	else printLine(`version ${result.value.version} is accepted`)
	return EXIT.ok
}

async function diffConfig(invocation: Invocation, file: string): Promise<number> {
	const current = await readConfig(invocation)
	if (current.isErr()) return reportFailure(current.error, invocation.asJson)
	const wanted = JSON.parse(readFileSync(file, "utf8")) as unknown
	const changes = diffJson(current.value.config, wanted)
	if (invocation.asJson) printJson(changes)
	else {
		const rows = changes.map(({path, from, to}) => [
			path,
			JSON.stringify(from) ?? "(absent)",
			JSON.stringify(to) ?? "(default)",
		])
		printTable(["path", `version ${current.value.version}`, file], rows)
	}
	return EXIT.ok
}

async function configHistory(invocation: Invocation): Promise<number> {
	const {connection, asJson} = invocation
	const path = "/v1/config/history"
	const result = await callEntry<{versions: readonly VersionedConfig[]}>(connection, path)
	if (result.isErr()) return reportFailure(result.error, asJson)
	if (asJson) printJson(result.value.versions)
	else {
		const rows = result.value.versions.map(({version, author, at}) => [
			version,
			author,
			new Date(at).toISOString(),
		])
		printTable(["version", "author", "accepted"], rows)
	}
	return EXIT.ok
}

interface EvacuatedConfig {
	readonly evacuated?: readonly string[]
}

/** Another change may win between the read and the write. */
const MAX_EVACUATE_ATTEMPTS = 5

/** Evacuates a failure domain or ends its evacuation; without one, lists the evacuated domains. */
export const evacuate: Command = async invocation => {
	const [domain] = invocation.words
	for (let attempt = 1; ; attempt++) {
		const current = await readConfig(invocation)
		if (current.isErr()) return reportFailure(current.error, invocation.asJson)
		const before = (current.value.config as EvacuatedConfig).evacuated ?? []
		if (domain === undefined) return printEvacuated(invocation, before)
		const others = before.filter(name => name !== domain)
		const evacuated = invocation.flags.finish ? others : [...others, domain]
		const result = await callEntry<VersionedConfig>(invocation.connection, "/v1/config", {
			method: "PUT",
			body: JSON.stringify({...(current.value.config as object), evacuated}),
			headers: {
				"if-match": String(current.value.version),
				"cottonwood-author": invocation.flags.author,
			},
		})
		if (result.isOk()) return printEvacuated(invocation, evacuated)
		const isConflict = result.error.kind === "config_conflict"
		if (!isConflict || attempt === MAX_EVACUATE_ATTEMPTS)
			return reportFailure(result.error, invocation.asJson)
	}
}

function printEvacuated({asJson}: Invocation, evacuated: readonly string[]): number {
	if (asJson) printJson({evacuated})
	else
		printTable(
			["evacuated domain"],
			evacuated.map(name => [name]),
		)
	return EXIT.ok
}

export const config: Command = async invocation => {
	const [verb, file] = invocation.words
	if (verb === "get") return getConfig(invocation)
	if (verb === "history") return configHistory(invocation)
	if (verb === "put" && file !== undefined) return putConfig(invocation, file)
	if (verb === "diff" && file !== undefined) return diffConfig(invocation, file)
	return EXIT.usage
}

/** Fetches a list and prints it as a table or as JSON. */
async function printList<T>(
	invocation: Invocation,
	path: string,
	field: string,
	headers: readonly string[],
	toRow: (line: T) => readonly Cell[],
): Promise<number> {
	const result = await callEntry<Record<string, readonly T[]>>(invocation.connection, path)
	if (result.isErr()) return reportFailure(result.error, invocation.asJson)
	const lines = result.value[field] ?? []
	if (invocation.asJson) printJson(lines)
	else printTable(headers, lines.map(toRow))
	return EXIT.ok
}

export const instances: Command = invocation =>
	printList<InstanceLine>(
		invocation,
		"/v1/instances",
		"instances",
		["instance", "domain", "state", "config", "shards"],
		line => [line.instance, line.failureDomain, line.state, line.configVersion, line.shards],
	)

export const endpoints: Command = invocation =>
	printList<TargetLine>(
		invocation,
		"/v1/endpoints",
		"executors",
		["executor", "endpoint", "domain", "slots", "state", "placed by"],
		line => [
			line.id,
			line.endpoint,
			line.failureDomain,
			line.capacity.cpu,
			line.state,
			line.placer,
		],
	)

export const workers: Command = invocation =>
	printList<TargetLine>(
		invocation,
		"/v1/workers",
		"workers",
		["worker", "domain", "rack", "cpu", "memory", "accelerators", "state", "placed by"],
		line => [
			line.id,
			line.failureDomain,
			line.rack,
			line.capacity.cpu,
			line.capacity.memoryMb,
			line.capacity.accelerators,
			line.state,
			line.placer,
		],
	)

export const drain: Command = async ({connection, asJson}) => {
	const result = await callEntry<{status: string}>(connection, "/v1/drain", {method: "POST"})
	if (result.isErr()) return reportFailure(result.error, asJson)
	if (asJson) printJson(result.value)
	else printLine(`${connection.url} is draining`)
	return EXIT.ok
}
