/**
 * Evacuation of a failure domain on real instances: nothing new starts on its executors, the other domain serves its
 * callers, and it is used again after the evacuation ends.
 */
import {
	handIn,
	isReady,
	openLink,
	startEdges,
	startLeasedPlatform,
	untilPlaced,
	type Edge,
	type EdgeFleet,
	type LeasedPlatform,
	type Link,
} from "@cottonwood/standins"
import {expect} from "chai"

/** Time for a change to reach all instances, from the store or by peers' heartbeats; the contract limit is 5 s. */
const HEARD_WITHIN_MS = 2_000

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))
const evacuationKey = (domain: string) => `op/evacuate/${domain}`

let serial = 0
const newId = () => (++serial + 0xeca000).toString(16).padStart(16, "0")

describe("an evacuated failure domain on real instances", () => {
	let platform: LeasedPlatform
	let fleet: EdgeFleet
	const links = new Map<string, Link>()

	beforeEach(async () => {
		platform = await startLeasedPlatform({failureDomains: ["a", "b"], executorsPerDomain: 3})
		platform.putConfig(1)
		const names = [["a-1", "a"] as const, ["a-2", "a"] as const, ["b-1", "b"] as const]
		const storePort = Number(platform.storeAddress.split(":")[1])
		for (const [name] of names) links.set(name, await openLink(() => storePort))
		const storeAddressOf = (name: string) => `127.0.0.1:${links.get(name)?.port}`
		fleet = await startEdges(platform, names, {storeAddressOf})
		await untilPlaced(fleet, platform.executors.length)
	})

	afterEach(async () => {
		await fleet.close()
		for (const link of links.values()) link.close()
		await platform.close()
	})

	const edgeOf = (name: string) => fleet.edges.find(edge => edge.name === name) as Edge
	const startsIn = (domain: string) =>
		platform.executors
			.filter(({failureDomain}) => failureDomain === domain)
			.reduce((sum, {executor}) => sum + executor.starts, 0)

	/** Submits jobs at both instances of domain a. Returns the statuses. */
	async function callDomainA(): Promise<readonly number[]> {
		const edges = [edgeOf("a-1"), edgeOf("a-2"), edgeOf("a-1"), edgeOf("a-2")]
		const answers = await Promise.all(edges.map(edge => handIn(edge, newId())))
		return answers.map(({status}) => status)
	}

	it("gets no new starts, finishes its running tasks, and is used again after the evacuation", async () => {
		const long = handIn(edgeOf("a-1"), newId(), {spec: {workMs: 3_000}, deadlineMs: 8_000})
		await sleep(300)
		platform.store.write(evacuationKey("a"), {})
		await sleep(HEARD_WITHIN_MS)
		const startsBefore = startsIn("a")
		for (let at = 0; at < 3; at++) expect(await callDomainA()).to.eql([200, 200, 200, 200])
		expect(startsIn("a"), "starts after the bound").to.equal(startsBefore)
		expect((await long).status, "what ran before").to.equal(200)
		expect(await isReady(edgeOf("a-1"))).to.equal(true)
		platform.store.remove(evacuationKey("a"))
		await sleep(HEARD_WITHIN_MS)
		await callDomainA()
		expect(startsIn("a")).to.be.greaterThan(startsBefore)
		expect(platform.violations).to.eql([])
	})

	it("is known from peers when the store cannot be reached, from start to end", async () => {
		for (const name of ["a-1", "a-2"]) links.get(name)?.cut()
		await sleep(300)
		platform.store.write(evacuationKey("a"), {})
		await sleep(HEARD_WITHIN_MS)
		const startsBefore = startsIn("a")
		expect(await callDomainA()).to.eql([200, 200, 200, 200])
		expect(startsIn("a")).to.equal(startsBefore)
		platform.store.remove(evacuationKey("a"))
		await sleep(HEARD_WITHIN_MS)
		await callDomainA()
		expect(startsIn("a")).to.be.greaterThan(startsBefore)
		for (const name of ["a-1", "a-2"]) links.get(name)?.mend()
	})

	it("refuses jobs at once and never runs them while all domains are evacuated", async () => {
		for (const domain of ["a", "b"]) platform.store.write(evacuationKey(domain), {})
		await sleep(HEARD_WITHIN_MS)
		const startsBefore = startsIn("a") + startsIn("b")
		const startedAt = performance.now()
		const {status, retryAfter} = await handIn(edgeOf("a-1"), newId(), {count: 2})
		expect(performance.now() - startedAt).to.be.lessThan(500)
		expect(status).to.equal(503)
		expect(Number(retryAfter)).to.be.at.least(1)
		expect(startsIn("a") + startsIn("b")).to.equal(startsBefore)
		expect(await isReady(edgeOf("a-1"))).to.equal(true)
	})

	it("is used as before when the evacuation names an unknown domain or is unreadable", async () => {
		platform.store.write(evacuationKey("nowhere"), {})
		platform.store.write(evacuationKey("a"), "not an object")
		await sleep(HEARD_WITHIN_MS)
		const startsBefore = startsIn("a")
		expect(await callDomainA()).to.eql([200, 200, 200, 200])
		expect(startsIn("a")).to.be.greaterThan(startsBefore)
		const refused = edgeOf("a-1").lines.filter(({kind}) => kind === "evacuation_refused")
		expect(refused.length).to.be.greaterThan(0)
	})
})
