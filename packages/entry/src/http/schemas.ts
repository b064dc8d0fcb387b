/**
 * Parses and validates the bodies of requests and jobs before anything is accepted.
 */
import {
	describeIssues,
	fail,
	parseSelector,
	type Config,
	type DispatchError,
	type JobBody,
	type RequestBody,
} from "@cottonwood/core"
import {ok, type Result} from "neverthrow"
import {z} from "zod"

const requestSchema = z.strictObject({
	endpoint: z.string().min(1),
	payload: z.unknown().default(null),
	repeatable: z.boolean().default(false),
})

const taskSchema = z.strictObject({
	kind: z.string().min(1).max(200).default("default"),
	payload: z.unknown().default(null),
	cpu: z.number().positive().max(10_000).default(1),
	memoryMb: z.number().min(0).default(0),
	accelerators: z.int().min(0).default(0),
	labels: z.record(z.string(), z.string()).default({}),
	selector: z.string().optional(),
	prefer: z.string().optional(),
	repeatable: z.boolean().optional(),
})

const jobSchema = z.strictObject({
	tasks: z.array(taskSchema).min(1),
	/** Default for tasks without a selector; likewise `prefer`. */
	selector: z.string().optional(),
	prefer: z.string().optional(),
	spreadRacks: z.boolean().default(false),
	repeatable: z.boolean().default(false),
})

export interface Checked<T> {
	readonly body: T
	readonly repeatable: boolean
}

function parseJson(text: string): Result<unknown, DispatchError> {
	try {
		return ok(JSON.parse(text) as unknown)
	} catch (error) {
		return fail("not_json", (error as Error).message)
	}
}

function checkSelectors(texts: readonly (string | undefined)[]): Result<void, DispatchError> {
	for (const text of new Set(texts)) {
		if (text === undefined) continue
		const parsed = parseSelector(text)
		if (parsed.isErr()) return fail(parsed.error.kind, parsed.error.detail)
	}
	return ok(undefined)
}

export function parseRequest(
	text: string,
	config: Config,
): Result<Checked<RequestBody>, DispatchError> {
	return parseJson(text).andThen(raw => {
		const parsed = requestSchema.safeParse(raw)
		if (!parsed.success) return fail("invalid_request", describeIssues(parsed.error))
		const {endpoint, payload, repeatable} = parsed.data
		if (!Object.hasOwn(config.endpoints, endpoint)) {
			return fail("unknown_endpoint", `"${endpoint}" is not configured`)
		}
		return ok({body: {endpoint, payload}, repeatable})
	})
}

export function parseJob(text: string, config: Config): Result<Checked<JobBody>, DispatchError> {
	return parseJson(text).andThen(raw => {
		const parsed = jobSchema.safeParse(raw)
		if (!parsed.success) return fail("invalid_request", describeIssues(parsed.error))
		const job = parsed.data
		const limit = config.limits.maxTasksPerJob
		if (job.tasks.length > limit) {
			return fail("invalid_request", `tasks: expected at most ${limit}, found ${job.tasks.length}`)
		}
		const {selector, prefer, spreadRacks, repeatable} = job
		const tasks = job.tasks.map(task => ({
			kind: task.kind,
			payload: task.payload,
			resources: {
				cpu: task.cpu,
				memoryMb: task.memoryMb,
				accelerators: task.accelerators,
			},
			labels: task.labels,
			selector: task.selector ?? selector,
			prefer: task.prefer ?? prefer,
			repeatable: task.repeatable ?? repeatable,
		}))
		const texts = tasks.flatMap(task => [task.selector, task.prefer])
		const allRepeatable = tasks.every(task => task.repeatable)
		return checkSelectors(texts).map(() => ({
			body: {tasks, spreadRacks},
			repeatable: allRepeatable,
		}))
	})
}
