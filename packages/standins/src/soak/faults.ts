/**
 * Faults of the product soak. Each fault is injected, lasts for a while and is removed.
 */
import type {Fleet, FleetEntry} from "../fleet/fleet.js"
import {sleep} from "../utils/sleep.js"
import {pick} from "../utils/random.js"

export type FaultName =
	| "kill entry"
	| "freeze entry"
	| "stop entry"
	| "store down"
	| "store loses answers"
	| "store slow"
	| "cut from platform"
	| "cut to peers"
	| "cut from peers"
	| "freeze worker"
	| "freeze executor"

export const ALL_FAULTS: readonly FaultName[] = Object.freeze([
	"kill entry",
	"freeze entry",
	"stop entry",
	"store down",
	"store loses answers",
	"store slow",
	"cut from platform",
	"cut to peers",
	"cut from peers",
	"freeze worker",
	"freeze executor",
])

export interface FaultPlan {
	readonly random: () => number
	readonly faults: readonly FaultName[]
	readonly rounds: number
	readonly durationMs: number
	readonly pauseMs: number
	readonly onFault: (text: string) => void
}

const LOST_SHARE = 0.3
const SLOW_MS = 300

async function replace(fleet: Fleet, entry: FleetEntry, signal: "SIGKILL" | "SIGTERM") {
	entry.process.signal(signal)
	await entry.process.exited
	await fleet.restartEntry(entry.name)
}

async function freeze(target: {signal(signal: NodeJS.Signals): void}, ms: number) {
	target.signal("SIGSTOP")
	await sleep(ms)
	target.signal("SIGCONT")
}

/** Injects one fault and resolves once it is removed. */
export async function runFault(fleet: Fleet, name: FaultName, plan: FaultPlan): Promise<void> {
	const {random, durationMs} = plan
	const entry = pick(fleet.entries, random)
	plan.onFault(`${name} (${entry.name})`)
	switch (name) {
		case "kill entry":
			return replace(fleet, entry, "SIGKILL")
		case "stop entry":
			return replace(fleet, entry, "SIGTERM")
		case "freeze entry":
			return freeze(entry.process, durationMs)
		case "freeze worker":
			return freeze(pick(fleet.workers, random), durationMs)
		case "freeze executor":
			return freeze(pick(fleet.executors, random), durationMs)
		case "store down":
		case "store loses answers":
		case "store slow": {
			const faults = {
				"store down": {down: true},
				"store loses answers": {loseAnswers: LOST_SHARE},
				"store slow": {delayMs: SLOW_MS},
			}
			await fleet.setFaults(faults[name])
			await sleep(durationMs)
			return fleet.setFaults({})
		}
		case "cut from platform":
		case "cut to peers":
		case "cut from peers": {
			const kinds = {
				"cut from platform": "platform",
				"cut to peers": "to peers",
				"cut from peers": "from peers",
			} as const
			fleet.cut(entry.failureDomain, [kinds[name]])
			await sleep(durationMs)
			return fleet.mend(entry.failureDomain)
		}
	}
}

/** Runs the faults one after another for the planned rounds, at times with lost store answers added. */
export async function runFaults(fleet: Fleet, plan: FaultPlan) {
	for (let round = 0; round < plan.rounds; round++) {
		for (const name of plan.faults) {
			const both = [runFault(fleet, name, plan)]
			const isDouble = plan.random() < 0.3 && !name.includes("store") && !name.includes("cut")
			if (isDouble) both.push(runFault(fleet, "store loses answers", plan))
			await Promise.all(both)
			await sleep(plan.pauseMs)
		}
	}
}
