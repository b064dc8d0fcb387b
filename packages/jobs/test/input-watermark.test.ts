/** How old what an instance knows may be, by the turns of its loop. */
import {trackInputWatermark} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"

function createWorld() {
	const clock = createFakeClock()
	const turns: (() => void)[] = []
	const news = trackInputWatermark(clock, callback => turns.push(callback))
	const turn = () => {
		for (const callback of turns.splice(0)) callback()
	}
	return {clock, news, turn}
}

describe("news", () => {
	it("are as old as the last look after which the loop went round three times", async () => {
		const {clock, news, turn} = createWorld()
		const begunAt = clock.now()
		for (let at = 0; at < 3; at++) turn()
		await clock.advance(60)
		turn()
		turn()
		expect(news.readUpTo()).to.equal(begunAt)
		turn()
		expect(news.readUpTo()).to.equal(begunAt + 50)
	})

	it("stay as old as they are while the process stands still", async () => {
		const {clock, news, turn} = createWorld()
		const begunAt = clock.now()
		for (let at = 0; at < 3; at++) turn()
		clock.freeze(3_000)
		// Timers come first after a standstill; what lay in the connections is read after them.
		await clock.advance(0)
		expect(news.readUpTo()).to.equal(begunAt)
		for (let at = 0; at < 3; at++) turn()
		expect(news.readUpTo()).to.equal(begunAt + 3_000)
	})
})

describe("news of a connection", () => {
	it("are as old as the last turn before it in which none waited, until it has been looked at", async () => {
		const {clock, news, turn} = createWorld()
		const begunAt = clock.now()
		for (let at = 0; at < 3; at++) turn()
		clock.freeze(3_000)
		await clock.advance(0)
		// Two connections waited; each turn of the loop accepts one.
		const first = news.trackConnection()
		turn()
		const second = news.trackConnection()
		turn()
		turn()
		expect(news.readUpTo()).to.equal(begunAt + 3_000)
		expect(first(), "looked at").to.equal(begunAt + 3_000)
		await clock.advance(1)
		const third = news.trackConnection()
		expect(third(), "accepted after the look").to.be.at.most(begunAt + 3_000)
		expect(second()).to.equal(begunAt + 3_000)
	})

	it("of one that was accepted after a look are not those of the look", async () => {
		const {clock, news, turn} = createWorld()
		const begunAt = clock.now()
		for (let at = 0; at < 3; at++) turn()
		clock.freeze(3_000)
		await clock.advance(0)
		const late = []
		for (let at = 0; at < 6; at++) {
			clock.freeze(1)
			late.push(news.trackConnection())
			turn()
		}
		expect(news.readUpTo()).to.equal(begunAt + 3_000)
		for (const known of late) expect(known()).to.equal(begunAt)
		turn()
		clock.freeze(1)
		expect(news.trackConnection()()).to.be.greaterThan(begunAt + 3_000)
	})
})
