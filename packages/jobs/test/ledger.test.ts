/**
 * Writing the records of kept jobs: conditional on the claim and exactly once, also when answers
 * are lost.
 */
import {createJobMetrics, silentLog} from "@cottonwood/jobs"
import {
	createLedger,
	endedJobKey,
	openJobKey,
	type JobRecord,
	type LedgerDeps,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {createFakeStore} from "./support/fake-store.js"
import {jobRecord} from "./support/records.js"

function createWorld(extra: Partial<LedgerDeps> = {}) {
	const clock = createFakeClock()
	const {fake, store} = createFakeStore()
	const claimRevision = {key: "claim", revision: fake.write("claim", "ours").revision}
	const seen = {deposed: 0, cancelAsked: [] as string[], gone: [] as string[]}
	const ledger = createLedger({
		clock,
		store,
		log: silentLog,
		metrics: createJobMetrics(),
		writer: "me:1",
		claimRevision,
		spacingMs: () => 10,
		onClaimConfirmed: () => undefined,
		onDeposed: () => void seen.deposed++,
		onCancelAsked: id => void seen.cancelAsked.push(id),
		onGone: id => void seen.gone.push(id),
		...extra,
	})
	const stored = (id: string) => fake.items.get(openJobKey(id))?.value as JobRecord | undefined
	return {clock, fake, ledger, seen, stored}
}

describe("ledger", () => {
	it("writes many new jobs in one transaction", async () => {
		const {clock, fake, ledger} = createWorld()
		const writes = ["a", "b", "c"].map(id => ledger.create(jobRecord(id)))
		await clock.advance(50)
		expect(await Promise.all(writes)).to.eql(["written", "written", "written"])
		expect(fake.transactions).to.have.length(1)
	})

	it("detects a job that is already in the store, open or ended", async () => {
		const {clock, fake, ledger, stored} = createWorld()
		fake.write(openJobKey("a"), {...jobRecord("a"), writer: "other:1/1", spec: "first"})
		fake.write(endedJobKey("b"), {state: "completed", endedAtMs: 0})
		const writes = ["a", "b", "c"].map(id => ledger.create(jobRecord(id)))
		await clock.advance(100)
		expect(await Promise.all(writes)).to.eql(["exists", "exists", "written"])
		expect(stored("a")?.spec).to.equal("first")
		expect(stored("b")).to.equal(undefined)
	})

	it("retries a write without an answer, and recognizes its own earlier write", async () => {
		const {clock, fake, ledger} = createWorld()
		fake.faults = ["done but not answered", "lost", "refused"]
		const write = ledger.create(jobRecord("a"))
		await clock.advance(1_000)
		expect(await write).to.equal("written")
	})

	it("ignores a delayed write after its retry succeeded", async () => {
		const {clock, fake, ledger, stored} = createWorld()
		await Promise.all([ledger.create(jobRecord("a")), clock.advance(50)])
		fake.faults = ["lost"]
		const first = ledger.update(jobRecord("a", {done: ["0.0.0"]}))
		await clock.advance(15)
		const late = fake.transactions.at(-1)
		const second = ledger.update(jobRecord("a", {done: ["0.0.0", "0.0.1"]}))
		await Promise.all([first, second, clock.advance(500)])
		expect(late && fake.carryOut(late).type).to.equal("conflict")
		expect(stored("a")?.done).to.eql(["0.0.0", "0.0.1"])
	})

	it("replaces a record by its end in one transaction", async () => {
		const {clock, fake, ledger, stored} = createWorld()
		await Promise.all([ledger.create(jobRecord("a")), clock.advance(50)])
		fake.faults = ["done but not answered"]
		const end = ledger.finish("a", "completed", 7)
		await clock.advance(500)
		expect(await end).to.equal("written")
		expect(stored("a")).to.equal(undefined)
		expect(fake.items.get(endedJobKey("a"))?.value).to.eql({state: "completed", endedAtMs: 7})
	})

	it("writes an end that is requested before the record is in the store", async () => {
		const {clock, fake, ledger} = createWorld()
		fake.faults = ["lost"]
		const write = ledger.create(jobRecord("a"))
		await clock.advance(15)
		const end = ledger.finish("a", "cancelled", 7)
		await clock.advance(500)
		expect([await write, await end]).to.eql(["written", "written"])
		expect(fake.items.has(endedJobKey("a"))).to.equal(true)
	})

	it("writes nothing more once another placer has the claim", async () => {
		const {clock, fake, ledger, seen, stored} = createWorld()
		await Promise.all([ledger.create(jobRecord("a")), clock.advance(50)])
		fake.write("claim", "theirs")
		const update = ledger.update(jobRecord("a", {done: ["0.0.0"]}))
		const created = ledger.create(jobRecord("b"))
		await clock.advance(200)
		expect(await update).to.equal("deposed")
		expect(await created).to.equal("deposed")
		expect(stored("a")?.done).to.eql([])
		expect(stored("b")).to.equal(undefined)
		expect(seen.deposed).to.equal(1)
	})

	it("reports that another writer marked a job as cancelled", async () => {
		const {clock, fake, ledger, seen} = createWorld()
		await Promise.all([ledger.create(jobRecord("a")), clock.advance(50)])
		fake.write(openJobKey("a"), {...jobRecord("a"), isCancelled: true})
		const update = ledger.update(jobRecord("a", {done: ["0.0.0"]}))
		await clock.advance(500)
		expect(await update).to.equal("written")
		expect(seen.cancelAsked).to.eql(["a"])
	})

	it("moves a job to another home and drops it", async () => {
		const {clock, ledger, stored} = createWorld()
		await Promise.all([ledger.create(jobRecord("a")), clock.advance(50)])
		const released = ledger.release(jobRecord("a", {home: "b"}))
		await clock.advance(100)
		expect(await released).to.equal("written")
		expect(stored("a")?.home).to.equal("b")
		expect(await ledger.update(jobRecord("a"))).to.equal("ended elsewhere")
	})

	it("does not mistake a record that it moved away for its own creation", async () => {
		const {clock, ledger, stored} = createWorld()
		await Promise.all([ledger.create(jobRecord("a")), clock.advance(50)])
		await Promise.all([ledger.release(jobRecord("a", {home: "b"})), clock.advance(50)])
		const again = ledger.create(jobRecord("a"))
		await clock.advance(100)
		expect(await again).to.equal("exists")
		expect(stored("a")?.home).to.equal("b")
	})

	it("stays within its share of the store's rate while writes fail", async () => {
		const {clock, fake, ledger} = createWorld()
		fake.isAway = true
		void ledger.create(jobRecord("a"))
		await clock.advance(2_000)
		expect(fake.transactions.length).to.be.within(4, 10)
		fake.isAway = false
		await clock.advance(400)
		expect(fake.items.has(openJobKey("a"))).to.equal(true)
	})

	// A record that had grown too large was sent for ever, and the others of its transactions with it.
	it("writes the other records when the store does not take one", async () => {
		const {clock, fake, ledger, stored} = createWorld()
		for (const id of ["a", "b", "c"]) void ledger.create(jobRecord(id))
		await clock.advance(50)
		fake.maxValueBytes = 1_000
		const done = Array.from({length: 200}, (_, at) => `0.0.${at}`)
		const outcomes: string[] = []
		const update = (id: string, extra: Partial<JobRecord>) =>
			void ledger.update(jobRecord(id, extra)).then(written => outcomes.push(`${id} ${written}`))
		update("a", {done: ["0.0.0"]})
		update("b", {done})
		update("c", {done: ["0.0.0"]})
		await clock.advance(200)
		expect(outcomes).to.eql(["a written", "c written"])
		const {length} = fake.transactions
		await clock.advance(5_000)
		expect(fake.transactions.length, "it is not sent again").to.equal(length)
		update("b", {done: ["0.0.0"]})
		await clock.advance(200)
		expect(outcomes.slice(2)).to.eql(["b written", "b written"])
		expect(stored("b")?.done).to.eql(["0.0.0"])
	})

	it("replaces a record that the store does not take by its end", async () => {
		const {clock, fake, ledger} = createWorld()
		void ledger.create(jobRecord("a"))
		await clock.advance(50)
		fake.maxValueBytes = 500
		void ledger.update(jobRecord("a", {spec: "x".repeat(1_000)}))
		await clock.advance(100)
		const finished = ledger.finish("a", "completed", 5)
		await clock.advance(100)
		expect(await finished).to.equal("written")
		expect(fake.items.has(endedJobKey("a"))).to.equal(true)
	})

	it("rejects a new job whose record the store does not take", async () => {
		const {clock, fake, ledger} = createWorld()
		fake.maxValueBytes = 1_000
		const writes = [
			ledger.create(jobRecord("a", {spec: "x".repeat(2_000)})),
			ledger.create(jobRecord("b")),
		]
		await clock.advance(200)
		expect(await Promise.all(writes)).to.eql(["rejected", "written"])
	})

	// A move whose answer was lost was written again over what the new home's placer had recorded, so its tasks ran again.
	it("leaves a moved record to its new home when the answer of the move was lost", async () => {
		const {clock, fake, ledger, seen, stored} = createWorld()
		void ledger.create(jobRecord("a"))
		await clock.advance(50)
		fake.faults = ["done but not answered", "lost", "refused"]
		const released = ledger.release(jobRecord("a", {home: "b"}))
		await clock.advance(15)
		const progress = {...(stored("a") as JobRecord), done: ["0.0.0"], writer: "other:1#1/1"}
		expect(progress.home).to.equal("b")
		fake.write(openJobKey("a"), progress)
		await clock.advance(1_000)
		expect(await released).to.equal("written")
		expect(stored("a")?.done).to.eql(["0.0.0"])
		expect(seen.gone).to.eql([])
	})

	it("moves a record that another writer has marked as cancelled meanwhile", async () => {
		const {clock, fake, ledger, seen, stored} = createWorld()
		void ledger.create(jobRecord("a"))
		await clock.advance(50)
		fake.write(openJobKey("a"), {...(stored("a") as JobRecord), isCancelled: true, writer: ""})
		void ledger.release(jobRecord("a", {home: "b"}))
		await clock.advance(200)
		expect(seen.cancelAsked).to.eql(["a"])
	})
})
