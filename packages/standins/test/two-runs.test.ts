/**
 * Two runs of one task must never go on at the same time, whichever processes stand still or die while a job
 * changes hands. Each scenario brings one moment about on real processes; executors and callers are the judges.
 */
import {expect} from "chai"
import type {Edge} from "@cottonwood/standins"
import {
	runByTurns,
	startScene,
	until,
	type Scene,
	type SceneOptions,
} from "./support/leased-scene.js"
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
/** Everybody has heard the placers after this: two beats. */
const BEATS_MS = 450
/** A second run is well under way after this. */
const UNDER_WAY_MS = 150

let serial = 0
const newId = () => (++serial + 0xdef000).toString(16).padStart(16, "0")

describe("two runs of one task", function () {
	this.timeout(20_000)
	let scene: Scene

	async function begin(options: SceneOptions = FLEET) {
		scene = await startScene(options)
		await sleep(BEATS_MS)
	}

	afterEach(() => {
		if (process.env["SCENE_LOG"]) console.log("ALL", scene.account("").length, scene.fleet.edges.flatMap(e => e.lines).map(l => JSON.stringify(l)).sort().join("\n"))
		return scene.close()
	})

	const startsOf = (id: string) => scene.platform.startsOf(`${id}.0.0.0`)

	function expectNoneTwice(id: string) {
		const {violations} = scene.platform
		if (process.env["SCENE_LOG"]) console.log(startsOf(id), violations)
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

	/** Instances that have called each other once keep their connection, over which a frozen one is sent the next call. */
	async function warmUp(edge: Edge) {
		const {status} = await callOnce(edge, newId(), {spec: {workMs: 20}})
		expect(status).to.equal(200)
	}

	it("a placer that was frozen when a job came, from an instance that froze as well", async () => {
		await begin()
		const id = newId()
		const placer = scene.placerOf("a")
		const caller = scene.otherOf("a")
		await warmUp(caller)
		placer.child.kill("SIGSTOP")
		await sleep(30)
		const options = {spec: {workMs: WORK_MS}}
		const calls = callInTurn([caller, scene.otherOf("b")], id, options)
		await sleep(100)
		caller.child.kill("SIGSTOP")
		await until("the second try runs", () => startsOf(id) === 1)
		await sleep(60)
		placer.child.kill("SIGCONT")
		await sleep(UNDER_WAY_MS)
		caller.child.kill("SIGCONT")
		expect(await calls).to.eql([0, 200])
		expectNoneTwice(id)
	})

	it("a placer that was frozen when a job came, from an instance that was killed", async () => {
		await begin()
		const id = newId()
		const placer = scene.placerOf("a")
		const caller = scene.otherOf("a")
		await warmUp(caller)
		placer.child.kill("SIGSTOP")
		await sleep(30)
		const options = {spec: {workMs: WORK_MS}}
		const calls = callInTurn([caller, scene.otherOf("b")], id, options)
		await sleep(100)
		caller.child.kill("SIGKILL")
		await until("the second try runs", () => startsOf(id) === 1)
		await sleep(UNDER_WAY_MS)
		placer.child.kill("SIGCONT")
		expect(await calls).to.eql([0, 200])
		expectNoneTwice(id)
	})

	for (const fate of ["SIGKILL", "SIGSTOP"] as const)
		it(`a placer that was frozen when a task was handed to it, and the first one gets ${fate}`, async () => {
			await begin({
				instances: [
					["a-1", "a"],
					["b-1", "b"],
					["c-1", "c"],
				],
				executorsPerDomain: 1,
			})
			const id = newId()
			const [first, host, third] = ["a-1", "b-1", "c-1"].map(name => scene.edgeOf(name)) as [
				Edge,
				Edge,
				Edge,
			]
			// Both have room for two tasks each; the third's is taken, so that what is handed over goes to the second.
			const filling = {count: 2, spec: {workMs: 2_000}, deadlineMs: 10_000}
			void callOnce(first, newId(), filling)
			await sleep(200)
			void callOnce(first, newId(), {...filling, count: 1, spec: {workMs: 20}})
			void callOnce(third, newId(), filling)
			await sleep(400)
			host.child.kill("SIGSTOP")
			await sleep(20)
			const options = {spec: {workMs: WORK_MS}}
			const calls = callInTurn([first, third], id, options)
			await sleep(100)
			first.child.kill(fate)
			await until("the second try runs", () => startsOf(id) === 1)
			await sleep(60)
			host.child.kill("SIGCONT")
			await sleep(400)
			first.child.kill("SIGCONT")
			expect(await calls).to.eql([0, 200])
			expectNoneTwice(id)
		})

	for (const [stoppedMs, runningMs] of [
		[100, 20],
		[350, 20],
		[900, 20],
	] as const)
		it(`a placer with callers that runs for ${runningMs} of ${stoppedMs + runningMs} ms`, async () => {
			await begin()
			const id = newId()
			const slow = scene.placerOf("a")
			const turns = runByTurns(slow, 4_500, stoppedMs, runningMs)
			const calls = callInTurn([slow, scene.otherOf("b")], id, {spec: {workMs: WORK_MS}})
			console.log(await calls)
			await turns
			expectNoneTwice(id)
		})

	for (const atDeadline of ["hangs up", "stays on the line"] satisfies AtDeadline[])
		for (const [stoppedMs, runningMs] of [
			[100, 20],
			[350, 20],
		] as const)
			it(`an instance that runs for ${runningMs} of ${stoppedMs + runningMs} ms, and the caller ${atDeadline}`, async () => {
				await begin()
				const id = newId()
				const slow = scene.otherOf("a")
				const turns = runByTurns(slow, 4_500, stoppedMs, runningMs)
				const calls = callInTurn(
					[slow, scene.otherOf("b")],
					id,
					{spec: {workMs: 1_450}},
					atDeadline,
				)
				console.log(await calls)
				await turns
				expectNoneTwice(id)
			})
})
