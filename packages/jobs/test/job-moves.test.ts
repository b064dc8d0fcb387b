/**
 * Kept jobs that cannot start in their failure domain: they go only where an executor could run them and has room, and
 * otherwise stay. Three domains are placed by one instance.
 */
import {createJobMetrics, silentLog, type Claim, type ExecutorRecord} from "@cottonwood/jobs"
import {
	claimKey,
	createKeptJobService,
	openJobKey,
	type JobRecord,
	type KeptJobRequest,
	type KeptJobServiceDeps,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeFleet, record} from "./support/fake-executors.js"
import {createFakeStore} from "./support/fake-store.js"
import {accept, createKeeperWorld, ID, job, task} from "./support/keeper-world.js"
import {createTestPlacer} from "./support/placers.js"
import {step} from "./support/records.js"
import {LEASE_RULE, QUEUE} from "./support/requests.js"

const DOMAINS = ["a", "b", "c"]
/** The longest that a job may have nothing running while an executor could run it. */
const MAX_AWAY_MS = 3_000
/** By then a placer has taken over, also one without executors. */
const TAKEOVER_MS = 2_200
const LABEL = "gpu"
const NEED = {cpu: 27_000, memoryMb: 64, accelerators: 0}

type Hosted = ReturnType<KeptJobServiceDeps["hosts"]["of"]>

async function createWorld(executors: Readonly<Record<string, readonly ExecutorRecord[]>>) {
	const clock = createFakeClock()
	const {fake, store} = createFakeStore()
	const orders = new FakeFleet(clock)
	const common = {clock, log: silentLog, metrics: createJobMetrics()}
	const hosted = new Map<string, NonNullable<Hosted>>()
	const listed = new Map(Object.entries(executors))
	const claims = DOMAINS.map((failureDomain): Claim => {
		const placer = {name: "n", session: "s", failureDomain, address: "n:1", cpuShare: 1}
		return {failureDomain, fence: 1, placer}
	})
	const claimOf = (name: string) => claims.find(({failureDomain}) => failureDomain === name)
	const view = {claims: () => claims, claimOf, isLeaving: () => false, roomOf: () => undefined}
	const service = createKeptJobService({
		...common,
		store,
		peers: undefined as never,
		view: view as unknown as KeptJobServiceDeps["view"],
		hosts: {of: (name: string) => hosted.get(name)} as unknown as KeptJobServiceDeps["hosts"],
		leaseRule: LEASE_RULE,
		storeWritesPerSecond: 400,
		endedStateMs: 120_000,
		failureDomains: DOMAINS,
		candidates: () => claims,
		queueOf: () => QUEUE,
		isConfigured: () => true,
		executorsOf: name => listed.get(name) ?? [],
	})
	for (const claim of claims) {
		const {failureDomain} = claim
		fake.write(claimKey(failureDomain), claim)
		const keeper = service.createKeeper(claim, () => undefined)
		const placer = createTestPlacer({...common, orders, failureDomain, kept: keeper})
		hosted.set(failureDomain, {claim, keeper, placer} as unknown as NonNullable<Hosted>)
		keeper.begin(placer)
	}
	function list(failureDomain: string, records: readonly ExecutorRecord[]) {
		listed.set(failureDomain, records)
		hosted.get(failureDomain)?.placer.setExecutors(records)
	}
	for (const [failureDomain, records] of listed) list(failureDomain, records)
	await clock.advance(TAKEOVER_MS)

	/** Hands a job in at the placer of a domain, which does not redirect it. */
	async function acceptAt(failureDomain: string, request: KeptJobRequest) {
		const reply = hosted.get(failureDomain)?.keeper.accept(request)
		await clock.advance(100)
		expect((await reply)?.type).to.equal("accepted")
	}
	async function acceptAnywhere(request: KeptJobRequest) {
		const reply = service.front.accept(request)
		await clock.advance(100)
		expect((await reply).type).to.equal("accepted")
	}
	const homeOf = (id = ID) => (fake.items.get(openJobKey(id))?.value as JobRecord | undefined)?.home
	const startsOf = (id = ID) =>
		orders.starts.filter(start => start.task.startsWith(id)).map(({executor}) => executor)
	return {clock, orders, list, acceptAt, acceptAnywhere, homeOf, startsOf}
}

const labelled = (id: string, extra: Partial<ExecutorRecord> = {}) =>
	record(id, {labels: [LABEL], ...extra})
const labelledJob = (extra: Partial<KeptJobRequest> = {}) =>
	job({steps: [step({count: 1, label: LABEL})], ...extra})

describe("a kept job that cannot start in its failure domain", () => {
	// The job was moved to and fro between domains without its label, and never ran again.
	it("stays while no other executor has its label, and runs once its executor is back", async () => {
		const world = await createWorld({a: [record("a1")], b: [record("b1")], c: [labelled("c1")]})
		await world.acceptAt("c", labelledJob())
		expect(world.startsOf()).to.eql(["c1"])
		world.orders.replace("c1")
		world.list("c", [])
		await world.clock.advance(4_500)
		expect(world.homeOf()).to.equal("c")
		world.list("c", [labelled("c2")])
		await world.clock.advance(MAX_AWAY_MS)
		expect(world.startsOf()).to.eql(["c1", "c2"])
	})

	// A job that was handed in before its label was reported was moved past the domain that has it.
	it("moves to the domain whose executor has its label", async () => {
		const world = await createWorld({a: [record("a1")], b: [record("b1")], c: [record("c1")]})
		await world.acceptAt("b", labelledJob())
		await world.clock.advance(MAX_AWAY_MS)
		expect(world.homeOf()).to.equal("b")
		world.list("c", [record("c1"), labelled("c2")])
		await world.clock.advance(MAX_AWAY_MS)
		expect(world.homeOf()).to.equal("c")
		expect(world.startsOf()).to.eql(["c2"])
	})

	// Free capacity at other executors of a domain counted as room for the job.
	it("moves only where an executor with its label has room", async () => {
		const full = {capacity: {...NEED}}
		const world = await createWorld({
			a: [record("a1")],
			b: [record("b1"), labelled("b2", full)],
			c: [record("c1"), labelled("c2", full)],
		})
		await world.acceptAt("b", labelledJob({id: "00000000000000bb"}))
		await world.acceptAt("c", labelledJob({id: "00000000000000cc"}))
		await world.acceptAt("a", labelledJob())
		await world.clock.advance(MAX_AWAY_MS)
		expect(world.homeOf()).to.equal("a")
		world.orders.end(task(0, "00000000000000cc"), "done")
		await world.clock.advance(MAX_AWAY_MS)
		expect(world.startsOf()).to.eql(["c2"])
	})

	// The job was moved to executors of another service.
	it("moves to a domain with executors of its service", async () => {
		const other = {service: "other"}
		const world = await createWorld({
			a: [record("a1", other)],
			b: [record("b1", other)],
			c: [record("c1")],
		})
		await world.acceptAt("a", job({steps: [step({count: 1})]}))
		await world.clock.advance(MAX_AWAY_MS)
		expect(world.startsOf()).to.eql(["c1"])
	})

	// A job was accepted by a domain without executors of its service.
	it("is accepted where executors of its service are", async () => {
		const other = {service: "other"}
		const world = await createWorld({
			a: [record("a1", other)],
			b: [record("b1", other)],
			c: [record("c1")],
		})
		await world.acceptAnywhere(job({steps: [step({count: 1})]}))
		expect(world.homeOf()).to.equal("c")
		expect(world.startsOf()).to.eql(["c1"])
	})

	// The largest step decided, though its turn had not come.
	it("moves by the steps whose turn has come", async () => {
		const large = {cpu: 60_000, memoryMb: 64, accelerators: 0}
		const world = await createWorld({
			a: [],
			b: [record("b1", {capacity: NEED})],
			c: [],
		})
		const steps = [step({count: 1}), step({count: 1, need: large, after: [0]})]
		await world.acceptAt("a", job({steps}))
		await world.clock.advance(MAX_AWAY_MS)
		expect(world.startsOf()).to.eql(["b1"])
	})

	// A job that nothing here explains was moved once a second for ever.
	it("waits longer after each move without a start", async () => {
		const world = createKeeperWorld()
		const far = {name: "f", session: "f", failureDomain: "b", address: "f:1", cpuShare: 1}
		const claim: Claim = {failureDomain: "b", fence: 9, placer: far}
		const {keeper} = world.beginPlacing({findRoom: async () => claim}, 0, {listed: []})
		await world.clock.advance(TAKEOVER_MS)
		await accept(world, keeper)
		await world.clock.advance(1_500)
		expect(world.open()).to.deep.include({home: "b", fruitlessMoves: 1})
		world.fake.write(openJobKey(ID), {...world.open(), home: "a", fruitlessMoves: 2})
		await keeper.fetch(ID)
		await world.clock.advance(2_500)
		expect(world.open()?.home).to.equal("a")
		await world.clock.advance(1_000)
		expect(world.open()).to.deep.include({home: "b", fruitlessMoves: 3})
	})

	// A job that started while other placers were asked was stopped and moved.
	it("stays when it has started while other placers were asked", async () => {
		const world = createKeeperWorld()
		const far = {name: "f", session: "f", failureDomain: "b", address: "f:1", cpuShare: 1}
		const claim: Claim = {failureDomain: "b", fence: 9, placer: far}
		const findRoom = async () => {
			await world.clock.sleep(200)
			return claim
		}
		const {keeper, placer} = world.beginPlacing({findRoom}, 0, {listed: []})
		await world.clock.advance(TAKEOVER_MS)
		await accept(world, keeper, job({steps: [step({count: 1})]}))
		await world.clock.advance(900)
		placer.setExecutors([record("e1")])
		await world.clock.advance(2_000)
		expect(world.open()?.home).to.equal("a")
		expect(world.startsOf(task(0))).to.have.length(1)
		expect(world.orders.runningCount).to.equal(1)
	})
})
