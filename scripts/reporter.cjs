/**
 * The test report. It prints mocha's own report and closes with one plain line of counts.
 * Tests that KNOWN-RED.txt names are printed as known failures and do not fail the run;
 * a known failure that passes again fails the run, unless it is listed as flaky, so that the list never goes stale.
 */
const fs = require("node:fs")
const path = require("node:path")
const Mocha = require("mocha")
const {compareKnownRed, readKnownRed, sourceOf} = require("./known-red.cjs")

const ROOT = path.join(__dirname, "..")
const KNOWN_RED_FILE = path.join(ROOT, "KNOWN-RED.txt")
const BUILD_FOLDER = path.join(ROOT, "build")

const readEntries = () =>
	fs.existsSync(KNOWN_RED_FILE) ? readKnownRed(fs.readFileSync(KNOWN_RED_FILE, "utf8")) : []

const describeTest = test => ({
	file: sourceOf(test.file ?? "", BUILD_FOLDER),
	title: test.title,
	fullTitle: test.fullTitle(),
})

const print = (what, tests) => {
	for (const {file, fullTitle} of tests) console.log(`${what}: ${file}, "${fullTitle}"`)
}

class Reporter extends Mocha.reporters.Spec {
	constructor(runner, options) {
		super(runner, options)
		this.failedTests = []
		this.passedTests = []
		runner.on("fail", test => this.failedTests.push(describeTest(test)))
		runner.on("pass", test => this.passedTests.push(describeTest(test)))
	}

	done(failures, fn) {
		const compared = compareKnownRed(readEntries(), {
			passed: this.passedTests,
			failed: this.failedTests,
		})
		for (const {name} of compared.unmatched)
			console.log(`known red, not a test of this run: ${name}`)
		print("known red", compared.red)
		print("known red, flaky, passed this time", compared.flaky)
		print("listed in KNOWN-RED.txt but green", compared.recovered)
		const failed = failures - compared.red.length + compared.recovered.length
		const skipped = this.stats.pending + compared.red.length
		console.log(`\n${this.stats.passes} passed, ${failed} failed, ${skipped} skipped`)
		fn(failed)
	}
}

module.exports = Reporter
