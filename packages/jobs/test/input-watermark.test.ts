/** The input watermark of a process, by turns of its event loop. */
import {trackInputWatermark} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"

function createWorld() {
	const clock = createFakeClock()
	const turns: (() => void)[] = []
	const watermark = trackInputWatermark(clock, callback => turns.push(callback))
	const turn = () => {
		for (const callback of turns.splice(0)) callback()
	}
	return {clock, watermark, turn}
}

describe("input watermark", () => {
	it("is the last update that was followed by three turns of the event loop", async () => {
		const {clock, watermark, turn} = createWorld()
		const begunAt = clock.now()
		for (let at = 0; at < 3; at++) turn()
		await clock.advance(60)
		turn()
		turn()
		expect(watermark.readUpTo()).to.equal(begunAt)
		turn()
		expect(watermark.readUpTo()).to.equal(begunAt + 50)
	})

	it("does not advance while the process is stalled", async () => {
		const {clock, watermark, turn} = createWorld()
		const begunAt = clock.now()
		for (let at = 0; at < 3; at++) turn()
		clock.freeze(3_000)
		// After a stall timers fire first; connections are read afterwards.
		await clock.advance(0)
		expect(watermark.readUpTo()).to.equal(begunAt)
		for (let at = 0; at < 3; at++) turn()
		expect(watermark.readUpTo()).to.equal(begunAt + 3_000)
	})
})

describe("input watermark of a connection", () => {
	it("is the last turn without waiting connections, until the connection has been read", async () => {
		const {clock, watermark, turn} = createWorld()
		const begunAt = clock.now()
		for (let at = 0; at < 3; at++) turn()
		clock.freeze(3_000)
		await clock.advance(0)
		// Two connections wait; each turn of the event loop accepts one.
		const first = watermark.trackConnection()
		turn()
		const second = watermark.trackConnection()
		turn()
		turn()
		expect(watermark.readUpTo()).to.equal(begunAt + 3_000)
		expect(first(), "looked at").to.equal(begunAt + 3_000)
		await clock.advance(1)
		const third = watermark.trackConnection()
		expect(third(), "accepted after the look").to.be.at.most(begunAt + 3_000)
		expect(second()).to.equal(begunAt + 3_000)
	})

	it("does not include an update that began before the connection was accepted", async () => {
		const {clock, watermark, turn} = createWorld()
		const begunAt = clock.now()
		for (let at = 0; at < 3; at++) turn()
		clock.freeze(3_000)
		await clock.advance(0)
		const late = []
		for (let at = 0; at < 6; at++) {
			clock.freeze(1)
			late.push(watermark.trackConnection())
			turn()
		}
		expect(watermark.readUpTo()).to.equal(begunAt + 3_000)
		for (const known of late) expect(known()).to.equal(begunAt)
		turn()
		clock.freeze(1)
		expect(watermark.trackConnection()()).to.be.greaterThan(begunAt + 3_000)
	})
})
