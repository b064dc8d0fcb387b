/**
 * Heavy loads, replayed through the placement decisions in virtual time. Each bound lies between the figures without and
 * with the decision that it guards, over these seeds.
 */
import {expect} from "chai"
import {replay, type ReplayScenario, type ReplayResult} from "./support/replay/replay-scenario.js"
import {PAIRED_WORK} from "./support/replay/replay-work.js"

const SEEDS = [1, 2, 3, 4, 5, 6]

async function replayAll(day: ReplayScenario): Promise<readonly ReplayResult[]> {
	const all: ReplayResult[] = []
	for (const seed of SEEDS) all.push(await replay(day, seed))
	// Under any load no task runs twice at once and no executor is overfilled.
	for (const {doubled, overfilled} of all)
		expect({doubled, overfilled}).to.eql({doubled: 0, overfilled: 0})
	return all
}

const mean = (all: readonly ReplayResult[], figure: (one: ReplayResult) => number) =>
	all.reduce((sum, one) => sum + figure(one), 0) / all.length

function print(name: string, all: readonly ReplayResult[]) {
	const format = (figure: (one: ReplayResult) => number) => mean(all, figure).toFixed(3)
	const kinds = ["short", "middle", "long"].map(
		kind => `${kind} ${format(one => one.kinds[kind] ?? 0)}`,
	)
	console.log(`        ${name}: score ${format(one => one.score)}, ${kinds.join(", ")}`)
}

describe("replayed load", () => {
	it("is served whole on a calm day", async () => {
		const all = await replayAll({jobsPerSecond: 92, lengthMs: 6_000, disturbances: []})
		print("calm", all)
		expect(mean(all, ({score}) => score)).to.be.greaterThan(0.96)
		expect(mean(all, ({refused}) => refused)).to.be.lessThan(0.01)
	})

	it("gives the same figures for the same seed", async () => {
		const day: ReplayScenario = {
			jobsPerSecond: 92,
			lengthMs: 2_000,
			disturbances: [{type: "late orders", at: 500, forMs: 1_000, share: 0.05}],
		}
		expect(await replay(day, 7)).to.eql(await replay(day, 7))
	})

	it("of short tasks is in time while a few orders get lost", async () => {
		const all = await replayAll({
			jobsPerSecond: 92,
			lengthMs: 8_000,
			disturbances: [{type: "late orders", at: 2_000, forMs: 4_700, share: 0.036}],
		})
		print("3.6% of orders lost", all)
		expect(mean(all, ({kinds}) => kinds["short"] ?? 0)).to.be.greaterThan(0.85)
		expect(mean(all, ({score}) => score)).to.be.greaterThan(0.91)
	})

	it("of 1.5 times the usual rate is refused where it is least urgent", async () => {
		const all = await replayAll({
			jobsPerSecond: 97,
			lengthMs: 8_000,
			disturbances: [{type: "surge", at: 1_000, forMs: 6_000, times: 1.5}],
		})
		print("1.5 times the load", all)
		expect(mean(all, ({kinds}) => kinds["short"] ?? 0)).to.be.greaterThan(0.71)
		expect(mean(all, ({score}) => score)).to.be.greaterThan(0.805)
		// Callers are refused at once instead of served late.
		expect(mean(all, ({late}) => late)).to.be.lessThan(0.08)
	})

	it("stays in time for most while a surge meets the loss of a sixth of the executors", async () => {
		const all = await replayAll({
			jobsPerSecond: 97,
			lengthMs: 10_000,
			disturbances: [
				{type: "surge", at: 2_000, forMs: 4_000, times: 1.25},
				{type: "surge", at: 3_500, forMs: 3_100, times: 1.8, kind: "long"},
				{type: "crash", at: 4_200, forMs: 4_200, share: 0.16},
			],
		})
		print("surge and crash", all)
		expect(mean(all, ({score}) => score)).to.be.greaterThan(0.82)
	})

	it("of a domain that is cut off from the others is served there", async () => {
		const all = await replayAll({
			jobsPerSecond: 92,
			lengthMs: 6_000,
			disturbances: [{type: "cut", at: 1_000, forMs: 4_000, failureDomain: "a"}],
		})
		print("a domain cut off", all)
		expect(mean(all, ({domains}) => domains["a"] ?? 0)).to.be.greaterThan(0.88)
	})

	/** Least share of its credit that each kind of request and each failure domain must earn. */
	const LEAST_SHARE = 0.85
	const paired = {
		work: PAIRED_WORK,
		failureDomains: ["a", "b", "c", "d"],
		executorsPerDomain: 15,
		lengthMs: 8_000,
	}
	const leastOf = (shares: Readonly<Record<string, number>>) => Math.min(...Object.values(shares))

	it("of pairs that fill an executor, in waves that move from domain to domain, is served", async () => {
		const all = await replayAll({...paired, jobsPerSecond: 150, disturbances: []})
		print("pairs in waves", all)
		expect(mean(all, ({kinds}) => leastOf(kinds))).to.be.greaterThan(LEAST_SHARE)
		expect(mean(all, ({domains}) => leastOf(domains))).to.be.greaterThan(LEAST_SHARE)
	})

	it("of an evacuated domain is served by the others", async () => {
		const all = await replayAll({
			...paired,
			jobsPerSecond: 110,
			disturbances: [{type: "evacuation", at: 1_500, forMs: 5_000, failureDomain: "a"}],
		})
		print("a domain emptied", all)
		expect(mean(all, ({kinds}) => leastOf(kinds))).to.be.greaterThan(LEAST_SHARE)
		expect(mean(all, ({domains}) => leastOf(domains))).to.be.greaterThan(LEAST_SHARE)
	})

	/*
	 * Guards against refusals in a busy domain while others have room: callers reach instances that only hear their own
	 * domain's placer, one domain has four times the demand, and the waves are out of phase.
	 */
	it("of a domain with four times the demand moves to the others as whole jobs", async () => {
		const uneven: ReplayScenario = {
			work: {...PAIRED_WORK, swing: 0.5, swingPeriodMs: 3_000},
			executorsPerDomain: 15,
			jobsPerSecond: 110,
			demand: [2, 0.5, 0.5],
			hasEntries: true,
			lengthMs: 6_000,
			disturbances: [],
		}
		const stay = await replayAll(uneven)
		const go = await replayAll({...uneven, crossDomainMs: 8})
		print("uneven, jobs stay", stay)
		print("uneven, jobs go", go)
		const inTime = (all: readonly ReplayResult[]) => mean(all, one => one.inTime)
		const refused = (all: readonly ReplayResult[]) => mean(all, one => one.refused)
		const calls = (all: readonly ReplayResult[]) =>
			mean(all, ({movedJobs, movedTasks}) => movedJobs + movedTasks)
		expect(inTime(go)).to.be.greaterThan(inTime(stay) + 0.01)
		expect(refused(go)).to.be.lessThan(0.75 * refused(stay))
		expect(calls(go)).to.be.lessThan(0.85 * calls(stay))
	})
})
