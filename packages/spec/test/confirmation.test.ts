import {
	ALL_CONFIRMATION_GUARDS,
	ALL_HANDED_OVER_GUARDS,
	confirmationProtocol,
	explore,
	handedOverProtocol,
	tracesTo,
	type Specification,
} from "@cottonwood/spec"
import {expect} from "chai"

const TWICE = "a task ran twice at once"
const LONGER = "a run outlasts its first lease"
const AGAIN = "the task runs again"

function holds<State, Event extends {readonly type: string}>(spec: Specification<State, Event>) {
	it("with all guards: no order of events violates the invariant", () => {
		const {states, violation} = explore(spec)
		console.log(`        ${states} states`)
		expect(violation).to.equal(undefined)
	})
}

/** A shortest sequence of events to a violation has `length` events. */
function breaks<State, Event extends {readonly type: string}>(
	guard: string,
	spec: Specification<State, Event>,
	length: number,
) {
	it(`without ${guard}: ${length} events lead to two runs at once`, () => {
		const traces = tracesTo(spec, state => spec.violation(state))
		const lengths = traces.map(({events}) => events.length)
		expect(new Set(traces.map(({what}) => what))).to.deep.equal(new Set([TWICE]))
		expect(Math.min(...lengths)).to.equal(length)
	})
}

/** Guards that forbid every run would hold the invariant too, so states of each kind must be reachable. */
function reaches<State, Event extends {readonly type: string}>(
	spec: Specification<State, Event>,
	kinds: Readonly<Record<string, (state: State) => boolean>>,
) {
	for (const [kind, isOfKind] of Object.entries(kinds))
		it(`with all guards: ${kind}`, () => {
			const traces = tracesTo(spec, state => (isOfKind(state) ? kind : undefined))
			expect(traces).not.to.have.lengthOf(0)
		})
}

describe("specification of confirmed runs", () => {
	const without = (guard: keyof typeof ALL_CONFIRMATION_GUARDS) =>
		confirmationProtocol({...ALL_CONFIRMATION_GUARDS, [guard]: false})
	holds(confirmationProtocol())
	reaches(confirmationProtocol(), {
		[AGAIN]: ({runsAgain}) => runsAgain,
		[LONGER]: ({run, startLease}) => run === "running" && startLease === 0,
	})
	const lengths = {
		boundByOldest: 11,
		ageOfCall: 9,
		ageOfConfirmation: 11,
		checkLeaseBeforeStart: 11,
		assumeLongestLease: 12,
		assumeLeaseFromFence: 12,
		renewNoOrphans: 12,
		cancelIsFinal: 13,
		confirmOwnStreamOnly: 10,
		absoluteEnd: 11,
		detectBreak: 9,
		resubmitAfterBound: 8,
		countSuspension: 11,
	} as const
	for (const guard of Object.keys(lengths) as (keyof typeof lengths)[])
		breaks(guard, without(guard), lengths[guard])
})

describe("specification of confirmed runs whose coordinator reschedules them", () => {
	const rules = {...ALL_CONFIRMATION_GUARDS, placesAnew: true}
	const without = (guard: keyof typeof ALL_CONFIRMATION_GUARDS) =>
		confirmationProtocol({...rules, [guard]: false})
	holds(confirmationProtocol(rules))
	reaches(confirmationProtocol(rules), {
		"its coordinator reschedules it": ({runsAgain, ticksSinceBreak}) =>
			runsAgain && ticksSinceBreak === undefined,
	})
	const lengths = {
		boundByOldest: 10,
		ageOfCall: 8,
		ageOfConfirmation: 10,
		checkLeaseBeforeStart: 10,
		assumeLongestLease: 11,
		assumeLeaseFromFence: 11,
		renewNoOrphans: 11,
		confirmOwnStreamOnly: 9,
		rescheduleAfterBound: 7,
	} as const
	for (const guard of Object.keys(lengths) as (keyof typeof lengths)[])
		breaks(guard, without(guard), lengths[guard])
})

describe("specification of a task handed over to another failure domain", () => {
	const without = (guard: keyof typeof ALL_HANDED_OVER_GUARDS) =>
		handedOverProtocol({...ALL_HANDED_OVER_GUARDS, [guard]: false})
	holds(handedOverProtocol())
	reaches(handedOverProtocol(), {
		[AGAIN]: ({runsAgain}) => runsAgain,
		"its placer runs it again": ({ownRun}) => ownRun === "running",
		[LONGER]: ({hostRun, callBoundLeft}) => hostRun === "running" && callBoundLeft === 0,
	})
	const lengths = {
		forwardCallerConfirmation: 7,
		forwardPerCall: 9,
		ageOfCall: 7,
		ageOfConfirmation: 12,
		waitFromSent: 6,
	} as const
	for (const guard of Object.keys(lengths) as (keyof typeof lengths)[])
		breaks(guard, without(guard), lengths[guard])
})
