/**
 * The judge of kept jobs' histories: it must see the break of each rule, and pass a history without one.
 */
import {expect} from "chai"
import type {KeptJobRequest} from "@cottonwood/jobs/internals"
import {record} from "./support/fake-executors.js"
import {ID, job} from "./support/keeper-world.js"
import {judge, type CallerView, type Verdict} from "./support/kept-verdict.js"
import type {HistoryEvent} from "./support/model-executors.js"
import {step} from "./support/records.js"

const MAX_ATTEMPTS = 2
const E1 = record("e1", {labels: ["x"]})
const E2 = record("e2")

const start = (at: number, task: string, run = 1, executor = E1): HistoryEvent => ({
	type: "start",
	at,
	executor,
	task: `${ID}.${task}`,
	run,
})
let serial = 0
const end = (
	at: number,
	task: string,
	how: "done" | "failed" | "stopped" | "crashed",
	executor = E1,
): HistoryEvent => {
	serial++
	return {type: "end", at, executor: executor.id, task: `${ID}.${task}`, run: 1, how, serial}
}
const noted = (at: number): HistoryEvent => ({type: "noted", at, executor: "e1", serial})

function rulesOf(
	history: readonly HistoryEvent[],
	request: Partial<KeptJobRequest> = {},
	view: Partial<CallerView> = {},
	until = 10_000,
) {
	const call: CallerView = {
		request: job({steps: [step({count: 1})], ...request}),
		acceptedAt: 0,
		cancelledAt: undefined,
		state: "completed",
		service: "svc",
		...view,
	}
	const verdict: Verdict = {
		calls: [call],
		history,
		maxAttempts: MAX_ATTEMPTS,
		until,
	}
	return judge(verdict).map(text => text.split(" ")[0])
}

describe("the judge of kept jobs", () => {
	const done = () => [start(1, "0.0.0"), end(2, "0.0.0", "done"), noted(3)]
	const two = [step({count: 1}), step({count: 1, after: [0]})]

	it("passes a history without a break", () => {
		expect(rulesOf(done())).to.eql([])
		const later = [...done(), start(4, "0.1.0"), end(5, "0.1.0", "done"), noted(6)]
		expect(rulesOf(later, {steps: two})).to.eql([])
		const retried = [start(1, "0.0.0"), end(2, "0.0.0", "failed"), noted(3), start(4, "0.0.0", 2)]
		expect(rulesOf([...retried, end(5, "0.0.0", "done"), noted(6)])).to.eql([])
		const lasting = {steps: [step({count: 1, isLasting: true})]}
		expect(rulesOf([start(1, "0.0.0")], lasting, {state: "running"})).to.eql([])
	})

	it("sees TWICE", () => {
		expect(rulesOf([start(0, "0.0.0", 1, E2), ...done()])).to.eql(["TWICE"])
		expect(rulesOf([...done(), start(4, "0.0.0", 2)])).to.eql(["TWICE"])
		// An end that is not taken note of, or only after the lease, may be followed by another run.
		const lapsed: HistoryEvent = {type: "lapse", at: 3, executor: "e1"}
		const late = [
			start(1, "0.0.0"),
			end(2, "0.0.0", "done"),
			lapsed,
			start(4, "0.0.0", 2, E2),
			noted(5),
		]
		expect(rulesOf(late)).to.eql([])
		const unnoted = [start(1, "0.0.0"), end(2, "0.0.0", "done"), start(4, "0.0.0", 2, E2)]
		expect(rulesOf(unnoted)).to.eql([])
	})

	it("sees ORDER", () => {
		expect(rulesOf([start(0, "0.1.0"), ...done()], {steps: two}, {state: "failed"})).to.include(
			"ORDER",
		)
		const schedule = {times: 2, firstDueMs: 1_000, periodMs: 1_000}
		expect(rulesOf([start(1_700, "1.0.0")], {schedule}, {state: "completed"})).to.include("ORDER")
		expect(rulesOf([start(1_760, "1.0.0")], {schedule}, {state: "completed"})).to.not.include(
			"ORDER",
		)
	})

	it("sees ROUTE", () => {
		const steps = [step({count: 2, maxPerExecutor: 1})]
		const both = [start(1, "0.0.0"), start(2, "0.0.1")]
		const ends = [end(3, "0.0.0", "done"), end(3, "0.0.1", "done"), noted(4)]
		expect(rulesOf([...both, ...ends], {steps})).to.eql(["ROUTE"])
		const labelled = {steps: [step({count: 1, label: "x"})]}
		expect(rulesOf([start(1, "0.0.0", 1, E2), end(2, "0.0.0", "done", E2)], labelled)).to.eql([
			"ROUTE",
		])
		expect(rulesOf(done(), labelled)).to.eql([])
		expect(rulesOf(done(), {}, {service: "other"})).to.eql(["ROUTE"])
	})

	it("sees BUDGET", () => {
		const failing = [1, 2].flatMap(run => [
			start(run * 10, "0.0.0", run),
			end(run * 10 + 5, "0.0.0", "failed"),
		])
		expect(rulesOf([...failing, noted(30)], {}, {state: "failed"})).to.eql([])
		const third = [...failing, noted(30), start(40, "0.0.0", 3)]
		expect(rulesOf(third, {}, {state: "failed"})).to.eql(["BUDGET"])
	})

	it("sees LIMIT, UNASKED and REFUSED", () => {
		const steps = [step({count: 3})]
		const all = [0, 1, 2].flatMap(at => [start(1, `0.0.${at}`)])
		const ends = [0, 1, 2].map(at => end(2, `0.0.${at}`, "done"))
		expect(rulesOf([...all, ...ends, noted(3)], {steps})).to.eql(["LIMIT"])
		const foreign = {...start(1, "0.0.0"), task: "00000000000000ff.0.0.0"} as HistoryEvent
		expect(rulesOf([...done(), foreign])).to.eql(["UNASKED"])
		expect(rulesOf([start(9_000, "0.0.0")], {}, {cancelledAt: 100, state: "cancelled"})).to.eql([
			"UNASKED",
		])
		expect(rulesOf([start(1, "0.0.0")], {}, {acceptedAt: undefined, state: "refused"})).to.eql([
			"REFUSED",
		])
	})

	it("sees MIXED and LOST", () => {
		expect(rulesOf([start(1, "0.0.0")])).to.eql(["MIXED"])
		expect(rulesOf(done(), {}, {state: "running"})).to.eql(["LOST"])
		expect(rulesOf(done(), {}, {state: "absent"})).to.eql(["LOST"])
		const once = [start(1, "0.0.0"), end(2, "0.0.0", "failed"), noted(3)]
		expect(rulesOf(once, {}, {state: "failed"})).to.eql(["LOST"])
		const crashes = [1, 2].flatMap(run => [
			start(run * 10, "0.0.0", run),
			end(run * 10 + 5, "0.0.0", "crashed"),
		])
		expect(rulesOf(crashes, {}, {state: "failed"})).to.eql([])
		const lasting = {steps: [step({count: 1, isLasting: true})]}
		const away = [start(1, "0.0.0"), end(2, "0.0.0", "failed")]
		expect(rulesOf(away, lasting, {state: "running"}, 6_000)).to.eql([])
		expect(rulesOf(away, lasting, {state: "running"}, 6_003)).to.eql(["LOST"])
	})
})
