/** The placers hosted by one instance, when another domain is handed over to it. */
import {createJobMetrics, silentLog, type Claim, type ExecutorRecord} from "@cottonwood/jobs"
import {createHostedPlacers, type Keeper} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeFleet, record} from "./support/fake-executors.js"
import {LEASE_RULE, NO_ADVISOR, NO_KEPT_RUNS, taskRequest} from "./support/requests.js"

const self = {name: "a-1", session: "a-1-s", failureDomain: "a", address: "a-1:1", cpuShare: 1}
const claimOf = (failureDomain: string, fence: number): Claim => ({
	failureDomain,
	fence,
	placer: self,
})

function createWorld(listed: readonly ExecutorRecord[]) {
	const clock = createFakeClock()
	const keeper = {
		...NO_KEPT_RUNS,
		begin: () => undefined,
		close: () => undefined,
		jobCount: () => 0,
	} as unknown as Keeper
	const hosts = createHostedPlacers({
		clock,
		orders: new FakeFleet(clock),
		advisor: NO_ADVISOR,
		log: silentLog,
		metrics: createJobMetrics(),
		self,
		leaseRule: LEASE_RULE,
		stopGraceMs: 50,
		handOver: () => false,
		onRoomChange: () => undefined,
		createKeeper: () => keeper,
		isEvacuated: () => false,
		executorsOf: domain => listed.filter(({failureDomain}) => failureDomain === domain),
	})
	return {clock, hosts}
}

describe("hosted placers", () => {
	it("keep using their own domain's executors while another domain is taken over", async () => {
		const {clock, hosts} = createWorld([record("a1")])
		hosts.noteClaim(claimOf("a", 1))
		await clock.advance(50)
		expect(hosts.of("a")?.placer.counts().usable).to.equal(1)
		hosts.expectHandover({failureDomain: "b", fence: 5}, [record("b1", {failureDomain: "b"})])
		hosts.noteClaim(claimOf("b", 5))
		await clock.advance(50)
		expect(hosts.of("a")?.placer.counts().usable).to.equal(1)
		expect(hosts.of("b")?.placer.counts().usable).to.equal(1)
	})

	it("ignore a handover announced for another claim", async () => {
		const {clock, hosts} = createWorld([record("b2", {failureDomain: "b"})])
		hosts.expectHandover({failureDomain: "b", fence: 5}, [record("b1", {failureDomain: "b"})])
		hosts.noteClaim(claimOf("b", 7))
		await clock.advance(50)
		expect(hosts.executorsOf("b").map(({id}) => id)).to.eql(["b2"])
		expect(hosts.of("b")?.placer.hasTakenOver()).to.equal(false)
	})

	it("end placing when the successor's answer was lost and another instance has the claim", async () => {
		const {clock, hosts} = createWorld([record("a1")])
		hosts.noteClaim(claimOf("a", 1))
		await clock.advance(50)
		hosts.offerHandover("a")
		hosts.noteClaim({...claimOf("a", 2), placer: {...self, session: "other"}})
		expect(hosts.of("a"), "its runs may still be asked for").to.not.equal(undefined)
		hosts.withdrawHandover("a")
		expect(hosts.of("a")).to.equal(undefined)
	})

	it("include executors in a handover that the list has dropped but that still run something", async () => {
		const {clock, hosts} = createWorld([record("a1"), record("a2")])
		hosts.noteClaim(claimOf("a", 1))
		await clock.advance(50)
		const req = taskRequest("j.0.0.0", {estimateMs: 5_000, avoid: ["a2"]})
		hosts.of("a")?.placer.submit(
			req,
			() => undefined,
			() => undefined,
		)
		await clock.advance(20)
		hosts.setExecutors([record("a2")])
		const named = hosts.executorsOf("a").map(({id, isLeaving}) => ({id, isLeaving}))
		expect(named).to.have.deep.members([
			{id: "a1", isLeaving: true},
			{id: "a2", isLeaving: false},
		])
	})
})
