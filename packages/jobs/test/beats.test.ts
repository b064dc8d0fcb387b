/**
 * Telling other placers of room: soon when it comes or goes, and without working it out at each change.
 */
import type {Beat, Claim, Member} from "@cottonwood/jobs"
import {createBeats, createFleetView, type BeatMessage} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"

function createWorld() {
	const clock = createFakeClock()
	const view = createFleetView(clock, () => undefined)
	const member = (name: string, failureDomain: string): Member => ({
		name,
		session: name,
		failureDomain,
		address: `${name}:1`,
		cpuShare: 1,
	})
	const [self, other] = [member("a-1", "a"), member("b-1", "b")]
	for (const placer of [self, other]) {
		const claim: Claim = {failureDomain: placer.failureDomain, fence: 1, placer}
		view.noteClaim(claim)
	}
	const sent: BeatMessage[] = []
	let freeCpu: number[] = []
	let workedOut = 0
	const unused = () => {
		throw new Error("not used")
	}
	const beats = createBeats({
		clock,
		view,
		self,
		peers: {
			beat: unused,
			runJob: unused,
			runTask: unused,
			takeOver: unused,
			kept: unused,
			noteReachable: () => undefined,
			close: unused,
		},
		send: (_address, message) => void sent.push(message),
		own(): Beat {
			workedOut++
			const room = {freeCpu, totalCpu: 64_000, waitingWork: 0, labels: []}
			return {from: self, claims: [], rooms: {a: room}, isLeaving: false, configVersion: 1}
		},
		onBeat: () => undefined,
	})
	return {
		clock,
		beats,
		/** Beats that told of room without asking for an answer. */
		told: () => sent.filter(({wantsAnswer}) => !wantsAnswer),
		setRoom(room: number[]) {
			freeCpu = room
			beats.noteRoomChange()
		},
		workedOut: () => workedOut,
	}
}

describe("beats about room", () => {
	it("tells soon that room has come or gone, though it was just told", async () => {
		const world = createWorld()
		world.setRoom([30_000])
		await world.clock.advance(5)
		expect(world.told()).to.have.length(1)
		world.setRoom([20_000])
		await world.clock.advance(10)
		world.setRoom([])
		await world.clock.advance(20)
		expect(world.told()).to.have.length(2)
		expect(world.told()[1]?.rooms["a"]?.freeCpu).to.eql([])
	})

	it("tells less often that there is more or less of it", async () => {
		const world = createWorld()
		for (let at = 0; at < 30; at++) {
			world.setRoom([30_000 + at])
			await world.clock.advance(10)
		}
		expect(world.told().length).to.be.within(4, 7)
	})

	it("does not work the room out at each change", async () => {
		const world = createWorld()
		const before = world.workedOut()
		for (let at = 0; at < 300; at++) {
			world.setRoom([30_000 + at])
			await world.clock.advance(1)
		}
		expect(world.workedOut() - before).to.be.lessThan(40)
	})

	it("says nothing when what others decide by is as it was told", async () => {
		const world = createWorld()
		world.setRoom([30_000])
		await world.clock.advance(100)
		world.setRoom([30_000])
		await world.clock.advance(100)
		expect(world.told()).to.have.length(1)
	})
})
