/** The choice of a failure domain for a whole job, from the reports of other domains. */
import type {Job, Queue} from "@cottonwood/jobs"
import {
	chooseDomain,
	forecastLocalStartMs,
	moveRequirementsOf,
	type DomainReport,
	type MoveRequirements,
	type OwnDomain,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {QUEUE} from "./support/requests.js"

const NEED: MoveRequirements = {
	tasks: 2,
	cpu: 8_000,
	work: 1_600,
	labels: [],
	startInMs: 100,
	been: [],
}

/** 64 cores behind 6,400 core-milliseconds: 125 ms of work. */
const OWN: OwnDomain = {
	failureDomain: "a",
	totalCpu: 64_000,
	waitingWork: 6_400,
	waitedMs: 0,
	wouldRefuse: false,
}

const report = (failureDomain: string, changes: Partial<DomainReport> = {}): DomainReport => ({
	failureDomain,
	reportedCpu: [16_000, 16_000],
	freeCpu: [16_000, 16_000],
	sentCpu: 0,
	sentWork: 0,
	totalCpu: 64_000,
	waitingWork: 0,
	labels: [],
	ageMs: 20,
	claimAgeMs: 60_000,
	silentMs: 20,
	unansweredMs: 0,
	isEvacuated: false,
	isLeaving: false,
	isUnreachable: false,
	isStrained: false,
	...changes,
})

const chosen = (
	all: readonly DomainReport[],
	{own = OWN, need = NEED, crossDomainMs = 0} = {},
): string | undefined => chooseDomain(own, all, need, crossDomainMs)?.failureDomain

describe("choice of a job's failure domain", () => {
	it("is a domain that has room for the whole job, with the forecast waits of both domains", () => {
		const choice = chooseDomain(OWN, [report("b")], NEED, 0)
		expect(choice?.failureDomain).to.equal("b")
		expect(choice?.hereMs).to.be.greaterThan(100)
		expect(choice?.thereMs).to.be.lessThan(10)
		expect(choice?.newsAgeMs).to.equal(20)
	})

	it("is the job's own domain unless the gain reaches the operator's threshold", () => {
		expect(chosen([report("b")], {crossDomainMs: 100})).to.equal("b")
		expect(chosen([report("b")], {crossDomainMs: 200})).to.equal(undefined)
		// The queue takes a millisecond, less than the round trip to another domain.
		const short = {...OWN, totalCpu: 6_400_000}
		expect(chosen([report("b")], {own: short})).to.equal(undefined)
	})

	it("forecasts at least the wait so far, whatever the queue's length", () => {
		const own = {...OWN, waitingWork: 0, totalCpu: 6_400_000, waitedMs: 40}
		expect(forecastLocalStartMs(own, NEED)).to.equal(40)
		expect(chosen([report("b")], {own})).to.equal("b")
	})

	it("is the domain with more free capacity, of two with the same forecast", () => {
		expect(chosen([report("b"), report("c", {freeCpu: [16_000, 8_000]})])).to.equal("b")
		expect(chosen([report("b", {freeCpu: [16_000, 8_000]}), report("c")])).to.equal("c")
	})

	it("is no domain that is evacuated, leaving, unreachable, strained, silent, or just starting up", () => {
		const unfit: readonly Partial<DomainReport>[] = [
			{isEvacuated: true},
			{isLeaving: true},
			{isUnreachable: true},
			{isStrained: true},
			{silentMs: 700},
			{unansweredMs: 350},
			{claimAgeMs: 100},
		]
		for (const changes of unfit)
			expect(chosen([report("b", changes)]), JSON.stringify(changes)).to.equal(undefined)
	})

	it("is no domain whose report is older than two heartbeats", () => {
		expect(chosen([report("b", {ageMs: 501})])).to.equal(undefined)
	})

	it("is no domain that lacks a label, and none that had the job before", () => {
		expect(chosen([report("b")], {need: {...NEED, labels: ["r1"]}})).to.equal(undefined)
		expect(chosen([report("b", {labels: ["r1"]})], {need: {...NEED, labels: ["r1"]}})).to.equal("b")
		expect(chosen([report("b")], {need: {...NEED, been: ["b"]}})).to.equal(undefined)
	})

	/* Another queue may refuse the job too, and a job admitted here would lose its place. */
	it("is a domain with a queue only for a job that is refused here and would be in time there", () => {
		const queue = report("b", {reportedCpu: [], freeCpu: [], waitingWork: 800})
		const refusing = {...OWN, wouldRefuse: true}
		expect(chosen([queue])).to.equal(undefined)
		expect(chosen([queue], {own: refusing})).to.equal("b")
		expect(chosen([queue], {own: refusing, need: {...NEED, startInMs: 50}})).to.equal(undefined)
		// The queue may have grown since the report.
		expect(chosen([{...queue, ageMs: 150}], {own: refusing})).to.equal(undefined)
	})

	it("is made only for jobs of plain tasks that may still move", () => {
		const step = {count: 2, need: {cpu: 8_000, memoryMb: 1, accelerators: 0}, estimateMs: 100}
		const job: Job = {
			id: "00000000000000aa",
			queue: QUEUE.name,
			spec: "",
			steps: [{...step, after: []}],
			receivedAt: 0,
			deadlineAt: 1_000,
			been: [],
		}
		const advised: Queue = {...QUEUE, advice: {decideMs: 1, perExecutorMs: 0}}
		const gang = {...job, steps: [{...step, after: [], isGang: true}]}
		expect(moveRequirementsOf(job, QUEUE, 100)).to.eql(NEED)
		expect(moveRequirementsOf({...job, been: undefined}, QUEUE, 100), "switched off").to.equal(
			undefined,
		)
		expect(moveRequirementsOf({...job, been: ["a", "b"]}, QUEUE, 100), "moved twice").to.equal(
			undefined,
		)
		expect(moveRequirementsOf(job, advised, 100)).to.equal(undefined)
		expect(moveRequirementsOf(gang, QUEUE, 100)).to.equal(undefined)
	})
})
