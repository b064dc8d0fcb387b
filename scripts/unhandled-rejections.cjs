/**
 * Fails a run of the tests in which a promise was rejected that nobody handled, which is a fault of the program; the runner alone
 * passes over it. It is told at the end of the run, with the test that ran then.
 */
const found = []
let current = "no test"

process.on("unhandledRejection", error => {
	found.push(`during "${current}": ${error?.stack ?? error}`)
})

module.exports.mochaHooks = {
	beforeEach() {
		current = this.currentTest.fullTitle()
	},
	async afterAll() {
		// Rejections are told after the turn in which they arise.
		await new Promise(resolve => setTimeout(resolve, 0))
		if (found.length > 0) throw new Error(`rejections that nobody handled:\n${found.join("\n")}`)
	},
}
