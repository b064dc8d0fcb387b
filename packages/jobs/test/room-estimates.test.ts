/** Estimates of other domains' free room: the last report less what was sent since. */
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
	const report = () => {
		const room = {freeCpu: [16_000, 8_000], totalCpu: 64_000, waitingWork: 0}
		view.applyRoomUpdate({session: "b-s", rooms: {b: room}})
	}
	const send = () => rooms.deduct("b", {tasks: 2, cpu: 8_000, work: 100})
	return {clock, rooms, report, send}
}

describe("room estimates", () => {
	it("are the report less what was sent since, and none once the report is old", async () => {
		const {clock, rooms, report, send} = createWorld(true)
		expect(rooms.of("b")).to.equal(undefined)
		report()
		send()
		expect(rooms.of("b")).to.deep.include({freeCpu: [8_000, 0], sentCpu: 16_000, sentWork: 100})
		await clock.advance(501)
		expect(rooms.of("b")).to.equal(undefined)
	})

	/* Guards against using the same room twice: a report may not include work that was still on its way. */
	it("still deduct what was sent just before a new report", async () => {
		const {clock, rooms, report, send} = createWorld(true)
		report()
		send()
		await clock.advance(3)
		report()
		expect(rooms.of("b")?.freeCpu).to.eql([8_000, 0])
		await clock.advance(6)
		report()
		expect(rooms.of("b")?.freeCpu).to.eql([16_000, 8_000])
	})

	it("are reset by each report when only tasks are sent", async () => {
		const {rooms, report, send} = createWorld(false)
		report()
		send()
		report()
		expect(rooms.of("b")?.freeCpu).to.eql([16_000, 8_000])
	})

	it("are none until the next report after a failed call", () => {
		const {rooms, report} = createWorld(true)
		report()
		rooms.close("b")
		expect(rooms.of("b")?.freeCpu).to.eql([])
		report()
		expect(rooms.of("b")?.freeCpu).to.eql([16_000, 8_000])
	})
})
