/** The lease rule: every run ends before its caller may retry, for any clock rates within the platform's contract. */
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
/** The network delay that the rule leaves to callers. */
const CALLER_DELAY_MS = 50

/** Converts between this process's clock and that of an executor with the given rate and offset. */
function executorAt(rate: number, offset: number) {
	return {
		clockAt: (now: number) => offset + now * rate,
		timeOf: (clockMs: number) => (clockMs - offset) / rate,
	}
}

const scenario = fc.record({
	rate: fc.double({min: SLOWEST_RATE, max: 1, noNaN: true}),
	offset: fc.integer({min: 0, max: 1_000_000}),
	readingAgeMs: fc.integer({min: 0, max: 5_000}),
	confirmationAgeMs: fc.integer({min: 0, max: 2_000}),
})

describe("lease rule", () => {
	it("ends every run before its caller may retry", () => {
		expect(LEASE_RULE.endsWithinMs + CALLER_DELAY_MS).to.be.at.most(RESUBMIT_MS)
	})

	it("requests no lease under which a run could go on for too long, at any rate of the executor's clock", () => {
		fc.assert(
			fc.property(scenario, ({rate, offset, readingAgeMs, confirmationAgeMs}) => {
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

	it("never takes a lease as ended too early, and does so in the end", () => {
		fc.assert(
			fc.property(scenario, ({rate, offset, readingAgeMs}) => {
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

	it("starts no run under leases that outlast its confirmation", () => {
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

	it("starts a run with a confirmation of typical age beside a lease that was just requested", () => {
		const now = 5_000
		const leasesEndAt = now + LEASE_RULE.longestEndMs
		expect(
			mayStart(LEASE_RULE, {confirmedAt: now - 170, neighboursConfirmedAt: now, leasesEndAt}, now),
		).to.equal(true)
	})

	it("starts no run of a caller where callers retry too soon for any lease", () => {
		const rule = leaseRuleFor({resubmitMs: 480, maxLeaseMs: 1_000, stopGraceMs: 50})
		const now = 5_000
		const fresh = {confirmedAt: now, neighboursConfirmedAt: Infinity, leasesEndAt: -Infinity}
		expect(mayStart(rule, fresh, now)).to.equal(false)
		expect(mayStart(rule, {...fresh, confirmedAt: Infinity}, now)).to.equal(true)
	})

	it("requests the longest lease that executors grant where callers retry late", () => {
		const rule = leaseRuleFor({resubmitMs: 5_000, maxLeaseMs: 1_000, stopGraceMs: 50})
		expect(rule.longestLeaseMs).to.equal(1_000)
	})

	it("requests shorter leases from executors that take longer to stop runs", () => {
		const slow = leaseRuleFor({resubmitMs: 1_300, maxLeaseMs: 1_000, stopGraceMs: 150})
		expect(slow.longestLeaseMs).to.be.lessThan(LEASE_RULE.longestLeaseMs)
	})

	it("uses the later of two clock readings, whichever answer arrives first", () => {
		const clock = createExecutorClock(LEASE_RULE)
		clock.observe(10_000, 500)
		clock.observe(9_900, 510)
		expect(clock.lowestReading(510)).to.be.at.least(10_000)
	})
})
