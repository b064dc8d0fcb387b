/**
 * The store's client against the stand-in of the users' store, at the bounds that their pages set. Guards against a program
 * that a lenient stand-in passes and the platform does not.
 */
import {createJobMetrics} from "@cottonwood/jobs"
import {createPlatformStore} from "@cottonwood/platform"
import {startLeasedPlatform, type LeasedPlatform} from "@cottonwood/standins"
import type {TransactionalStore} from "@cottonwood/core"
import {expect} from "chai"

const MAX_VALUE_BYTES = 1_048_576
const MAX_KEY_BYTES = 200
const JOBS = 600

describe("the store at its bounds", () => {
	let platform: LeasedPlatform
	let store: TransactionalStore

	beforeEach(async () => {
		platform = await startLeasedPlatform({failureDomains: ["a"], executorsPerDomain: 0})
		// The client lets any value pass, so that the store judges it.
		const options = {maxValueBytes: Infinity}
		store = createPlatformStore(`http://${platform.storeAddress}`, createJobMetrics(), options)
	})

	afterEach(async () => {
		await store.close()
		await platform.close()
	})

	const write = (key: string, value: unknown = 1) =>
		store.transact({expect: [], puts: [{key, value}], removes: []})
	const text = (bytes: number) => "x".repeat(bytes - '""'.length)

	it("lists all records, though a page ends by their number or by their bytes", async () => {
		const keyOf = (at: number) => `job/open/${String(at).padStart(16, "0")}`
		for (let at = 0; at < JOBS; at++) platform.store.write(keyOf(at), at)
		for (const at of [3, 4, 5]) platform.store.write(keyOf(at), text(MAX_VALUE_BYTES))
		const listing = await store.list("job/open/")
		expect(listing?.items.map(({key}) => key)).to.eql(
			Array.from({length: JOBS}, (_, at) => keyOf(at)),
		)
		expect(platform.store.calls.get("kv-range")).to.be.at.least(4)
	})

	it("takes values and keys up to their longest, and rejects longer ones", async () => {
		expect((await write("k", text(MAX_VALUE_BYTES))).type).to.equal("done")
		expect((await write("k", text(MAX_VALUE_BYTES + 1))).type).to.equal("rejected")
		expect((await write("k".repeat(MAX_KEY_BYTES))).type).to.equal("done")
		expect((await write("k".repeat(MAX_KEY_BYTES + 1))).type).to.equal("rejected")
	})

	it("rejects keys that are not the system's, and transactions of too many entries", async () => {
		for (const key of ["op/config", "servers/x"])
			expect((await write(key)).type).to.equal("rejected")
		const puts = Array.from({length: 33}, (_, at) => ({key: `k${at}`, value: at}))
		expect((await store.transact({expect: [], puts, removes: []})).type).to.equal("rejected")
		const most = {expect: [], puts: puts.slice(1), removes: []}
		expect((await store.transact(most)).type).to.equal("done")
	})

	it("grants no lease shorter or longer than its bounds", async () => {
		for (const ttlMs of [999, 600_001, 1_000.5])
			expect(await store.grantLease(ttlMs), String(ttlMs)).to.equal(undefined)
		expect(await store.grantLease(1_000)).to.be.a("string")
	})
})
