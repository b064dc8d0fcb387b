/**
 * Suspended machines, simulated by real processes whose monotonic clock stops during a suspension.
 */
import {
	handIn,
	startEdges,
	startLeasedPlatform,
	SUSPENDABLE,
	untilPlaced,
	type Edge,
	type EdgeFleet,
	type LeasedPlatform,
} from "@cottonwood/standins"
import {expect} from "chai"

/** Too short to break the instance's streams; new streams would bring new readings of its clock. */
const SUSPENDED_MS = 350
const TIMES = 5
/** Delay before callers resubmit after a broken connection. */
const RESUBMIT_MS = 1_300

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

describe("an instance whose machine is suspended", () => {
	let platform: LeasedPlatform
	let fleet: EdgeFleet

	beforeEach(async () => {
		platform = await startLeasedPlatform({failureDomains: ["a", "b"], executorsPerDomain: 3})
		platform.putConfig(1)
		const names = [["a-1", "a"] as const, ["a-2", "a"] as const, ["b-1", "b"] as const]
		fleet = await startEdges(platform, names, {
			nodeArgs: ["--import", SUSPENDABLE],
			envOf: () => ({COTTONWOOD_SUSPENDED_MS: String(SUSPENDED_MS)}),
		})
		await untilPlaced(fleet, platform.executors.length)
	})

	afterEach(async () => {
		await fleet.close()
		await platform.close()
	})

	const edgeOf = (name: string) => fleet.edges.find(edge => edge.name === name) as Edge
	const placerOfA = () =>
		edgeOf((platform.store.read("fleet/claim/a") as {placer: {name: string}}).placer.name)

	/*
	 * Guards against a run that outlives its caller's confirmation because the placer's monotonic clock does not count
	 * suspensions. The `suspended` log lines show that each one was counted.
	 */
	it("ends a run before its caller may resubmit", async () => {
		const placer = placerOfA()
		const coordinator = edgeOf(placer.name === "a-1" ? "a-2" : "a-1")
		// Opens the coordinator's stream, with its readings of the placer's clock, before the suspensions.
		expect((await handIn(coordinator, "0000000000005a00")).status).to.equal(200)
		for (let at = 0; at < TIMES; at++) {
			placer.child.kill("SIGUSR2")
			await sleep(SUSPENDED_MS + 300)
		}
		const id = "0000000000005a01"
		const gone = new AbortController()
		const first = handIn(coordinator, id, {spec: {workMs: 8_000}, signal: gone.signal})
		await sleep(500)
		expect(platform.startsOf(`${id}.0.0.0`), "it runs").to.equal(1)
		coordinator.child.kill("SIGSTOP")
		gone.abort()
		await first.catch(() => undefined)
		await sleep(RESUBMIT_MS)
		const second = await handIn(edgeOf("b-1"), id, {spec: {workMs: 200}})
		coordinator.child.kill("SIGCONT")
		expect(second.status).to.equal(200)
		expect(platform.startsOf(`${id}.0.0.0`)).to.equal(2)
		expect(platform.violations).to.eql([])
		const lines = placer.lines.filter(({kind}) => kind === "suspended")
		expect(lines).to.have.length(TIMES)
	})
})
