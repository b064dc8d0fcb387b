/**
 * Commands for submissions: submit, status, cancel, jobs, explain.
 */
import {randomUUID} from "node:crypto"
import {readFileSync} from "node:fs"
import {callEntry} from "../client.js"
import {EXIT, printJson, printLine, printTable, reportFailure} from "../output.js"
import type {Command, Invocation} from "./command.js"

interface Submission {
	readonly id: string
	readonly status: string
	readonly value?: unknown
}

interface Step {
	readonly at: number
	readonly instance: string
	readonly step: string
	readonly cause: string
}

const POLL_MS = 2_000
const STANDARD_INPUT = 0

function readBody(file: string): string {
	return readFileSync(file === "-" ? STANDARD_INPUT : file, "utf8")
}

function isJob(body: string): boolean {
	try {
		return "tasks" in (JSON.parse(body) as object)
	} catch {
		return false
	}
}

/** Shows on a terminal how long the submission has been running. */
function showProgress(startedAt: number) {
	if (!process.stderr.isTTY) return
	const seconds = ((Date.now() - startedAt) / 1_000).toFixed(0)
	process.stderr.write(`\rrunning for ${seconds} s `)
}

function endProgress() {
	if (process.stderr.isTTY) process.stderr.write("\r\u001B[K")
}

function printSubmission(submission: Submission, asJson: boolean) {
	if (asJson) return printJson(submission)
	printLine(`${submission.id} ${submission.status}`)
	if (submission.value !== undefined) printLine(JSON.stringify(submission.value))
}

async function waitForEnd(invocation: Invocation, id: string): Promise<number> {
	const {connection, asJson} = invocation
	const startedAt = Date.now()
	for (;;) {
		showProgress(startedAt)
		const path = `/v1/submissions/${encodeURIComponent(id)}?waitMs=${POLL_MS}`
		const found = await callEntry<Submission>(connection, path)
		if (found.isOk() && found.value.status === "running") continue
		endProgress()
		if (found.isErr()) return reportFailure(found.error, asJson)
		printSubmission(found.value, asJson)
		return EXIT.ok
	}
}

/** `submit FILE`: a file with `tasks` is a job, any other a request. */
export const submit: Command = async invocation => {
	const {connection, words, asJson, flags} = invocation
	const [file] = words
	if (file === undefined) return EXIT.usage
	const body = readBody(file)
	const id = flags.id ?? randomUUID()
	const headers: Record<string, string> = {"idempotency-key": id}
	if (flags.deadlineMs !== undefined) headers["cottonwood-deadline-ms"] = String(flags.deadlineMs)
	const path = `${isJob(body) ? "/v1/jobs" : "/v1/requests"}?waitMs=${POLL_MS}`
	const sent = await callEntry<Submission>(connection, path, {method: "POST", body, headers})
	if (sent.isErr()) return reportFailure(sent.error, asJson)
	if (sent.value.status !== "complete") return waitForEnd(invocation, id)
	printSubmission(sent.value, asJson)
	return EXIT.ok
}

export const status: Command = async ({connection, words, asJson}) => {
	const [id] = words
	if (id === undefined) return EXIT.usage
	const path = `/v1/submissions/${encodeURIComponent(id)}`
	const found = await callEntry<Submission>(connection, path)
	if (found.isErr()) return reportFailure(found.error, asJson)
	printSubmission(found.value, asJson)
	return EXIT.ok
}

export const cancel: Command = async ({connection, words, asJson}) => {
	const [id] = words
	if (id === undefined) return EXIT.usage
	const path = `/v1/submissions/${encodeURIComponent(id)}`
	const result = await callEntry<Submission>(connection, path, {method: "DELETE"})
	if (result.isErr()) return reportFailure(result.error, asJson)
	printSubmission(result.value, asJson)
	return EXIT.ok
}

export const jobs: Command = async ({connection, asJson, flags}) => {
	const path = `/v1/submissions?limit=${flags.limit}`
	const listed = await callEntry<{
		submissions: readonly {readonly key: string; readonly state: string}[]
	}>(connection, path)
	if (listed.isErr()) return reportFailure(listed.error, asJson)
	if (asJson) printJson(listed.value.submissions)
	else {
		const rows = listed.value.submissions.map(({key, state}) => [key, state])
		printTable(["submission", "state"], rows)
	}
	return EXIT.ok
}

export const explain: Command = async ({connection, words, asJson}) => {
	const [id] = words
	if (id === undefined) return EXIT.usage
	const path = `/v1/submissions/${encodeURIComponent(id)}/explain`
	const result = await callEntry<{steps: readonly Step[]}>(connection, path)
	if (result.isErr()) return reportFailure(result.error, asJson)
	if (asJson) printJson(result.value.steps)
	else {
		const rows = result.value.steps.map(({at, instance, step, cause}) => [
			new Date(at).toISOString().slice(11, 23),
			instance,
			step,
			cause,
		])
		printTable(["at", "instance", "step", "cause"], rows)
	}
	return EXIT.ok
}
