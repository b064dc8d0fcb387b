/**
 * Jobs on real processes against the platform stand-in.
 */
import {endEdge, handIn, isReady} from "@cottonwood/standins"
import type {Edge, EdgeFleet, LeasedPlatform} from "@cottonwood/standins"
import {expect} from "chai"
import {startLeasedWorld, type LeasedTestWorld} from "./support/leased-world.js"

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

/** Time limit for a log line, shorter than the 800 ms of the running tasks. */
const HEARD_WITHIN_MS = 500

/** Waits until an instance has logged a line of the kind, and fails after `withinMs`. */
async function untilSaid(edge: Edge, kind: string, withinMs: number) {
	const until = performance.now() + withinMs
	const isSaid = () => edge.lines.some(line => line["kind"] === kind)
	while (!isSaid() && performance.now() < until) await sleep(5)
	expect(isSaid()).to.equal(true)
}

let serial = 0
const newId = () => (++serial + 0xabc000).toString(16).padStart(16, "0")

describe("jobs on the users' platform", () => {
	let world: LeasedTestWorld
	let platform: LeasedPlatform
	let fleet: EdgeFleet

	beforeEach(async () => {
		world = await startLeasedWorld()
		;({platform, fleet} = world)
	})

	afterEach(() => world.close())

	const edgeOf = (name: string) => world.edgeOf(name)
	const anyEdge = (at: number) => fleet.edges[at % fleet.edges.length]!
	const placerOf = (domain: string) => world.placerOf(domain)
	/** Submits a job, and again after each 503, for up to 20 seconds. */
	async function complete(...[edge, id, options]: Parameters<typeof handIn>) {
		const until = performance.now() + 20_000
		for (;;) {
			const answer = await handIn(edge, id, options)
			if (answer.status !== 503 || performance.now() > until) return answer
			expect(Number(answer.retryAfter)).to.be.at.least(1)
			await sleep(Number(answer.retryAfter) * 1_000)
		}
	}
	const linesOf = (id: string) =>
		fleet.edges.flatMap(edge => edge.lines).filter(line => line["job"] === id)

	it("runs each task once and answers when all have ended", async () => {
		const ids = Array.from({length: 12}, newId)
		const pending = []
		for (const [at, id] of ids.entries()) {
			pending.push(complete(anyEdge(at), id, {count: 3}))
			await sleep(60)
		}
		const answers = await Promise.all(pending)
		for (const answer of answers) expect(answer).to.deep.include({status: 200})
		for (const id of ids)
			for (let at = 0; at < 3; at++) expect(platform.startsOf(`${id}.0.0.${at}`)).to.equal(1)
		expect(platform.violations).to.eql([])
	})

	it("uses the other domain's capacity for a job too large for its own", async () => {
		const id = newId()
		const answer = await complete(edgeOf("a-1"), id, {count: 12, spec: {workMs: 400}})
		expect(answer.status).to.equal(200)
		await sleep(300)
		const handed = linesOf(id).filter(line => line["kind"] === "task_handed_over")
		expect(handed.length).to.be.greaterThan(0)
		expect(platform.violations).to.eql([])
	})

	it("refuses unsupported and malformed jobs and never runs them", async () => {
		const scheduled = newId()
		const answer = await handIn(edgeOf("a-1"), scheduled, {body: {times: 3}})
		expect(answer.status).to.equal(503)
		expect(answer.retryAfter).to.not.equal(undefined)
		await sleep(300)
		expect(platform.startsOf(`${scheduled}.0.0.0`)).to.equal(0)
		const malformed = await handIn(edgeOf("a-1"), newId(), {body: {steps: "none"}})
		expect(malformed.status).to.equal(400)
	})

	it("keeps serving while the store is unavailable", async () => {
		platform.store.faults.down = "silent"
		const answers = []
		for (let at = 0; at < 20; at++) {
			answers.push(complete(anyEdge(at), newId(), {count: 2}))
			await sleep(150)
		}
		for (const answer of await Promise.all(answers)) expect(answer.status).to.equal(200)
		platform.store.faults.down = undefined
	})

	it("another instance takes over after a placer is killed, and nothing runs twice", async () => {
		const victim = edgeOf(placerOf("a"))
		const other = fleet.edges.find(edge => edge.failureDomain === "a" && edge !== victim)!
		const early = Array.from({length: 6}, newId)
		const pending = early.map(id => handIn(other, id, {count: 2, spec: {workMs: 600}}))
		await sleep(150)
		endEdge(victim, "SIGKILL")
		const answers = await Promise.all(pending)
		for (const {status} of answers) expect(status).to.be.oneOf([200, 502, 503])
		for (let tries = 0; tries < 100 && placerOf("a") !== other.name; tries++) await sleep(100)
		expect(placerOf("a")).to.equal(other.name)
		// The callers of lost jobs resubmit the same ids.
		const again = await Promise.all(early.map(id => complete(other, id, {count: 2})))
		for (const {status} of again) expect(status).to.equal(200)
		expect(platform.violations).to.eql([])
	})

	it("starts a task once when executors carry out starts late", async () => {
		for (const {executor} of platform.executors)
			executor.faults.lateStarts = {count: 2, delayMs: 2_000}
		const ids = Array.from({length: 8}, newId)
		const answers = await Promise.all(ids.map((id, at) => complete(anyEdge(at), id, {count: 2})))
		for (const {status} of answers) expect(status).to.equal(200)
		await sleep(2_500)
		for (const id of ids) expect(platform.startsOf(`${id}.0.0.0`)).to.equal(1)
		expect(platform.violations).to.eql([])
	})

	it("reruns a crashed executor's tasks elsewhere", async () => {
		const id = newId()
		const pending = complete(edgeOf("b-1"), id, {count: 6, spec: {workMs: 500}})
		await sleep(200)
		const busy = platform.executors.find(({executor}) => executor.runningCount() > 0)!
		platform.restart(busy)
		expect((await pending).status).to.equal(200)
		expect(platform.violations).to.eql([])
	})

	it("sets an executor aside that fails everything", async () => {
		const bad = platform.executors[0]!.executor
		bad.faults.failAll = true
		const statuses: unknown[] = []
		for (let at = 0; at < 30; at++) {
			const answer = await complete(anyEdge(at), newId(), {count: 2, spec: {workMs: 20}})
			statuses.push((answer.body as {state?: string}).state)
		}
		expect(statuses.filter(state => state === "completed").length).to.be.greaterThan(25)
	})

	it("stops the tasks of a disconnected caller", async () => {
		const leaving = new AbortController()
		const id = newId()
		const pending = handIn(edgeOf("a-2"), id, {
			count: 4,
			spec: {workMs: 2_000},
			signal: leaving.signal,
		}).catch(() => undefined)
		await sleep(300)
		leaving.abort()
		await pending
		await sleep(500)
		const running = platform.executors.map(({executor}) => executor.runningCount())
		expect(running.every(count => count === 0)).to.equal(true)
	})

	it("answers running jobs before a planned stop, and is not ready meanwhile", async () => {
		const edge = edgeOf(placerOf("a"))
		const pending = handIn(edge, newId(), {count: 2, spec: {workMs: 800}})
		await sleep(200)
		endEdge(edge, "SIGTERM")
		// The instance stays ready until it has handled the signal.
		await untilSaid(edge, "leaving", HEARD_WITHIN_MS)
		expect(await isReady(edge)).to.equal(false)
		expect((await pending).status).to.equal(200)
		expect(await edge.exited).to.equal(0)
	})

	it("hands its runs over when executors leave the successor's first orders unanswered", async () => {
		const placer = placerOf("a")
		const id = newId()
		for (const {executor} of platform.executors) {
			let unanswered = 0
			executor.faults.lateOrders = fence => (fence > 1 && unanswered++ < 2 ? 2_000 : undefined)
		}
		const caller = edgeOf(placer === "a-1" ? "a-2" : "a-1")
		const pending = handIn(caller, id, {count: 4, spec: {workMs: 1_500}})
		await sleep(400)
		endEdge(edgeOf(placer), "SIGTERM")
		expect((await pending).status).to.equal(200)
		const starts = [0, 1, 2, 3].map(at => platform.startsOf(`${id}.0.0.${at}`))
		expect(starts).to.eql([1, 1, 1, 1])
		expect(platform.violations).to.eql([])
	})

	it("applies a new configuration and refuses a removed queue", async () => {
		platform.putConfig(2, {routes: []})
		await sleep(500)
		expect((await handIn(edgeOf("a-1"), newId())).status).to.equal(404)
		platform.putConfig(5)
		await sleep(500)
		expect((await handIn(edgeOf("b-1"), newId())).status).to.equal(200)
	})

	it("applies a configuration that was written when the store lost its history", async () => {
		platform.putConfig(2, {routes: []})
		platform.store.forgetHistory()
		await sleep(800)
		expect((await handIn(edgeOf("a-1"), newId())).status).to.equal(404)
	})

	it("logs each decision under the job's id", async () => {
		const id = newId()
		await complete(edgeOf("a-2"), id, {count: 2})
		await sleep(300)
		const kinds = linesOf(id).map(line => line["kind"])
		for (const kind of ["task_started", "run_ended", "placer_asked", "job_completed"])
			expect(kinds).to.include(kind)
		for (const line of linesOf(id)) expect(JSON.stringify(line)).to.not.include("workMs")
	})
})
