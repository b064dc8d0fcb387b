/**
 * Following a prefix of the store: which calls are made when, and that no change is lost.
 */
import {createJobMetrics, silentLog, type Member} from "@cottonwood/jobs"
import {createFleetView, followPrefix, memberKey} from "@cottonwood/jobs/internals"
import type {Clock, Store, StoreChange, StoreListing} from "@cottonwood/core"
import {expect} from "chai"
import {createFakeClock, settle} from "./support/fake-clock.js"
import {createFakeStore} from "./support/fake-store.js"

function follow(clock: Clock, store: Store, onListing: (listing: StoreListing) => void) {
	return followPrefix({
		clock,
		store,
		log: silentLog,
		metrics: createJobMetrics(),
		prefix: "p/",
		waitMs: 1_000,
		relistMs: Infinity,
		onListing,
		onChange: () => undefined,
	})
}

/** A follower whose watches and listings are answered by the test. */
function createWorld() {
	const clock = createFakeClock()
	const {fake, store} = createFakeStore()
	const watches: {
		readonly resolve: (change: StoreChange | undefined) => void
		readonly signal: AbortSignal | undefined
	}[] = []
	const listings: ((listing: StoreListing | undefined) => void)[] = []
	const listed: number[] = []
	fake.watch = (_prefix, _after, _waitMs, signal) =>
		new Promise(resolve => watches.push({resolve, signal}))
	store.list = () => new Promise(resolve => listings.push(resolve))
	const follower = follow(clock, store, ({revision}) => void listed.push(revision))
	return {
		clock,
		follower,
		watches,
		listings,
		listed,
		async list(revision: number) {
			await settle()
			listings.shift()?.({items: [], revision})
			await settle()
		},
	}
}

describe("a follower that is asked to refresh", () => {
	/*
	 * Guards against dropping a refresh that arrives during a listing, whose answer may be older.
	 */
	it("lists again when a listing was under way, which may be older", async () => {
		const {follower, list, listed} = createWorld()
		await settle()
		follower.refresh()
		await list(1)
		await list(2)
		expect(listed).to.eql([1, 2])
		follower.close()
	})

	it("aborts the watch that it leaves, freeing its connection", async () => {
		const {follower, watches, list} = createWorld()
		await list(1)
		expect(watches).to.have.length(1)
		follower.refresh()
		expect(watches[0]?.signal?.aborted).to.equal(true)
		await list(2)
		expect(watches).to.have.length(2)
		follower.close()
	})
})

describe("a follower whose receiver throws", () => {
	// Guards against an instance that stays ready and goes by what it knew then for the rest of its life.
	it("lists again", async () => {
		const clock = createFakeClock()
		const {store} = createFakeStore()
		let listings = 0
		store.list = async () => ({items: [], revision: ++listings})
		const follower = follow(clock, store, ({revision}) => {
			if (revision === 1) throw new Error("test")
		})
		await clock.advance(1_000)
		expect(listings).to.be.greaterThan(1)
		follower.close()
	})
})

describe("a follower of many keys that change all the time", () => {
	/*
	 * Guards against a call and a pass over the list for each of many small changes, such as lease
	 * renewals.
	 */
	it("batches changes before the next watch", async () => {
		const clock = createFakeClock()
		const {fake, store} = createFakeStore()
		let calls = 0
		let told = 0
		fake.watch = async () => {
			calls++
			await clock.sleep(6)
			return {items: [{key: "p/1", value: calls, revision: calls}], deleted: [], revision: calls}
		}
		const follower = followPrefix({
			clock,
			store,
			log: silentLog,
			metrics: createJobMetrics(),
			prefix: "p/",
			waitMs: 600,
			relistMs: Infinity,
			batchMs: 300,
			onListing: () => undefined,
			onChange: () => void told++,
		})
		await clock.advance(6_000)
		expect(calls).to.be.within(15, 20)
		expect(told).to.be.at.least(calls - 1)
		follower.close()
	})
})

describe("a follower whose watches fail though listings are answered", () => {
	it("lists at once, and then with increasing pauses", async () => {
		const {clock, follower, watches, list, listings} = createWorld()
		const failAfter = async (ms: number) => {
			await clock.advance(ms)
			watches.at(-1)?.resolve(undefined)
			await settle()
		}
		await list(1)
		await failAfter(600)
		expect(listings).to.have.length(1)
		await list(2)
		await failAfter(0)
		expect(listings).to.have.length(0)
		await clock.advance(160)
		expect(listings).to.have.length(1)
		follower.close()
	})
})

describe("fleet view, given a member's write and deletion in one answer", () => {
	/*
	 * Guards against applying an answer's deletions before its writes, which kept a deleted member.
	 */
	it("does not hold the member", () => {
		const view = createFleetView(createFakeClock(), () => undefined)
		const value: Member = {
			name: "a-1",
			session: "s",
			failureDomain: "a",
			address: "a-1:1",
			cpuShare: 1,
		}
		const key = memberKey("a-1")
		view.applyChanges([{key, value, revision: 2}], [key])
		expect(view.members()).to.eql([])
	})
})

describe("following a prefix", () => {
	it("lists again when the changes were lost", async () => {
		const clock = createFakeClock()
		const {fake, store} = createFakeStore()
		fake.write("p/1", 1)
		let turns = 0
		fake.watch = async () => {
			await clock.sleep(50)
			turns++
			return turns === 1 ? undefined : new Promise(() => undefined)
		}
		const listings: number[] = []
		const follower = follow(clock, store, ({items}) => void listings.push(items.length))
		await clock.advance(20)
		fake.write("p/2", 2)
		await clock.advance(300)
		expect(listings).to.eql([1, 2])
		follower.close()
	})
})
