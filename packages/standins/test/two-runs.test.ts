/**
 * Two runs of one task must never go on at the same time, whichever processes stand still or die while a job
 * changes hands. Each scenario brings one moment about on real processes; executors and callers are the judges.
 */
import {expect} from "chai"
import {startScene, until, type Scene, type SceneOptions} from "./support/leased-scene.js"
import {callInTurn, callOnce, sleep, type AtDeadline} from "./support/late-callers.js"

const FLEET: SceneOptions = {
	instances: [
		["a-1", "a"],
		["a-2", "a"],
		["b-1", "b"],
		["b-2", "b"],
	],
}
/** Longer than the moments that are looked at, shorter than a caller waits. */
const WORK_MS = 1_300
/** A second run is well under way after this. */
const UNDER_WAY_MS = 150

let serial = 0
const newId = () => (++serial + 0xdef000).toString(16).padStart(16, "0")

describe("two runs of one task", function () {
	this.timeout(20_000)
	let scene: Scene

	async function begin(options: SceneOptions = FLEET) {
		scene = await startScene(options)
	}

	afterEach(() => scene.close())

	const startsOf = (id: string) => scene.platform.startsOf(`${id}.0.0.0`)

	function expectNoneTwice(id: string) {
		const {violations} = scene.platform
		if (process.env["SCENE_LOG"]) console.log(startsOf(id), violations, scene.account(id))
		expect(violations).to.eql([])
	}

	for (const atDeadline of ["hangs up", "stays on the line"] satisfies AtDeadline[])
		it(`an instance that was frozen when the call came, and the caller ${atDeadline}`, async () => {
			await begin()
			const id = newId()
			const frozen = scene.otherOf("a")
			frozen.child.kill("SIGSTOP")
			const options = {spec: {workMs: WORK_MS}}
			const calls = callInTurn([frozen, scene.otherOf("b")], id, options, atDeadline)
			await until("the second try runs", () => startsOf(id) === 1)
			await sleep(UNDER_WAY_MS)
			frozen.child.kill("SIGCONT")
			expect(await calls).to.eql([0, 200])
			expectNoneTwice(id)
		})

	it("a placer that was frozen when its own caller's call came", async () => {
		await begin()
		const id = newId()
		const frozen = scene.placerOf("a")
		frozen.child.kill("SIGSTOP")
		const options = {spec: {workMs: WORK_MS}}
		const calls = callInTurn([frozen, scene.otherOf("b")], id, options, "stays on the line")
		await until("the second try runs", () => startsOf(id) === 1)
		await sleep(UNDER_WAY_MS)
		frozen.child.kill("SIGCONT")
		expect(await calls).to.eql([0, 200])
		expectNoneTwice(id)
	})

	it("a placer that was frozen when a job came, from an instance that froze as well", async () => {
		await begin()
		const id = newId()
		const placer = scene.placerOf("a")
		const caller = scene.otherOf("a")
		placer.child.kill("SIGSTOP")
		await sleep(30)
		const options = {spec: {workMs: WORK_MS}}
		const calls = callInTurn([caller, scene.otherOf("b")], id, options)
		await sleep(100)
		caller.child.kill("SIGSTOP")
		await until("the second try runs", () => startsOf(id) === 1)
		await sleep(UNDER_WAY_MS)
		placer.child.kill("SIGCONT")
		await sleep(UNDER_WAY_MS)
		caller.child.kill("SIGCONT")
		expect(await calls).to.eql([0, 200])
		expectNoneTwice(id)
	})
})
void callOnce
