/**
 * A failure domain that is lost with its instances and executors, or cut off with all of them at work, on real processes. Guards
 * against kept jobs that nobody runs any more, and against tasks that run in both domains. The entries of its executors stay in
 * the store all the while.
 */
import {
	endEdge,
	askJob,
	closeRoughWorld,
	executorsPlace,
	handIn,
	startRoughWorld,
} from "@cottonwood/standins"
import type {Edge, RoughWorld} from "@cottonwood/standins"
import {expect} from "chai"
import {until} from "./support/leased-scene.js"
import {sleep} from "./support/late-callers.js"

const LOST = "a"
const OTHER = "b"
/** The loss counts as a disruption for 4.5 s; 4 s later all is calm, and 3 s more a job may wait. */
const MAX_AWAY_MS = 11_500
const HEALED_MS = 5_000
const TASKS = 2
const LONG = {count: TASKS, spec: {workMs: 60_000}, body: {"best-effort": false}}
/** Ends while its domain is cut off, before its job runs elsewhere. */
const SHORT = {count: TASKS, spec: {workMs: 4_000}, body: {"best-effort": false}}

let serial = 0
const newId = () => (++serial + 0xabc000).toString(16).padStart(16, "0")

describe("a failure domain on real processes", () => {
	let world: RoughWorld

	beforeEach(async () => {
		world = await startRoughWorld({
			failureDomains: [LOST, OTHER],
			instancesPerDomain: 2,
			executorsPerDomain: 3,
			program: undefined,
			random: () => 0.5,
			record: () => undefined,
		})
		await sleep(3_000)
	})

	afterEach(() => closeRoughWorld(world))

	const namesIn = (failureDomain: string) =>
		[...world.instances].filter(([, domain]) => domain === failureDomain).map(([name]) => name)
	const edgesIn = (failureDomain: string) =>
		namesIn(failureDomain).map(
			name => world.fleet.edges.findLast(edge => edge.name === name) as Edge,
		)
	const executorsIn = (failureDomain: string) =>
		world.platform.executors.filter(hosted => hosted.failureDomain === failureDomain)

	async function accept(id: string, options: Parameters<typeof handIn>[2]) {
		const [edge] = edgesIn(LOST)
		for (let tries = 0; tries < 20; tries++) {
			if ((await handIn(edge as Edge, id, {...options, cpu: 2_000})).status === 200) return
			await sleep(300)
		}
		throw new Error(`${id} was not accepted`)
	}

	const isRunningIn = (failureDomain: string, id: string) =>
		executorsIn(failureDomain).reduce((sum, {executor}) => sum + executor.runningCountOf(id), 0)

	function lose() {
		for (const edge of edgesIn(LOST)) endEdge(edge, "SIGKILL")
		for (const {executor, server} of executorsIn(LOST)) {
			executor.crash()
			server.close()
			server.closeAllConnections()
		}
	}

	/** Cuts the domain off from the store and the other domain, or heals the cut. */
	function setCut(isCut: boolean) {
		const pairs = [...namesIn(LOST)].flatMap(inside =>
			[...namesIn(OTHER), executorsPlace(OTHER)].map(outside => [inside, outside] as const),
		)
		const toExecutors = namesIn(OTHER).map(name => [name, executorsPlace(LOST)] as const)
		for (const [one, another] of [...pairs, ...toExecutors])
			for (const path of [world.network.path(one, another), world.network.path(another, one)])
				if (isCut) path.cut("all")
				else path.mend({type: "break"})
		for (const name of namesIn(LOST)) {
			const link = world.storeLinks.get(name)
			if (isCut) link?.cut()
			else link?.mend()
		}
	}

	// Kept jobs of a zone that was lost whole were never run again, since nobody claims a zone of which no executor answers.
	it("that is lost has its kept jobs run by the other one", async () => {
		const id = newId()
		await accept(id, LONG)
		await until("its start", () => isRunningIn(LOST, id) === TASKS)
		lose()
		await until("its start elsewhere", () => isRunningIn(OTHER, id) === TASKS, MAX_AWAY_MS)
		expect(world.platform.violations).to.eql([])
	})

	// Instances that were frozen meanwhile start nothing when they go on.
	for (const isFrozen of [false, true])
		it(`that is cut off${isFrozen ? " and frozen" : ""} ends its kept runs before the other one begins`, async () => {
			const [long, short] = [newId(), newId()]
			await accept(long, LONG)
			await accept(short, SHORT)
			await until(
				"their starts",
				() => isRunningIn(LOST, long) + isRunningIn(LOST, short) === 2 * TASKS,
			)
			setCut(true)
			await sleep(1_500)
			if (isFrozen) for (const {child} of edgesIn(LOST)) child.kill("SIGSTOP")
			await until("a start elsewhere", () => isRunningIn(OTHER, long) === TASKS, MAX_AWAY_MS)
			if (isFrozen) for (const {child} of edgesIn(LOST)) child.kill("SIGCONT")
			await sleep(1_000)
			setCut(false)
			await sleep(HEALED_MS)
			expect(world.platform.violations).to.eql([])
			for (let at = 0; at < TASKS; at++)
				expect(world.platform.startsOf(`${long}.0.0.${at}`)).to.equal(2)
			expect(isRunningIn(OTHER, long)).to.equal(TASKS)
			const [near] = edgesIn(OTHER)
			expect((await askJob(near as Edge, short)).body).to.eql({state: "completed"})
		}).timeout(60_000)
})
