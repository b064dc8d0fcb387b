/** Executors of different speeds: where a placer sends tasks, how it counts its capacity, and the gain from known speeds. */
import {
	createPersistentSpeeds,
	speedCost,
	type PersistentSpeeds,
	type TaskRequest,
} from "@cottonwood/jobs/internals"
import type {ExecutorRecord} from "@cottonwood/jobs"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeExecutors, record} from "./support/fake-executors.js"
import {createTestPlacer} from "./support/placers.js"
import {replay, type ReplayScenario, type ReplayResult} from "./support/replay/replay-scenario.js"
import {UNEVEN_WORK} from "./support/replay/replay-work.js"
import {taskRequest} from "./support/requests.js"

const speedOf = (slowness: number) => ({mean: Math.log(slowness), weight: 9, outliers: 0})

function inheritSpeeds(speeds: PersistentSpeeds, slowness: Readonly<Record<string, number>>) {
	const executors = new Map(Object.entries(slowness).map(([id, times]) => [id, speedOf(times)]))
	speeds.merge({executors, labels: new Map()})
}

/** A placer with inherited speeds. */
async function createWorld(
	slowness: Readonly<Record<string, number>>,
	capacity: ExecutorRecord["capacity"] = {cpu: 32_000, memoryMb: 1_000, accelerators: 0},
) {
	const clock = createFakeClock()
	const orders = new FakeExecutors(clock)
	const speeds = createPersistentSpeeds(() => clock.now())
	inheritSpeeds(speeds, slowness)
	const placer = createTestPlacer({clock, orders, speeds})
	placer.setExecutors(Object.keys(slowness).map(id => record(id, {capacity})))
	await clock.advance(10)
	async function place(task: string, extra: Partial<TaskRequest>) {
		const now = clock.now()
		const startBy = now + (extra.startBy ?? 0)
		placer.submit(
			taskRequest(task, {...extra, startBy, need: {cpu: 16_000, memoryMb: 1, accelerators: 0}}),
			() => undefined,
			() => undefined,
		)
		await clock.advance(10)
		return orders.starts.find(start => start.task === task)?.executor
	}
	return {clock, orders, speeds, placer, place}
}

describe("uneven executors", () => {
	it("run urgent tasks on the fast ones, and tasks with time to spare on the slow ones", async () => {
		// The first task is in time on the fast executor only. The second is in time on any, so the fast one stays free.
		const {place} = await createWorld({slow: 1.6, fast: 0.6, plain: 1})
		expect(await place("j.0.0.0", {estimateMs: 100, startBy: 60})).to.equal("fast")
		const {place: placeIdle, speeds} = await createWorld({slow: 1.6, fast: 0.6})
		expect(await placeIdle("k.0.0.0", {estimateMs: 100, startBy: 2_000})).to.equal("slow")
		expect(speeds.expectedSlowness("slow")).to.be.greaterThan(1.4)
		expect(await placeIdle("l.0.0.0", {estimateMs: 100, startBy: 40})).to.equal("fast")
	})

	it("are chosen by speed where a task would be late on all", async () => {
		const {place} = await createWorld({slow: 1.6, fast: 0.6})
		expect(await place("j.0.0.0", {estimateMs: 100, startBy: -300})).to.equal("fast")
		const {place: placeLater} = await createWorld({slow: 1.6, fast: 0.6})
		expect(await placeLater("k.0.0.0", {estimateMs: 100, startBy: -1_000})).to.equal("fast")
	})

	it("cost nothing if a task ends in time there, and more the later it would be", () => {
		const due = {estimateMs: 100, startBy: 100}
		expect(speedCost(1.3, due, 0)).to.equal(0)
		expect(speedCost(1.6, due, 0)).to.be.greaterThan(0)
		expect(speedCost(1.6, due, 50)).to.be.greaterThan(speedCost(1.6, due, 0))
		expect(speedCost(30, due, 0)).to.be.lessThan(5)
	})

	it("have their waiting work and capacity scaled by speed", async () => {
		const full = {estimateMs: 1_000, startBy: 5_000}
		const waits: number[] = []
		const reported: number[] = []
		for (const slowness of [1, 2]) {
			const {place, placer} = await createWorld({e1: slowness, e2: slowness})
			for (let at = 0; at < 8; at++) await place(`j.0.0.${at}`, full)
			waits.push(placer.expectedWaitMs(Infinity))
			reported.push(placer.room().totalCpu)
		}
		expect(waits[1]! / waits[0]!).to.be.within(1.7, 2.1)
		expect(reported[0]! / reported[1]!).to.be.within(1.7, 2.1)
	})

	it("are recognised as slow from the progress of unfinished runs", async () => {
		// Three tasks have run for longer than their estimates with little progress.
		const {clock, orders, speeds, place} = await createWorld(
			{e1: 1},
			{cpu: 64_000, memoryMb: 1_000, accelerators: 0},
		)
		for (let at = 0; at < 3; at++)
			await place(`j.0.0.${at}`, {estimateMs: 200, startBy: 5_000, uselessAt: 60_000})
		for (orders.percent = 1; orders.percent < 10; orders.percent++) await clock.advance(50)
		expect(speeds.expectedSlowness("e1")).to.be.greaterThan(4)
	})

	/** The first second after a loss of all instances, at peak demand. */
	const CREST: ReplayScenario = {
		work: UNEVEN_WORK,
		executorsPerDomain: 18,
		jobsPerSecond: 230,
		lengthMs: 1_000,
		disturbances: [],
	}
	const knownSpeeds: ReplayScenario["openSpeedStore"] = (clock, executors) => {
		const speeds = createPersistentSpeeds(() => clock.now())
		const pairs = executors.map(({record: {id}, faults}) => [id, faults.slowness] as const)
		inheritSpeeds(speeds, Object.fromEntries(pairs))
		return {speeds, close: () => undefined}
	}
	const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8]

	async function replayAll(day: ReplayScenario): Promise<readonly ReplayResult[]> {
		const all: ReplayResult[] = []
		for (const seed of SEEDS) all.push(await replay(day, seed))
		for (const {doubled, overfilled} of all)
			expect({doubled, overfilled}).to.eql({doubled: 0, overfilled: 0})
		return all
	}

	const sumOf = (all: readonly ReplayResult[], figure: (one: ReplayResult) => number) =>
		all.reduce((sum, one) => sum + figure(one), 0)

	it("serve more jobs in time in the first second when their speeds are known", async () => {
		const learnt = await replayAll(CREST)
		const known = await replayAll({...CREST, openSpeedStore: knownSpeeds})
		for (const [name, all] of [
			["learnt", learnt],
			["known", known],
		] as const) {
			const text = (figure: (one: ReplayResult) => number) =>
				(sumOf(all, figure) / all.length).toFixed(3)
			const credit = text(({whole}) => whole)
			const shares = `in time ${text(({inTime}) => inTime)}, late ${text(({late}) => late)}`
			console.log(`        ${name}: credit ${credit}, ${shares}`)
		}
		expect(sumOf(known, ({inTime}) => inTime)).to.be.greaterThan(
			sumOf(learnt, ({inTime}) => inTime),
		)
		expect(sumOf(known, ({whole}) => whole)).to.be.greaterThan(sumOf(learnt, ({whole}) => whole))
	})
})
