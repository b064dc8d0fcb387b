/** Whole jobs that a placer without room moves to another domain, with a real queue and executors in memory. */
import {
	createJobMetrics,
	silentLog,
	type Heartbeat,
	type Claim,
	type Job,
	type Member,
} from "@cottonwood/jobs"
import {
	createFleetView,
	createHostedPlacers,
	createWholeJobMoves,
	type Keeper,
	type WaitingTask,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock, type FakeClock} from "./support/fake-clock.js"
import {FakeFleet, record} from "./support/fake-executors.js"
import {fakePeers} from "./support/peers.js"
import {LEASE_RULE, NO_ADVISOR, NO_KEPT_RUNS, QUEUE, STAYING} from "./support/requests.js"

/** Two tasks of this size fill an executor. */
const TASK_CPU = 27_000

const member = (failureDomain: string): Member => ({
	name: `${failureDomain}-1`,
	session: `${failureDomain}-s`,
	failureDomain,
	address: `${failureDomain}-1:1`,
	cpuShare: 1,
})
const claimOf = (failureDomain: string): Claim => ({
	failureDomain,
	fence: 1,
	placer: member(failureDomain),
})

/** The placer of one domain with one executor, which receives reports of other domains' room. */
function createWorld(clock: FakeClock, own = "a", crossDomainMs = 0) {
	const fleet = new FakeFleet(clock)
	const metrics = createJobMetrics()
	const self = member(own)
	const evacuated = new Set<string>()
	const isEvacuated = (domain: string) => evacuated.has(domain)
	const handedOver: WaitingTask[] = []
	const view = createFleetView(clock, claim => hosts.noteClaim(claim))
	const common = {clock, log: silentLog, metrics, self}
	const {elsewhere} = createWholeJobMoves(
		{...common, view, peers: fakePeers(), isEvacuated},
		{domainChoice: "forecast", crossDomainMs},
	)
	const keeper = {
		...NO_KEPT_RUNS,
		begin: () => undefined,
		close: () => undefined,
		jobCount: () => 0,
	} as unknown as Keeper
	const hosts = createHostedPlacers({
		...common,
		orders: fleet,
		advisor: NO_ADVISOR,
		leaseRule: LEASE_RULE,
		stopGraceMs: 50,
		handOver(item) {
			handedOver.push(item)
			return false
		},
		onRoomChange: () => undefined,
		createKeeper: () => keeper,
		isEvacuated,
		executorsOf: domain => [record(`${domain}1`, {failureDomain: domain})],
		elsewhere,
	})
	let serial = 0
	/** Submits a job with this many tasks; `ends` receives its end. */
	function submit(tasks: number, been: readonly string[] | "stays" = []) {
		const id = `${own}${String(++serial).padStart(15, "0")}`
		const need = {cpu: TASK_CPU, memoryMb: 1, accelerators: 0}
		const job: Job = {
			id,
			queue: QUEUE.name,
			spec: "",
			steps: [{count: tasks, need, estimateMs: 200, after: []}],
			receivedAt: clock.now(),
			deadlineAt: clock.now() + 1_500,
			been: been === "stays" ? undefined : been,
		}
		const host = hosts.of(own)
		if (!host) throw new Error("no host")
		const ends: string[] = []
		void hosts.run(host, job, QUEUE, STAYING).then(end => {
			ends.push(end.type === "elsewhere" ? `to ${end.claim.failureDomain}` : end.type)
		})
		return {id, ends}
	}
	function report(failureDomain: string, freeCpu: readonly number[], isLeaving = false) {
		const room = {freeCpu, totalCpu: 640_000, waitingWork: 0, labels: []}
		const beat: Heartbeat = {
			from: member(failureDomain),
			claims: [claimOf(failureDomain)],
			rooms: {[failureDomain]: room},
			isLeaving,
			configVersion: 1,
		}
		view.applyHeartbeat(beat)
	}
	const startsOf = (id: string) => fleet.starts.filter(({task}) => task.startsWith(id)).length
	view.noteClaim(claimOf(own))
	return {hosts, fleet, view, evacuated, handedOver, submit, report, startsOf}
}

/** A world whose executors are full, and whose other domains have had placers for a while. */
async function createFullWorld({
	clock = createFakeClock(),
	own = "a",
	domains = ["a", "b"],
	crossDomainMs = 0,
} = {}) {
	const world = createWorld(clock, own, crossDomainMs)
	for (const domain of domains) world.view.noteClaim(claimOf(domain))
	await clock.advance(500)
	const first = world.submit(2)
	await clock.advance(5)
	expect(world.startsOf(first.id)).to.equal(2)
	return {...world, clock}
}

describe("a job without room in its domain", () => {
	it("moves as a whole to where it fits, and nothing of it starts here", async () => {
		const {submit, report, startsOf, clock, handedOver, hosts} = await createFullWorld()
		report("b", [64_000])
		const {id, ends} = submit(2)
		await clock.advance(5)
		expect(ends).to.eql(["to b"])
		expect(handedOver).to.have.length(0)
		expect(hosts.counts().waiting).to.equal(0)
		await clock.advance(300)
		expect(startsOf(id)).to.equal(0)
	})

	it("stays, and its tasks go one by one, once the reported room is used up", async () => {
		const {submit, report, clock, handedOver} = await createFullWorld()
		report("b", [64_000])
		const first = submit(2)
		await clock.advance(5)
		const second = submit(2)
		await clock.advance(5)
		expect([first.ends, second.ends]).to.eql([["to b"], []])
		expect(handedOver.map(({req}) => req.job)).to.include(second.id)
	})

	it("stays when its coordinator moves no jobs, after two moves, and when it was there before", async () => {
		for (const been of ["stays", ["c", "d"], ["b"]] as const) {
			const {submit, report, clock, handedOver} = await createFullWorld()
			report("b", [64_000, 64_000])
			const {ends} = submit(1, been)
			await clock.advance(5)
			expect(ends).to.eql([])
			// Its tasks carry the domains tried for the next placer.
			expect(handedOver[0]?.req.been).to.eql(been === "stays" ? undefined : been)
		}
	})

	it("stays once anything of it has started; its tasks move after the configured gain has passed", async () => {
		const {clock, fleet, submit, report, handedOver} = await createFullWorld({crossDomainMs: 10})
		report("b", [64_000, 64_000])
		fleet.end(fleet.starts[0]?.task ?? "", "done")
		await clock.advance(2)
		const {id, ends} = submit(2)
		await clock.advance(5)
		expect(handedOver).to.have.length(0)
		// No run ends here meanwhile, and no report arrives.
		await clock.advance(25)
		expect(ends).to.eql([])
		expect(handedOver[0]?.req.job).to.equal(id)
	})

	it("stays while the other domain is evacuated, its placer leaves, or it reports nothing", async () => {
		for (const trouble of ["emptied", "leaving", "silent"]) {
			const {submit, report, clock, evacuated} = await createFullWorld()
			if (trouble === "emptied") evacuated.add("b")
			if (trouble !== "silent") report("b", [64_000], trouble === "leaving")
			const {ends} = submit(2)
			await clock.advance(5)
			expect(ends, trouble).to.eql([])
		}
	})

	it("stays while the other domain's placer has only just begun", async () => {
		const {submit, report, clock, view} = await createFullWorld()
		view.noteClaim({...claimOf("b"), fence: 2})
		report("b", [64_000])
		const job = submit(2)
		await clock.advance(5)
		expect(job.ends).to.eql([])
	})

	it("stays when the other domain's report is old", async () => {
		const {submit, report, clock} = await createFullWorld()
		report("b", [64_000])
		await clock.advance(520)
		const job = submit(2)
		await clock.advance(5)
		expect(job.ends).to.eql([])
	})

	/* Guards against overfilling a domain: two full domains get the same report of its room at the same time. */
	it("is never sent to a domain beyond its reported room, even when two domains send at once", async () => {
		const clock = createFakeClock()
		const domains = ["a", "b", "c"]
		const a = await createFullWorld({clock, domains})
		const b = await createFullWorld({clock, domains, own: "b"})
		a.report("b", [])
		b.report("a", [])
		const told = Array.from({length: 6}, () => 64_000)
		for (const {report} of [a, b]) report("c", told)
		const jobs = [a, b].flatMap(({submit}) => Array.from({length: 9}, () => submit(1)))
		await clock.advance(5)
		const sent = jobs.filter(({ends}) => ends.includes("to c")).length
		expect(sent).to.be.greaterThan(8)
		// Two jobs fit on each of the six executors.
		expect(sent).to.be.at.most(12)
	})
})
