/**
 * Freezes the messages that instances send each other and the entries that they store. A renamed field fails a test here
 * instead of breaking a fleet with instances of two versions, or losing stored jobs.
 */
import {
	createJobMetrics,
	DEFAULT_PLACING,
	silentLog,
	startJobInstance,
	type Heartbeat,
	type Job,
	type Member,
} from "@cottonwood/jobs"
import {
	beginRegistration,
	createDispatcher,
	createOverflow,
	createClaimsLoop,
	createEvacuations,
	createFleetView,
	createHeartbeats,
	createKeeper,
	createWallClock,
	decodeSpeeds,
	encodeSpeeds,
	keptConfirmedAt,
	type FleetDatagram,
	type KeptJobRequest,
	type OnTaskEnd,
	type TaskRequest,
	type TaskSupply,
} from "@cottonwood/jobs/internals"
import {connectJson, listenJson} from "@cottonwood/wire/json"
import {expect} from "chai"
import {createServer, type AddressInfo} from "node:net"
import * as text from "./support/frozen-samples.js"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeFleet} from "./support/fake-executors.js"
import {createFakeStore} from "./support/fake-store.js"
import {fakePeers} from "./support/peers.js"
import {LEASE_RULE, QUEUE, STAYING} from "./support/requests.js"

const {parseSample, serialized} = text
const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms))
const ID = "00000000000000aa"
const CALL_TIMEOUT_MS = 20_000
/** Far above any delay on loopback. */
const MARGIN_MS = 20_000
/** The age and the remaining time of a sent job; above the margin, so that a wrong unit is outside it. */
const AGE_MS = 100_000
const LEFT_MS = 300_000
const SELF: Member = {name: "b-1", session: "sb", failureDomain: "b", address: "b-1:1", cpuShare: 2}
const OTHER: Member = {...SELF, name: "a-1", session: "sa", failureDomain: "a", address: "a-1:1"}

const storeItem = (key: string, value: string) => ({key, value: parseSample(value), revision: 1})

function createFleet(self: Member) {
	const clock = createFakeClock()
	const view = createFleetView(clock, () => undefined)
	const receivedHeartbeats: Heartbeat[] = []
	const sentMessages: unknown[] = []
	const room = {freeCpu: [5_000], totalCpu: 64_000, waitingWork: 7, labels: ["r1"]}
	const beats = createHeartbeats({
		clock,
		view,
		self,
		peers: fakePeers(),
		send: (_address, message) => void sentMessages.push(serialized(message)),
		ownHeartbeat: () => ({
			from: self,
			claims: view.claims(),
			rooms: {b: {...room, freeCpu: [30_000, 1_000], waitingWork: 120}},
			isLeaving: true,
			isStrained: true,
			lateMs: 40,
			configVersion: 3,
			evacuations: {revision: 9, failureDomains: ["c"]},
		}),
		rooms: () => ({b: room}),
		onHeartbeat(beat) {
			receivedHeartbeats.push(beat)
			view.applyHeartbeat(beat)
		},
		onRoomUpdate: update => view.applyRoomUpdate(update),
		needsOthers: () => false,
		linkMbps: 1_000,
	})
	const receive = (datagram: string) =>
		beats.receive(parseSample(datagram) as unknown as FleetDatagram)
	return {clock, view, beats, receivedHeartbeats, sentMessages, receive}
}

describe("datagrams between instances", () => {
	it("reads every field of a heartbeat and of a room update", () => {
		const {view, receivedHeartbeats, sentMessages, receive} = createFleet(OTHER)
		receive(text.BEAT)
		expect(serialized(view.claimOf("b"))).to.eql(parseSample(text.CLAIM))
		expect([view.silentMs("sb"), view.lateMs("sb")]).to.eql([0, 40])
		expect([view.isLeaving("sb"), view.isStrained("sb")]).to.eql([true, true])
		expect(serialized(view.roomOf("b")?.room)).to.eql(text.roomIn(text.BEAT))
		expect(receivedHeartbeats[0]?.configVersion).to.equal(3)
		const evacuations = createEvacuations({
			log: silentLog,
			metrics: createJobMetrics(),
			decodeEvacuation: () => undefined,
			onChange: () => undefined,
		})
		evacuations.applySnapshot(receivedHeartbeats[0]!.evacuations!, "b-1")
		expect(evacuations.isUnderWay("c")).to.equal(true)
		// The answer to `wantsAnswer` omits claims that the `fences` of the sender show as known.
		expect(sentMessages).to.have.length(1)
		expect(sentMessages[0]).to.deep.include({
			type: "beat",
			claims: [],
			fences: {b: 3},
			wantsAnswer: false,
		})
		receive(text.ROOM)
		expect(serialized(view.roomOf("b")?.room)).to.eql({...text.roomIn(text.ROOM), labels: ["r1"]})
	})

	it("writes the same heartbeat and room update", async () => {
		const {clock, view, beats, sentMessages} = createFleet(SELF)
		view.applyListing([storeItem("fleet/claim/b", text.CLAIM)])
		view.noteClaim({failureDomain: "a", fence: 5, placer: OTHER})
		beats.receive({
			...(parseSample(text.BEAT) as unknown as FleetDatagram & {type: "beat"}),
			from: OTHER,
			fences: {a: 5},
		})
		const fences = {a: 5, b: 3}
		expect(sentMessages).to.eql([{...parseSample(text.BEAT), fences, wantsAnswer: false}])
		beats.noteRoomChange()
		await clock.advance(20)
		expect(sentMessages[1]).to.eql(parseSample(text.ROOM))
	})
})

describe("stored entries of the fleet", () => {
	it("reads members, claims and claims of slices", () => {
		const view = createFleetView(createFakeClock(), () => undefined)
		const claims = [
			storeItem("fleet/claim/b", text.CLAIM),
			storeItem("fleet/claim/b/slice-1", text.SLICE_CLAIM),
		]
		view.applyListing([storeItem("fleet/node/b-1", text.MEMBER), ...claims])
		expect(view.membersOf("b")).to.eql([SELF])
		expect(view.claimOf("b")).to.eql({failureDomain: "b", fence: 3, placer: SELF})
		expect(view.sliceCount("b")).to.equal(2)
		expect(view.claimOf("b/slice-1")?.fence).to.equal(1_000_001)
	})

	it("writes the same members and claims", async () => {
		const clock = createFakeClock()
		const {fake, store} = createFakeStore()
		const leased = {...store, grantLease: () => Promise.resolve("1")}
		beginRegistration(SELF, {clock, store: leased, log: silentLog, metrics: createJobMetrics()})
		const view = createFleetView(clock, () => undefined)
		const claims = createClaimsLoop({
			clock,
			store,
			view,
			log: silentLog,
			metrics: createJobMetrics(),
			self: SELF,
			failureDomains: () => [],
			isLeaving: () => false,
			ping: () => Promise.resolve(undefined),
			ownLateMs: () => 0,
			canReachExecutors: () => Promise.resolve(false),
			hasKeptJobs: () => Promise.resolve(false),
			onCutOff: () => undefined,
		})
		view.noteClaim({failureDomain: "b", fence: 2, placer: OTHER})
		await claims.claimNow("b", 2)
		await claims.claimNow("b/slice-1", 1_000_000)
		const written = [...fake.items].map(([key, {value}]) => [key, serialized(value)])
		expect(written).to.have.deep.members([
			["fleet/node/b-1", parseSample(text.MEMBER)],
			["fleet/claim/b", parseSample(text.CLAIM)],
			["fleet/claim/b/slice-1", parseSample(text.SLICE_CLAIM)],
		])
	})

	it("reads speeds and writes the same entry", () => {
		const {fence, executors, labels, dropped} = decodeSpeeds(parseSample(text.SPEEDS))
		expect([fence, dropped]).to.eql([4, 0])
		expect(executors.get("e1")).to.include({mean: 0.45, weight: 9})
		expect(labels.get("r1")).to.include({mean: -0.5, weight: 5})
		expect(serialized(encodeSpeeds({executors, labels}, 4))).to.eql(parseSample(text.SPEEDS))
	})
})

/** By then a keeper has read the store. */
const READ_AFTER_MS = 100

/** Creates the keeper of a domain with a placer that records submitted tasks and starts none. */
async function createTestKeeper(fence: number, stored?: unknown) {
	const clock = createFakeClock()
	const {fake, store} = createFakeStore()
	const claim = {failureDomain: "b", fence, placer: SELF}
	fake.write("fleet/claim/b", claim)
	if (stored) fake.write(`job/open/${ID}`, stored)
	const submitted = new Map<string, {readonly req: TaskRequest; readonly end: OnTaskEnd}>()
	const keeper = createKeeper({
		clock,
		store,
		claim,
		log: silentLog,
		metrics: createJobMetrics(),
		wall: createWallClock(clock),
		leaseRule: LEASE_RULE,
		spacingMs: () => 10,
		queueOf: name => (name === "orders" ? QUEUE : undefined),
		isConfigured: () => true,
		findRoom: async () => "no other executor could run it",
		notifyHome: () => undefined,
		onDeposed: () => undefined,
	})
	function submit(req: TaskRequest, end: OnTaskEnd) {
		submitted.set(req.task.slice(ID.length + 1), {req, end})
		return {cancel: () => undefined}
	}
	keeper.begin({
		hasTakenOver: () => true,
		isStranded: () => false,
		offerOrphans: () => undefined,
		submit,
		submitAll({next}: TaskSupply) {
			for (let task = next(); task; task = next()) submit(task.req, task.onEnd)
		},
	} as never)
	await clock.advance(READ_AFTER_MS)
	return {
		clock,
		fake,
		keeper,
		submitted,
		value: (key: string) => serialized(fake.items.get(key)?.value),
	}
}

describe("stored jobs", () => {
	it("a successor resumes a stored job", async () => {
		const {clock, submitted, value} = await createTestKeeper(4, {
			...parseSample(text.OPEN_JOB),
			runBase: 20,
		})
		// Completed tasks and steps with an incomplete predecessor are not submitted.
		expect([...submitted.keys()]).to.eql(["0.0.1", "0.0.2", "0.1.0", "0.1.1"])
		const {confirmedAt, ...suspect} = submitted.get("0.0.2")!.req
		// The placer read its claim when it began.
		expect(confirmedAt()).to.equal(keptConfirmedAt(LEASE_RULE, clock.now() - READ_AFTER_MS))
		expect(suspect).to.deep.include({
			spec: "spec",
			run: 10_021,
			need: {cpu: 27_000, memoryMb: 64, accelerators: 1},
			estimateMs: 20_000,
			label: "x",
			rack: "r1",
			maxPerExecutor: 2,
			isServing: true,
			isolation: "preferred",
		})
		expect(submitted.get("0.0.1")?.req.isolation).to.equal(undefined)
		// The job is due at 900, plus the queue's stretch and slack.
		expect(suspect.startBy).to.equal(900 + 1.6 * 20_100 + 60 - 20_000)
		const gang = {gang: {size: 2, wantsOneRack: true}, isLasting: true, isFilling: true}
		expect(submitted.get("0.1.0")?.req).to.deep.include(gang)
		void submitted.get("0.0.1")?.end({type: "failed", executor: "e1", cause: "test"})
		await clock.advance(100)
		expect(value(`job/end/${ID}`)).to.include({state: "failed"})
	})

	it("a successor reads the acceptance time, the schedule and the cancellation of a stored job", async () => {
		const {schedule, ...unscheduled} = parseSample(text.OPEN_JOB)
		const once = await createTestKeeper(4, unscheduled)
		expect(once.submitted.get("0.0.1")?.req.startBy).to.equal(1_100 + 1.6 * 20_100 + 60 - 20_000)
		const thrice = await createTestKeeper(4, {
			...unscheduled,
			schedule: {...(schedule as object), ["times"]: 3},
		})
		expect(thrice.submitted.has("1.0.0")).to.equal(false)
		await thrice.clock.advance(900)
		expect([thrice.submitted.has("1.0.0"), thrice.submitted.has("2.0.0")]).to.eql([true, true])
		const cancelled = await createTestKeeper(4, {...unscheduled, isCancelled: true})
		expect(cancelled.value(`job/end/${ID}`)).to.include({state: "cancelled"})
	})

	it("writes the same open and ended jobs", async () => {
		const {clock, keeper, submitted, value, fake} = await createTestKeeper(3)
		const reply = keeper.accept(parseSample(text.KEPT_REQUEST) as unknown as KeptJobRequest)
		await clock.advance(50)
		expect(await reply).to.eql({type: "accepted"})
		void submitted.get("0.0.0")?.end({type: "done", executor: "e1"})
		await clock.advance(20)
		void submitted.get("0.0.1")?.end({type: "failed", executor: "e1", cause: "test"})
		await clock.advance(20)
		void submitted.get("0.0.2")?.end({type: "lost", executor: "e1", cause: "test", crash: "alone"})
		await clock.advance(30)
		// Older programs pass these two on unread.
		const added = {failedRuns: {"0.0.1": [1]}, settings: QUEUE}
		const written = {...parseSample(text.OPEN_JOB), ...added}
		expect(value(`job/open/${ID}`)).to.eql(written)
		void keeper.cancel(ID)
		await clock.advance(80)
		expect(value(`job/end/${ID}`)).to.eql(parseSample(text.ENDED_JOB))
		expect(fake.items.has(`job/open/${ID}`)).to.equal(false)
	})
})

describe("jobs and tasks sent to another instance", () => {
	const {task, runsAt} = parseSample(text.RUN_TASK)
	const caller = {...STAYING, madeAt: 1_000}
	const common = {self: SELF, log: silentLog, metrics: createJobMetrics()}

	it("reads every field of a job and of a task", async () => {
		const clock = createFakeClock()
		const receivedArgs: unknown[] = []
		const record = (...args: unknown[]) => {
			receivedArgs.push(...args)
			return {type: "completed", cancel: () => undefined}
		}
		const host = {placer: {adopt: record, submit: record}}
		const dispatcher = createDispatcher({
			...common,
			clock,
			view: createFleetView(clock, () => undefined),
			peers: fakePeers(),
			hosts: {of: (name: string) => (name === "b" ? host : undefined), run: record} as never,
			config: () => undefined,
			refreshConfig: () => undefined,
			isLeaving: () => false,
			isEvacuated: () => false,
			ownLateMs: () => 0,
		})
		await dispatcher.runJob(parseSample(text.RUN_JOB) as never, caller)
		const times = {receivedAt: 960, deadlineAt: 2_000, askedBy: "sa"}
		const job = {...(parseSample(text.RUN_JOB)["job"] as object), ...times}
		expect(receivedArgs.splice(0).slice(1, 3)).to.eql([job, parseSample(text.QUEUE_TEXT)])
		void dispatcher.runTask(parseSample(text.RUN_TASK) as never, caller)
		const {confirmedAt} = caller
		const due = {startBy: 1_200, uselessAt: 1_600, deadlineAt: 2_000, confirmedAt}
		const req = {...(task as object), ...due, askedBy: "sa", isForeign: true}
		expect(receivedArgs.slice(0, 2)).to.eql([req, runsAt])
	})

	it("writes the same task", () => {
		const clock = createFakeClock()
		const sentMessages: unknown[] = []
		const runTask = (_address: string, message: unknown) => {
			sentMessages.push(serialized(message))
			const reply = new Promise<undefined>(() => undefined)
			return {reply, wasUnsent: () => false, wasRefused: () => false, cancel: () => undefined}
		}
		const view = createFleetView(clock, () => undefined)
		const peers = fakePeers({runTask})
		const overflow = createOverflow({...common, clock, view, peers, leaseRule: LEASE_RULE})
		const due = {startBy: 1_200, uselessAt: 1_600, deadlineAt: 2_000, confirmedAt: () => 0}
		const req = {...(task as object), ...due} as never
		const item = {req, since: 0, onEnd: () => undefined, onStart: () => undefined}
		overflow.sendTo({failureDomain: "b", fence: 3, placer: SELF}, item, runsAt as never)
		expect(sentMessages).to.eql([{...parseSample(text.RUN_TASK), from: "sb"}])
	})
})

async function freeAddress(): Promise<string> {
	const server = createServer()
	await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve))
	const {port} = server.address() as AddressInfo
	await new Promise(resolve => server.close(resolve))
	return `127.0.0.1:${port}`
}

/** Starts an instance, and a peer that records its requests and replies with queued answers. */
async function createPair() {
	const [address, otherAddress] = [await freeAddress(), await freeAddress()]
	const other = {...OTHER, address: otherAddress}
	const port = Number(address.split(":")[1])
	const {fake, store} = createFakeStore()
	fake.write("fleet/node/a-1", other)
	fake.write("executor/e1", (parseSample(text.TAKE_OVER)["executors"] as object[])[0])
	fake.write("fleet/claim/b", {failureDomain: "b", fence: 2, placer: other})
	const never = () => undefined
	const instance = await startJobInstance(
		{
			name: "b-1",
			failureDomain: "b",
			failureDomains: [],
			peers: {host: "127.0.0.1", ports: [port, port]},
			leaseRule: LEASE_RULE,
			stopGraceMs: 50,
			cpuShare: 2,
			linkMbps: 1_000,
			storeWritesPerSecond: 1_000,
			endedStateMs: 1_000,
			placing: DEFAULT_PLACING,
		},
		{
			store: {
				...store,
				grantLease: async () => "1",
				keepAlive: async () => "alive",
				revoke: async () => undefined,
			},
			orders: new FakeFleet(createFakeClock()),
			advisor: {} as never,
			log: silentLog,
			metrics: createJobMetrics(),
			operatorPrefix: "operator/",
			configKey: "operator/config",
			decodeConfig: never,
			decodeEvacuation: never,
			executorPrefix: "executor/",
			decodeExecutor: ({value}) => value as never,
		},
	)
	const requests: unknown[] = []
	const answers: unknown[] = []
	const answer = (method: string) => (message: unknown) => {
		requests.push([method, message])
		return Promise.resolve(answers.shift())
	}
	const methods = ["beat", "runJob", "runTask", "takeOver", "kept"]
	const handlers = Object.fromEntries(methods.map(method => [method, answer(method)]))
	const server = await listenJson("cottonwood.Jobs", otherAddress, handlers)
	const client = connectJson("cottonwood.Jobs", address)
	async function call(method: string, message: string) {
		const reply = await client.call(method, parseSample(message), CALL_TIMEOUT_MS).reply
		return reply.type === "answer" ? reply.value : reply
	}
	const beat = () =>
		call(
			"beat",
			text.BEAT.replaceAll('"b-1:1"', `"${otherAddress}"`).replaceAll(
				'"isLeaving":true',
				'"isLeaving":false',
			),
		)
	async function close() {
		client.close()
		await instance.close()
		server.close()
	}
	const node = () => fake.items.get("fleet/node/b-1")?.value as {readonly session: string}
	const sessionHere = () => node().session
	return {instance, fake, requests, answers, call, beat, sessionHere, close}
}

const keptCall = (fields: string) => `{"type":${fields},"failureDomain":"b"}`
const ACCEPT = keptCall(`"accept","request":${text.KEPT_REQUEST},"mayRedirect":true`)
const CANCEL = keptCall(`"cancel","id":"${ID}"`)
const STATE = keptCall(`"state","id":"${ID}"`)
const FETCH = keptCall(`"fetch","id":"${ID}"`)
const PENDING = keptCall('"pending","queue":"orders"')

describe("calls between instances", () => {
	it("answers calls with the same fields, and hands over with the same message", async () => {
		const {instance, fake, requests, answers, call, beat, sessionHere, close} = await createPair()
		expect(await call("runJob", text.RUN_JOB)).to.eql({type: "not placer"})
		expect(await call("runTask", text.RUN_TASK)).to.eql({type: "not placer"})
		expect(await call("kept", STATE)).to.eql({type: "not placer"})
		expect(await call("takeOver", text.TAKE_OVER)).to.eql({isTaken: true})
		let reply = await call("kept", ACCEPT)
		const giveUpAt = performance.now() + CALL_TIMEOUT_MS
		while (!isAccepted(reply) && performance.now() < giveUpAt) {
			await sleep(10)
			reply = await call("kept", ACCEPT)
		}
		expect(reply).to.eql({type: "accepted"})
		expect(await call("kept", STATE)).to.eql({type: "state", state: "pending"})
		expect(await call("kept", PENDING)).to.eql({type: "pending", count: 1})
		expect(await call("kept", CANCEL)).to.eql({type: "cancelled"})
		expect(await call("kept", CANCEL)).to.eql({type: "not here"})
		fake.write(`job/open/${ID}`, parseSample(text.OPEN_JOB))
		expect(await call("kept", FETCH)).to.eql({type: "fetched"})
		expect(await call("kept", STATE)).to.eql({type: "state", state: "running"})

		const heartbeatFields = [
			"from",
			"claims",
			"rooms",
			"isLeaving",
			"isStrained",
			"lateMs",
			"configVersion",
		]
		expect(Object.keys((await beat()) as object)).to.eql([...heartbeatFields, "evacuations"])
		answers.push({isTaken: true})
		await instance.leave()
		// The instance reports its executors of the domain and the fence that it claimed.
		const message = {...parseSample(text.TAKE_OVER), fence: 3, from: sessionHere()}
		expect(requests).to.eql([["takeOver", message]])
		await close()
	})

	it("makes the same calls, and reads answers and stored entries", async () => {
		const {instance, fake, requests, answers, beat, sessionHere, close} = await createPair()
		const {kept} = instance
		await beat()
		answers.push({type: "redirect", failureDomain: "b"}, {type: "accepted"})
		const request = parseSample(text.KEPT_REQUEST) as unknown as KeptJobRequest
		expect(await kept.accept(request)).to.eql({type: "accepted"})
		fake.write(`job/open/${ID}`, parseSample(text.OPEN_JOB))
		answers.push({type: "state", state: "pending"})
		expect(await kept.stateOf(ID)).to.equal("pending")
		answers.push({type: "pending", count: 5})
		expect(await kept.pendingOf("orders")).to.equal(5)
		answers.push({type: "cancelled"}, {type: "not here"})
		expect(await kept.cancel(ID)).to.equal("cancelled")
		expect(await kept.cancel(ID)).to.equal("cancelled")
		expect(fake.items.get(`job/open/${ID}`)?.value).to.deep.include({isCancelled: true, writer: ""})
		const calls = [
			ACCEPT,
			ACCEPT.replace('"mayRedirect":true', '"mayRedirect":false'),
			STATE,
			PENDING,
			CANCEL,
			CANCEL,
		]
		expect(requests.splice(0)).to.eql(calls.map(message => ["kept", parseSample(message)]))

		fake.items.delete(`job/open/${ID}`)
		fake.write(`job/end/${ID}`, parseSample(text.ENDED_JOB))
		expect(await kept.stateOf(ID)).to.equal("cancelled")

		await beat()
		const job = parseSample(text.RUN_JOB)["job"] as unknown as Job
		const now = performance.now()
		const end = {type: "refused", kind: "overloaded", cause: "test", retryAfterMs: 70}
		answers.push(end)
		const times = {receivedAt: now - AGE_MS, deadlineAt: now + LEFT_MS}
		const caller = {...STAYING, madeAt: now}
		expect(await instance.dispatch({...job, ...times}, QUEUE, caller)).to.eql(end)
		const [method, message] = requests[0] as [string, Readonly<Record<string, unknown>>]
		const {ageMs, leftMs} = message
		const from = sessionHere()
		expect(method).to.equal("runJob")
		expect(message).to.eql({
			...parseSample(text.RUN_JOB),
			from,
			queue: serialized(QUEUE),
			configVersion: 0,
			ageMs,
			leftMs,
		})
		expect(ageMs).to.be.closeTo(AGE_MS, MARGIN_MS)
		expect(leftMs).to.be.closeTo(LEFT_MS, MARGIN_MS)
		expect((ageMs as number) + (leftMs as number)).to.be.closeTo(AGE_MS + LEFT_MS, 1)
		await close()
	})
})

const isAccepted = (reply: unknown) => (reply as {type?: string} | undefined)?.type === "accepted"
