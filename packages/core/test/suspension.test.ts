/**
 * The system clock includes suspensions of the machine, but not jumps of the wall clock.
 */
import {createSystemClock} from "../src/utils/clock.js"
import {createSuspensionCount} from "../src/utils/suspension-count.js"
import {expect} from "chai"

function createWorld() {
	const clocks = {monotonic: 1_000, wall: 1_700_000_000_000, boot: 50_000}
	const suspensions: number[] = []
	const count = createSuspensionCount({
		monotonic: () => clocks.monotonic,
		wall: () => clocks.wall,
		sinceBoot: () => clocks.boot,
		onSuspension: ms => void suspensions.push(ms),
	})
	function advance(ms: number) {
		clocks.monotonic += ms
		clocks.wall += ms
		clocks.boot += ms
	}
	function suspend(ms: number) {
		clocks.wall += ms
		clocks.boot += ms
	}
	return {
		clocks,
		suspensions,
		advance,
		suspend,
		suspendedMs: () => count.suspendedMs(clocks.monotonic),
	}
}

describe("suspensions", () => {
	it("count from the first reading after them", () => {
		const {advance, suspend, suspendedMs, suspensions} = createWorld()
		advance(10)
		expect(suspendedMs()).to.equal(0)
		suspend(3_000)
		expect(suspendedMs()).to.equal(3_000)
		advance(500)
		suspend(700)
		expect(suspendedMs()).to.equal(3_700)
		expect(suspensions).to.eql([3_000, 700])
	})

	it("are not seen in jumps of the wall clock, forward or back", () => {
		const {clocks, advance, suspendedMs, suspensions} = createWorld()
		for (const jump of [2_000, -2_000, 86_400_000, -3_000]) {
			clocks.wall += jump
			expect(suspendedMs()).to.equal(0)
			advance(200)
			expect(suspendedMs()).to.equal(0)
		}
		expect(suspensions).to.eql([])
	})

	it("are found when the wall clock jumped as well, at the latest at the next check", () => {
		const both = createWorld()
		both.suspend(3_000)
		both.clocks.wall += 2_000
		expect(both.suspendedMs()).to.equal(3_000)
		const hidden = createWorld()
		hidden.suspend(3_000)
		hidden.clocks.wall -= 3_000
		hidden.advance(51)
		expect(hidden.suspendedMs()).to.equal(3_000)
	})

	it("are not inferred from clocks that are corrected in small steps", () => {
		const {clocks, advance, suspendedMs} = createWorld()
		for (let at = 0; at < 1_000; at++) {
			advance(40)
			clocks.wall += 1
			suspendedMs()
		}
		expect(suspendedMs()).to.equal(0)
	})
})

describe("timers that fell due during a suspension", () => {
	/* Guards against a timer that fires although another due timer has cancelled it. */
	it("do not fire once another one has cancelled them", async () => {
		const clock = createSystemClock()
		let asleepMs = 0
		clock.countSuspensions(
			() => performance.now() + asleepMs,
			() => undefined,
		)
		const fired: string[] = []
		let cancelLater: () => void = () => undefined
		clock.schedule(50_000, () => {
			fired.push("sooner")
			cancelLater()
		})
		cancelLater = clock.schedule(50_001, () => void fired.push("later"))
		asleepMs = 60_000
		await new Promise(resolve => setTimeout(resolve, 100))
		clock.now()
		await new Promise(resolve => setTimeout(resolve, 20))
		expect(fired).to.eql(["sooner"])
	})
})
