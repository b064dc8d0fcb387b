/**
 * Peers for tests: none is silent, and methods that a test doesn't set must not be called.
 */
import type {Peers} from "@cottonwood/jobs/internals"

export function unused(): never {
	throw new Error("not used")
}

export function fakePeers(changes: Partial<Peers> = {}): Peers {
	return {
		beat: unused,
		runJob: unused,
		runTask: unused,
		takeOver: unused,
		kept: unused,
		noteReachable: () => undefined,
		unansweredMs: () => 0,
		close: unused,
		...changes,
	}
}
