/**
 * Told room, counted down by what was sent there since.
 */
import type {Claim, Member} from "@cottonwood/jobs"
import {createRoomEstimates, createFleetView} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"

function createWorld(countsInFlight: boolean) {
	const clock = createFakeClock()
	const view = createFleetView(clock, () => undefined)
	const placer: Member = {
		name: "b-1",
		session: "b-s",
		failureDomain: "b",
		address: "b-1:1",
		cpuShare: 1,
	}
	const claim: Claim = {failureDomain: "b", fence: 1, placer}
	view.noteClaim(claim)
	const rooms = createRoomEstimates(clock, view, countsInFlight)
	const tell = () => {
		const room = {freeCpu: [16_000, 8_000], totalCpu: 64_000, waitingWork: 0}
		view.applyRoomUpdate({session: "b-s", rooms: {b: room}})
	}
	const send = () => rooms.deduct("b", {tasks: 2, cpu: 8_000, work: 100})
	return {clock, rooms, tell, send}
}

describe("counted room", () => {
	it("is what was told less what was sent since, and none once that is old", async () => {
		const {clock, rooms, tell, send} = createWorld(true)
		expect(rooms.of("b")).to.equal(undefined)
		tell()
		send()
		expect(rooms.of("b")).to.deep.include({freeCpu: [8_000, 0], sentCpu: 16_000, sentWork: 100})
		await clock.advance(501)
		expect(rooms.of("b")).to.equal(undefined)
	})

	/* What was on its way when the room was told is not in it: two tellings in a row would give the same room away twice. */
	it("goes on counting what was sent just before it was told again", async () => {
		const {clock, rooms, tell, send} = createWorld(true)
		tell()
		send()
		await clock.advance(3)
		tell()
		expect(rooms.of("b")?.freeCpu).to.eql([8_000, 0])
		await clock.advance(6)
		tell()
		expect(rooms.of("b")?.freeCpu).to.eql([16_000, 8_000])
	})

	it("begins anew with each telling where only tasks are sent", async () => {
		const {rooms, tell, send} = createWorld(false)
		tell()
		send()
		tell()
		expect(rooms.of("b")?.freeCpu).to.eql([16_000, 8_000])
	})

	it("is none until it is told again, where a call got nowhere", () => {
		const {rooms, tell} = createWorld(true)
		tell()
		rooms.close("b")
		expect(rooms.of("b")?.freeCpu).to.eql([])
		tell()
		expect(rooms.of("b")?.freeCpu).to.eql([16_000, 8_000])
	})
})
