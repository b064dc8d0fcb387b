/**
 * Probing executors of other failure domains: its calls to the store and to the executors.
 */
import {createReachabilityProbe} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {record} from "./support/fake-executors.js"
import {createFakeStore} from "./support/fake-store.js"

const DOMAINS = ["a", "b", "c", "d", "e"]

function createWorld(options: {readonly isFollowed?: boolean} = {}) {
	const clock = createFakeClock()
	const {fake, store} = createFakeStore()
	const records = DOMAINS.map(domain => ({...record(`${domain}1`), failureDomain: domain}))
	for (const one of records) fake.write(`e/${one.id}`, one.id)
	const probed: string[] = []
	const probe = createReachabilityProbe({
		clock,
		store,
		orders: {
			isReachable: one => {
				probed.push(one.id)
				return Promise.resolve(one.id !== "c1")
			},
		},
		executorPrefix: "e/",
		decodeExecutor: ({value}) => records.find(({id}) => id === value),
		latestExecutors: () => (options.isFollowed ? records : undefined),
	})
	return {clock, fake, probe, probed}
}

describe("probing executors of other failure domains", () => {
	/*
	 * Guards against reading the whole list for each probe, which filled a narrow link, so that no
	 * placer was heard and the probes continued.
	 */
	it("reads the list once for all of them, and again only after a while", async () => {
		const {clock, fake, probe} = createWorld()
		for (let at = 0; at < 8; at++) {
			const answers = await Promise.all(DOMAINS.map(domain => probe.canReachExecutors(domain)))
			expect(answers).to.eql([true, true, false, true, true])
			await clock.advance(500)
		}
		expect(fake.lists).to.equal(1)
		await clock.advance(2_000)
		await probe.canReachExecutors("a")
		expect(fake.lists).to.equal(2)
	})

	// A domain was out of reach for good when the first three executors of the list were dead and their entries stayed.
	it("finds an executor that answers behind dead ones, and keeps to it", async () => {
		const executors = ["c1", "c2", "c3", "c4", "c5"].map(id => record(id, {failureDomain: "c"}))
		const probe = createReachabilityProbe({
			clock: createFakeClock(),
			store: createFakeStore().store,
			orders: {isReachable: ({id}) => Promise.resolve(id === "c5")},
			executorPrefix: "e/",
			decodeExecutor: () => undefined,
			latestExecutors: () => executors,
		})
		const answers: boolean[] = []
		for (let at = 0; at < 6; at++) answers.push(await probe.canReachExecutors("c"))
		expect(answers).to.eql([false, true, true, true, true, true])
	})

	it("does not read the list where it is followed", async () => {
		const {fake, probe, probed} = createWorld({isFollowed: true})
		expect(await probe.canReachExecutors("b")).to.equal(true)
		expect(probed).to.eql(["b1"])
		expect(fake.lists).to.equal(0)
	})

	it("reads the list again when it was not answered", async () => {
		const {clock, fake, probe} = createWorld()
		fake.isAway = true
		expect(await probe.canReachExecutors("a")).to.equal(false)
		fake.isAway = false
		await clock.advance(500)
		expect(await probe.canReachExecutors("a")).to.equal(true)
	})
})
