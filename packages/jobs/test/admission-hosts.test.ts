/** Admission by forecast at hosted placers: which judgement is used, and what a takeover does to it. */
import {createJobMetrics, silentLog, type Claim, type Job, type JobEnd} from "@cottonwood/jobs"
import {
	createHostedPlacers,
	type HostedPlacer,
	type JobMove,
	type Keeper,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {FakeFleet, record} from "./support/fake-executors.js"
import {LEASE_RULE, NO_ADVISOR, NO_KEPT_RUNS, QUEUE, STAYING} from "./support/requests.js"

const self = {name: "a-1", session: "a-1-s", failureDomain: "a", address: "a-1:1", cpuShare: 1}
const claimOf = (fence: number, session = self.session): Claim => ({
	failureDomain: "a",
	fence,
	placer: {...self, session},
})

function createWorld(isForecasting: boolean) {
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
		executorsOf: () => [record("a1")],
		forecasting: isForecasting ? {borrowableCores: () => 0, queues: () => [QUEUE]} : undefined,
	})
	let serial = 0
	/** Runs a job that fills the executor. */
	function run(estimateMs: number): Promise<JobEnd | JobMove> {
		const need = {cpu: 64_000, memoryMb: 1, accelerators: 0}
		const job: Job = {
			id: (++serial).toString(16).padStart(16, "0"),
			queue: QUEUE.name,
			spec: "",
			steps: [{count: 1, need, estimateMs, after: []}],
			receivedAt: clock.now(),
			deadlineAt: clock.now() + 5_000,
		}
		return hosts.run(hosts.of("a") as HostedPlacer, job, QUEUE, {
			...STAYING,
			confirmedAt: clock.now,
		})
	}
	return {clock, hosts, run}
}

describe("admission at hosted placers", () => {
	it("gives a retry time only when jobs are judged by forecasts", async () => {
		for (const isForecasting of [true, false]) {
			const {clock, hosts, run} = createWorld(isForecasting)
			hosts.noteClaim(claimOf(1))
			await clock.advance(50)
			void run(2_000)
			for (let at = 0; at < 3; at++) void run(2_000)
			await clock.advance(5)
			const refused = await Promise.race([run(100), clock.advance(2_000)])
			expect(refused).to.deep.include({type: "refused", kind: "overloaded"})
			expect("retryAfterMs" in (refused as JobEnd)).to.equal(isForecasting)
		}
	})

	/*
	 * Another instance gets the claim: queued jobs must end as not run, and a placer that gets the domain back must not
	 * reuse old sums.
	 */
	it("ends with its placer and starts afresh with the next one", async () => {
		const {clock, hosts, run} = createWorld(true)
		hosts.noteClaim(claimOf(1))
		await clock.advance(50)
		const running = run(2_000)
		await clock.advance(5)
		const waiting = run(2_000)
		await clock.advance(5)
		const before = hosts.of("a")?.admission
		hosts.noteClaim(claimOf(2, "other"))
		expect(await waiting).to.deep.include({type: "refused", kind: "no_capacity"})
		expect(await running).to.deep.include({type: "given up", kind: "placer_lost"})
		hosts.noteClaim(claimOf(3))
		await clock.advance(100)
		expect(hosts.of("a")?.admission).to.not.equal(before)
	})
})
