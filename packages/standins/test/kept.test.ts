/**
 * Kept jobs on real processes against the platform stand-in.
 */
import {endEdge, askJob, handIn} from "@cottonwood/standins"
import type {Edge, EdgeFleet, LeasedPlatform} from "@cottonwood/standins"
import {expect} from "chai"
import {startLeasedWorld, type LeasedTestWorld} from "./support/leased-world.js"

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))
const KEPT = {"best-effort": false}
/** Of the queue that the stand-in configures. */
const MAX_ATTEMPTS = 2

let serial = 0
const newId = () => (++serial + 0xdef000).toString(16).padStart(16, "0")

describe("kept jobs on the users' platform", () => {
	let world: LeasedTestWorld
	let platform: LeasedPlatform
	let fleet: EdgeFleet

	beforeEach(async () => {
		world = await startLeasedWorld()
		;({platform, fleet} = world)
	})

	afterEach(() => world.close())

	const edgeOf = (name: string) => world.edgeOf(name)
	const placerOf = (domain: string) => world.placerOf(domain)

	/** Submits a kept job until it is accepted. */
	async function accept(edge: Edge, id: string, options: Parameters<typeof handIn>[2] = {}) {
		for (let tries = 0; tries < 20; tries++) {
			const answer = await handIn(edge, id, {...options, body: KEPT})
			if (answer.status === 200) return
			expect(answer.status).to.be.oneOf([503, 504])
			await sleep(300)
		}
		throw new Error(`${id} was not accepted`)
	}

	async function stateOf(edge: Edge, id: string): Promise<string | undefined> {
		return ((await askJob(edge, id)).body as {state?: string} | undefined)?.state
	}

	async function untilState(edge: Edge, id: string, state: string) {
		for (let tries = 0; tries < 200; tries++) {
			if ((await stateOf(edge, id)) === state) return
			await sleep(50)
		}
		throw new Error(`${id} is ${await stateOf(edge, id)}, not ${state}`)
	}

	it("runs an accepted job to its end and reports its state at every instance", async () => {
		const id = newId()
		await accept(edgeOf("a-1"), id, {count: 4, spec: {workMs: 300}})
		expect(await stateOf(edgeOf("b-1"), id)).to.be.oneOf(["pending", "running"])
		for (const {name} of fleet.edges) await untilState(edgeOf(name), id, "completed")
		for (let at = 0; at < 4; at++) expect(platform.startsOf(`${id}.0.0.${at}`)).to.equal(1)
		expect((await askJob(edgeOf("a-1"), newId())).status).to.equal(410)
		expect(platform.violations).to.eql([])
	})

	it("runs one job for one id submitted at every instance at once, and again after its end", async () => {
		const id = newId()
		await Promise.all(fleet.edges.map(edge => accept(edge, id, {count: 2})))
		await untilState(edgeOf("a-1"), id, "completed")
		await Promise.all(fleet.edges.map(edge => accept(edge, id, {count: 2})))
		await sleep(400)
		for (let at = 0; at < 2; at++) expect(platform.startsOf(`${id}.0.0.${at}`)).to.equal(1)
	})

	it("finishes accepted jobs after every instance was killed at once", async () => {
		const ids = Array.from({length: 6}, newId)
		const first = [...fleet.edges]
		await Promise.all(
			ids.map((id, at) =>
				accept(first[at % 3] as Edge, id, {count: 2, spec: {workMs: 200 + at * 400}}),
			),
		)
		await sleep(300)
		for (const edge of first) endEdge(edge, "SIGKILL")
		await sleep(300)
		await Promise.all(first.map(edge => fleet.restart(edge)))
		for (const id of ids) await untilState(edgeOf("b-1"), id, "completed")
		expect(platform.violations).to.eql([])
	}).timeout(60_000)

	it("does not rerun a completed job after its placer was killed", async () => {
		const id = newId()
		await accept(edgeOf("a-1"), id, {count: 2, spec: {workMs: 100}})
		await untilState(edgeOf("a-1"), id, "completed")
		const victims = ["a", "b"].map(placerOf)
		for (const name of victims) endEdge(edgeOf(name), "SIGKILL")
		await sleep(300)
		await Promise.all(victims.map(name => fleet.restart(edgeOf(name))))
		await sleep(3_000)
		for (let at = 0; at < 2; at++) expect(platform.startsOf(`${id}.0.0.${at}`)).to.equal(1)
		expect(await stateOf(edgeOf("a-2"), id)).to.equal("completed")
	})

	it("hands kept jobs over on a planned stop without ending their runs", async () => {
		const id = newId()
		const edge = edgeOf(placerOf("a"))
		await accept(edge, id, {count: 2, spec: {workMs: 2_500}})
		await sleep(200)
		endEdge(edge, "SIGTERM")
		expect(await edge.exited).to.equal(0)
		await untilState(edgeOf("b-1"), id, "completed")
		for (let at = 0; at < 2; at++) expect(platform.startsOf(`${id}.0.0.${at}`)).to.equal(1)
		expect(platform.violations).to.eql([])
	})

	it("cancels at any instance, reports the state and stops all runs", async () => {
		const id = newId()
		await accept(edgeOf("a-1"), id, {count: 3, spec: {workMs: 30_000}})
		await sleep(200)
		expect((await askJob(edgeOf("b-1"), id, "DELETE")).status).to.equal(200)
		await sleep(400)
		expect(await stateOf(edgeOf("a-2"), id)).to.equal("cancelled")
		const running = platform.executors.map(({executor}) => executor.runningCount())
		expect(running.every(count => count === 0)).to.equal(true)
		expect((await askJob(edgeOf("b-1"), newId(), "DELETE")).status).to.equal(410)
	})

	it("refuses a kept job while the store is unavailable, and never runs it", async () => {
		platform.store.faults.down = "busy"
		await sleep(1_000)
		const id = newId()
		const answer = await handIn(edgeOf("a-1"), id, {body: KEPT})
		expect(answer.status).to.equal(503)
		platform.store.faults.down = undefined
		await sleep(1_500)
		expect(platform.startsOf(`${id}.0.0.0`)).to.equal(0)
	})

	// A placer that was killed right after its write of a failed attempt left the end at its executor, and the next placer counted it again.
	it("counts a failed attempt once when its placer is killed right after the write", async () => {
		const id = newId()
		const killed: string[] = []
		const {onWrite} = platform.store
		platform.store.onWrite = (key, value) => {
			onWrite(key, value)
			const failures = (value as {failures?: Record<string, number>} | undefined)?.failures
			if (key !== `job/open/${id}` || !failures?.["0.0.0"] || killed.length > 0) return
			const placer = placerOf((value as {home: string}).home)
			killed.push(placer)
			endEdge(edgeOf(placer), "SIGKILL")
		}
		await accept(edgeOf("a-1"), id, {spec: {workMs: 100, fails: true}})
		await sleep(500)
		expect(killed).to.have.length(1)
		await untilState(edgeOf(killed.includes("b-1") ? "a-1" : "b-1"), id, "failed")
		expect(platform.startsOf(`${id}.0.0.0`)).to.equal(MAX_ATTEMPTS)
		expect(platform.violations).to.eql([])
	})
})
