/**
 * An instance's entry in the store survives lost and late answers to its writes.
 */
import {silentLog, type Member} from "@cottonwood/jobs"
import type {TransactionalStore} from "@cottonwood/core"
import {beginRegistration, memberKey} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import {createFakeClock} from "./support/fake-clock.js"
import {createFakeStore} from "./support/fake-store.js"

const SELF: Member = {name: "a-1", session: "s", failureDomain: "a", address: "a-1:1", cpuShare: 1}
const LEASE_MS = 3_000

/**
 * A store with leases. Withheld writes are carried out when the test says so, if their condition
 * still holds.
 */
function createWorld() {
	const clock = createFakeClock()
	const {fake, store} = createFakeStore()
	const endsAt = new Map<string, number>()
	const leaseOf = new Map<string, string>()
	const withheld: (() => void)[] = []
	const calls = {grants: 0, renewals: 0, puts: 0}
	let losesPuts = 0

	function put(key: string, value: unknown, {expect: expected, lease}: PutOptions) {
		const isMet = expected === undefined || expected === (fake.items.get(key)?.revision ?? 0)
		if (!isMet) return {type: "conflict", current: fake.items.get(key)} as const
		if (lease !== undefined && !endsAt.has(lease)) return {type: "no lease"} as const
		if (lease !== undefined) leaseOf.set(key, lease)
		return {type: "done", revision: fake.write(key, value).revision} as const
	}

	const leased: TransactionalStore = {
		...store,
		grantLease() {
			const lease = String(++calls.grants)
			endsAt.set(lease, clock.now() + LEASE_MS)
			return Promise.resolve(lease)
		},
		keepAlive(lease) {
			calls.renewals++
			if (!endsAt.has(lease)) return Promise.resolve("gone")
			endsAt.set(lease, clock.now() + LEASE_MS)
			return Promise.resolve("alive")
		},
		put(key, value, options = {}) {
			calls.puts++
			if (losesPuts === 0) return Promise.resolve(put(key, value, options))
			losesPuts--
			withheld.push(() => void put(key, value, options))
			return Promise.resolve({type: "unknown"})
		},
		revoke: () => Promise.resolve(),
	}

	function lapse() {
		for (const [lease, at] of endsAt) {
			if (at > clock.now()) continue
			endsAt.delete(lease)
			for (const [key, of] of leaseOf) if (of === lease) fake.items.delete(key)
		}
		clock.schedule(50, lapse)
	}
	lapse()
	const counts: string[] = []
	const metrics = {count: (name: string, reason?: string) => void counts.push(`${name} ${reason}`)}
	const begin = (self = SELF) =>
		beginRegistration(self, {clock, store: leased, log: silentLog, metrics})
	return {
		clock,
		calls,
		counts,
		begin,
		entry: () => fake.items.get(memberKey(SELF.name))?.value,
		losePuts: (count: number) => void (losesPuts = count),
		carryOut: () => withheld.splice(0).forEach(write => write()),
		write: (value: unknown) => fake.write(memberKey(SELF.name), value),
	}
}

type PutOptions = NonNullable<Parameters<TransactionalStore["put"]>[2]>

describe("an instance's registration", () => {
	/*
	 * Guards against a late first write replacing the entry under a lease that nobody renews, which
	 * then drops the instance from the fleet.
	 */
	it("survives an unanswered write that is carried out later", async () => {
		const world = createWorld()
		world.losePuts(1)
		world.begin()
		await world.clock.advance(1_000)
		expect(world.entry()).to.eql(SELF)
		world.carryOut()
		await world.clock.advance(2 * LEASE_MS)
		expect(world.entry()).to.eql(SELF)
	})

	it("replaces the entry of a previous session", async () => {
		const world = createWorld()
		world.write({...SELF, session: "before"})
		world.begin()
		await world.clock.advance(100)
		expect(world.entry()).to.eql(SELF)
	})

	/* Guards against lives that end unnoticed: nothing else tells operators that a process was killed. */
	it("counts a life before it that did not sign off, and not its own late write", async () => {
		const world = createWorld()
		world.write({...SELF, session: "before"})
		world.begin()
		await world.clock.advance(10_000)
		expect(world.counts).to.eql(["former_lives not_signed_off"])
		const other = createWorld()
		other.losePuts(1)
		other.begin()
		other.carryOut()
		await other.clock.advance(1_000)
		expect(other.counts).to.eql([])
	})

	/* Renewals cost as much as reads; rewriting the entry would cost a write each second. */
	it("is renewed and not written again", async () => {
		const world = createWorld()
		world.begin()
		await world.clock.advance(10_000)
		expect(world.calls.puts).to.equal(1)
		expect(world.calls.renewals).to.be.within(10, 12)
	})
})
