/**
 * A store that rejects a single instance or lets a connection go silent, on real processes that each have their own
 * address of the store.
 */
import {askJob, handIn, startEdges, startLeasedPlatform, untilPlaced} from "@cottonwood/standins"
import type {Edge, EdgeFleet, LeasedPlatform} from "@cottonwood/standins"
import {expect} from "chai"
import {createServer, type IncomingMessage, type Server, type ServerResponse} from "node:http"
import type {AddressInfo} from "node:net"

const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms))
/** Long enough for a registration to expire, and for a placer that is considered gone to be replaced. */
const TURNED_AWAY_MS = 4_500
const BACK_MS = 2_000

const WAYS = Object.freeze({
	"with 503": (_req: IncomingMessage, res: ServerResponse) => void res.writeHead(503).end("{}"),
	"with 429": (_req: IncomingMessage, res: ServerResponse) => void res.writeHead(429).end("{}"),
	"by a reset": (req: IncomingMessage) => void req.socket.resetAndDestroy(),
	"by silence": () => undefined,
})
type Turn = (req: IncomingMessage, res: ServerResponse) => void

let serial = 0
const newId = () => (++serial + 0xaba000).toString(16).padStart(16, "0")

describe("a store that rejects an instance", function () {
	this.timeout(40_000)
	const names = [["a-1", "a"] as const, ["a-2", "a"] as const, ["b-1", "b"] as const]
	let platform: LeasedPlatform
	let fleet: EdgeFleet
	const doors = new Map<string, Server>()
	const turned = new Map<string, Turn>()

	/** Opens the store's address for one instance. */
	async function openDoor(name: string) {
		const door = createServer((req, res) => {
			const turn = turned.get(name)
			if (turn) return turn(req, res)
			const chunks: Buffer[] = []
			req.on("data", (chunk: Buffer) => chunks.push(chunk))
			req.on("end", () => void platform.store.handle(req, Buffer.concat(chunks).toString(), res))
		})
		await new Promise<void>(resolve => door.listen(0, "127.0.0.1", resolve))
		doors.set(name, door)
	}

	beforeEach(async () => {
		platform = await startLeasedPlatform({failureDomains: ["a", "b"], executorsPerDomain: 3})
		platform.putConfig(1)
		for (const [name] of names) await openDoor(name)
		const portOf = (name: string) => (doors.get(name)?.address() as AddressInfo).port
		fleet = await startEdges(platform, names, {
			storeAddressOf: name => `127.0.0.1:${portOf(name)}`,
		})
		await untilPlaced(fleet, platform.executors.length)
	})

	afterEach(async () => {
		turned.clear()
		await fleet.close()
		for (const door of doors.values()) {
			door.closeAllConnections()
			door.close()
		}
		await platform.close()
	})

	const claimOf = (domain: string) =>
		platform.store.read(`fleet/claim/${domain}`) as {fence: number; placer: {name: string}}
	const isMember = (name: string) => platform.store.read(`fleet/node/${name}`) !== undefined

	async function callAll(): Promise<readonly number[]> {
		const answers = await Promise.all(fleet.edges.map(edge => handIn(edge, newId())))
		return answers.map(({status}) => status)
	}

	for (const [way, turn] of Object.entries(WAYS))
		it(`${way} fails no job: the placer goes on and registers again`, async () => {
			const {fence, placer} = claimOf("a")
			turned.set(placer.name, turn)
			const until = performance.now() + TURNED_AWAY_MS
			while (performance.now() < until) {
				expect(await callAll()).to.eql([200, 200, 200])
				await sleep(150)
			}
			// The placer's heartbeats still arrive, so no other instance takes over.
			expect(claimOf("a").fence).to.equal(fence)
			expect(isMember(placer.name)).to.equal(false)
			turned.clear()
			await sleep(BACK_MS)
			expect(isMember(placer.name)).to.equal(true)
			expect(claimOf("a").fence).to.equal(fence)
			expect(platform.violations).to.eql([])
		})

	it("is called again over another connection after a lost answer", async () => {
		const id = newId()
		platform.store.faults.loseAnswers = 1
		const edge = fleet.edges[0] as Edge
		const kept = {body: {"best-effort": false}}
		let {status} = await handIn(edge, id, kept)
		for (let tries = 0; tries < 10 && status !== 200; tries++) {
			await sleep(300)
			;({status} = await handIn(edge, id, kept))
		}
		expect(status).to.equal(200)
		await sleep(1_500)
		expect((await askJob(edge, id)).body).to.eql({state: "completed"})
		expect(platform.startsOf(`${id}.0.0.0`)).to.equal(1)
	})
})
