/**
 * Fails when a loop of an instance stops for good at its first failure, while the instance looks alive.
 */
import {createJobMetrics, silentLog} from "@cottonwood/jobs"
import {followPrefix, keepGoing} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {createFakeStore} from "./support/fake-store.js"
import {rejectionsDuring} from "./support/rejections.js"

/** Throws at its first call. */
function failingOnce() {
	let calls = 0
	return {
		calls: () => calls,
		call() {
			calls++
			if (calls === 1) throw new Error("odd input")
		},
	}
}

describe("a loop that fails", () => {
	it("is begun again after a pause, and counted", async () => {
		const clock = createFakeClock()
		const metrics = createJobMetrics()
		const work = failingOnce()
		let rounds = 0
		const ended = keepGoing(
			"claims",
			async () => {
				for (rounds = 0; rounds < 3; rounds++) {
					await clock.sleep(10)
					work.call()
				}
			},
			{clock, log: silentLog, metrics},
		)
		await clock.advance(100)
		expect(work.calls()).to.equal(1)
		await clock.advance(1_000)
		await ended
		expect(work.calls()).to.equal(4)
		expect(await metrics.text()).to.contain('broken_assumptions{reason="loop_claims"} 1')
	})

	it("goes on following the store", async () => {
		const clock = createFakeClock()
		const {fake, store} = createFakeStore()
		const listed = failingOnce()
		fake.watch = () => new Promise(() => undefined)
		const found = await rejectionsDuring(async () => {
			const follower = followPrefix({
				clock,
				store,
				log: silentLog,
				metrics: createJobMetrics(),
				prefix: "p/",
				waitMs: 1_000,
				relistMs: Infinity,
				onListing: listed.call,
				onChange: () => undefined,
			})
			await clock.advance(2_000)
			follower.close()
		})
		expect(found).to.eql([])
		expect(listed.calls()).to.equal(2)
	})
})
