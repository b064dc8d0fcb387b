/**
 * What instances send each other and store, as frozen text: a field that is renamed in the code alone would part instances of
 * two versions, and lose what the store holds.
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
	type FleetDatagram,
	type KeptJobRequest,
	type OnTaskEnd,
	type TaskRequest,
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

const {sample, sent} = text
const ID = "00000000000000aa"
const SELF: Member = {name: "b-1", session: "sb", failureDomain: "b", address: "b-1:1", cpuShare: 2}
const OTHER: Member = {...SELF, name: "a-1", session: "sa", failureDomain: "a", address: "a-1:1"}

const item = (key: string, value: string) => ({key, value: sample(value), revision: 1})

function createFleet(self: Member) {
	const clock = createFakeClock()
	const view = createFleetView(clock, () => undefined)
	const beatsTaken: Heartbeat[] = []
	const out: unknown[] = []
	const room = {freeCpu: [5_000], totalCpu: 64_000, waitingWork: 7, labels: ["r1"]}
	const beats = createHeartbeats({
		clock,
		view,
		self,
		peers: fakePeers(),
		send: (_address, message) => void out.push(sent(message)),
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
			beatsTaken.push(beat)
			view.applyHeartbeat(beat)
		},
		onRoomNews: news => view.applyRoomUpdate(news),
		needsOthers: () => false,
		linkMbps: 1_000,
	})
	const receive = (datagram: string) => beats.receive(sample(datagram) as unknown as FleetDatagram)
	return {clock, view, beats, beatsTaken, out, receive}
}

describe("datagrams as other versions write them", () => {
	it("tell of claims, room, fences, evacuations and how the sender is", () => {
		const {view, beatsTaken, out, receive} = createFleet(OTHER)
		receive(text.BEAT)
		expect(sent(view.claimOf("b"))).to.eql(sample(text.CLAIM))
		expect([view.silentMs("sb"), view.lateMs("sb")]).to.eql([0, 40])
		expect([view.isLeaving("sb"), view.isStrained("sb")]).to.eql([true, true])
		expect(sent(view.roomOf("b")?.room)).to.eql(text.roomIn(text.BEAT))
		expect(beatsTaken[0]?.configVersion).to.equal(3)
		const evacuations = createEvacuations({
			log: silentLog,
			metrics: createJobMetrics(),
			decodeEvacuation: () => undefined,
			onChange: () => undefined,
		})
		evacuations.applySnapshot(beatsTaken[0]!.evacuations!, "b-1")
		expect(evacuations.isUnderWay("c")).to.equal(true)
		// It was asked for, and describes no claim that the sender knows.
		expect(out).to.have.length(1)
		expect(out[0]).to.deep.include({type: "beat", claims: [], fences: {b: 3}, wantsAnswer: false})
		receive(text.ROOM)
		expect(sent(view.roomOf("b")?.room)).to.eql({...text.roomIn(text.ROOM), labels: ["r1"]})
	})

	it("are written so today", async () => {
		const {clock, view, beats, out} = createFleet(SELF)
		view.applyListing([item("fleet/claim/b", text.CLAIM)])
		view.noteClaim({failureDomain: "a", fence: 5, placer: OTHER})
		beats.receive({
			...(sample(text.BEAT) as unknown as FleetDatagram & {type: "beat"}),
			from: OTHER,
			fences: {a: 5},
		})
		const fences = {a: 5, b: 3}
		expect(out).to.eql([{...sample(text.BEAT), fences, wantsAnswer: false}])
		beats.noteRoomChange()
		await clock.advance(20)
		expect(out[1]).to.eql(sample(text.ROOM))
	})
})

describe("entries of the store as other versions write them", () => {
	it("name members, claims and claims of slices", () => {
		const view = createFleetView(createFakeClock(), () => undefined)
		const claims = [
			item("fleet/claim/b", text.CLAIM),
			item("fleet/claim/b/slice-1", text.SLICE_CLAIM),
		]
		view.applyListing([item("fleet/node/b-1", text.MEMBER), ...claims])
		expect(view.membersOf("b")).to.eql([SELF])
		expect(view.claimOf("b")).to.eql({failureDomain: "b", fence: 3, placer: SELF})
		expect(view.sliceCount("b")).to.equal(2)
		expect(view.claimOf("b/slice-1")?.fence).to.equal(1_000_001)
	})

	it("are written so today for members and claims", async () => {
		const clock = createFakeClock()
		const {fake, store} = createFakeStore()
		const leased = {...store, grantLease: () => Promise.resolve("1")}
		beginRegistration(SELF, {clock, store: leased, log: silentLog})
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
		})
		view.noteClaim({failureDomain: "b", fence: 2, placer: OTHER})
		await claims.claimNow("b", 2)
		await claims.claimNow("b/slice-1", 1_000_000)
		const written = [...fake.items].map(([key, {value}]) => [key, sent(value)])
		expect(written).to.have.deep.members([
			["fleet/node/b-1", sample(text.MEMBER)],
			["fleet/claim/b", sample(text.CLAIM)],
			["fleet/claim/b/slice-1", sample(text.SLICE_CLAIM)],
		])
	})

	it("tell speeds, and are written so today", () => {
		const {fence, executors, labels, dropped} = decodeSpeeds(sample(text.SPEEDS))
		expect([fence, dropped]).to.eql([4, 0])
		expect(executors.get("e1")).to.include({mean: 0.45, weight: 9})
		expect(labels.get("r1")).to.include({mean: -0.5, weight: 5})
		expect(sent(encodeSpeeds({executors, labels}, 4))).to.eql(sample(text.SPEEDS))
	})
})

/** The keeper of a domain whose placer starts nothing and shows what it was asked for. */
async function createKept(fence: number, stored?: unknown) {
	const clock = createFakeClock()
	const {fake, store} = createFakeStore()
	const claim = {failureDomain: "b", fence, placer: SELF}
	fake.write("fleet/claim/b", claim)
	if (stored) fake.write(`job/open/${ID}`, stored)
	const asked = new Map<string, {readonly req: TaskRequest; readonly end: OnTaskEnd}>()
	const keeper = createKeeper({
		clock,
		store,
		claim,
		log: silentLog,
		metrics: createJobMetrics(),
		wall: createWallClock(clock),
		spacingMs: () => 10,
		queueOf: name => (name === "orders" ? QUEUE : undefined),
		domainWithRoom: () => undefined,
		tellHome: () => undefined,
		onDeposed: () => undefined,
	})
	keeper.begin({
		hasTakenOver: () => true,
		offerOrphans: () => undefined,
		submit(req: TaskRequest, end: OnTaskEnd) {
			asked.set(req.task.slice(ID.length + 1), {req, end})
			return {cancel: () => undefined}
		},
	} as never)
	await clock.advance(100)
	return {clock, fake, keeper, asked, value: (key: string) => sent(fake.items.get(key)?.value)}
}

describe("kept jobs as other versions store them", () => {
	it("are gone on with by their next placer", async () => {
		const {clock, asked, value} = await createKept(4, {...sample(text.OPEN_JOB), runBase: 20})
		// A task that is done, and a step whose predecessor is not, are not asked for.
		expect([...asked.keys()]).to.eql(["0.0.1", "0.0.2", "0.1.0", "0.1.1"])
		const {confirmedAt, ...suspect} = asked.get("0.0.2")!.req
		expect(confirmedAt()).to.equal(Infinity)
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
		expect(asked.get("0.0.1")?.req.isolation).to.equal(undefined)
		// Due at 900, with the queue's stretch and slack.
		expect(suspect.startBy).to.equal(900 + 1.6 * 20_100 + 60 - 20_000)
		const gang = {gang: {size: 2, wantsOneRack: true}, isLasting: true, isFilling: true}
		expect(asked.get("0.1.0")?.req).to.deep.include(gang)
		void asked.get("0.0.1")?.end({type: "failed", executor: "e1", cause: "test"})
		await clock.advance(100)
		expect(value(`job/end/${ID}`)).to.include({state: "failed"})
	})

	it("are due when they were accepted, or again and again, and end when that is asked for", async () => {
		const {schedule, ...unscheduled} = sample(text.OPEN_JOB)
		const once = await createKept(4, unscheduled)
		expect(once.asked.get("0.0.1")?.req.startBy).to.equal(1_100 + 1.6 * 20_100 + 60 - 20_000)
		const thrice = await createKept(4, {
			...unscheduled,
			schedule: {...(schedule as object), ["times"]: 3},
		})
		expect(thrice.asked.has("1.0.0")).to.equal(false)
		await thrice.clock.advance(900)
		expect([thrice.asked.has("1.0.0"), thrice.asked.has("2.0.0")]).to.eql([true, true])
		const cancelled = await createKept(4, {...unscheduled, isCancelled: true})
		expect(cancelled.value(`job/end/${ID}`)).to.include({state: "cancelled"})
	})

	it("are written so today", async () => {
		const {clock, keeper, asked, value, fake} = await createKept(3)
		const reply = keeper.accept(sample(text.KEPT_REQUEST) as unknown as KeptJobRequest)
		await clock.advance(50)
		expect(await reply).to.eql({type: "accepted"})
		void asked.get("0.0.0")?.end({type: "done", executor: "e1"})
		await clock.advance(20)
		void asked.get("0.0.1")?.end({type: "failed", executor: "e1", cause: "test"})
		await clock.advance(20)
		void asked.get("0.0.2")?.end({type: "lost", executor: "e1", cause: "test", crash: "alone"})
		await clock.advance(30)
		expect(value(`job/open/${ID}`)).to.eql(sample(text.OPEN_JOB))
		void keeper.cancel(ID)
		await clock.advance(80)
		expect(value(`job/end/${ID}`)).to.eql(sample(text.ENDED_JOB))
		expect(fake.items.has(`job/open/${ID}`)).to.equal(false)
	})
})

describe("jobs and tasks as other versions hand them over", () => {
	const {task, runsAt} = sample(text.RUN_TASK)
	const caller = {...STAYING, madeAt: 1_000}
	const common = {self: SELF, log: silentLog, metrics: createJobMetrics()}

	it("are taken in", async () => {
		const clock = createFakeClock()
		const taken: unknown[] = []
		const take = (...args: unknown[]) => {
			taken.push(...args)
			return {type: "completed", cancel: () => undefined}
		}
		const host = {placer: {adopt: take, submit: take}}
		const dispatcher = createDispatcher({
			...common,
			clock,
			view: createFleetView(clock, () => undefined),
			peers: fakePeers(),
			hosts: {of: (name: string) => (name === "b" ? host : undefined), run: take} as never,
			config: () => undefined,
			refreshConfig: () => undefined,
			isLeaving: () => false,
			isEvacuated: () => false,
			ownLateMs: () => 0,
		})
		await dispatcher.runJob(sample(text.RUN_JOB) as never, caller)
		const times = {receivedAt: 960, deadlineAt: 2_000, askedBy: "sa"}
		const job = {...(sample(text.RUN_JOB)["job"] as object), ...times}
		expect(taken.splice(0).slice(1, 3)).to.eql([job, sample(text.QUEUE_TEXT)])
		void dispatcher.runTask(sample(text.RUN_TASK) as never, caller)
		const {confirmedAt} = caller
		const due = {startBy: 1_200, uselessAt: 1_600, deadlineAt: 2_000, confirmedAt}
		const req = {...(task as object), ...due, askedBy: "sa", isForeign: true}
		expect(taken.slice(0, 2)).to.eql([req, runsAt])
	})

	it("are handed over so today, for tasks", () => {
		const clock = createFakeClock()
		const out: unknown[] = []
		const runTask = (_address: string, message: unknown) => {
			out.push(sent(message))
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
		expect(out).to.eql([{...sample(text.RUN_TASK), from: "sb"}])
	})
})

async function freeAddress(): Promise<string> {
	const server = createServer()
	await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve))
	const {port} = server.address() as AddressInfo
	await new Promise(resolve => server.close(resolve))
	return `127.0.0.1:${port}`
}

/** An instance, and another one that shows what it was asked for and answers what a test says. */
async function createPair() {
	const [address, otherAddress] = [await freeAddress(), await freeAddress()]
	const other = {...OTHER, address: otherAddress}
	const {fake, store} = createFakeStore()
	fake.write("fleet/node/a-1", other)
	fake.write("executor/e1", (sample(text.TAKE_OVER)["executors"] as object[])[0])
	fake.write("fleet/claim/b", {failureDomain: "b", fence: 2, placer: other})
	const never = () => undefined
	const instance = await startJobInstance(
		{
			name: "b-1",
			failureDomain: "b",
			failureDomains: [],
			peerAddress: address,
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
	const asked: unknown[] = []
	const answers: unknown[] = []
	const answer = (method: string) => (message: unknown) => {
		asked.push([method, message])
		return Promise.resolve(answers.shift())
	}
	const methods = ["beat", "runJob", "runTask", "takeOver", "kept"]
	const handlers = Object.fromEntries(methods.map(method => [method, answer(method)]))
	const server = await listenJson("cottonwood.Jobs", otherAddress, handlers)
	const client = connectJson("cottonwood.Jobs", address)
	async function call(method: string, message: string) {
		const reply = await client.call(method, sample(message), 2_000).reply
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
	return {instance, fake, asked, answers, call, beat, sessionHere, close}
}

const keptCall = (fields: string) => `{"type":${fields},"failureDomain":"b"}`
const ACCEPT = keptCall(`"accept","request":${text.KEPT_REQUEST},"mayRedirect":true`)
const CANCEL = keptCall(`"cancel","id":"${ID}"`)
const STATE = keptCall(`"state","id":"${ID}"`)
const FETCH = keptCall(`"fetch","id":"${ID}"`)
const PENDING = keptCall('"pending","queue":"orders"')

describe("an instance", () => {
	it("answers the calls of other versions", async () => {
		const {instance, fake, asked, answers, call, beat, sessionHere, close} = await createPair()
		expect(await call("runJob", text.RUN_JOB)).to.eql({type: "not placer"})
		expect(await call("runTask", text.RUN_TASK)).to.eql({type: "not placer"})
		expect(await call("kept", STATE)).to.eql({type: "not placer"})
		expect(await call("takeOver", text.TAKE_OVER)).to.eql({isTaken: true})
		let reply: unknown
		for (let tries = 0; tries < 100 && !isAccepted(reply); tries++)
			reply = await call("kept", ACCEPT)
		expect(reply).to.eql({type: "accepted"})
		expect(await call("kept", STATE)).to.eql({type: "state", state: "pending"})
		expect(await call("kept", PENDING)).to.eql({type: "pending", count: 1})
		expect(await call("kept", CANCEL)).to.eql({type: "cancelled"})
		expect(await call("kept", CANCEL)).to.eql({type: "not here"})
		fake.write(`job/open/${ID}`, sample(text.OPEN_JOB))
		expect(await call("kept", FETCH)).to.eql({type: "fetched"})
		expect(await call("kept", STATE)).to.eql({type: "state", state: "running"})

		const told = ["from", "claims", "rooms", "isLeaving", "isStrained", "lateMs", "configVersion"]
		expect(Object.keys((await beat()) as object)).to.eql([...told, "evacuations"])
		answers.push({isTaken: true})
		await instance.leave()
		// Executors are named with the domain, and the fence is the one that was claimed here.
		const message = {...sample(text.TAKE_OVER), fence: 3, from: sessionHere()}
		expect(asked).to.eql([["takeOver", message]])
		await close()
	})

	it("makes its calls so, and reads what other versions answer and have stored", async () => {
		const {instance, fake, asked, answers, beat, sessionHere, close} = await createPair()
		const {kept} = instance
		await beat()
		answers.push({type: "redirect", failureDomain: "b"}, {type: "accepted"})
		const request = sample(text.KEPT_REQUEST) as unknown as KeptJobRequest
		expect(await kept.accept(request)).to.eql({type: "accepted"})
		fake.write(`job/open/${ID}`, sample(text.OPEN_JOB))
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
		expect(asked.splice(0)).to.eql(calls.map(message => ["kept", sample(message)]))

		fake.items.delete(`job/open/${ID}`)
		fake.write(`job/end/${ID}`, sample(text.ENDED_JOB))
		expect(await kept.stateOf(ID)).to.equal("cancelled")

		await beat()
		const job = sample(text.RUN_JOB)["job"] as unknown as Job
		const now = performance.now()
		const end = {type: "refused", kind: "overloaded", cause: "test", retryAfterMs: 70}
		answers.push(end)
		const times = {receivedAt: now, deadlineAt: now + 1_000}
		const caller = {...STAYING, madeAt: now}
		expect(await instance.dispatch({...job, ...times}, QUEUE, caller)).to.eql(end)
		const [method, message] = asked[0] as [string, Readonly<Record<string, unknown>>]
		const {ageMs, leftMs} = message
		const from = sessionHere()
		expect(method).to.equal("runJob")
		expect(message).to.eql({
			...sample(text.RUN_JOB),
			from,
			queue: sent(QUEUE),
			configVersion: 0,
			ageMs,
			leftMs,
		})
		expect(ageMs).to.be.within(0, 500)
		expect((ageMs as number) + (leftMs as number)).to.be.closeTo(1_000, 1)
		await close()
	})
})

const isAccepted = (reply: unknown) => (reply as {type?: string} | undefined)?.type === "accepted"
