/**
 * Fails when a long time counts as none: a timer of the runtime fires at once for more milliseconds than it can hold.
 */
import {expect} from "chai"
import {createSystemClock} from "../src/utils/clock.js"

const OVER_LONG_MS = [2 ** 31, 1e12, Infinity]

describe("the clock of a process", () => {
	it("waits for times that no timer can hold", async () => {
		const clock = createSystemClock()
		const fired: number[] = []
		const cancels = OVER_LONG_MS.map(ms => clock.schedule(ms, () => void fired.push(ms)))
		await clock.sleep(30)
		for (const cancel of cancels) cancel()
		expect(fired).to.eql([])
	})
})
