/**
 * Guards against a placer that loses its domain without reporting the end of tasks handed over by other placers: their calls
 * would stay open until the deadline.
 */
import {createJobMetrics, silentLog, type Claim} from "@cottonwood/jobs"
import {createHostedPlacers, type Keeper, type TaskEnd} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeFleet, record} from "./support/fake-executors.js"
import {LEASE_RULE, NO_ADVISOR, NO_KEPT_RUNS, taskRequest} from "./support/requests.js"

const self = {name: "a-1", session: "a-1-s", failureDomain: "a", address: "a-1:1", cpuShare: 1}
const claimOf = (fence: number, session: string): Claim => ({
	failureDomain: "a",
	fence,
	placer: {...self, session},
})
const ignore = () => undefined

describe("a placer that loses its domain", () => {
	it("reports tasks of other placers as lost once their runs have certainly ended", async () => {
		const clock = createFakeClock()
		const keeper = {...NO_KEPT_RUNS, begin: ignore, close: ignore, jobCount: () => 0}
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
			onRoomChange: ignore,
			createKeeper: () => keeper as unknown as Keeper,
			executorsOf: () => [record("a1")],
			isEvacuated: () => false,
		})
		hosts.noteClaim(claimOf(1, self.session))
		await clock.advance(50)
		const ends: TaskEnd[] = []
		const req = taskRequest("j.0.0.0", {isForeign: true, estimateMs: 50_000})
		hosts.of("a")?.placer.submit(req, end => void ends.push(end), ignore)
		await clock.advance(50)
		expect(hosts.of("a")?.placer.counts().running).to.equal(1)
		hosts.noteClaim(claimOf(2, "another"))
		await clock.advance(3_000)
		expect(ends.map(({type}) => type)).to.eql(["lost"])
	})
})
