/**
 * An instance detects by the lag of its own timers that it cannot keep up.
 */
import {createLagMonitor} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"

/** Lets timers fire late, as on a slow machine: time passes before each sample. */
async function runLate(clock: ReturnType<typeof createFakeClock>, lateMs: number, times: number) {
	for (let at = 0; at < times; at++) {
		clock.freeze(100 + lateMs)
		await clock.advance(0)
	}
}

describe("strain", () => {
	it("is detected after a series of late timers, and lasts a while", async () => {
		const clock = createFakeClock()
		const lagMonitor = createLagMonitor(clock)
		await clock.advance(4_000)
		await runLate(clock, 60, 4)
		expect(lagMonitor.isStrained()).to.equal(false)
		await runLate(clock, 60, 1)
		expect(lagMonitor.isStrained()).to.equal(true)
		await clock.advance(1_500)
		expect(lagMonitor.isStrained()).to.equal(true)
		await clock.advance(1_000)
		expect(lagMonitor.isStrained()).to.equal(false)
		lagMonitor.close()
	})

	it("is not inferred from one long pause, small delays, or a process that has just started", async () => {
		const clock = createFakeClock()
		const lagMonitor = createLagMonitor(clock)
		await runLate(clock, 60, 12)
		expect(lagMonitor.isStrained()).to.equal(false)
		await clock.advance(4_000)
		await runLate(clock, 4_000, 1)
		await runLate(clock, 10, 20)
		expect(lagMonitor.isStrained()).to.equal(false)
		lagMonitor.close()
	})
})
