/**
 * All that an instance needs for sliced failure domains: the executors of its slices, and the check for a further slice.
 */
import {failureDomainOf} from "../decide/slices.js"
import type {ExecutorRecord} from "../types/executor.js"
import {createSliceAdder, type SliceAdderDeps} from "./slice-adder.js"
import {createSliceRouting, type SliceRouting, type SliceRoutingDeps} from "./slice-routing.js"

export type SlicingDeps = SliceAdderDeps & Omit<SliceRoutingDeps, "isTooLarge">

export interface Slicing extends SliceRouting {
	/** A slice's executors by the last list. */
	executorsOf(name: string): readonly ExecutorRecord[]
	close(): void
}

export function createSlicing(deps: SlicingDeps): Slicing {
	const {view, self, executorsPerPlacer, executorsOf} = deps
	const routing = createSliceRouting({
		...deps,
		isTooLarge: domain =>
			executorsPerPlacer !== undefined && executorsOf(domain).length > executorsPerPlacer,
	})
	const sliceAdder = createSliceAdder(deps)
	deps.metrics.gauge("slices", () => view.sliceCount(self.failureDomain))
	return {
		...routing,
		executorsOf: name => routing.ownExecutors(name, executorsOf(failureDomainOf(name))),
		close: sliceAdder.close,
	}
}
