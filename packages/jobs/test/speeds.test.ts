/** Learning executors' speeds from noisy runs: estimates are off by 40%, and 3% of the runs take seven times as long. */
import {seededRandom} from "@cottonwood/standins"
import {expect} from "chai"
import {
	createPersistentSpeeds,
	createSmoothedSpeeds,
	priorLog,
	learnRun,
	mergeSpeeds,
	slownessOf,
	capOutlier,
	type Speed,
} from "@cottonwood/jobs/internals"

const ESTIMATE_SPREAD = 0.4
const OUTLIER_SHARE = 0.03
const OUTLIER_TIMES = 7

/** Draws run times over estimates on an executor with the given slowness. */
function drawRuns(seed: number, slowness: () => number): () => number {
	const random = seededRandom(seed)
	return () => {
		const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
		const outlier = random() < OUTLIER_SHARE ? OUTLIER_TIMES : 1
		return slowness() * outlier * Math.exp(ESTIMATE_SPREAD * normal)
	}
}

function learnMany(count: number, draw: () => number, speed?: Speed): Speed | undefined {
	for (let at = 0; at < count; at++) speed = learnRun(speed, 0, draw())
	return speed
}

describe("learnt speed", () => {
	it("is within a fifth of the truth after twenty noisy runs for most executors, and stays there", () => {
		for (const truth of [0.6, 1, 1.6]) {
			for (const count of [20, 100, 300]) {
				const errors = Array.from({length: 40}, (_, seed) =>
					Math.abs(
						Math.log(
							slownessOf(
								learnMany(
									count,
									drawRuns(seed, () => truth),
								),
							) / truth,
						),
					),
				)
				const near = errors.filter(error => error < 0.2).length
				expect(near, `speed ${truth} after ${count} runs`).to.be.at.least(32)
			}
		}
	})

	it("is shrunk towards an ordinary speed after few runs", () => {
		const one = learnRun(undefined, 0, 2)
		expect(slownessOf(one)).to.be.closeTo(Math.sqrt(2), 1e-9)
		expect(slownessOf(learnMany(20, () => 2))).to.be.within(1.85, 2)
		expect(slownessOf()).to.equal(1)
	})

	it("is hardly changed by an outlier, nor is the executor's health", () => {
		const known = learnMany(20, () => 1.6)
		const before = slownessOf(known)
		const after = learnRun(known, 0, 1.6 * OUTLIER_TIMES)
		expect(slownessOf(after) / before).to.be.lessThan(1.06)
		// A raw outlier would set the executor aside, since health is smoothed by an eighth.
		expect(capOutlier(1.6 * OUTLIER_TIMES, before, known)).to.be.lessThan(4)
	})

	it("follows an executor that turns five times slower within ten runs, and back", () => {
		let isSlow = false
		const followed = [0, 0]
		for (let seed = 0; seed < 20; seed++) {
			isSlow = false
			const draw = drawRuns(seed, () => (isSlow ? 5 : 1))
			const before = learnMany(60, draw)
			isSlow = true
			const slow = learnMany(10, draw, before)
			isSlow = false
			const back = learnMany(10, draw, slow)
			if (slownessOf(slow) > 3) followed[0]!++
			if (slownessOf(back) < 1.7) followed[1]!++
		}
		expect(Math.min(...followed)).to.be.at.least(17)
		// Smoothed speeds have no estimate to plan by.
		const learnt = createSmoothedSpeeds()
		for (let run = 0; run < 10; run++) learnt.observe("e", 5)
		expect(learnt.expectedSlowness("e")).to.equal(1)
	})

	it("of a label applies to its executors without runs", () => {
		const speeds = createPersistentSpeeds(() => 0)
		for (let at = 0; at < 12; at++) {
			speeds.add({id: `b${at}`, labels: ["b", `r${at}`]})
			for (let run = 0; run < 5; run++) speeds.observe(`b${at}`, 1.6)
		}
		speeds.add({id: "new-b", labels: ["b", "r1"]})
		speeds.add({id: "new-a", labels: ["a", "r1"]})
		expect(speeds.expectedSlowness("new-b")).to.be.within(1.45, 1.6)
		expect(speeds.expectedSlowness("new-a")).to.equal(1)
		for (let run = 0; run < 12; run++) speeds.observe("new-b", 0.6)
		expect(speeds.expectedSlowness("new-b")).to.be.lessThan(0.75)
	})

	it("is dropped with its executor", () => {
		const speeds = createPersistentSpeeds(() => 0)
		speeds.add({id: "e1", labels: ["a"]})
		for (let run = 0; run < 20; run++) speeds.observe("e1", 3)
		speeds.forget("e1")
		speeds.add({id: "e2", labels: ["c"]})
		expect(speeds.expectedSlowness("e1")).to.equal(1)
		expect(speeds.expectedSlowness("e2")).to.equal(1)
	})

	it("of two placers is merged by the weight of each", () => {
		const before = {mean: Math.log(2), weight: 9, outliers: 0}
		const now = {mean: Math.log(1), weight: 1, outliers: 0}
		expect(Math.exp(mergeSpeeds(before, now).mean)).to.be.within(1.8, 1.9)
		expect(mergeSpeeds({...before, weight: 0}, {...now, weight: 0}).weight).to.equal(0)
		expect(priorLog()).to.equal(0)
	})

	it("is smoothed exponentially by default", () => {
		const speeds = createSmoothedSpeeds()
		const any = {} as Parameters<typeof speeds.costOf>[1]
		expect(speeds.costOf("e", any)).to.equal(1)
		speeds.observe("e", 2)
		expect(speeds.costOf("e", any)).to.equal(1 + 0.15 * (2 - 1))
		speeds.observe("e", 9)
		expect(speeds.costOf("e", any)).to.equal(1.15 + 0.15 * (4 - 1.15))
		expect(speeds.cappedSlowness("e", 9)).to.equal(9)
		expect(speeds.isOverdue("e", 100)).to.equal(false)
	})
})
