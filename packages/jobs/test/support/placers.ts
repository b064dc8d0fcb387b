/** Placers for tests; the defaults are those of a domain without a previous placer. */
import {createJobMetrics, silentLog} from "@cottonwood/jobs"
import {createPlacer, type Placer, type PlacerDeps} from "@cottonwood/jobs/internals"
import {LEASE_RULE, NO_ADVISOR, NO_KEPT_RUNS} from "./requests.js"

type Given = Pick<PlacerDeps, "clock" | "orders"> & Partial<PlacerDeps>

export function createTestPlacer(given: Given): Placer {
	return createPlacer({
		log: silentLog,
		metrics: createJobMetrics(),
		failureDomain: "a",
		fence: 1,
		leaseRule: LEASE_RULE,
		orphansWaitMs: 0,
		knowsAllExecutors: true,
		isCutOff: false,
		stopGraceMs: 50,
		isEvacuated: () => false,
		handOver: () => false,
		kept: NO_KEPT_RUNS,
		advisor: NO_ADVISOR,
		onFenced: () => undefined,
		onRoomChange: () => undefined,
		...given,
	})
}
