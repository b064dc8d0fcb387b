/**
 * Slices of a failure domain on real processes: four instances, forty executors, at most ten for a placer.
 */
import {
	endEdge,
	handIn,
	startEdges,
	startLeasedPlatform,
	type Edge,
	type EdgeFleet,
	type LeasedPlatform,
} from "@cottonwood/standins"
import {expect} from "chai"
import {sleep} from "./support/late-callers.js"
import {until} from "./support/leased-scene.js"

const NAMES = ["a-1", "a-2", "a-3", "a-4"] as const
const SLICE_KEYS = ["a", "a/slice-1", "a/slice-2", "a/slice-3"].map(name => `fleet/claim/${name}`)
const EXECUTORS = 40

let serial = 0
const newId = () => (++serial + 0x511ce0).toString(16).padStart(16, "0")

describe("a divided failure domain, on real instances", () => {
	let platform: LeasedPlatform
	let fleet: EdgeFleet

	beforeEach(async () => {
		platform = await startLeasedPlatform({failureDomains: ["a"], executorsPerDomain: EXECUTORS})
		platform.putConfig(1)
		const placing = {executorsPerPlacer: 10}
		fleet = await startEdges(
			platform,
			NAMES.map(name => [name, "a"] as const),
			{placing},
		)
	})

	afterEach(async () => {
		await fleet.close()
		await platform.close()
	})

	const placers = () =>
		SLICE_KEYS.flatMap(key => {
			const claim = platform.store.read(key) as {placer: {name: string}} | undefined
			return claim ? [claim.placer.name] : []
		})
	const edgeOf = (name: string) => fleet.edges.findLast(edge => edge.name === name) as Edge

	/** Submits jobs at the instances in turn for `forMs` milliseconds. Returns the statuses, 0 for a failed call. */
	async function load(edges: readonly Edge[], forMs: number): Promise<readonly number[]> {
		const answers: Promise<number>[] = []
		for (const end = performance.now() + forMs; performance.now() < end; await sleep(20)) {
			const edge = edges[answers.length % edges.length] as Edge
			const answer = handIn(edge, newId(), {count: 2, spec: {workMs: 200}})
			answers.push(answer.then(({status}) => status).catch(() => 0))
		}
		return Promise.all(answers)
	}

	/* Guards against jobs that are lost, refused or run twice while slices are added. */
	it("grows to four slices under load", async () => {
		const answers = load(fleet.edges, 4_000)
		await until("four slices", () => placers().length === 4)
		expect(new Set(placers()).size, "each at another instance").to.equal(4)
		expect(new Set(await answers)).to.eql(new Set([200]))
		expect(platform.violations).to.eql([])
		const starting = fleet.edges.filter(({lines}) =>
			lines.some(({kind}) => kind === "task_started"),
		)
		expect(starting.length, "placers that started tasks").to.equal(4)
	})

	/* Guards against failed calls after another instance has taken over the slice of a killed placer. */
	it("keeps serving after a slice's placer is killed", async () => {
		await until("four slices", () => placers().length === 4)
		const killed = placers()[2] as string
		endEdge(edgeOf(killed), "SIGKILL")
		await until("another placer of the slice", () => placers()[2] !== killed)
		await sleep(1_500)
		const edges = fleet.edges.filter(({name}) => name !== killed)
		const answers = await load(edges, 1_000)
		expect(new Set(answers)).to.eql(new Set([200]))
		expect(platform.violations).to.eql([])
	})

	it("hands a slice over on a planned stop without losing a job", async () => {
		await until("four slices", () => placers().length === 4)
		const stopped = placers()[1] as string
		const edges = fleet.edges.filter(({name}) => name !== stopped)
		const answers = load(edges, 2_000)
		await sleep(500)
		endEdge(edgeOf(stopped), "SIGTERM")
		expect(new Set(await answers)).to.eql(new Set([200]))
		expect(placers()[1]).to.not.equal(stopped)
		expect(platform.violations).to.eql([])
	})
})
