/**
 * Evacuations of failure domains: how they become known, and their effect on jobs, placers and
 * executors.
 */
import {
	createJobMetrics,
	silentLog,
	type Claim,
	type EvacuationSnapshot,
	type Job,
	type Member,
} from "@cottonwood/jobs"
import {
	createDispatcher,
	createEvacuations,
	createFleetView,
	type HostedPlacers,
	type JobReply,
	type TaskEnd,
} from "@cottonwood/jobs/internals"
import type {StoreItem} from "@cottonwood/core"
import {expect} from "chai"
import {err, ok} from "neverthrow"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeExecutors, record} from "./support/fake-executors.js"
import {createTestPlacer} from "./support/placers.js"
import {QUEUE, STAYING, taskRequest} from "./support/requests.js"
import {fakePeers} from "./support/peers.js"

const PREFIX = "empty/"
const item = (domain: string, value: unknown = {}): StoreItem => ({
	key: PREFIX + domain,
	value,
	revision: 1,
})

function createTracker() {
	let changes = 0
	const evacuations = createEvacuations({
		log: silentLog,
		metrics: createJobMetrics(),
		decodeEvacuation({key, value}) {
			if (!key.startsWith(PREFIX)) return undefined
			return typeof value === "object" ? ok(key.slice(PREFIX.length)) : err("no object")
		},
		onChange: () => void changes++,
	})
	const underWay = () => ["a", "b", "c"].filter(evacuations.isUnderWay)
	return {evacuations, underWay, changes: () => changes}
}

describe("evacuations", () => {
	it("are read from a listing, begin and end by changes, and ignore other keys", () => {
		const {evacuations, underWay, changes} = createTracker()
		const other: StoreItem = {key: "config", value: {}, revision: 1}
		evacuations.applyListing({items: [other, item("a")], revision: 5})
		expect(underWay()).to.eql(["a"])
		evacuations.applyChange({items: [item("b")], deleted: [], revision: 6})
		expect(underWay()).to.eql(["a", "b"])
		evacuations.applyChange({items: [], deleted: [PREFIX + "a"], revision: 7})
		expect(underWay()).to.eql(["b"])
		evacuations.applyListing({items: [], revision: 8})
		expect(underWay()).to.eql([])
		expect(changes()).to.equal(4)
	})

	it("ignore an unreadable value, and keep the evacuation that was in force", () => {
		const {evacuations, underWay} = createTracker()
		evacuations.applyListing({items: [item("a", 7)], unreadable: [PREFIX + "b"], revision: 5})
		expect(underWay()).to.eql([])
		evacuations.applyChange({items: [item("c")], deleted: [], revision: 6})
		const lost = [PREFIX + "c"]
		evacuations.applyChange({items: [item("a", "x")], deleted: lost, unreadable: lost, revision: 7})
		expect(underWay()).to.eql(["c"])
		evacuations.applyChange({items: [], deleted: lost, revision: 8})
		expect(underWay()).to.eql([])
	})

	it("are taken from a peer's report only if it is newer than the store's", () => {
		const {evacuations, underWay} = createTracker()
		evacuations.applyListing({items: [item("a")], revision: 5})
		const news = (revision: number, failureDomains: readonly string[]): EvacuationSnapshot => ({
			revision,
			failureDomains,
		})
		evacuations.applySnapshot(news(4, []), "peer")
		expect(underWay()).to.eql(["a"])
		evacuations.applySnapshot(news(9, ["b"]), "peer")
		expect(underWay()).to.eql(["b"])
		// The store's late change is older than the peer's report.
		evacuations.applyChange({items: [item("c")], deleted: [], revision: 7})
		expect(underWay()).to.eql(["b"])
		evacuations.applyChange({items: [item("b")], deleted: [PREFIX + "a"], revision: 10})
		expect(underWay()).to.eql(["b", "c"])
	})

	it("are not ended by the report of an instance whose watch had no changes", () => {
		const deaf = createTracker()
		deaf.evacuations.applyListing({items: [item("b")], revision: 5})
		deaf.evacuations.applyChange({items: [], deleted: [], revision: 30})
		const hearing = createTracker()
		hearing.evacuations.applyListing({items: [item("a"), item("b")], revision: 20})
		const [told, heard] = [deaf.evacuations.snapshot(), hearing.evacuations.snapshot()]
		if (told) hearing.evacuations.applySnapshot(told, "deaf")
		if (heard) deaf.evacuations.applySnapshot(heard, "hearing")
		expect([hearing.underWay(), deaf.underWay()]).to.eql([
			["a", "b"],
			["a", "b"],
		])
	})

	it("are omitted from heartbeats until there has been one", () => {
		const {evacuations} = createTracker()
		evacuations.applyListing({items: [], revision: 5})
		expect(evacuations.snapshot()).to.equal(undefined)
		evacuations.applyListing({items: [item("a")], revision: 6})
		evacuations.applyListing({items: [], revision: 7})
		expect(evacuations.snapshot()).to.eql({revision: 7, failureDomains: []})
	})
})

function createDomain() {
	const clock = createFakeClock()
	const orders = new FakeExecutors(clock)
	const ends: TaskEnd[] = []
	const handedOver: string[] = []
	let isEvacuated = false
	let isRoomElsewhere = false
	const placer = createTestPlacer({
		clock,
		orders,
		isEvacuated: () => isEvacuated,
		handOver({req}) {
			if (isRoomElsewhere) handedOver.push(req.task)
			return isRoomElsewhere
		},
	})
	placer.setExecutors([record("e1")])
	function submit(task: string, options: Parameters<typeof taskRequest>[1] = {}) {
		const onEnd = (end: TaskEnd) => void ends.push(end)
		return placer.submit(taskRequest(task, options), onEnd, () => undefined)
	}
	function evacuate(isOn: boolean) {
		isEvacuated = isOn
		placer.noteEvacuation()
	}
	const giveRoomElsewhere = () => {
		isRoomElsewhere = true
		placer.placeWaiting()
	}
	return {clock, orders, placer, ends, handedOver, submit, evacuate, giveRoomElsewhere}
}

describe("a failure domain under evacuation", () => {
	it("starts nothing more, keeps its runs, and starts tasks again afterwards", async () => {
		const {clock, orders, ends, submit, evacuate} = createDomain()
		await clock.advance(10)
		submit("j.0.0.0", {estimateMs: 20_000})
		await clock.advance(10)
		evacuate(true)
		submit("j.0.0.1")
		await clock.advance(3_000)
		expect(orders.starts.map(({task}) => task)).to.eql(["j.0.0.0"])
		expect(orders.running.has("j.0.0.0"), "what runs is kept").to.equal(true)
		orders.end("j.0.0.0", "done")
		await clock.advance(50)
		expect(ends.map(({type}) => type)).to.eql(["done"])
		evacuate(false)
		await clock.advance(10)
		expect(orders.starts.map(({task}) => task)).to.eql(["j.0.0.0", "j.0.0.1"])
	})

	it("does not repeat an unanswered start, and stops its possible run", async () => {
		const {clock, orders, submit, evacuate} = createDomain()
		await clock.advance(10)
		orders.startReplies = [{type: "silent", cause: "test"}]
		orders.isSilent = true
		submit("j.0.0.0")
		await clock.advance(5)
		expect(orders.starts).to.have.length(1)
		evacuate(true)
		orders.isSilent = false
		await clock.advance(500)
		expect(orders.starts).to.have.length(1)
		expect(orders.stops.map(({task}) => task)).to.include("j.0.0.0")
	})

	it("hands waiting tasks to other domains as soon as they have room", async () => {
		const {clock, placer, handedOver, submit, evacuate, giveRoomElsewhere} = createDomain()
		await clock.advance(10)
		evacuate(true)
		for (let at = 0; at < 3; at++) submit(`j.0.0.${at}`)
		await clock.advance(10)
		expect(handedOver).to.eql([])
		giveRoomElsewhere()
		await clock.advance(10)
		expect(handedOver).to.eql(["j.0.0.0", "j.0.0.1", "j.0.0.2"])
		expect(placer.counts().waiting).to.equal(0)
	})

	it("returns tasks of other domains at once", async () => {
		const {clock, ends, submit, evacuate} = createDomain()
		await clock.advance(10)
		const whole = {cpu: 64_000, memoryMb: 64, accelerators: 0}
		submit("own.0.0.0", {need: whole, estimateMs: 20_000})
		await clock.advance(5)
		submit("j.0.0.0", {isForeign: true})
		await clock.advance(5)
		evacuate(true)
		await clock.advance(1)
		expect(ends).to.eql([{type: "returned", cause: "evacuated"}])
		submit("j.0.0.1", {isForeign: true})
		await clock.advance(1)
		expect(ends).to.have.length(2)
	})

	it("reports no room, and that it cannot serve", async () => {
		const {clock, placer, evacuate} = createDomain()
		await clock.advance(10)
		expect(placer.room().freeCpu).to.have.length(1)
		expect(placer.canServe()).to.equal(true)
		evacuate(true)
		expect(placer.room()).to.deep.include({freeCpu: [], totalCpu: 0})
		expect(placer.canServe()).to.equal(false)
		expect(placer.expectedWaitMs(Infinity)).to.equal(Infinity)
		const step = {count: 1, need: taskRequest("j.0.0.0").need, estimateMs: 100, after: []}
		expect(placer.hasRoomFor(step, "svc")).to.equal(false)
	})
})

function createDispatching(evacuated: readonly string[]) {
	const clock = createFakeClock()
	const view = createFleetView(clock, () => undefined)
	const calledAddresses: string[] = []
	const member = (domain: string): Member => ({
		name: `${domain}-1`,
		session: `${domain}-1-s`,
		failureDomain: domain,
		address: `${domain}-1:1`,
		cpuShare: 1,
	})
	const dispatcher = createDispatcher({
		clock,
		log: silentLog,
		view,
		self: {...member("a"), name: "a-2", session: "a-2-s", address: "a-2:1"},
		peers: fakePeers({
			runJob(address) {
				calledAddresses.push(address)
				const reply = Promise.resolve<JobReply>({type: "completed"})
				return {reply, wasUnsent: () => false, wasRefused: () => false, cancel: () => undefined}
			},
		}),
		hosts: {of: () => undefined} as unknown as HostedPlacers,
		config: () => undefined,
		refreshConfig: () => undefined,
		isLeaving: () => false,
		ownLateMs: () => 0,
		isEvacuated: domain => evacuated.includes(domain),
	})
	for (const domain of ["a", "b", "c"]) {
		const claim: Claim = {failureDomain: domain, fence: 1, placer: member(domain)}
		view.noteClaim(claim)
		view.noteHeard(claim.placer.session)
	}
	const job = (): Job => ({
		id: "00000000000000aa",
		queue: QUEUE.name,
		spec: "",
		steps: [{count: 1, need: {cpu: 1, memoryMb: 1, accelerators: 0}, estimateMs: 500, after: []}],
		receivedAt: clock.now(),
		deadlineAt: clock.now() + 5_000,
	})
	return {
		clock,
		dispatcher,
		calledAddresses,
		dispatch: () => dispatcher.dispatch(job(), QUEUE, STAYING),
	}
}

describe("callers of a failure domain under evacuation", () => {
	it("are spread over the other domains in turn", async () => {
		const {calledAddresses, dispatch} = createDispatching(["a"])
		for (let at = 0; at < 4; at++) expect((await dispatch()).type).to.equal("completed")
		expect([...calledAddresses].sort()).to.eql(["b-1:1", "b-1:1", "c-1:1", "c-1:1"])
	})

	/*
	 * Guards against canPlace() advancing the round-robin turn, which sent all jobs to one domain.
	 */
	it("are spread evenly, however often readiness is checked", async () => {
		const {calledAddresses, dispatch, dispatcher} = createDispatching(["a"])
		for (let at = 0; at < 4; at++) {
			await dispatch()
			dispatcher.canPlace()
		}
		expect([...calledAddresses].sort()).to.eql(["b-1:1", "b-1:1", "c-1:1", "c-1:1"])
	})

	it("are served by the only domain left of three", async () => {
		const {calledAddresses, dispatch} = createDispatching(["a", "c"])
		for (let at = 0; at < 2; at++) await dispatch()
		expect(calledAddresses).to.eql(["b-1:1", "b-1:1"])
	})

	it("are refused at once when all domains are evacuated, by an instance that stays ready", async () => {
		const {calledAddresses, clock, dispatch, dispatcher} = createDispatching(["a", "b", "c"])
		const startedAt = clock.now()
		expect(await dispatch()).to.deep.include({type: "refused", kind: "no_capacity"})
		expect(clock.now() - startedAt).to.equal(0)
		expect(calledAddresses).to.eql([])
		expect(dispatcher.canPlace()).to.equal(true)
	})

	it("are served as usual when an unknown domain is evacuated", async () => {
		const {calledAddresses, dispatch} = createDispatching(["nowhere"])
		await dispatch()
		expect(calledAddresses).to.eql(["a-1:1"])
	})
})
