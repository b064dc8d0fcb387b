/**
 * The delivery guarantees on real processes: each test injects a failure and checks the recorded starts.
 */
import {
	call,
	countStarts,
	runSoak,
	startFleet,
	submitJob,
	submitRequest,
	waitFor,
	QUICK_TIMINGS,
	type FaultName,
	type Fleet,
	type FleetShape,
	type Start,
} from "@cottonwood/standins"
import {expect} from "chai"
import {randomUUID} from "node:crypto"
import {request} from "undici"

const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms))

const SHAPE: Partial<FleetShape> = {
	isJudged: true,
	hasLinks: true,
	logLevel: "warn",
	timings: QUICK_TIMINGS,
}

async function withFleet(shape: Partial<FleetShape>, run: (fleet: Fleet) => Promise<void>) {
	const fleet = await startFleet({...SHAPE, ...shape})
	try {
		await run(fleet)
	} finally {
		await fleet.stop()
	}
}

function startsOf(starts: readonly Start[], id: string): readonly number[] {
	const counts = countStarts(starts.filter(start => start.submission.endsWith(`/${id}`)))
	return [...counts.values()]
}

async function put(url: string, body: unknown) {
	const res = await request(url, {
		method: "PUT",
		body: JSON.stringify(body),
		headers: {"content-type": "application/json"},
	})
	await res.body.dump()
}

async function counters(url: string): Promise<Readonly<Record<string, number>>> {
	const res = await request(`${url}/v1/counters`)
	return ((await res.body.json()) as {counters: Record<string, number>}).counters
}

async function countersOf(fleet: Fleet, name: string): Promise<number> {
	let sum = 0
	for (const entry of fleet.entries) sum += (await counters(entry.url))[name] ?? 0
	return sum
}

const ONCE = {endpoint: "inventory", payload: {ms: 20}}

describe("under failures, no task starts twice and every refusal is true", function () {
	this.timeout(120_000)
	const cases: readonly {readonly name: string; readonly faults: readonly FaultName[]}[] = [
		{name: "entry instances are killed and frozen", faults: ["kill entry", "freeze entry"]},
		{
			name: "the store is down, slow, and loses answers",
			faults: ["store loses answers", "store down", "store slow"],
		},
		{
			name: "failure domains are cut, one way and both",
			faults: ["cut from platform", "cut to peers", "cut from peers"],
		},
	]
	cases.forEach(({name, faults}, index) => {
		it(`when ${name}`, async () => {
			const verdict = await runSoak({
				seed: 100 + index,
				faults,
				faultMs: 2_500,
			})
			console.log(`        ${JSON.stringify(verdict)}`)
			expect(verdict.violations).to.deep.equal([])
			expect(verdict.complete).to.be.greaterThan(0)
		})
	})
})

describe("a resubmission", function () {
	this.timeout(60_000)

	it("joins the first submission at any instance, and another body is refused", () =>
		withFleet({}, async fleet => {
			const id = randomUUID()
			const answers = await Promise.all(
				fleet.entries.map(entry => submitRequest(entry.url, ONCE, {id})),
			)
			expect(new Set(answers.map(answer => JSON.stringify(answer.body))).size).to.equal(1)
			expect(startsOf(fleet.starts(), id)).to.deep.equal([1])
			const other = {...ONCE, payload: {ms: 21}}
			const reused = await submitRequest(fleet.entries[0]!.url, other, {id})
			expect(reused.body).to.include({kind: "id_reused", ran: "not run"})
			expect(reused.status).to.equal(422)
		}))

	it("gets the recorded answer or a true outcome after the owner was killed", () =>
		withFleet({}, async fleet => {
			const ids = Array.from({length: 24}, () => randomUUID())
			const [first, second] = fleet.entries
			await Promise.all(ids.map(id => submitRequest(first!.url, ONCE, {id})))
			await sleep(800)
			second!.process.signal("SIGKILL")
			await second!.process.exited
			const again = await Promise.all(ids.map(id => submitRequest(first!.url, ONCE, {id})))
			expect(again.map(answer => answer.body.status)).to.deep.equal(ids.map(() => "complete"))
			for (const id of ids) expect(startsOf(fleet.starts(), id)).to.deep.equal([1])
		}))
})

describe("a job", function () {
	this.timeout(60_000)
	const job = (count: number, ms: number, extra: object = {}) => ({
		tasks: Array.from({length: count}, (_, value) => ({
			kind: "check",
			payload: {ms, value},
			...extra,
		})),
	})

	it("fails as a whole, naming task and cause, when a worker dies while it runs", () =>
		withFleet({workersPerDomain: 1, failureDomains: ["fd1"], entriesPerDomain: 2}, async fleet => {
			const id = randomUUID()
			const answer = submitJob(fleet.entries[0]!.url, job(10, 1_500), {id})
			await waitFor("the tasks to start", () => startsOf(fleet.starts(), id).length === 10)
			fleet.workers[0]!.signal("SIGKILL")
			const {body, status} = await answer
			expect(status).to.equal(409)
			expect(body.kind).to.equal("outcome_unknown")
			expect(body.value).to.equal(undefined)
			expect(body.detail).to.match(/^task \d+: .*fd1-worker-1/)
		}))

	it("that is repeatable completes although a worker dies", () =>
		withFleet({workersPerDomain: 3, failureDomains: ["fd1"]}, async fleet => {
			const id = randomUUID()
			const answer = submitJob(fleet.entries[0]!.url, job(12, 800, {repeatable: true}), {id})
			await waitFor("the tasks to start", () => startsOf(fleet.starts(), id).length === 12)
			fleet.workers[0]!.signal("SIGKILL")
			const {body} = await answer
			expect(body.status, JSON.stringify(body)).to.equal("complete")
			expect(body.value).to.deep.equal(Array.from({length: 12}, (_, i) => i))
		}))

	it("is answered as failed when one task fails, and its other tasks are stopped", () =>
		withFleet({failureDomains: ["fd1"]}, async fleet => {
			const tasks = job(5, 3_000).tasks
			const failing = {tasks: [...tasks, {kind: "check", payload: {ms: 50, fail: true}}]}
			const {body} = await submitJob(fleet.entries[0]!.url, failing)
			expect(body).to.include({kind: "task_failed", ran: "failed"})
			expect(body.detail).to.match(/^task 5: /)
		}))

	it("that is cancelled releases its slots and reports its outcome", () =>
		withFleet({failureDomains: ["fd1"]}, async fleet => {
			const [entry, other] = fleet.entries
			const id = randomUUID()
			const answer = submitJob(entry!.url, job(20, 10_000), {id})
			await waitFor("the tasks to start", () => startsOf(fleet.starts(), id).length === 20)
			await call("DELETE", `${other!.url}/v1/submissions/${id}`, undefined)
			const {body} = await answer
			expect(body).to.include({kind: "cancelled", ran: "failed"})
			const next = await submitJob(other!.url, job(20, 20))
			expect(next.body.status).to.equal("complete")
		}))
})

describe("an endpoint's answer", function () {
	this.timeout(60_000)
	for (const answer of ["truncated", "crossed", "cut"] as const) {
		it(`that is ${answer} is rejected, and the request does not run again`, () =>
			withFleet(
				{failureDomains: ["fd1"], executorsPerDomain: 1, entriesPerDomain: 1},
				async fleet => {
					const executor = `http://127.0.0.1:${fleet.executors[0]!.port}`
					await put(`${executor}/behavior`, {answer})
					const id = randomUUID()
					const {body} = await submitRequest(fleet.entries[0]!.url, ONCE, {id})
					expect(body).to.include({kind: "outcome_unknown", ran: "unknown"})
					expect(startsOf(fleet.starts(), id)).to.deep.equal([1])
				},
			))
	}
})

describe("a leaving endpoint", function () {
	this.timeout(60_000)
	for (const quiet of [true, false]) {
		const source = quiet ? "its own refusal" : "the list"
		it(`gets no new requests once ${source} reports that it is leaving`, () =>
			withFleet({failureDomains: ["fd1"], executorsPerDomain: 2}, async fleet => {
				const leaving = `http://127.0.0.1:${fleet.executors[0]!.port}`
				const send = (count: number) =>
					Promise.all(
						Array.from({length: count}, (_, i) =>
							submitRequest(fleet.entries[i % 2]!.url, {...ONCE, repeatable: true}),
						),
					)
				await send(20)
				const res = await request(`${leaving}/leave?quiet=${quiet}`, {method: "POST"})
				await res.body.dump()
				const answers = await send(40)
				expect(answers.every(answer => answer.status === 200)).to.equal(true)
				await sleep(3_000)
				const before = await statsOf(leaving)
				await send(40)
				const after = await statsOf(leaving)
				expect(after.starts).to.equal(before.starts)
				expect(after.refusedLeaving).to.equal(before.refusedLeaving)
			}))
	}
})

async function statsOf(url: string) {
	const res = await request(`${url}/stats`)
	return (await res.body.json()) as {starts: number; refusedLeaving: number; busy: number}
}

describe("a planned stop", function () {
	this.timeout(90_000)

	it("of each instance in turn interrupts and refuses no request", () =>
		withFleet({}, async fleet => {
			let isOver = false
			const stopping = new Set<string>()
			const bad: string[] = []
			let answered = 0
			const caller = async (index: number) => {
				while (!isOver) {
					// Like a load balancer, sends only to instances that report ready.
					const ready = fleet.entries.filter(entry => !stopping.has(entry.name))
					const entry = ready[index++ % ready.length]!
					const id = randomUUID()
					const body = {...ONCE, repeatable: index % 2 === 0}
					const answer = await submitRequest(entry.url, body, {id}).catch(
						(error: Error) => error.message,
					)
					answered++
					if (typeof answer === "string" || answer.status !== 200) {
						bad.push(JSON.stringify(typeof answer === "string" ? answer : answer.body))
					}
				}
			}
			const callers = Array.from({length: 8}, (_, i) => caller(i))
			for (const entry of fleet.entries) {
				const old = entry.process
				old.signal("SIGTERM")
				await waitFor(`${entry.name} to report not ready`, async () => {
					const res = await request(`${entry.url}/readyz`).catch(() => undefined)
					await res?.body.dump()
					return res?.statusCode !== 200
				})
				stopping.add(entry.name)
				expect(await old.exited).to.equal(0)
				await fleet.restartEntry(entry.name)
				await fleet.waitReady()
				stopping.delete(entry.name)
			}
			isOver = true
			await Promise.all(callers)
			console.log(`        ${answered} answers`)
			expect(bad).to.deep.equal([])
		}))
})

describe("service during network cuts", function () {
	this.timeout(60_000)

	it("runs repeatable requests without the store and truthfully refuses the others", () =>
		withFleet({}, async fleet => {
			await fleet.setFaults({down: true})
			await sleep(3_000)
			const answers = await Promise.all(
				fleet.entries.map(entry => submitRequest(entry.url, {...ONCE, repeatable: true})),
			)
			expect(answers.map(answer => answer.status)).to.deep.equal(fleet.entries.map(() => 200))
			const id = randomUUID()
			const refused = await submitRequest(fleet.entries[0]!.url, ONCE, {id})
			expect(refused.body).to.include({kind: "store_unavailable", ran: "unknown", next: "same id"})
			expect(refused.headers["retry-after"]).to.not.equal(undefined)
			expect(startsOf(fleet.starts(), id)).to.deep.equal([])
			await fleet.setFaults({})
			await waitFor("the id to run", async () => {
				const answer = await submitRequest(fleet.entries[1]!.url, ONCE, {id})
				return answer.body.status === "complete"
			})
			expect(startsOf(fleet.starts(), id)).to.deep.equal([1])
		}))

	it("runs repeatable requests in a failure domain without store and peers", () =>
		withFleet({}, async fleet => {
			fleet.cut("fd2", ["platform", "to peers", "from peers"])
			await sleep(3_000)
			const cutOff = fleet.entries.filter(entry => entry.failureDomain === "fd2")
			for (const entry of cutOff) {
				const answer = await submitRequest(entry.url, {...ONCE, repeatable: true})
				expect(answer.status).to.equal(200)
			}
			const others = fleet.entries.filter(entry => entry.failureDomain === "fd1")
			await waitFor("the other domain to own all shards", async () => {
				const answers = await Promise.all(
					Array.from({length: 12}, () => submitRequest(others[0]!.url, ONCE, {id: randomUUID()})),
				)
				return answers.every(answer => answer.body.status === "complete")
			})
		}))
})

describe("the configuration", function () {
	this.timeout(60_000)
	const versionAt = async (url: string) => {
		const res = await request(`${url}/v1/config`)
		return ((await res.body.json()) as {version: number}).version
	}
	const change = async (url: string, version: number, author: string) => {
		const res = await request(`${url}/v1/config`, {
			method: "PUT",
			headers: {"if-match": String(version), "cottonwood-author": author},
			body: JSON.stringify({
				endpoints: {inventory: {}},
				teams: {default: {weight: version + 1}},
				defaultTeam: "default",
			}),
		})
		return {status: res.statusCode, body: (await res.body.json()) as Record<string, unknown>}
	}

	it("is accepted from one of two concurrent operators, and the other learns the winner", () =>
		withFleet({}, async fleet => {
			const [first, second] = fleet.entries
			const results = await Promise.all([
				change(first!.url, 1, "ana"),
				change(second!.url, 1, "bela"),
			])
			expect(results.map(result => result.status).sort()).to.deep.equal([200, 409])
			const loser = results.find(result => result.status === 409)!
			expect(loser.body.kind).to.equal("config_conflict")
			expect(loser.body.detail).to.match(/version 2 by (ana|bela)/)
		}))

	it("reaches instances that are cut from the platform, from their peers, and never reverts", () =>
		withFleet({}, async fleet => {
			fleet.cut("fd2", ["platform"])
			const changed = await change(fleet.entries[0]!.url, 1, "ana")
			expect(changed.status).to.equal(200)
			for (const entry of fleet.entries) {
				await waitFor(`version 2 at ${entry.name}`, async () => (await versionAt(entry.url)) === 2)
			}
			fleet.mend("fd2")
			await sleep(1_000)
			for (const entry of fleet.entries) expect(await versionAt(entry.url)).to.equal(2)
		}))

	/* Guards against a watch that waits for its full timeout on a silent connection. */
	it("reaches a failure domain without peers whose connections to the platform went silent", () =>
		withFleet({}, async fleet => {
			fleet.cut("fd2", ["to peers", "from peers"])
			fleet.hushPlatform("fd2")
			const changed = await change(fleet.entries[0]!.url, 1, "ana")
			expect(changed.status).to.equal(200)
			await sleep(5_000)
			for (const entry of fleet.entries) expect(await versionAt(entry.url)).to.equal(2)
		}))

	it("is read back when the answer to its acceptance was lost", () =>
		withFleet({}, async fleet => {
			await fleet.setFaults({loseAnswers: 0.6})
			let accepted = 0
			for (let version = 1; version <= 4; version++) {
				const current = await versionAt(fleet.entries[0]!.url)
				const result = await change(fleet.entries[0]!.url, current, "ana")
				if (result.status === 200) accepted = result.body.version as number
			}
			await fleet.setFaults({})
			expect(accepted).to.be.greaterThan(1)
			for (const entry of fleet.entries) {
				await waitFor(
					`version ${accepted} at ${entry.name}`,
					async () => (await versionAt(entry.url)) >= accepted,
				)
			}
		}))
})

describe("workers that fail everything", function () {
	this.timeout(60_000)

	it("are set aside, and a task that fails everywhere sets nobody aside", () =>
		withFleet({failureDomains: ["fd1"], workersPerDomain: 5, entriesPerDomain: 1}, async fleet => {
			const entry = fleet.entries[0]!
			const poison = {tasks: [{kind: "poison", payload: {ms: 5, fail: true}, repeatable: true}]}
			for (let i = 0; i < 10; i++) await submitJob(entry.url, poison)
			expect(await countersOf(fleet, "target.aside")).to.equal(0)
			await put(`http://127.0.0.1:${fleet.workers[0]!.port}/behavior`, {failAll: true})
			const tasks = Array.from({length: 30}, (_, value) => ({
				kind: "check",
				payload: {ms: 20, value},
				repeatable: true,
			}))
			for (let i = 0; i < 10; i++) await submitJob(entry.url, {tasks})
			expect(await countersOf(fleet, "target.aside")).to.equal(1)
		}))
})
