/**
 * Heartbeats and room updates: updates are prompt when capacity appears or runs out, and
 * rate-limited otherwise.
 */
import type {Heartbeat, Claim, Member} from "@cottonwood/jobs"
import {
	createHeartbeats,
	createFleetView,
	type HeartbeatDatagram,
	type FleetDatagram,
	type RoomDatagram,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {fakePeers} from "./support/peers.js"

function createWorld(linkMbps = 1_000) {
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
	const sent: FleetDatagram[] = []
	let freeCpu: number[] = []
	let computedRooms = 0
	function rooms() {
		computedRooms++
		return {a: {freeCpu, totalCpu: 64_000, waitingWork: 0, labels: []}}
	}
	const heartbeats = createHeartbeats({
		clock,
		view,
		self,
		peers: fakePeers(),
		send: (_address, message) => void sent.push(message),
		ownHeartbeat: (): Heartbeat => ({
			from: self,
			claims: view.claims(),
			rooms: rooms(),
			isLeaving: false,
			configVersion: 1,
		}),
		rooms,
		onHeartbeat: () => undefined,
		onRoomUpdate: () => undefined,
		needsOthers: () => false,
		linkMbps,
	})
	return {
		clock,
		heartbeats,
		self,
		other,
		/** Room updates sent between heartbeats. */
		roomUpdates: () => sent.filter((one): one is RoomDatagram => one.type === "room"),
		heartbeatsSent: () => sent.filter((one): one is HeartbeatDatagram => one.type === "beat"),
		bytesSent: () => sent.reduce((sum, one) => sum + JSON.stringify(one).length, 0),
		setRoom(room: number[]) {
			freeCpu = room
			heartbeats.noteRoomChange()
		},
		computedRooms: () => computedRooms,
	}
}

describe("room updates", () => {
	it("are sent soon when capacity appears or runs out, even after a recent one", async () => {
		const world = createWorld()
		world.setRoom([30_000])
		await world.clock.advance(5)
		expect(world.roomUpdates()).to.have.length(1)
		world.setRoom([20_000])
		await world.clock.advance(10)
		world.setRoom([])
		await world.clock.advance(20)
		expect(world.roomUpdates()).to.have.length(2)
		expect(world.roomUpdates()[1]?.rooms["a"]?.freeCpu).to.eql([])
	})

	it("are sent less often when only the amount changes", async () => {
		const world = createWorld()
		for (let at = 0; at < 30; at++) {
			world.setRoom([30_000 + at])
			await world.clock.advance(10)
		}
		expect(world.roomUpdates().length).to.be.within(4, 7)
	})

	it("do not compute the capacity at each change", async () => {
		const world = createWorld()
		const before = world.computedRooms()
		for (let at = 0; at < 300; at++) {
			world.setRoom([30_000 + at])
			await world.clock.advance(1)
		}
		expect(world.computedRooms() - before).to.be.lessThan(40)
	})

	it("are not sent while the figures that others decide by are unchanged", async () => {
		const world = createWorld()
		world.setRoom([30_000])
		await world.clock.advance(100)
		world.setRoom([30_000])
		await world.clock.advance(100)
		expect(world.roomUpdates()).to.have.length(1)
	})
})

describe("the size of heartbeats", () => {
	const heartbeatOfOther = (
		other: Member,
		fences: Readonly<Record<string, number>>,
	): HeartbeatDatagram => ({
		type: "beat",
		from: other,
		claims: [],
		fences,
		rooms: {},
		isLeaving: false,
		configVersion: 1,
		wantsAnswer: true,
	})

	it("includes only claims that the receiver has not reported to know", () => {
		const world = createWorld()
		world.heartbeats.receive(heartbeatOfOther(world.other, {b: 1}))
		expect(
			world
				.heartbeatsSent()
				.at(-1)
				?.claims.map(({failureDomain}) => failureDomain),
		).to.eql(["a"])
		world.heartbeats.receive(heartbeatOfOther(world.other, {a: 1, b: 1}))
		expect(world.heartbeatsSent().at(-1)).to.deep.include({claims: [], fences: {a: 1, b: 1}})
	})

	it("includes all claims for a session whose known fences were evicted", async () => {
		const world = createWorld()
		world.heartbeats.receive(heartbeatOfOther(world.other, {a: 1, b: 1}))
		await world.clock.advance(200)
		expect(world.heartbeatsSent().at(-1)?.claims).to.eql([])
		for (let at = 0; at < 1_000; at++)
			world.heartbeats.receive(heartbeatOfOther({...world.other, session: `s${at}`}, {a: 1, b: 1}))
		await world.clock.advance(200)
		expect(world.heartbeatsSent().at(-1)?.claims).to.have.length(2)
	})

	it("includes a claim until the receiver reports its fence, whatever was lost", () => {
		const world = createWorld()
		for (let lost = 0; lost < 3; lost++)
			world.heartbeats.receive(heartbeatOfOther(world.other, {b: 1}))
		const described = world.heartbeatsSent().slice(-3)
		for (const {claims} of described) expect(claims).to.have.length(1)
	})

	/*
	 * Guards against room updates and heartbeats that fill a narrow link, so that orders and
	 * answers are delayed.
	 */
	it("stays within a small share of a narrow link, however often room changes", async () => {
		const world = createWorld(2)
		world.heartbeats.receive(heartbeatOfOther(world.other, {a: 1, b: 1}))
		const before = world.bytesSent()
		const seconds = 4
		for (let at = 0; at < seconds * 200; at++) {
			world.setRoom(at % 2 === 0 ? [] : [30_000 + at])
			await world.clock.advance(5)
		}
		const linkBytes = seconds * 250_000
		expect((world.bytesSent() - before) / linkBytes).to.be.lessThan(0.06)
		// Updates still arrive within a fraction of a short task's slack.
		expect(world.roomUpdates().length / seconds).to.be.greaterThan(10)
	})
})
