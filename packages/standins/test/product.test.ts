/**
 * The product's outer behaviour on real processes: invalid input, limits, the two commands and invalid settings.
 */
import {
	startFleet,
	startProcess,
	submitJob,
	submitRequest,
	call,
	type Fleet,
} from "@cottonwood/standins"
import {expect} from "chai"
import {spawnSync} from "node:child_process"
import {randomUUID} from "node:crypto"
import {mkdtempSync, writeFileSync} from "node:fs"
import {connect} from "node:net"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {fileURLToPath} from "node:url"
import {Agent, request} from "undici"

const root = fileURLToPath(new URL("../../../../", import.meta.url))
const entryBin = join(root, "packages/entry/dist/bin.js")
const ctlBin = join(root, "packages/ctl/dist/bin.js")
const folder = mkdtempSync(join(tmpdir(), "cottonwood-test-"))

function writeJson(name: string, value: unknown): string {
	const file = join(folder, name)
	writeFileSync(file, JSON.stringify(value))
	return file
}

const ok = {endpoint: "inventory", payload: {ms: 5}}

describe("the product", function () {
	this.timeout(60_000)
	let fleet: Fleet
	let url: string

	before(async () => {
		fleet = await startFleet({
			failureDomains: ["fd1"],
			executorsPerDomain: 1,
			workersPerDomain: 2,
			isJudged: true,
			logLevel: "warn",
			config: {
				endpoints: {inventory: {}, empty: {}},
				teams: {
					yards: {callers: ["yard"], maxQueued: 4_000},
					small: {callers: ["few"], maxQueued: 4},
				},
				defaultTeam: null,
			},
		})
		url = fleet.entries[0]!.url
	})
	after(() => fleet.stop())

	const refusals: readonly {
		readonly name: string
		readonly send: () => ReturnType<typeof call>
		readonly kind: string
		readonly status: number
		readonly detail?: RegExp
	}[] = [
		{
			name: "a body that is not JSON",
			send: () => submitRequest(url, "{"),
			kind: "not_json",
			status: 400,
		},
		{
			name: "an unknown field",
			send: () => submitRequest(url, {...ok, extra: 1}),
			kind: "invalid_request",
			status: 400,
			detail: /extra/,
		},
		{
			name: "a body that is too large",
			send: () =>
				submitRequest(
					url,
					{...ok, payload: "x".repeat(5 * 1024 * 1024)},
					// The instance may close the connection, so it is not reused.
					{dispatcher: new Agent({connections: 1})},
				),
			kind: "body_too_large",
			status: 413,
		},
		{
			name: "a job of 0 tasks",
			send: () => submitJob(url, {tasks: []}),
			kind: "invalid_request",
			status: 400,
		},
		{
			name: "a job of 721 tasks",
			send: () => submitJob(url, {tasks: Array.from({length: 721}, () => ({}))}),
			kind: "invalid_request",
			status: 400,
			detail: /at most 720, found 721/,
		},
		{
			name: "a task larger than any worker",
			send: () => submitJob(url, {tasks: [{}, {cpu: 17}]}),
			kind: "cannot_run",
			status: 422,
			detail: /task 1: no matching worker has 17 processors/,
		},
		{
			name: "a selector that matches nothing",
			send: () => submitJob(url, {tasks: [{selector: "zone=nowhere"}]}),
			kind: "cannot_run",
			status: 422,
		},
		{
			name: "a selector that does not parse",
			send: () => submitJob(url, {tasks: [{selector: "zone in"}]}),
			kind: "invalid_selector",
			status: 400,
			detail: /position/,
		},
		{
			name: "an unknown endpoint",
			send: () => submitRequest(url, {...ok, endpoint: "nowhere"}),
			kind: "unknown_endpoint",
			status: 404,
		},
		{
			name: "a deadline in the past",
			send: () => submitRequest(url, ok, {deadlineMs: -1}),
			kind: "deadline_passed",
			status: 400,
		},
		{
			name: "a caller of no team",
			send: () => submitRequest(url, ok, {caller: "stranger"}),
			kind: "unknown_caller",
			status: 403,
		},
		{
			name: "a team over its quota",
			send: () => submitJob(url, {tasks: Array.from({length: 40}, () => ({}))}, {caller: "few"}),
			kind: "quota_exceeded",
			status: 429,
		},
		{
			name: "an id of version 7 from before the retention time",
			send: () => submitRequest(url, ok, {id: "01890000-0000-7000-8000-000000000000"}),
			kind: "id_expired",
			status: 410,
		},
	]
	for (const {name, send, kind, status, detail} of refusals) {
		it(`refuses ${name} as ${kind}, not run`, async () => {
			const before = fleet.starts().length
			const answer = await send()
			expect(answer.body).to.include({kind, ran: "not run"})
			expect(answer.status).to.equal(status)
			expect(answer.headers["content-type"]).to.equal("application/problem+json")
			if (detail) expect(answer.body.detail).to.match(detail)
			expect(fleet.starts().length).to.equal(before)
		})
	}

	it("closes a refused id, so that a late copy does not run", async () => {
		const id = randomUUID()
		const body = {tasks: [{cpu: 17}]}
		await submitJob(url, body, {id})
		const again = await submitJob(fleet.entries[1]!.url, body, {id})
		expect(again.body).to.include({kind: "cannot_run", ran: "not run"})
	})

	it("refuses a request without an executor at once, with a retry time", async () => {
		const answer = await submitRequest(url, {...ok, endpoint: "empty"})
		expect(answer.body).to.include({kind: "no_capacity", ran: "not run"})
		expect(answer.headers["retry-after"]).to.not.equal(undefined)
	})

	it("answers oversized headers with 431 and keeps serving", async () => {
		const status = await new Promise<string>((resolve, reject) => {
			const socket = connect(Number(new URL(url).port), "127.0.0.1")
			socket.write(
				`GET /healthz HTTP/1.1\r\nhost: x\r\n${"a: bbbbbbbbbbbbbbbb\r\n".repeat(1_900)}\r\n`,
			)
			socket.once("data", data => resolve(data.toString().split("\r\n")[0]!))
			socket.once("error", reject)
		})
		expect(status).to.contain("431")
		expect((await submitRequest(url, ok)).status).to.equal(200)
	})

	it("completes a disconnected caller's request, and a resubmission gets the answer", async () => {
		const id = randomUUID()
		const slow = {...ok, payload: {ms: 300}}
		await submitRequest(url, slow, {id, patienceMs: 60}).catch(() => undefined)
		const again = await submitRequest(fleet.entries[1]!.url, slow, {id})
		expect(again.body.status).to.equal("complete")
		expect(fleet.starts().filter(start => start.submission.endsWith(id))).to.have.length(1)
	})

	it("lets a caller wait in steps for a long job", async () => {
		const id = randomUUID()
		const body = {tasks: [{payload: {ms: 400, value: 1}}]}
		const first = await submitJob(url, body, {id, query: "?waitMs=50"})
		expect(first.status).to.equal(202)
		expect(first.body.kind).to.equal("wait_ended")
		const found = await call("GET", `${url}/v1/submissions/${id}?waitMs=5000`, undefined)
		expect(found.body).to.include({status: "complete"})
	})

	it("explains a submission in order, with cause", async () => {
		const id = randomUUID()
		await submitJob(url, {tasks: [{payload: {ms: 5}}]}, {id})
		const res = await request(`${url}/v1/submissions/${id}/explain`, {
			headers: {"cottonwood-caller": "yard"},
		})
		const {steps} = (await res.body.json()) as {steps: {step: string; cause: string}[]}
		const names = steps.map(step => step.step)
		for (const name of ["received", "admitted", "intended", "queued", "placed", "answered"]) {
			expect(names).to.include(name)
		}
		expect(steps.every(step => step.cause !== "")).to.equal(true)
	})

	const ctl = (...args: string[]) =>
		spawnSync(process.execPath, [ctlBin, ...args, "--url", url, "--caller", "yard"], {
			encoding: "utf8",
		})

	it("has a command that submits, queries, lists and explains", () => {
		const id = randomUUID()
		const file = writeJson("job.json", {tasks: [{payload: {ms: 5, value: "x"}}]})
		const submitted = ctl("submit", file, "--id", id, "--json")
		expect(submitted.status, submitted.stderr).to.equal(0)
		expect(JSON.parse(submitted.stdout)).to.deep.equal({id, status: "complete", value: ["x"]})
		expect(ctl("status", id).stdout).to.contain("complete")
		expect(ctl("explain", id).stdout).to.match(/placed +task 0 on/)
		expect(ctl("status", "none").status).to.equal(4)
		expect(ctl("nonsense").status).to.equal(2)
		for (const list of ["instances", "endpoints", "workers", "jobs"]) {
			expect(ctl(list).status, list).to.equal(0)
			expect(() => JSON.parse(ctl(list, "--json").stdout) as unknown, list).to.not.throw()
		}
	})

	it("has a configuration command that reports the winner of a conflict", () => {
		const current = JSON.parse(ctl("config", "get", "--json").stdout) as {
			version: number
			config: object
		}
		const file = writeJson("config.json", {...current.config, retries: {ratio: 0.2}})
		expect(ctl("config", "diff", file).stdout).to.match(/retries.ratio +0.1 +0.2/)
		const version = String(current.version)
		expect(ctl("config", "put", file, "--if-version", version, "--author", "ana").status).to.equal(
			0,
		)
		const lost = ctl("config", "put", file, "--if-version", version, "--author", "bela")
		expect(lost.status).to.equal(6)
		expect(lost.stderr).to.contain("by ana")
		expect(ctl("config", "history").stdout).to.contain("ana")
		const bad = writeJson("bad.json", {teams: {x: {weight: "heavy"}}})
		const refused = ctl("config", "put", bad, "--if-version", "2")
		expect(refused.status).to.equal(3)
		expect(refused.stderr).to.match(/teams.x.weight/)
	})

	it("has a command that evacuates a failure domain and ends the evacuation", async () => {
		const stateOf = () =>
			(JSON.parse(ctl("endpoints", "--json").stdout) as {state: string}[]).map(({state}) => state)
		expect(ctl("evacuate", "fd1").stdout).to.contain("fd1")
		expect(ctl("evacuate").stdout).to.contain("fd1")
		expect(stateOf()).to.eql(["leaving"])
		const refused = await submitRequest(url, JSON.stringify(ok))
		expect(refused.status).to.equal(503)
		const job = writeJson("refused.json", {tasks: [{payload: {ms: 5}}]})
		expect(ctl("submit", job, "--json").status, "not run").to.equal(3)
		expect(ctl("evacuate", "fd1", "--finish").status).to.equal(0)
		expect(stateOf()).to.eql(["live"])
		expect((await submitRequest(url, JSON.stringify(ok))).status).to.equal(200)
		// An evacuation of a domain without targets changes nothing.
		expect(ctl("evacuate", "nowhere").status).to.equal(0)
		expect((await submitRequest(url, JSON.stringify(ok))).status).to.equal(200)
		expect(ctl("evacuate", "nowhere", "--finish").status).to.equal(0)
	})

	it("does not start on a port in use", async () => {
		const settings = {
			instance: "late",
			failureDomain: "fd1",
			http: {port: Number(new URL(url).port)},
			peer: {port: 0},
			platform: {store: fleet.platformUrl, list: fleet.platformUrl},
		}
		const run = spawnSync(
			process.execPath,
			[entryBin, "--settings", writeJson("late.json", settings)],
			{
				encoding: "utf8",
				timeout: 20_000,
			},
		)
		expect(run.status).to.equal(1)
		expect(run.stderr).to.contain("EADDRINUSE")
	})
})

describe("the settings of a process", () => {
	const good = {
		instance: "e1",
		failureDomain: "fd1",
		http: {port: 7400},
		peer: {port: 7401},
		platform: {store: "http://127.0.0.1:1", list: "http://127.0.0.1:1"},
	}
	const check = (settings: unknown, env: Record<string, string> = {}, flag = "--check") =>
		spawnSync(process.execPath, [entryBin, "--settings", writeJson("s.json", settings), flag], {
			encoding: "utf8",
			env: {...process.env, ...env},
		})

	it("are checked and printed with defaults and environment overrides", () => {
		expect(check(good).status).to.equal(0)
		const printed = check(good, {COTTONWOOD_HTTP_PORT: "7500"}, "--print-settings")
		const settings = JSON.parse(printed.stdout) as {http: {port: number}; timings: object}
		expect(settings.http.port).to.equal(7500)
		expect(settings.timings).to.include({leaseTtlMs: 4000})
	})

	it("are refused with path and cause when invalid", () => {
		const refused = (settings: unknown) => {
			const run = check(settings)
			expect(run.status).to.equal(2)
			return run.stderr
		}
		expect(refused({...good, colour: 1})).to.contain("colour")
		expect(refused({...good, http: {port: "x"}})).to.match(/http.port: .*expected/)
		expect(refused({...good, peer: {port: 7400}})).to.contain("expected another port")
		expect(refused({...good, timings: {leaseTtlMs: 1_000}})).to.contain("at least twice")
		expect(refused([])).to.contain("expected an object")
	})
})

describe("an instance whose store is down at its start", function () {
	this.timeout(60_000)

	it("starts, is alive, and reports why it is not ready", async () => {
		const settings = {
			instance: "alone",
			failureDomain: "fd1",
			http: {port: 0},
			peer: {port: 0},
			platform: {store: "http://127.0.0.1:9", list: "http://127.0.0.1:9"},
			log: {level: "error"},
			timings: {drainGraceMs: 0},
		}
		const started = await startProcess("alone", entryBin, [
			"--settings",
			writeJson("alone.json", settings),
		])
		const at = `http://127.0.0.1:${started.port}`
		const ready = await request(`${at}/readyz`)
		expect(ready.statusCode).to.equal(503)
		expect(await ready.body.json()).to.deep.include({cause: "no configuration is in force"})
		expect((await request(`${at}/healthz`)).statusCode).to.equal(200)
		const refused = await submitRequest(at, ok)
		expect(refused.body.kind).to.equal("no_configuration")
		started.signal("SIGTERM")
		expect(await started.exited).to.equal(0)
	})
})
