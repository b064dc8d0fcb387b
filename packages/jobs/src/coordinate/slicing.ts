/**
 * All that an instance needs for sliced failure domains: the executors of its slices, and the check for a further slice.
 */
import {failureDomainOf} from "../decide/slices.js"
import type {ExecutorRecord} from "../types/executor.js"
import {createDivision, type DivisionDeps} from "./division.js"
import {createHostSlices, type HostSlices, type HostSlicesDeps} from "./slices.js"

export type SlicingDeps = DivisionDeps & Omit<HostSlicesDeps, "isTooLarge">

export interface Slicing extends HostSlices {
	/** A slice's executors by the last list. */
	executorsOf(name: string): readonly ExecutorRecord[]
	close(): void
}

export function createSlicing(deps: SlicingDeps): Slicing {
	const {view, self, executorsPerPlacer, executorsOf} = deps
	const hostSlices = createHostSlices({
		...deps,
		isTooLarge: domain =>
			executorsPerPlacer !== undefined && executorsOf(domain).length > executorsPerPlacer,
	})
	const division = createDivision(deps)
	deps.metrics.gauge("slices", () => view.sliceCount(self.failureDomain))
	return {
		...hostSlices,
		executorsOf: name => hostSlices.ownOf(name, executorsOf(failureDomainOf(name))),
		close: division.close,
	}
}
