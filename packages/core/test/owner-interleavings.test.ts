import {STORE_STALL_MS, submissionKey} from "@cottonwood/core"
import {expect} from "chai"
import fc from "fast-check"
import {
	createTwoSessions,
	type Guards,
	type SessionName,
	type TwoSessions,
} from "./support/two-sessions.js"

const SEED = 20_261_202
const RUNS = 400
const STEPS = 60
const KEYS = ["lot-1", "lot-2", "lot-3"]

type Step = () => Promise<void>

/** The steps that are possible now. */
function possibleSteps(world: TwoSessions, pick: number): readonly Step[] {
	const steps: Step[] = []
	const key = KEYS[pick % KEYS.length]!
	const isAdmitted = pick % 4 !== 0
	for (const name of ["a", "b"] as const satisfies readonly SessionName[]) {
		if (world.alive[name]) steps.push(() => world.arrive(name, key, isAdmitted))
		const message = world.message(name)
		if (message?.isInFlight) {
			steps.push(() => world.storeTakes(name, true))
			steps.push(() => world.storeTakes(name, false))
			steps.push(() => world.storeDrops(name))
		} else if (message?.answer) steps.push(() => world.answerArrives(name))
		else if (message && world.alive[name]) steps.push(() => world.timeout(name))
	}
	const takeover = world.takeover()
	if (takeover === "idle" || takeover === "listing") steps.push(() => world.list())
	if (takeover === "sealing") steps.push(() => world.seal())
	if (takeover === "sealed") steps.push(() => world.serve())
	if (pick % 29 === 0) steps.push(() => world.stall(STORE_STALL_MS))
	if (pick % 41 === 0 && world.alive.a) steps.push(() => world.crash("a"))
	return steps
}

function findViolation(world: TwoSessions): string | undefined {
	for (const [key, count] of world.starts) if (count > 1) return `${key} started ${count} times`
	const falseRefusal = world.copies.find(
		copy => copy.answer === "not run" && world.starts.has(submissionKey("caller", copy.key)),
	)
	return falseRefusal && `${falseRefusal.key} was answered "not run" and started`
}

async function runInterleaving(choices: readonly number[], guards: Guards) {
	const world = createTwoSessions(guards)
	for (const choice of choices) {
		const steps = possibleSteps(world, choice)
		await steps[choice % steps.length]!()
		const violation = findViolation(world)
		if (violation) throw new Error(violation)
	}
}

const check = (guards: Guards) =>
	fc.check(
		fc.asyncProperty(
			fc.array(fc.nat(10_000), {minLength: STEPS, maxLength: STEPS}),
			async choices => runInterleaving(choices, guards),
		),
		{seed: SEED, numRuns: RUNS},
	)

describe(`the core under random interleavings, seed ${SEED}`, () => {
	it("starts each key at most once and refuses truthfully", async () => {
		const result = await check({})
		expect(result.failed, JSON.stringify(result.counterexample)).to.equal(false)
	})

	for (const guard of ["intentFirst", "readBack", "seal"] as const) {
		it(`fails without the guard ${guard}`, async () => {
			const result = await check({[guard]: false})
			expect(result.failed).to.equal(true)
		})
	}
})
