import {
	ALL_CONFIG_GUARDS,
	ALL_FOLLOW_GUARDS,
	ALL_OWNER_GUARDS,
	ALL_HANDOVER_GUARDS,
	ALL_KEEPER_GUARDS,
	ALL_PLACER_GUARDS,
	ALL_SLICES_GUARDS,
	ALL_SUCCESSION_GUARDS,
	configProtocol,
	exchangeProtocol,
	explore,
	followProtocol,
	handoverProtocol,
	keeperProtocol,
	ownerProtocol,
	placerProtocol,
	slicesProtocol,
	successionProtocol,
	tracesTo,
	type Specification,
} from "@cottonwood/spec"
import {expect} from "chai"

function holds<State, Event extends {readonly type: string}>(
	name: string,
	spec: Specification<State, Event>,
) {
	it(`${name}: no order of events violates the invariant`, () => {
		const {states, violation} = explore(spec)
		console.log(`        ${states} states`)
		expect(violation).to.equal(undefined)
	})
}

function breaks<State, Event extends {readonly type: string}>(
	name: string,
	spec: Specification<State, Event>,
	what: string,
) {
	it(`${name}: the search finds that ${what}`, () => {
		const {violation} = explore(spec)
		expect(violation?.what).to.equal(what)
	})
}

const TWICE = "the work started twice"
const FALSE_REFUSAL = "a copy was answered `not run`, and the work started"

describe("specification of shard ownership", () => {
	holds("with all guards", ownerProtocol())
	breaks("without the seal", ownerProtocol({...ALL_OWNER_GUARDS, seal: false}), TWICE)
	breaks(
		"without intent before start",
		ownerProtocol({...ALL_OWNER_GUARDS, intentFirst: false}),
		TWICE,
	)
	breaks("without read-back", ownerProtocol({...ALL_OWNER_GUARDS, readBack: false}), TWICE)
	breaks("without inheriting intents", ownerProtocol({...ALL_OWNER_GUARDS, inherit: false}), TWICE)
	breaks(
		"with `not run` before its closing is durable",
		ownerProtocol({...ALL_OWNER_GUARDS, closeFirst: false}),
		FALSE_REFUSAL,
	)
})

describe("specification of the shard handover", () => {
	holds("with all guards", handoverProtocol())
	breaks("without the flush", handoverProtocol({...ALL_HANDOVER_GUARDS, flush: false}), TWICE)
	breaks(
		"with an unanswered map write taken as failed",
		handoverProtocol({...ALL_HANDOVER_GUARDS, definite: false}),
		TWICE,
	)
})

describe("specification of the configuration", () => {
	holds("with all guards", configProtocol())
	breaks(
		"without the version check",
		configProtocol({...ALL_CONFIG_GUARDS, versionCheck: false}),
		"a configuration in force went back",
	)
	breaks(
		"without compare-and-swap",
		configProtocol({...ALL_CONFIG_GUARDS, compareAndSwap: false}),
		"an accepted change was lost",
	)
	breaks(
		"without read-back",
		configProtocol({...ALL_CONFIG_GUARDS, readBack: false}),
		"an accepted change was lost",
	)
})

describe("specification of following a prefix of the store", () => {
	const without = (guard: keyof typeof ALL_FOLLOW_GUARDS) =>
		followProtocol({...ALL_FOLLOW_GUARDS, [guard]: false})
	const differs = "an up-to-date reader differs from the store"
	holds("with all guards", followProtocol())
	for (const guard of ["firstPage", "lastWrite", "lastChange"] as const)
		breaks(`without ${guard}`, without(guard), differs)
	breaks(
		"without keepRefresh",
		without("keepRefresh"),
		"a revision that a peer reported was forgotten",
	)
})

describe("specification of the exchange with an endpoint", () => {
	holds("with attempt ids", exchangeProtocol())
	breaks(
		"without attempt ids",
		exchangeProtocol({attemptId: false}),
		"an attempt took another's answer",
	)
})

describe("specification of placing on leased executors", () => {
	const twice = "a task ran twice at once"
	holds("with all guards", placerProtocol())
	for (const guard of ["fence", "deadline", "settle", "stopOrphans"] as const)
		breaks(`without ${guard}`, placerProtocol({...ALL_PLACER_GUARDS, [guard]: false}), twice)
})

describe("specification of a run that passes to a successor placer", () => {
	const twice = "a task ran twice at once"
	holds("with all guards", successionProtocol())
	for (const guard of ["assumeLongestLease", "watchUnlisted", "renewWantedOnly"] as const)
		breaks(
			`without ${guard}`,
			successionProtocol({...ALL_SUCCESSION_GUARDS, [guard]: false}),
			twice,
		)
})

describe("specification of kept jobs", () => {
	const without = (guard: keyof typeof ALL_KEEPER_GUARDS) =>
		keeperProtocol({...ALL_KEEPER_GUARDS, [guard]: false})
	holds("with all guards", keeperProtocol())
	breaks("without recordFirst", without("recordFirst"), "an accepted job was lost")
	breaks(
		"without recordEndFirst",
		without("recordEndFirst"),
		"a task ran again after its end was noted",
	)
	breaks("without writeUnderClaim", without("writeUnderClaim"), "an accepted job belongs to nobody")
	breaks("without readAfterClaim", without("readAfterClaim"), "an accepted job belongs to nobody")
	breaks("without holdFirst", without("holdFirst"), "a task ran twice at once")
})

describe("specification of adding a slice to a failure domain", () => {
	const without = (guard: keyof typeof ALL_SLICES_GUARDS) =>
		slicesProtocol({...ALL_SLICES_GUARDS, [guard]: false})
	const twoPlacers = "two placers used an executor's room"
	const refused = "an executor refuses the placer that it belongs to"
	holds("with all guards", slicesProtocol())
	breaks("without holdFirst", without("holdFirst"), twoPlacers)
	breaks("without onlyToNew", without("onlyToNew"), refused)
	it("without ownRange: the search finds two placers on one executor, and a refused placer", () => {
		const spec = without("ownRange")
		const found = tracesTo(spec, state => spec.violation(state)).map(({what}) => what)
		expect([...new Set(found)]).to.have.members([twoPlacers, refused])
	})
})
