/**
 * Routes for callers: submit a request or a job, get its outcome, cancel it, explain it.
 */
import {
	DispatchError,
	digestOf,
	fail,
	submissionKey,
	teamOf,
	type Config,
	type Submission,
	type SubmissionHead,
} from "@cottonwood/core"
import type {Context, Hono} from "hono"
import {ok, type Result} from "neverthrow"
import {v7 as mintId} from "uuid"
import {readBody} from "./read-body.js"
import {parseJob, parseRequest} from "./schemas.js"
import {sendError, sendOutcome, sendProblem} from "./problem.js"
import type {HttpDeps} from "./app.js"

export const CALLER_HEADER = "cottonwood-caller"
export const DEADLINE_HEADER = "cottonwood-deadline-ms"
export const ID_HEADER = "idempotency-key"

const MAX_ID_LENGTH = 200
const MAX_DEADLINE_MS = 3_600_000
const MAX_WAIT_MS = 60_000

interface Caller {
	readonly caller: string
	readonly id: string
	readonly team: string
}

/** Reads the id, which may be quoted as in the header's draft standard; a missing one is generated. */
function readId(c: Context): Result<string, DispatchError> {
	const raw = c.req.header(ID_HEADER)
	if (raw === undefined) return ok(mintId())
	const id = raw.replace(/^"(.*)"$/, "$1")
	if (id.length === 0 || id.length > MAX_ID_LENGTH) {
		return fail("invalid_request", `${ID_HEADER}: expected 1 to ${MAX_ID_LENGTH} characters`)
	}
	return ok(id)
}

function readCaller(c: Context, config: Config): Result<Caller, DispatchError> {
	const caller = c.req.header(CALLER_HEADER) ?? ""
	if (caller === "") return fail("invalid_request", `${CALLER_HEADER}: expected a name, found none`)
	const team = teamOf(config, caller)
	if (team === undefined) return fail("unknown_caller", `"${caller}" belongs to no team`)
	return readId(c).map(id => ({caller, id, team}))
}

function readDeadlineMs(c: Context, defaultMs: number): Result<number, DispatchError> {
	const raw = c.req.header(DEADLINE_HEADER)
	if (raw === undefined) return ok(defaultMs)
	const ms = Number(raw)
	if (!Number.isFinite(ms))
		return fail("invalid_request", `${DEADLINE_HEADER}: expected milliseconds`)
	if (ms <= 0) return fail("deadline_passed", `${DEADLINE_HEADER} is ${raw}`)
	return ok(Math.min(ms, MAX_DEADLINE_MS))
}

function readWaitMs(c: Context): number | undefined {
	const raw = c.req.query("waitMs")
	const ms = Number(raw)
	return raw === undefined || !Number.isFinite(ms)
		? undefined
		: Math.min(Math.max(0, ms), MAX_WAIT_MS)
}

type Parse = (text: string, caller: Caller, config: Config) => Result<Submission, DispatchError>

function submissionHead(
	caller: Caller,
	text: string,
	repeatable: boolean,
): Omit<SubmissionHead, "deadlineAt"> {
	const key = submissionKey(caller.caller, caller.id)
	return {key, digest: digestOf(text), team: caller.team, repeatable}
}

const parseAsRequest: Parse = (text, caller, config) =>
	parseRequest(text, config).map(({body, repeatable}) => ({
		head: {...submissionHead(caller, text, repeatable), deadlineAt: 0},
		type: "request",
		request: body,
	}))

const parseAsJob: Parse = (text, caller, config) =>
	parseJob(text, config).map(({body, repeatable}) => ({
		head: {...submissionHead(caller, text, repeatable), deadlineAt: 0},
		type: "job",
		job: body,
	}))

function defaultDeadline(submission: Submission, config: Config): number {
	if (submission.type === "job") return config.workers.defaultDeadlineMs
	return config.endpoints[submission.request.endpoint]!.defaultDeadlineMs
}

export function addSubmissionRoutes(app: Hono, deps: HttpDeps) {
	const {clock, router, metrics} = deps

	/** Counts and sends a refusal; the submission has not been accepted. */
	function refuse(c: Context, error: DispatchError, id?: string) {
		metrics.count(`refusal.${error.kind}`)
		return sendError(c, error, id)
	}

	async function answer(c: Context, submission: Submission, id: string) {
		const remainingMs = submission.head.deadlineAt - clock.now()
		const waitMs = Math.min(remainingMs, readWaitMs(c) ?? remainingMs)
		let cancelTimer: (() => void) | undefined
		const timeout = new Promise<undefined>(resolve => {
			cancelTimer = clock.schedule(waitMs, () => resolve(undefined))
		})
		const outcome = await Promise.race([router.submit(submission), timeout])
		cancelTimer?.()
		if (outcome) return sendOutcome(c, outcome, id)
		const isPastDeadline = waitMs >= remainingMs
		const kind = isPastDeadline ? "deadline_exceeded" : "wait_ended"
		metrics.count(`refusal.${kind}`)
		const error = new DispatchError(kind, `no outcome after ${Math.round(waitMs)} ms`, {
			retryAfterMs: 1_000,
		})
		return sendError(c, error, id)
	}

	async function submit(c: Context, parse: Parse) {
		const config = deps.config()
		if (!config) return refuse(c, new DispatchError("no_configuration", "try another instance"))
		const caller = readCaller(c, config)
		if (caller.isErr()) return refuse(c, caller.error)
		const {id} = caller.value
		const text = await readBody(c, deps.bodyBytes)
		if (text.isErr()) return refuse(c, text.error, id)
		const parsed = parse(text.value, caller.value, config)
		if (parsed.isErr()) return refuse(c, parsed.error, id)
		const deadlineMs = readDeadlineMs(c, defaultDeadline(parsed.value, config))
		if (deadlineMs.isErr()) return refuse(c, deadlineMs.error, id)
		const head = {...parsed.value.head, deadlineAt: clock.now() + deadlineMs.value}
		deps.beginRequest()
		try {
			return await answer(c, {...parsed.value, head}, id)
		} finally {
			deps.endRequest()
		}
	}

	app.post("/v1/requests", c => submit(c, parseAsRequest))
	app.post("/v1/jobs", c => submit(c, parseAsJob))

	app.get("/v1/submissions/:id", async c => {
		const caller = c.req.header(CALLER_HEADER) ?? ""
		const id = c.req.param("id")
		const found = await router.find(submissionKey(caller, id), readWaitMs(c) ?? 0)
		if (found.type === "outcome") return sendOutcome(c, found.outcome, id)
		if (found.type === "running") return c.json({id, status: "running"}, 202)
		return sendError(c, new DispatchError("not_found", "no instance knows the id"), id)
	})

	app.delete("/v1/submissions/:id", async c => {
		const caller = c.req.header(CALLER_HEADER) ?? ""
		const id = c.req.param("id")
		const outcome = await router.cancel(submissionKey(caller, id))
		if (!outcome) return sendError(c, new DispatchError("not_found", "nothing to cancel"), id)
		if (outcome.ok) return sendOutcome(c, outcome, id)
		return outcome.kind === "cancelled"
			? c.json({id, status: "cancelled", ran: outcome.ran})
			: sendProblem(c, outcome, id)
	})

	app.get("/v1/submissions/:id/explain", async c => {
		const caller = c.req.header(CALLER_HEADER) ?? ""
		const id = c.req.param("id")
		return c.json({id, steps: await deps.explain(submissionKey(caller, id))})
	})

	app.get("/v1/submissions", c => {
		const limit = Number(c.req.query("limit") ?? 100)
		return c.json({submissions: deps.listSubmissions(limit)})
	})
}
