/**
 * Records of kept jobs for tests.
 */
import type {Step} from "@cottonwood/jobs"
import type {JobRecord} from "@cottonwood/jobs/internals"

const STEP: Step = {
	count: 2,
	need: {cpu: 27_000, memoryMb: 64, accelerators: 0},
	// Long enough that no run counts as stuck.
	estimateMs: 20_000,
	after: [],
}

export const step = (extra: Partial<Step> = {}): Step => ({...STEP, ...extra})

export function jobRecord(id: string, extra: Partial<JobRecord> = {}): JobRecord {
	return {
		id,
		queue: "orders",
		spec: "spec",
		steps: [STEP],
		home: "a",
		homeFence: 1,
		runBase: 0,
		acceptedAtMs: 0,
		done: [],
		failures: {},
		isCancelled: false,
		writer: "",
		...extra,
	}
}
