/**
 * What had arrived at an instance counted as read after three turns of its loop, and a call that was read later as fresh.
 * Each turn accepts one new connection (libuv 1.46). So of eight callers whose connections waited while a placer
 * was frozen, those behind the second were taken up with their whole deadline left, beside the second tries that the
 * contract allows by then: after a standstill of 800 ms their calls counted as 8 to 11 ms old.
 */
import {handIn} from "@cottonwood/standins"
import {expect} from "chai"
import {startScene, until, type Scene} from "./support/leased-scene.js"
import {RESUBMIT_MS, sleep} from "./support/late-callers.js"

const CALLERS = 8
const DEADLINE_MS = 400
const WORK_MS = 1_000
/** Little enough for all of them to run at once. */
const CPU = 2_000
const UNDER_WAY_MS = 100

describe("two runs of one task, of many callers", function () {
	this.timeout(20_000)
	let scene: Scene

	afterEach(() => scene.close())

	it("whose connections waited at a placer that was frozen", async () => {
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
		// They stay on the line when their deadline has passed.
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
