/**
 * Fails when a record or an answer that another version or another writer left rejects a promise that nobody awaits, which ends
 * the process and, as the record stays in the store, each process after it.
 */
import {createJobMetrics, silentLog, type Heartbeat, type Member} from "@cottonwood/jobs"
import {
	createFleetView,
	createHeartbeats,
	createLedger,
	openJobKey,
	type JobRecord,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {createFakeStore} from "./support/fake-store.js"
import {accept, createKeeperWorld} from "./support/keeper-world.js"
import {fakePeers} from "./support/peers.js"
import {jobRecord, step} from "./support/records.js"
import {rejectionsDuring} from "./support/rejections.js"

const ODD_ID = "00000000000000bb"

const SELF: Member = {
	name: "a-1",
	session: "a-1",
	failureDomain: "a",
	address: "n:1",
	cpuShare: 1,
}
const HEARTBEAT: Heartbeat = {
	from: SELF,
	claims: [],
	rooms: {},
	isLeaving: false,
	configVersion: 1,
}

/** The heartbeats of an instance of which every ping gets the same answer. */
function createHeartbeatWorld() {
	const clock = createFakeClock()
	const view = createFleetView(clock, () => undefined)
	let answer: unknown
	let invalid = 0
	const heartbeats = createHeartbeats({
		clock,
		view,
		self: SELF,
		peers: fakePeers({beat: async () => answer as Heartbeat}),
		send: () => undefined,
		ownHeartbeat: () => HEARTBEAT,
		rooms: () => ({}),
		onHeartbeat: view.applyHeartbeat,
		onRoomUpdate: view.applyRoomUpdate,
		onInvalid: () => void invalid++,
		needsOthers: () => false,
		linkMbps: 1_000,
	})
	const answerWith = (next: unknown) => void (answer = next)
	return {clock, view, heartbeats, answerWith, counts: () => invalid}
}

/** Changes of a record that make it invalid. */
const ODD_RECORDS: Readonly<Record<string, object>> = {
	"no step": {steps: [null]},
	"a step without predecessors": {steps: [{...step(), after: undefined}]},
	"a step without needs": {steps: [{...step(), need: undefined}]},
	"a step after one that is not there": {steps: [step({after: [7]})]},
	"too many tasks": {steps: [step({count: 1e10})]},
	"ended tasks without names": {done: [1, null]},
	"ended times that are no list": {endedTimes: {first: 0}},
	"more ended times than times": {endedTimes: [[0, 1e12]]},
	"a time without a number": {schedule: {times: "2", firstDueMs: 0, periodMs: 1}},
	"failures that are none": {failures: null},
	"no home": {home: undefined},
	"the id of another job": {id: "00000000000000cc"},
}

describe("odd input", () => {
	for (const [what, change] of Object.entries(ODD_RECORDS)) {
		it(`of a record with ${what} holds up no other job of its home`, async () => {
			const world = createKeeperWorld()
			world.fake.write(openJobKey(ODD_ID), {...jobRecord(ODD_ID), ...change})
			let reply = ""
			const found = await rejectionsDuring(async () => {
				const {keeper} = world.beginPlacing()
				await world.clock.advance(3_000)
				reply = await accept(world, keeper)
				await world.clock.advance(3_000)
			})
			expect(found).to.eql([])
			expect(reply).to.equal("accepted")
		})
	}

	it("of a record without its writer holds up no other record", async () => {
		const clock = createFakeClock()
		const {fake, store} = createFakeStore()
		const unused = () => undefined
		const ledger = createLedger({
			clock,
			store,
			log: silentLog,
			metrics: createJobMetrics(),
			writer: "me:1",
			claimRevision: {key: "claim", revision: fake.write("claim", "ours").revision},
			spacingMs: () => 10,
			onClaimConfirmed: unused,
			onDeposed: unused,
			onCancelAsked: unused,
			onGone: unused,
		})
		const found = await rejectionsDuring(async () => {
			await Promise.all([ledger.create(jobRecord("a")), clock.advance(50)])
			for (const value of [{...jobRecord("a"), writer: undefined}, null]) {
				fake.write(openJobKey("a"), value as JobRecord | null)
				void ledger.update(jobRecord("a", {done: ["0.0.0"]}))
				await clock.advance(200)
			}
			void ledger.create(jobRecord("b"))
			await clock.advance(200)
		})
		expect(found).to.eql([])
		expect(fake.items.has(openJobKey("b"))).to.equal(true)
	})

	it("of a heartbeat that answers a ping counts as no answer", async () => {
		const {heartbeats, answerWith} = createHeartbeatWorld()
		for (const answer of [{}, null, 5, {from: SELF}, {from: SELF, claims: [{}], rooms: {}}]) {
			answerWith(answer)
			expect(await heartbeats.ping(SELF, 0)).to.equal(undefined)
		}
	})

	it("of a datagram is dropped and passed on to nobody", async () => {
		const {clock, heartbeats, view, counts} = createHeartbeatWorld()
		const beat = {...HEARTBEAT, type: "beat", fences: {}, wantsAnswer: true}
		const claimAt = (address: unknown) => ({
			failureDomain: "b",
			fence: 1,
			placer: {...SELF, session: "b-1", address},
		})
		const odd: unknown[] = [null, 5, [], {}, {type: "room"}, {...beat, fences: null}]
		for (const address of ["nowhere", "", ":1", "n:", "n:0", "n:99999", "n:1:1", 5, undefined])
			odd.push({...beat, claims: [claimAt(address)]})
		for (const change of [{lateMs: "1"}, {evacuations: {revision: 1}}, {configVersion: null}])
			odd.push({...beat, ...change})
		for (const message of odd) heartbeats.receive(message)
		await clock.advance(1_000)
		expect(view.claims()).to.eql([])
		expect(counts()).to.equal(odd.length)
		heartbeats.receive({...beat, claims: [claimAt("n:1")]})
		expect(view.claims()).to.have.length(1)
	})
})
