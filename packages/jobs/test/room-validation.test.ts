/**
 * Invalid reports of capacity are dropped: work would be sent where nothing is free, or an instance
 * would crash on them.
 */
import type {Heartbeat, Claim, Member, Room} from "@cottonwood/jobs"
import {createFleetView, hasRoom} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"

const other: Member = {
	name: "b-1",
	session: "b-s",
	failureDomain: "b",
	address: "b-1:1",
	cpuShare: 1,
}
const claim: Claim = {failureDomain: "b", fence: 1, placer: other}
const ROOM: Room = {freeCpu: [8_000, 0], totalCpu: 64_000, waitingWork: 0, labels: ["r1"]}

const INVALID_ROOMS: readonly unknown[] = [
	undefined,
	null,
	"room",
	{},
	{...ROOM, freeCpu: undefined},
	{...ROOM, freeCpu: 8_000},
	{...ROOM, freeCpu: [8_000, -1]},
	{...ROOM, freeCpu: [NaN]},
	{...ROOM, freeCpu: ["8000"]},
	{...ROOM, totalCpu: -64_000},
	{...ROOM, totalCpu: null},
	{...ROOM, waitingWork: NaN},
	{...ROOM, waitingWork: "none"},
]

function createWorld() {
	const invalid: string[] = []
	const view = createFleetView(
		createFakeClock(),
		() => undefined,
		reason => void invalid.push(reason),
	)
	const beat = (rooms: unknown): Heartbeat => ({
		from: other,
		claims: [],
		rooms: rooms as Heartbeat["rooms"],
		isLeaving: false,
		configVersion: 1,
	})
	const reportUpdate = (rooms: unknown) =>
		view.applyRoomUpdate({session: "b-s", rooms: rooms as never})
	return {
		view,
		invalid,
		reportHeartbeat: (rooms: unknown) => view.applyHeartbeat(beat(rooms)),
		reportUpdate,
	}
}

describe("reported room", () => {
	it("is applied when it is valid", () => {
		const {view, invalid, reportHeartbeat, reportUpdate} = createWorld()
		view.noteClaim(claim)
		reportHeartbeat({b: ROOM})
		expect(view.roomOf("b")?.room).to.eql(ROOM)
		const {labels, ...figures} = {...ROOM, freeCpu: [4_000]}
		reportUpdate({b: figures})
		expect(view.roomOf("b")?.room).to.eql({...figures, labels})
		expect(invalid).to.eql([])
	})

	it("is dropped and counted when it is invalid, keeping the previous report", () => {
		for (const room of INVALID_ROOMS) {
			const {view, invalid, reportHeartbeat, reportUpdate} = createWorld()
			view.noteClaim(claim)
			reportHeartbeat({b: ROOM})
			reportHeartbeat({b: room})
			reportUpdate({b: room})
			expect(view.roomOf("b")?.room, JSON.stringify(room)).to.eql(ROOM)
			expect(invalid).to.eql(["room", "room"])
			expect(hasRoom({b: room} as never)).to.equal(false)
		}
	})

	it("is dropped from a heartbeat when its labels are missing or no strings", () => {
		const {view, invalid, reportHeartbeat} = createWorld()
		view.noteClaim(claim)
		reportHeartbeat({b: {...ROOM, labels: undefined}})
		reportHeartbeat({b: {...ROOM, labels: [1]}})
		expect(view.roomOf("b")).to.equal(undefined)
		expect(invalid).to.eql(["room", "room"])
	})

	it("is dropped when the rooms are no object", () => {
		const {view, invalid, reportHeartbeat, reportUpdate} = createWorld()
		for (const rooms of [undefined, null, "rooms"]) {
			reportHeartbeat(rooms)
			reportUpdate(rooms)
			expect(hasRoom(rooms as never)).to.equal(false)
		}
		expect(invalid).to.have.length(6)
		expect(view.silentMs("b-s"), "its sender is heard").to.equal(0)
	})

	it("is dropped and counted without a known placer, and only dropped when another session places the domain", () => {
		const {view, invalid, reportHeartbeat} = createWorld()
		reportHeartbeat({b: ROOM})
		expect(invalid).to.eql(["room_unclaimed"])
		view.noteClaim({...claim, placer: {...other, session: "b-2-s"}})
		reportHeartbeat({b: ROOM})
		expect(view.roomOf("b")).to.equal(undefined)
		expect(invalid).to.eql(["room_unclaimed"])
	})
})
