/**
 * Guards against calls that a frozen placer accepts late and treats as new, while their callers' second tries already
 * run. libuv accepts one connection per loop iteration, so eight callers spread over several iterations.
 */
import {handIn} from "@cottonwood/standins"
import {expect} from "chai"
import {startScene, until, type Scene} from "./support/leased-scene.js"
import {RESUBMIT_MS, sleep} from "./support/late-callers.js"

const CALLERS = 8
const DEADLINE_MS = 400
const WORK_MS = 1_000
/** Small enough for all tasks to run at once. */
const CPU = 2_000
const UNDER_WAY_MS = 100

describe("overlapping runs of one task, with many callers", function () {
	this.timeout(20_000)
	let scene: Scene

	afterEach(() => scene.close())

	it("never come from connections that waited at a frozen placer", async () => {
		scene = await startScene({
			instances: [
				["a-1", "a"],
				["b-1", "b"],
				["b-2", "b"],
			],
		})
		const startsOf = (id: string) => scene.platform.startsOf(`${id}.0.0.0`)
		const ids = Array.from({length: CALLERS}, (_, at) =>
			(at + 0xabc00).toString(16).padStart(16, "0"),
		)
		const [frozen, other] = [scene.placerOf("a"), scene.placerOf("b")]
		frozen.child.kill("SIGSTOP")
		const spec = {workMs: WORK_MS}
		// The callers keep their connections open after the deadline.
		const firstTries = ids.map(id =>
			handIn(frozen, id, {spec, cpu: CPU, deadlineMs: DEADLINE_MS}).catch(() => undefined),
		)
		await sleep(DEADLINE_MS + RESUBMIT_MS)
		const secondTries = ids.map(id => handIn(other, id, {spec, cpu: CPU}).catch(() => undefined))
		await until("all second tries run", () => ids.every(id => startsOf(id) === 1))
		await sleep(UNDER_WAY_MS)
		frozen.child.kill("SIGCONT")
		await Promise.all([...firstTries, ...secondTries])
		expect(scene.platform.violations).to.eql([])
	})
})
