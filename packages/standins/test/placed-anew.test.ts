/**
 * Rescheduling by the coordinator on real processes, when a placer is lost while the caller of a running job waits.
 * Executors check that no task runs twice at once.
 */
import {endEdge, handIn} from "@cottonwood/standins"
import {expect} from "chai"
import {RESUBMIT_MS, sleep} from "./support/late-callers.js"
import {startScene, until, type Scene} from "./support/leased-scene.js"

/** Longer than a lease, so that a restart that comes too early overlaps with the first run. */
const WORK_MS = 2_500
/** Two heartbeats, after which all instances know the placers. */
const BEATS_MS = 450
/** Time within which a silent stream is detected. */
const NOTICED_MS = 700

describe("a job whose placer is lost", function () {
	this.timeout(20_000)
	let scene: Scene

	afterEach(() => scene.close())

	async function lose(signal: "SIGSTOP" | "SIGKILL", placesAnew: boolean, deadlineMs = 10_000) {
		scene = await startScene({
			instances: [
				["a-1", "a"],
				["a-2", "a"],
				["b-1", "b"],
			],
			placing: {placesAnew},
		})
		await sleep(BEATS_MS)
		const id = "00000000000a0e10"
		const task = `${id}.0.0.0`
		const caller = scene.otherOf("a")
		const options = {estimateMs: WORK_MS, deadlineMs, spec: {workMs: WORK_MS}}
		const answer = handIn(caller, id, options)
		await until("its start", () => scene.platform.startsOf(task) === 1)
		const lostAt = performance.now()
		endEdge(scene.placerOf("a"), signal)
		return {answer, task, caller, lostAt}
	}

	for (const signal of ["SIGSTOP", "SIGKILL"] as const)
		it(`is rescheduled after ${signal}, before its caller would resubmit`, async () => {
			const {answer, task, caller, lostAt} = await lose(signal, true)
			await until("its second start", () => scene.platform.startsOf(task) === 2)
			expect(performance.now() - lostAt).to.be.lessThan(NOTICED_MS + RESUBMIT_MS)
			expect((await answer).status).to.equal(200)
			expect(scene.platform.violations).to.eql([])
			const line = caller.lines.find(({kind}) => kind === "lost_at_placer")
			expect(line).to.include({outcome: "placed anew"})
		})

	it("is answered at once when it can no longer end in time", async () => {
		const {answer, task, lostAt} = await lose("SIGKILL", true, WORK_MS + 500)
		expect((await answer).status).to.equal(502)
		expect(performance.now() - lostAt).to.be.lessThan(NOTICED_MS)
		expect(scene.platform.startsOf(task)).to.equal(1)
	})
})
