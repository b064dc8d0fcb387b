/**
 * The list of known failures. Guards against a listed test that still fails the run, and against a list that hides other tests
 * or goes stale unseen.
 */
import {expect} from "chai"
import {createRequire} from "node:module"

interface Test {
	readonly file: string
	readonly title: string
	readonly fullTitle: string
}

interface Entry {
	readonly name: string
	readonly isFlaky: boolean
}

interface Compared {
	readonly failed: readonly Test[]
	readonly red: readonly Test[]
	readonly recovered: readonly Test[]
	readonly flaky: readonly Test[]
	readonly unmatched: readonly Entry[]
}

interface KnownRed {
	readKnownRed(text: string): readonly Entry[]
	compareKnownRed(
		entries: readonly Entry[],
		run: {readonly passed: readonly Test[]; readonly failed: readonly Test[]},
	): Compared
	sourceOf(compiled: string, buildFolder: string): string
}

const require = createRequire(import.meta.url)
const {compareKnownRed, readKnownRed, sourceOf} = require(
	`${process.cwd()}/scripts/known-red.cjs`,
) as KnownRed

const FILE = "packages/jobs/test/keeper.test.ts"
const test = (title: string, file = FILE): Test => ({file, title, fullTitle: `a keeper ${title}`})
const titlesOf = (tests: readonly Test[]) => tests.map(({title}) => title)

describe("the list of known failures", () => {
	const entries = readKnownRed(
		[
			"# test; cause; issue",
			`${FILE}, "loses a job" (npm test, seed 3): always; 46`,
			`${FILE}, "is late", flaky (npm test, no seed): once of four runs; 37`,
			"fleetbench sweep sites/some.toml, day sweep-300 (seed 77): given up at 11.3 s; 10",
			"",
		].join("\n"),
	)
	const compare = (passed: readonly Test[], failed: readonly Test[]) =>
		compareKnownRed(entries, {passed, failed})

	it("lets exactly the listed tests fail, by file and title", () => {
		const {failed, red} = compare(
			[],
			[test("loses a job"), test("is late"), test("is lost"), test("is late", "other.test.ts")],
		)
		expect(titlesOf(red)).to.eql(["loses a job", "is late"])
		expect(failed).to.eql([test("is lost"), test("is late", "other.test.ts")])
	})

	it("reports a listed test that passes, unless it is listed as flaky", () => {
		const {recovered, flaky} = compare([test("loses a job"), test("is late")], [])
		expect(titlesOf(recovered)).to.eql(["loses a job"])
		expect(titlesOf(flaky)).to.eql(["is late"])
	})

	it("names the entries that matched no test", () => {
		const {unmatched} = compare([test("is late")], [])
		expect(unmatched.map(({name}) => name)).to.eql([
			`${FILE}, "loses a job"`,
			"fleetbench sweep sites/some.toml, day sweep-300 (seed 77)",
		])
	})

	it("accepts full titles too, and knows a compiled test by its source", () => {
		const [entry] = readKnownRed(`${FILE}, "a keeper ends a job": always; 46`)
		const {red} = compareKnownRed([entry as Entry], {passed: [], failed: [test("ends a job")]})
		expect(titlesOf(red)).to.eql(["ends a job"])
		expect(sourceOf("/some/build/packages/jobs/test/keeper.test.js", "/some/build")).to.equal(FILE)
	})
})
