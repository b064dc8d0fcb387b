/**
 * The rule that ends every run in time for callers that come back, whatever the clocks of both sides do within the contract.
 */
import {leaseRuleFor} from "@cottonwood/jobs"
import {
	certainEndAt,
	createExecutorClock,
	leaseMsFor,
	mayStart,
	SLOWEST_RATE,
} from "@cottonwood/jobs/internals"
import {expect} from "chai"
import fc from "fast-check"
import {LEASE_RULE} from "./support/requests.js"

const RESUBMIT_MS = 1_300
/** Callers' packets, and the one that tells the other side of a broken connection. */
const WAY_MS = 50

/** An executor whose steady clock runs at some rate: what its clock shows at a time here, and the reverse. */
function executorAt(rate: number, offset: number) {
	return {
		clockAt: (now: number) => offset + now * rate,
		timeOf: (clockMs: number) => (clockMs - offset) / rate,
	}
}

const scene = fc.record({
	rate: fc.double({min: SLOWEST_RATE, max: 1, noNaN: true}),
	offset: fc.integer({min: 0, max: 1_000_000}),
	readingAgeMs: fc.integer({min: 0, max: 5_000}),
	confirmationAgeMs: fc.integer({min: 0, max: 2_000}),
})

describe("lease rule", () => {
	it("ends every run before its caller may come back", () => {
		expect(LEASE_RULE.endsWithinMs + WAY_MS).to.be.at.most(RESUBMIT_MS)
	})

	it("asks for no lease under which a run goes on for longer than it may, at any rate of the executor's clock", () => {
		fc.assert(
			fc.property(scene, ({rate, offset, readingAgeMs, confirmationAgeMs}) => {
				const now = 100_000
				const executor = executorAt(rate, offset)
				const clock = createExecutorClock(LEASE_RULE)
				const readAt = now - readingAgeMs
				clock.observe(Math.floor(executor.clockAt(readAt)), readAt)
				const confirmedAt = now - confirmationAgeMs
				const leaseMs = leaseMsFor(LEASE_RULE, confirmedAt, now)
				if (leaseMs < 1) return
				const untilMs = Math.floor((clock.lowestReading(now) ?? 0) + leaseMs)
				const endsAt = executor.timeOf(untilMs) + LEASE_RULE.endMarginMs
				expect(endsAt).to.be.at.most(certainEndAt(LEASE_RULE, confirmedAt))
			}),
		)
	})

	it("never says too early that a lease has ended, and says so in the end", () => {
		fc.assert(
			fc.property(scene, ({rate, offset, readingAgeMs}) => {
				const now = 100_000
				const executor = executorAt(rate, offset)
				const clock = createExecutorClock(LEASE_RULE)
				const readAt = now - readingAgeMs
				clock.observe(Math.floor(executor.clockAt(readAt)), readAt)
				const untilMs = Math.floor((clock.lowestReading(now) ?? 0) + LEASE_RULE.longestLeaseMs)
				clock.noteLease(untilMs)
				const endsAt = executor.timeOf(untilMs)
				expect(clock.haveLeasesEnded(Math.max(now, endsAt))).to.equal(false)
				expect(clock.haveLeasesEnded(now + 2 * LEASE_RULE.longestEndMs)).to.equal(true)
			}),
		)
	})

	it("lets nothing begin under leases that outlast what its confirmation allows", () => {
		const now = 5_000
		const leasesEndAt = now + LEASE_RULE.longestEndMs
		const oldest = leasesEndAt - LEASE_RULE.endsWithinMs
		expect(
			mayStart(LEASE_RULE, {confirmedAt: oldest, neighboursConfirmedAt: now, leasesEndAt}, now),
		).to.equal(true)
		expect(
			mayStart(LEASE_RULE, {confirmedAt: oldest - 1, neighboursConfirmedAt: now, leasesEndAt}, now),
		).to.equal(false)
		expect(
			mayStart(
				LEASE_RULE,
				{confirmedAt: now - 900, neighboursConfirmedAt: now, leasesEndAt: now},
				now,
			),
		).to.equal(false)
	})

	it("lets a task begin beside a lease that was just asked for, at the age that confirmations have", () => {
		const now = 5_000
		const leasesEndAt = now + LEASE_RULE.longestEndMs
		expect(
			mayStart(LEASE_RULE, {confirmedAt: now - 170, neighboursConfirmedAt: now, leasesEndAt}, now),
		).to.equal(true)
	})

	it("lets nothing of callers begin where they come back too soon for any lease", () => {
		const rule = leaseRuleFor({resubmitMs: 480, maxLeaseMs: 1_000, stopGraceMs: 50})
		const now = 5_000
		const fresh = {confirmedAt: now, neighboursConfirmedAt: Infinity, leasesEndAt: -Infinity}
		expect(mayStart(rule, fresh, now)).to.equal(false)
		expect(mayStart(rule, {...fresh, confirmedAt: Infinity}, now)).to.equal(true)
	})

	it("asks for the longest lease that executors grant where callers come back late", () => {
		const rule = leaseRuleFor({resubmitMs: 5_000, maxLeaseMs: 1_000, stopGraceMs: 50})
		expect(rule.longestLeaseMs).to.equal(1_000)
	})

	it("leaves more room for executors that take longer to stop what runs", () => {
		const slow = leaseRuleFor({resubmitMs: 1_300, maxLeaseMs: 1_000, stopGraceMs: 150})
		expect(slow.longestLeaseMs).to.be.lessThan(LEASE_RULE.longestLeaseMs)
	})

	it("goes by the later of two readings, whichever answer comes first", () => {
		const clock = createExecutorClock(LEASE_RULE)
		clock.observe(10_000, 500)
		clock.observe(9_900, 510)
		expect(clock.lowestReading(510)).to.be.at.least(10_000)
	})
})
