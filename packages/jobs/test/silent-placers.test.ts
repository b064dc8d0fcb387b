/**
 * What instances answer of the kept jobs of a placer that does not answer.
 */
import {createJobMetrics, silentLog, type Claim} from "@cottonwood/jobs"
import {createKeptJobService, type KeptJobServiceDeps} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {createFakeStore} from "./support/fake-store.js"
import {LEASE_RULE, QUEUE} from "./support/requests.js"

const PENDING = 16

describe("the kept jobs of a placer that was killed", () => {
	// The others counted none of its jobs until its successor had read the store.
	it("stay in the count of pending jobs", async () => {
		const clock = createFakeClock()
		const {store} = createFakeStore()
		let isAlive = true
		const placer = {name: "n", session: "s", failureDomain: "a", address: "n:1", cpuShare: 1}
		const claim: Claim = {failureDomain: "a", fence: 1, placer}
		const reply = () => (isAlive ? {type: "pending", count: PENDING} : undefined)
		const peers = {kept: () => ({reply: Promise.resolve(reply()), wasUnsent: () => false})}
		const service = createKeptJobService({
			clock,
			log: silentLog,
			metrics: createJobMetrics(),
			store,
			peers: peers as unknown as KeptJobServiceDeps["peers"],
			view: {claims: () => [claim]} as unknown as KeptJobServiceDeps["view"],
			hosts: {of: () => undefined} as unknown as KeptJobServiceDeps["hosts"],
			leaseRule: LEASE_RULE,
			storeWritesPerSecond: 400,
			endedStateMs: 120_000,
			failureDomains: ["a"],
			candidates: () => [claim],
			queueOf: () => QUEUE,
			isConfigured: () => true,
			executorsOf: () => [],
		})
		expect(await service.front.pendingOf(QUEUE.name)).to.equal(PENDING)
		isAlive = false
		expect(await service.front.pendingOf(QUEUE.name)).to.equal(PENDING)
		service.close()
	})
})
