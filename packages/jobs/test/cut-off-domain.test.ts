/**
 * A failure domain that is lost, or cut off with its placers at work, as seen by the one that takes its kept jobs over. Guards
 * against jobs that nobody runs any more, and against tasks that run in both, during the cut or once it has healed.
 */
import type {KeptJobRequest} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createCutWorld, type CutWorld, type CutWorldOptions} from "./support/cut-world.js"
import {between, createRandom, drawJob, drawOutcomes, MAX_ATTEMPTS} from "./support/drawn-jobs.js"
import {job, task} from "./support/keeper-world.js"
import {step} from "./support/records.js"

/** The loss counts as a disruption until the entries are gone (4.5 s); 4 s later all is calm, and 3 s more a job may wait. */
const MAX_AWAY_MS = 11_500
/** When another failure domain's claim is written, from the loss on. */
const CLAIMED_MS = 3_300
const ENTRY_TTL_MS = 4_500
/** A store that is away for this long is a usual disruption. */
const STORE_AWAY_MS = 4_500
const LASTING = {how: "failed", afterMs: Infinity, isLasting: true} as const
const lastingJob = () => job({steps: [step({count: 2, isLasting: true})]})

async function startWorld(options: CutWorldOptions = {}) {
	const world = createCutWorld(options)
	await world.clock.advance(2_500)
	return world
}

async function accept(world: CutWorld, request: KeptJobRequest, home = "a") {
	const reply = world.keeperOf("lost", home)?.accept(request)
	await world.clock.advance(100)
	expect((await reply)?.type).to.equal("accepted")
	return {request, acceptedAt: world.clock.now()}
}

/** Takes over while the entries of the executors are still listed; afterwards they lapse, unless they are left behind. */
async function takeOver(world: CutWorld, untilMs: number, areLeftBehind = false) {
	await world.clock.advance(CLAIMED_MS)
	world.takeOver()
	await world.clock.advance(ENTRY_TTL_MS - CLAIMED_MS)
	if (!areLeftBehind) world.listLost("none")
	await world.clock.advance(untilMs - ENTRY_TTL_MS)
}

const isAt = (home: string) => (executor: string) => executor.startsWith(`${home}-`)

describe("a failure domain that is lost", () => {
	// Kept jobs of a zone of which no executor answered were never run again.
	for (const areLeftBehind of [false, true])
		it(`has its kept jobs run elsewhere${areLeftBehind ? ", also when the entries of its executors stay" : ""}`, async () => {
			const world = await startWorld({outcomeOf: () => LASTING})
			const call = await accept(world, lastingJob())
			world.loseSide()
			await takeOver(world, MAX_AWAY_MS, areLeftBehind)
			for (const at of [0, 1]) expect(world.runningAt(task(at)).filter(isAt("b"))).to.have.length(1)
			expect(await world.breaks([call])).to.eql([])
		})

	it("has the kept jobs of its slices run elsewhere", async () => {
		const lostHomes = ["a", "a/slice-1"]
		const world = await startWorld({lostHomes, outcomeOf: () => LASTING})
		const id = "00000000000000bb"
		await accept(world, lastingJob())
		await accept(world, {...lastingJob(), id}, "a/slice-1")
		world.loseSide()
		await takeOver(world, MAX_AWAY_MS)
		for (const name of [task(0), task(1), task(0, id), task(1, id)])
			expect(world.runningAt(name).filter(isAt("b"))).to.have.length(1)
	})

	it("may come back with new executors", async () => {
		const world = await startWorld({outcomeOf: () => LASTING})
		const call = await accept(world, lastingJob())
		world.loseSide()
		await takeOver(world, 5_000)
		for (let at = 0; at < 2; at++) world.addExecutor("a")
		await world.clock.advance(15_000)
		for (const at of [0, 1]) expect(world.runningAt(task(at))).to.have.length(1)
		expect(await world.breaks([call])).to.eql([])
	})

	// Jobs left one after another, each after two calls to the store.
	it("has many kept jobs run elsewhere together", async () => {
		const world = await startWorld({outcomeOf: () => ({how: "done", afterMs: 30})})
		const small = step({count: 1, need: {cpu: 100, memoryMb: 1, accelerators: 0}, after: []})
		const calls = []
		world.cut.fromExecutors.add("a")
		for (let at = 0; at < 200; at++)
			calls.push(await accept(world, job({id: at.toString(16).padStart(16, "0"), steps: [small]})))
		world.loseSide()
		await takeOver(world, MAX_AWAY_MS)
		const waiting = calls.filter(({request}) => world.runsOf(`${request.id}.0.0.0`).length === 0)
		expect(waiting).to.have.length(0)
	})
})

describe("a failure domain that is cut off and at work", () => {
	// The placer there renewed its runs for as long as its executors obeyed it, while another domain started them again.
	it("ends its kept runs before they start elsewhere, and starts none once the cut has healed", async () => {
		const world = await startWorld({outcomeOf: () => LASTING})
		const call = await accept(world, lastingJob())
		world.setCut(true)
		await takeOver(world, MAX_AWAY_MS)
		for (const at of [0, 1]) expect(world.runningAt(task(at)).filter(isAt("b"))).to.have.length(1)
		world.setCut(false)
		world.listLost("all")
		await world.clock.advance(8_000)
		for (const at of [0, 1]) expect(world.runningAt(task(at))).to.have.length(1)
		expect(await world.breaks([call])).to.eql([])
	})

	// An end that nobody recorded was acknowledged once the cut had healed, though the task had run again meanwhile.
	it("lets a lease lapse after an end that it could not record", async () => {
		for (const afterMs of [2_000, 3_500, 5_000, 7_000]) {
			const world = await startWorld({outcomeOf: () => ({how: "done", afterMs})})
			// Their callers are inside the cut, so that their leases are renewed all the time.
			world.startNeighbours("a", 2)
			const call = await accept(world, job({steps: [step({count: 2})]}))
			world.setCut(true)
			await takeOver(world, 12_000)
			world.setCut(false)
			world.listLost("all")
			await world.clock.advance(12_000)
			expect(await world.breaks([call]), `after ${afterMs} ms`).to.eql([])
		}
	})

	it("serves its own callers again after that lapse", async () => {
		const world = await startWorld({outcomeOf: () => ({how: "done", afterMs: 2_000})})
		await accept(world, job({steps: [step({count: 2})]}))
		world.setCut(true)
		await world.clock.advance(10_000)
		world.startNeighbours("a", 2)
		await world.clock.advance(3_000)
		expect(world.neighboursRunning()).to.equal(2)
	})

	it("goes on where it was when it heals before its jobs have begun elsewhere", async () => {
		const world = await startWorld({outcomeOf: () => LASTING})
		const call = await accept(world, lastingJob())
		world.setCut(true)
		await takeOver(world, ENTRY_TTL_MS)
		world.setCut(false)
		world.listLost("all")
		await world.clock.advance(8_000)
		for (const at of [0, 1]) expect(world.runsOf(task(at))).to.have.length(1)
		expect(await world.breaks([call])).to.eql([])
	})

	// A successor took the domain from the placer that had just claimed it, and presumed that no other run was left.
	it("is not handed on before its kept runs have certainly ended", async () => {
		const world = await startWorld({outcomeOf: () => LASTING})
		await accept(world, lastingJob())
		world.setCut(true)
		await takeOver(world, ENTRY_TTL_MS)
		const isRunningThere = () => world.runningAt(task(0)).some(isAt("a"))
		const placer = world.placerOf("other", "a")
		for (let ms = 0; ms < MAX_AWAY_MS && !placer?.mayHandOver(); ms += 50) {
			expect(world.runningAt(task(0)).filter(isAt("b"))).to.have.length(0)
			await world.clock.advance(50)
		}
		expect([placer?.mayHandOver(), isRunningThere()]).to.eql([true, false])
		expect(world.placerOf("lost", "a")?.mayHandOver()).to.equal(true)
	})

	it("starts nothing again when its placer was frozen meanwhile", async () => {
		for (const frozenMs of [2_000, 5_000, 8_000, 12_000]) {
			const world = await startWorld({outcomeOf: () => LASTING, lateMs: () => 4_000})
			const call = await accept(world, lastingJob())
			world.freeze("lost", frozenMs)
			world.setCut(true)
			await takeOver(world, 12_000)
			world.setCut(false)
			world.listLost("all")
			await world.clock.advance(10_000)
			expect(await world.breaks([call]), `frozen for ${frozenMs} ms`).to.eql([])
		}
	})
})

describe("a store that is away", () => {
	// A bound for cut-off placers must not end work that nobody else can begin.
	it("ends no kept run, since nobody can take over meanwhile", async () => {
		const world = await startWorld({outcomeOf: () => LASTING})
		await accept(world, lastingJob())
		await world.clock.advance(3_000)
		world.fake.isAway = true
		await world.clock.advance(STORE_AWAY_MS)
		world.fake.isAway = false
		await world.clock.advance(5_000)
		for (const at of [0, 1]) expect(world.runsOf(task(at))).to.have.length(1)
	})

	it("has its kept runs start again after a long time", async () => {
		const world = await startWorld({outcomeOf: () => LASTING})
		const call = await accept(world, lastingJob())
		world.fake.isAway = true
		await world.clock.advance(15_000)
		world.fake.isAway = false
		await world.clock.advance(4_000)
		for (const at of [0, 1]) expect(world.runningAt(task(at)).filter(isAt("a"))).to.have.length(1)
		expect(await world.breaks([call])).to.eql([])
	})
})

/** A play of one seed: when what is lost, cut, frozen or away, and when another domain takes over, has no order. */
async function play(seed: number) {
	const random = createRandom(seed)
	const draw = (least: number, most: number) => between(random, least, most)
	const jobs = new Map<string, KeptJobRequest>()
	const isSliced = random() < 0.3
	const lostHomes = isSliced ? ["a", "a/slice-1"] : ["a"]
	const world = createCutWorld({
		lostHomes,
		executorsPerHome: 3,
		maxAttempts: MAX_ATTEMPTS,
		outcomeOf: drawOutcomes(seed, jobs),
		lateMs: () => (random() < 0.2 ? draw(500, 8_000) : undefined),
	})
	const {clock} = world
	const calls: {request: KeptJobRequest; acceptedAt: number | undefined}[] = []
	await clock.advance(2_500)
	for (let at = 0; at < 8; at++) {
		const id = (0xcd0000 + seed * 100 + at).toString(16).padStart(16, "0")
		const drawn = drawJob(random, id)
		// No executor of the other side has the label.
		const request = {...drawn, steps: drawn.steps.map(one => ({...one, label: undefined}))}
		jobs.set(id, request)
		const home = lostHomes[at % lostHomes.length]
		clock.schedule(draw(0, 4_000), () => {
			void world
				.keeperOf("lost", home as string)
				?.accept(request)
				.then(({type}) => {
					const acceptedAt = type === "accepted" ? clock.now() : undefined
					if (type !== "refused") calls.push({request, acceptedAt})
				})
		})
	}
	if (random() < 0.5) for (const home of lostHomes) world.startNeighbours(home, 3)
	const isLoss = random() < 0.3
	const cutAt = draw(2_000, 5_000)
	const claimAt = cutAt + draw(50, 6_000)
	const healAt = cutAt + draw(2_000, 14_000)
	const at = (ms: number, change: () => void) => void clock.schedule(ms, change)
	at(cutAt, () => (isLoss ? world.loseSide() : world.setCut(true)))
	at(claimAt, () => world.takeOver())
	// Entries are back once the executors reach the store again.
	const doLapse = random() < 0.7 && cutAt + ENTRY_TTL_MS < healAt
	if (doLapse) at(cutAt + ENTRY_TTL_MS, () => world.listLost("none"))
	at(healAt, () => {
		if (isLoss) for (const home of lostHomes) for (let n = 0; n < 3; n++) world.addExecutor(home)
		else world.setCut(false)
		world.listLost("all")
	})
	if (random() < 0.4) at(draw(0, claimAt), () => world.freeze("lost", draw(500, 9_000)))
	if (random() < 0.3)
		at(draw(claimAt, healAt + 2_000), () => world.freeze("other", draw(300, 4_000)))
	if (random() < 0.4) {
		const awayAt = draw(0, healAt)
		at(awayAt, () => void (world.fake.isAway = true))
		at(awayAt + draw(500, 9_000), () => void (world.fake.isAway = false))
	}
	if (random() < 0.3) {
		// One executor that its own placer cannot reach.
		const id = `lost>a-${draw(1, 3)}`
		const from = draw(0, cutAt)
		at(from, () => world.cut.fromExecutors.add(id))
		at(from + draw(500, 9_000), () => world.cut.fromExecutors.delete(id))
	}
	await clock.advance(60_000)
	const breaks = await world.breaks(calls)
	world.close()
	return {breaks, count: calls.length}
}

describe("a failure domain that is lost or cut off, drawn", () => {
	const [first = 1, last = 40] = (process.env["COTTONWOOD_SEEDS"] ?? "")
		.split("-")
		.filter(Boolean)
		.map(Number)
	for (let seed = first; seed <= last; seed++)
		it(`keeps the rules under seed ${seed}`, async () => {
			const {breaks, count} = await play(seed)
			expect(count).to.be.greaterThan(0)
			expect(breaks).to.eql([])
		})
})
