/** Overload, replayed through admission by forecast in virtual time: which queues are served how much. */
import {expect} from "chai"
import {replay, type ReplayScenario, type ReplayResult} from "./support/replay/replay-scenario.js"
import {PAIRED_WORK} from "./support/replay/replay-work.js"

const SEEDS = [1, 2, 3, 4, 5, 6]
/** Least ratio of any kind's served share to that of the best served kind. */
const LEAST_OF_BEST = 0.94

async function replayAll(day: ReplayScenario): Promise<readonly ReplayResult[]> {
	const all: ReplayResult[] = []
	for (const seed of SEEDS) all.push(await replay({...day, isForecasting: true}, seed))
	for (const {doubled, overfilled} of all)
		expect({doubled, overfilled}).to.eql({doubled: 0, overfilled: 0})
	return all
}

const mean = (all: readonly ReplayResult[], figure: (one: ReplayResult) => number) =>
	all.reduce((sum, one) => sum + figure(one), 0) / all.length

/** Ratio of the worst served kind's share to the best served kind's. */
function leastOfBest(name: string, all: readonly ReplayResult[]): number {
	const kinds = ["short", "middle", "long"]
	const served = kinds.map(kind => mean(all, one => one.served[kind] ?? 0))
	const text = kinds.map((kind, at) => `${kind} ${served[at]?.toFixed(3)}`).join(", ")
	console.log(`        ${name}: served ${text}`)
	return Math.min(...served) / Math.max(...served)
}

const paired = {
	work: PAIRED_WORK,
	failureDomains: ["a", "b", "c"],
	executorsPerDomain: 20,
	lengthMs: 8_000,
}

describe("replayed overload", () => {
	/*
	 * Guards against refusing only the kind of middle length: judged by the backlog alone, a burst of long jobs pushes it
	 * out.
	 */
	it("by a burst of long jobs affects all kinds alike", async () => {
		for (const jobsPerSecond of [120, 150]) {
			const all = await replayAll({
				...paired,
				jobsPerSecond,
				disturbances: [{type: "surge", at: 1_000, forMs: 6_400, times: 2.5, kind: "long"}],
			})
			const name = `${jobsPerSecond} a second and a burst of the long kind`
			expect(leastOfBest(name, all)).to.be.at.least(LEAST_OF_BEST)
		}
	})

	/* A queue that asks for less than its floor keeps its room. */
	it("spares a queue with a floor at the cost of the largest one", async () => {
		const crest: ReplayScenario = {
			...paired,
			jobsPerSecond: 150,
			disturbances: [{type: "surge", at: 1_000, forMs: 6_400, times: 2.5, kind: "long"}],
		}
		const even = await replayAll(crest)
		const floored = await replayAll({...crest, shares: {short: {floor: 0.3}}})
		const creditOf = (all: readonly ReplayResult[], kind: string) =>
			mean(all, ({kinds}) => kinds[kind] ?? 0)
		leastOfBest("with a floor for the short kind", floored)
		expect(creditOf(floored, "short")).to.be.greaterThan(creditOf(even, "short"))
		expect(creditOf(floored, "long")).to.be.lessThan(creditOf(even, "long"))
	})

	/* Guards against serving one kind whole at the others' cost. */
	it("by 1.5 times the load affects all kinds alike", async () => {
		const all = await replayAll({
			jobsPerSecond: 97,
			lengthMs: 8_000,
			disturbances: [{type: "surge", at: 1_000, forMs: 6_000, times: 1.5}],
		})
		expect(leastOfBest("1.5 times the load", all)).to.be.at.least(LEAST_OF_BEST)
	})

	/* Nothing exceeds the capacity here, so a refusal would be a wrong forecast. */
	it("refuses nothing on a calm day", async () => {
		const all = await replayAll({jobsPerSecond: 92, lengthMs: 6_000, disturbances: []})
		expect(mean(all, ({refused}) => refused)).to.be.lessThan(0.01)
	})
})
